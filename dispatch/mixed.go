package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/precedence"
	"github.com/wigeonlink/wigeonlink/readmission"
	"github.com/wigeonlink/wigeonlink/route"
)

// mixedPool is the state of a pool whose routes have objectives that differ widely; see package precedence.
type mixedPool struct {
	objectives   precedence.Objectives
	demand       precedence.Demand // of urgent requests
	places       int               // urgent requests for which engines of this domain have memory; valid within dispatchClass
	reserved     int               // number of these that other requests must leave; valid within dispatchClass
	reserveStale bool              // places and reserved are to be computed again
	residence    precedence.Demand // of the requests that are not urgent; only its Residence is used
	promises     readmission.Promises
	urgentHeld   int          // memory that the prompts of all urgent streams hold at the pool's targets, in tokens
	claimant     ID           // request for which claimed is kept; 0 if there is none
	claimed      *targetState // target that no other request may use, unless it is urgent, until the claimant is dispatched or late
	sinceLate    int          // dispatches of the class precedence.OnTime since the latest one of precedence.Late
}

// blockingAge is the fraction of the time in which a request can be on time after which it claims a target; see claimTarget.
// Small requests would otherwise take each piece of memory that becomes free, and large ones would always be late.
const blockingAge = 0.5

// claimTakeover is the ratio of sizes from which a request takes over the claim of another one. The largest requests find enough free memory
// by chance least often.
const claimTakeover = 1.5

// isMixed reports whether the pool serves requests with objectives that differ so much that some are urgent.
func (p *pool) isMixed() bool { return !p.plain && p.mixed.objectives.Mixed() }

// isUrgent reports whether q is urgent beside other requests of its pool.
func (r *Reducer) isUrgent(q *request) bool {
	return q.pool.isMixed() && q.pool.mixed.objectives.IsUrgent(q.firstTokenObjective)
}

// isShort reports whether q is expected to generate its output within its objective for the first token. A long request for which
// a short objective is stated is not.
func (r *Reducer) isShort(q *request) bool {
	return time.Duration(q.expectedOutput*float64(r.options.stepBase)) <= q.firstTokenObjective
}

// applyObjectives takes over the objectives of the stream routes to each pool.
func (r *Reducer) applyObjectives() {
	objectives := map[string]precedence.Objectives{}
	for e := range r.table.Routes.All() {
		if e.Kind != route.Stream {
			continue
		}
		for _, s := range e.Split {
			o := objectives[s.Pool]
			o.Add(e.FirstByteObjective)
			objectives[s.Pool] = o
		}
	}
	for _, p := range r.poolList {
		p.mixed.objectives = objectives[p.name]
	}
}

// class returns the class of a held request. memory is that of the pool, in tokens.
func (r *Reducer) class(q *request, queue *organisationQueue, memory float64) precedence.Class {
	urgent := r.isUrgent(q)
	within := urgent && (precedence.WithinPart(queue.urgentHeld, memory, queue.share) ||
		r.isShort(q) && precedence.WithinPoolPart(q.pool.mixed.urgentHeld, memory))
	return precedence.Classify(r.isLate(q), urgent, within)
}

// dispatchMixed dispatches the held requests of a mixed pool while targets have capacity: class by class, and within a
// class those of the organisation with the lowest normalisedRate first.
func (r *Reducer) dispatchMixed(p *pool) {
	r.fairRate(p) // updates activeWeights
	r.dispatchClass(p, precedence.Urgent, math.MaxInt)
	if p.mixed.sinceLate >= precedence.LateTurn && r.dispatchClass(p, precedence.Late, 1) > 0 {
		p.mixed.sinceLate = 0
	}
	p.mixed.sinceLate += r.dispatchClass(p, precedence.OnTime, math.MaxInt)
	if r.hasClaim(&p.mixed) {
		return // what becomes free is for requests that can be on time
	}
	if r.dispatchClass(p, precedence.Late, math.MaxInt) > 0 {
		p.mixed.sinceLate = 0
	}
}

// dispatchClass dispatches up to most requests of one class, and returns their number. Urgent requests for which there is no
// capacity are bypassed without limit, also by smaller ones of the same organisation.
func (r *Reducer) dispatchClass(p *pool, class precedence.Class, most int) int {
	r.sortQueues(p)
	memory := p.localMemory(r)
	for _, queue := range p.queueOrder {
		queue.tooLarge, queue.share = math.Inf(1), r.shareOf(queue, p)
	}
	dispatched, bypassed := 0, 0
	p.mixed.reserveStale = true
	for len(p.queueOrder) > 0 && dispatched < most {
		queue := p.queueOrder[0]
		q := r.nextOfClass(queue, class, memory)
		if q == nil || r.yieldsInMixed(q, class, queue, p) {
			p.queueOrder = slices.Delete(p.queueOrder, 0, 1)
			continue
		}
		if r.needsTrial(q) {
			q.waitCause = WaitTrial
			r.askTrial(q)
			continue
		}
		r.updateReserve(p, memory)
		t := r.choose(q, r.shareExcess(queue.normalisedRate, r.now-queue.lastEmpty, p))
		switch {
		case t == nil && class == precedence.Urgent:
			q.waitCause = WaitCapacity
			queue.tooLarge = q.size()
		case t == nil:
			q.waitCause = WaitCapacity
			if r.mustNotBypass(q, class) {
				r.claimTarget(q)
			}
			if bypassed++; bypassed >= maxBypassedOrganisations {
				return dispatched
			}
			p.queueOrder = slices.Delete(p.queueOrder, 0, 1)
		case r.mayStart(q, t):
			r.dispatch(q, t)
			dispatched++
			p.mixed.reserveStale = true
			queue.normalisedRate = r.normalisedRate(queue.organisation, p)
			r.restoreOrder(p)
		}
	}
	return dispatched
}

