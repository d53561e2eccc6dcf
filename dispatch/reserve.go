package dispatch

import (
	"math"

	"github.com/wigeonlink/wigeonlink/forecast"
)

// urgentRisk is the probability of a preemption that is taken to start a short urgent request. The engine preempts its newest
// stream, which is mostly the urgent request itself, and its short run is soon repeated.
const urgentRisk = 0.2

// exceedsMemory reports whether t has no memory for a request with the given demand in addition to total: it is likelier
// than risk that the streams need more than the given memory, in tokens, or the pool's reserve for urgent requests would
// be used.
func (r *Reducer) exceedsMemory(q *request, t *targetState, total, demand *forecast.Demand, memory, risk float64) bool {
	if q.pool.isMixed() && q.target == nil {
		risk = min(risk, maxStartRisk)
	}
	if q.target == nil && r.isUrgent(q) && r.isShort(q) {
		risk = max(risk, urgentRisk)
	}
	if total.Streams > 0 && r.overflowChance(q, total, demand, memory) > risk {
		return true
	}
	return q.pool.isMixed() && q.target == nil && !(r.isUrgent(q) && r.isShort(q)) && !r.leavesReserve(t, total, demand, q.pool)
}

// overflowChance returns the probability that the streams of total and q need more than the given memory. For an urgent
// request it is that while the request itself runs: the growth of the streams beside it after its end is the same without
// it.
func (r *Reducer) overflowChance(q *request, total, demand *forecast.Demand, memory float64) float64 {
	if r.isUrgent(q) {
		return total.OverflowChanceWithin(demand, memory, q.expectedOutput)
	}
	return total.OverflowChance(demand, memory)
}

// recordUrgentArrival counts a held request that this host places in the demand for the pool's reserve.
func (r *Reducer) recordUrgentArrival(q *request) {
	if r.isUrgent(q) && (q.remote != nil || !r.delegates(q.pool)) {
		q.pool.mixed.demand.Arrive(q.prompt, r.now)
	}
}

// updateReserve computes the number of urgent requests for which engines of this domain have memory, and the number for
// which the pool keeps it, unless both are up to date.
func (r *Reducer) updateReserve(p *pool, memory float64) {
	if !p.mixed.reserveStale {
		return
	}
	p.mixed.reserveStale = false
	scale := 1.0
	if !r.coordinates {
		scale, memory = float64(r.hosts), memory*float64(r.hosts)
	}
	p.mixed.reserved, p.mixed.places = p.mixed.demand.Places(memory, scale, r.now), 0
	if p.mixed.reserved == 0 {
		return
	}
	for _, t := range p.targets {
		if !r.inOtherDomain(t) && t.acceptsWork(r.now, r.options.maxLoadAge) {
			p.mixed.places += p.urgentPlaces(t, t.totalDemand(r.now).MeanMemory[0])
		}
	}
}

// urgentPlaces returns the number of urgent requests that fit into the memory of t if the given part, in tokens, is used.
func (p *pool) urgentPlaces(t *targetState, used float64) int {
	return int(math.Floor(max(float64(t.spec.Memory)-used, 0) / p.mixed.demand.Size()))
}

// leavesReserve reports whether enough places for urgent requests remain if a request is sent to t.
func (r *Reducer) leavesReserve(t *targetState, total, demand *forecast.Demand, p *pool) bool {
	if p.mixed.reserved == 0 || r.inOtherDomain(t) {
		return true
	}
	taken := p.urgentPlaces(t, total.MeanMemory[0]) - p.urgentPlaces(t, total.MeanMemory[0]+demand.MeanMemory[0])
	return taken == 0 || p.mixed.places-taken >= p.mixed.reserved
}
