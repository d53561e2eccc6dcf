package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/limit"
)

// A target that is short of capacity names in its responses the rate of requests that it takes from all
// hosts together. One host gives out the places in that rate, and every host sends such a target only
// as many requests as it has places for. The load pattern is that of a plain service of a few targets
// which names limits far below its load, with callers spread unevenly over the hosts: equal parts would
// leave most of a small limit unused, and parts that each host counts by itself would exceed it.

type (
	// LimitRead is what a response of a target says about the target's limit.
	LimitRead struct {
		Target         string
		Reading        limit.Reading
		Sent, Received time.Time // when the request was sent, and when the head of the response arrived
	}

	// TargetLimit is the record of a target's limit on this or another host.
	TargetLimit struct {
		Target    string
		StartTime time.Time // of the target's process
		Record    limit.Record

		Cold time.Duration // only of a question: time for which the target is cold; Record then has the rate of that. 0 if it is not
	}

	// PeerLimits are the records that another host has sent.
	PeerLimits struct{ Limits []TargetLimit }

	// PlaceReply is the result of an EffectReserve.
	PlaceReply struct {
		ID      ID            // of the request for which the place was asked
		Granted bool          // whether there is a place
		Wait    time.Duration // time until the place, or until the next free one
		Lease   uint64        // number of the place's lease at a brittle target; 0 if there is none
		Later   bool          // no place can be asked for before Wait is over
		Limit   TargetLimit   // the replying host's record of the limit; the zero Record if no host gives out places
	}

	// place is a place of this host at a target.
	place struct {
		from  time.Duration // time from which it may be used
		lease uint64        // number of its lease at a brittle target; 0 if there is none
	}

	// places are the places of this host at a target that names a limit.
	places struct {
		due      []place       // in the order in which they may be used
		asked    bool          // a reply is outstanding
		askAfter time.Duration // time before which no further place is free
		blocked  time.Duration // time before which no place can be asked for, as no host gives them out
	}
)

const (
	// placeLife is the time after which a place that was not used is void. The places in use exceed
	// the limit by at most those of this time.
	placeLife = 500 * time.Millisecond

	// placeWaitPart is the part of its first-byte objective for which a request may wait for a place.
	placeWaitPart = 0.5

	// placeReplyTimeout bounds the time for which a request waits for a PlaceReply.
	placeReplyTimeout = 250 * time.Millisecond

	// minAskInterval is the least time between a refused place and the next question.
	minAskInterval = 10 * time.Millisecond

	// maxLimitRetry is the time over which the callers of refused requests are spread.
	maxLimitRetry = 5 * time.Second

	// limitShareTime is the time after the end of a limit for which its record is still sent to other
	// hosts.
	limitShareTime = 10 * time.Second
)

// isLimited reports whether each attempt at the target needs a place: it names a limit, is cold or is brittle.
func (t *targetState) isLimited() bool { return t.limit.Named || t.brittle || t.coldRate > 0 }

// hasPlace reports whether a request may be sent to the target now.
func (t *targetState) hasPlace(now time.Duration) bool {
	return !t.isLimited() || len(t.places.due) > 0 && t.places.due[0].from <= now
}

// lacksPlace reports whether q cannot be sent to t because t is limited and this host has no place there
// and can get none in time. Moved streams get places at cold targets only, and those that this host has. It requests a Tick for the next place.
func (r *Reducer) lacksPlace(q *request, t *targetState) bool {
	if !t.isLimited() || q.target == nil && r.mayHavePlace(q, t) || q.target != nil && t.takesMoves() && t.hasPlace(r.now) {
		return false
	}
	if next := t.nextPlace(r.now); next > r.now {
		r.wakeBy(next)
	}
	return true
}

// mayHavePlace reports whether this host has a place for q at the target, or may ask for one that is free
// in time.
func (r *Reducer) mayHavePlace(q *request, t *targetState) bool {
	if t.hasPlace(r.now) {
		return true
	}
	return !t.places.asked && t.places.blocked <= r.now && len(t.places.due) < q.pool.held && t.places.askAfter <= r.now+r.placePatience(q, t)
}

// placePatience returns the time for which q can wait for a place at t: until its placeDeadline or, if
// another target accepts it, not at all. A place at a cold target is not given out long before its time.
func (r *Reducer) placePatience(q *request, t *targetState) time.Duration {
	if r.hasUnlimitedTarget(q) {
		return 0
	}
	patience := max(q.placeDeadline()-r.now, 0)
	if t.coldRate > 0 {
		return min(patience, coldPatience)
	}
	return patience
}