// yieldsInMixed is mustYield, but urgent requests do not wait for those that other hosts hold: those may be large and wait
// for memory, while an urgent one uses little of it.
func (r *Reducer) yieldsInMixed(q *request, class precedence.Class, queue *organisationQueue, p *pool) bool {
	if class != precedence.Urgent {
		return r.mustYield(q, queue, p)
	}
	if r.atInflightCap(queue.organisation, p) {
		q.waitCause = WaitCap
		return true
	}
	return false
}

// mustNotBypass reports whether memory must become free for a request without capacity before others that are not urgent use it.
func (r *Reducer) mustNotBypass(q *request, class precedence.Class) bool {
	return class == precedence.OnTime && float64(r.now-q.arrived) > blockingAge*float64(r.waitLimit(q))
}

// nextOfClass returns the first request of a queue that is of a class, is smaller than one without capacity that
// was bypassed, is not in retry backoff and is placed by this host, or nil. It requests a Tick for the end of the backoffs
// that it passes.
func (r *Reducer) nextOfClass(queue *organisationQueue, class precedence.Class, memory float64) *request {
	for _, q := range queue.held {
		switch {
		case q.placement == placementAsked || q.placement == placementNone && q.remote == nil && r.delegates(q.pool):
		case q.notBefore > r.now:
			r.wakeBy(q.notBefore)
		case q.size() < queue.tooLarge && r.class(q, queue, memory) == class:
			return q
		}
	}
	return nil
}

// size returns the memory that a request is expected to hold when it ends, in tokens.
func (q *request) size() float64 { return float64(q.prompt) + q.expectedOutput }

// shareOf returns the fraction of the weights of the organisations active in the pool that is that of the queue's.
func (r *Reducer) shareOf(queue *organisationQueue, p *pool) float64 {
	weight := r.weight(queue.organisation, p)
	return weight / max(p.activeWeights, weight)
}

// localMemory returns the part of the pool's memory in the failure domain that this host fills, in tokens.
func (p *pool) localMemory(r *Reducer) float64 {
	sum := 0.0
	for _, t := range p.targets {
		if !r.inOtherDomain(t) && t.acceptsWork(r.now, r.options.maxLoadAge) {
			sum += float64(t.spec.Memory)
		}
	}
	if !r.coordinates {
		sum /= float64(r.hosts)
	}
	return sum
}

// holdUrgent adds the memory of an urgent request that was dispatched to that of its organisation's urgent streams.
func (r *Reducer) holdUrgent(q *request) {
	if r.isUrgent(q) {
		q.urgentHeld = q.prompt
		q.pool.queueOf(q.organisation).urgentHeld += q.urgentHeld
		q.pool.mixed.urgentHeld += q.urgentHeld
	}
}

// releaseUrgent subtracts what holdUrgent has added.
func (r *Reducer) releaseUrgent(q *request) {
	q.pool.mixed.recordResidence(q, r.now)
	if q.urgentHeld > 0 {
		q.pool.mixed.demand.Leave(r.now - q.dispatchedAt)
	}
	q.pool.queueOf(q.organisation).urgentHeld -= q.urgentHeld
	q.pool.mixed.urgentHeld -= q.urgentHeld
	q.urgentHeld = 0
}

// claimTarget keeps the target of this domain with the most free memory for q, unless another request has a claim in the pool that is
// not much smaller. Ending
// the loop for such a request would leave the memory of all targets unused that is too small for it.
func (r *Reducer) claimTarget(q *request) {
	m := &q.pool.mixed
	if r.hasClaim(m) && q.size() < claimTakeover*r.requests[m.claimant].size() {
		return
	}
	m.claimant, m.claimed = 0, nil
	most := 0.0
	for _, t := range q.pool.targets {
		if free := float64(t.spec.Memory) - t.totalDemand(r.now).MeanMemory[0]; free > most && !r.inOtherDomain(t) && r.mayChoose(q, t) {
			m.claimant, m.claimed, most = q.id, t, free
		}
	}
}

// hasClaim reports whether the pool's claim holds: its request is held and can be on time, and its target accepts work.
func (r *Reducer) hasClaim(m *mixedPool) bool {
	if m.claimed == nil {
		return false
	}
	q := r.requests[m.claimant]
	return q != nil && q.phase == phaseHeld && !r.isLate(q) && r.mayChoose(q, m.claimed)
}

// isClaimed reports whether t is kept for another request than q.
func (r *Reducer) isClaimed(q *request, t *targetState) bool {
	m := &q.pool.mixed
	return m.claimed == t && m.claimant != q.id && q.target == nil && !(r.isUrgent(q) && r.isShort(q)) && r.hasClaim(m)
}