// placeDeadline returns the time until which a place is of use to q: later, its answer would be late. If
// all requests waited for longer, all would be late under a load above the limits.
func (q *request) placeDeadline() time.Duration {
	return min(q.holdDeadline, q.arrived+time.Duration(placeWaitPart*float64(q.firstTokenObjective)))
}

// nextPlace returns the earliest time at which this host may get or use a place at the target.
func (t *targetState) nextPlace(now time.Duration) time.Duration {
	switch {
	case !t.isLimited() || t.places.asked:
		return now
	case len(t.places.due) > 0:
		return max(t.places.due[0].from, now)
	}
	return max(t.places.askAfter, t.places.blocked, now)
}

// usePlace takes the first place of a limited target, and returns its lease.
func (t *targetState) usePlace() (lease uint64) {
	if len(t.places.due) > 0 {
		lease = t.places.due[0].lease
		t.places.due = slices.Delete(t.places.due, 0, 1)
	}
	return lease
}

// dropOldPlaces drops the places that were not used within placeLife.
func (r *Reducer) dropOldPlaces(t *targetState) {
	for len(t.places.due) > 0 && r.now-t.places.due[0].from > placeLife {
		r.releaseLease(t, t.usePlace(), false)
	}
}

// reduce records the limit.
func (e LimitRead) reduce(r *Reducer) {
	if t := r.targets[e.Target]; t != nil && t.limit.Observe(e.Reading, e.Sent, e.Received) {
		r.limitChanged(t, true)
	}
}

// reduce merges the records of another host about the same processes, and passes on what is new.
func (e PeerLimits) reduce(r *Reducer) {
	for _, l := range e.Limits {
		r.mergeLimit(l)
	}
}

func (r *Reducer) mergeLimit(l TargetLimit) {
	if t := r.targets[l.Target]; t != nil && t.spec.StartTime.Equal(l.StartTime) && t.limit.Merge(l.Record) {
		r.limitChanged(t, false)
	}
}

// limitChanged logs a new limit, shares it, and dispatches what had to wait for the former one.
func (r *Reducer) limitChanged(t *targetState, own bool) {
	if !t.isLimited() {
		t.places = places{asked: t.places.asked}
	}
	r.emit(Effect{Kind: EffectLimited, Target: t.spec.Name, Limit: r.limitOfTarget(t), Own: own})
	r.emit(Effect{Kind: EffectShareLimits})
	if p := r.pools[poolName(t.spec)]; p != nil {
		r.dispatchHeld(p)
	}
}

func (r *Reducer) limitOfTarget(t *targetState) TargetLimit {
	return TargetLimit{Target: t.spec.Name, StartTime: t.spec.StartTime, Record: t.limit}
}

// askPlace asks for a place at t, and keeps q waiting for the reply.
func (r *Reducer) askPlace(q *request, t *targetState) {
	t.places.asked = true
	q.notBefore = r.now + placeReplyTimeout
	q.awaitedPlace = t
	r.wakeBy(q.notBefore)
	r.emit(Effect{Kind: EffectReserve, ID: q.id, Name: q.name, Target: t.spec.Name, To: t.spec, Limit: r.questionLimit(t), Brittle: t.brittle, Within: r.placePatience(q, t)})
}

// hasUnlimitedTarget reports whether a target without a limit accepts q.
func (r *Reducer) hasUnlimitedTarget(q *request) bool {
	return slices.ContainsFunc(q.pool.targets, func(t *targetState) bool {
		return !t.isLimited() && r.mayChoose(q, t)
	})
}

// reduce records the place, or the time until the next free one, and dispatches held requests.
func (e PlaceReply) reduce(r *Reducer) {
	t := r.targets[e.Limit.Target]
	if t != nil && t.spec.StartTime.Equal(e.Limit.StartTime) {
		t.places.asked = false
		next := r.now + max(e.Wait, minAskInterval)
		switch {
		case e.Granted:
			t.places.due = append(t.places.due, place{r.now + e.Wait, e.Lease})
		case e.Later:
			t.places.askAfter, t.places.blocked = next, next
		default:
			t.places.askAfter = next
		}
		r.mergeLimit(e.Limit)
	}
	q := r.requests[e.ID]
	if q != nil && q.phase == phaseDispatched {
		r.evacuate() // the place was asked for a stream that is to move
	}
	if q == nil || q.phase != phaseHeld || q.awaitedPlace == nil || q.awaitedPlace.spec.Name != e.Limit.Target {
		if t != nil {
			r.dispatchHeld(r.pools[poolName(t.spec)])
		}
		return
	}
	q.notBefore, q.awaitedPlace = r.now, nil
	r.dispatchHeld(q.pool)
}

// Reserve gives out a place at a target for a host that has the given record of its limit, counts it as brittle or
// not, and can wait for patience. This host must be the one that gives out the target's places; it does so at part of
// the limit, between 0 and 1, if other hosts may do so, too.
func (r *Reducer) Reserve(asked TargetLimit, brittle bool, patience time.Duration, part float64, now time.Time) PlaceReply {
	t := r.targets[asked.Target]
	if t == nil || !t.spec.StartTime.Equal(asked.StartTime) || part <= 0 || t.evacuated {
		return PlaceReply{Wait: placeLife, Later: true, Limit: TargetLimit{Target: asked.Target, StartTime: asked.StartTime}}
	}
	lease := uint64(0)
	if brittle || t.brittle {
		if lease = r.lease(t, part); lease == 0 {
			return PlaceReply{Wait: leaseRetry, Later: true, Limit: TargetLimit{Target: asked.Target, StartTime: asked.StartTime}}
		}
	}
	known, rate, paced := t.rateFor(asked)
	reply := PlaceReply{Granted: true, Lease: lease, Limit: TargetLimit{Target: asked.Target, StartTime: asked.StartTime, Record: known}}
	if paced {
		reply.Wait, reply.Granted = t.pacer.Reserve(now, part*rate, patience)
		if !reply.Granted {
			t.leases.free(lease)
		}
	}
	return reply
}

// refuseExcess refuses held requests of a plain service all of whose targets name limits, as far as
// they exceed this host's places and no further place is to be had before their placeDeadline. Those of the
// organisations furthest over their shares are refused first.
func (r *Reducer) refuseExcess(p *pool) {
	if !p.plain || p.held == 0 {
		return
	}
	excess, next, rate, limited := p.held, time.Duration(0), 0.0, 0
	for _, t := range p.targets {
		switch {
		case !t.acceptsWork(r.now, r.options.maxLoadAge):
			continue
		case !t.isLimited() || t.places.asked:
			return
		}
		excess -= len(t.places.due)
		if paced, ok := t.pacedRate(); ok {
			rate += paced
		} else {
			rate += float64(max(t.spec.Slots, 1)) / brittleRunFor.Seconds()
		}
		if at := max(t.places.askAfter, r.now); limited == 0 || at < next {
			next = at
		}
		limited++
	}
	if limited == 0 {
		return // no target accepts work, which is not due to limits
	}
	for ; excess > 0; excess-- {
		q := r.leastEntitled(p, next)
		if q == nil {
			return
		}
		r.dequeue(q)
		r.refuse(q, answer.KindNoTarget, r.nextRetry(p, next, rate))
	}
}

// leastEntitled returns the held request that is the last to be dispatched of those whose placeDeadline is
// before a point in time, or nil. It leaves out those in retry backoff.
func (r *Reducer) leastEntitled(p *pool, before time.Duration) *request {
	r.sortQueues(p)
	for _, queue := range slices.Backward(p.queueOrder) {
		for _, q := range slices.Backward(queue.held) {
			if q.placeDeadline() < before && q.notBefore <= r.now {
				return q
			}
		}
	}
	return nil
}

// nextRetry returns the delay after which the caller of a refused request may come back. Successive
// callers are spread over this host's part of the places from next on, at the given total rate.
func (r *Reducer) nextRetry(p *pool, next time.Duration, rate float64) time.Duration {
	interval := time.Duration(max(r.allHosts, 1)) * limit.Interval(rate)
	p.nextRetry = max(p.nextRetry, next) + interval
	if p.nextRetry-r.now > maxLimitRetry {
		p.nextRetry = next + interval
	}
	return p.nextRetry - r.now
}

// LimitRecords returns the records of limits for this host's peers: those in force and those that have
// ended recently.
func (r *Reducer) LimitRecords(at time.Time) []TargetLimit {
	var out []TargetLimit
	for _, p := range r.poolList {
		for _, t := range p.targets {
			if t.limit.Named || !t.limit.At.IsZero() && at.Sub(t.limit.At) < limitShareTime {
				out = append(out, r.limitOfTarget(t))
			}
		}
	}
	return out
}
