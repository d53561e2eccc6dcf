package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/hedge"
)

// An idempotent request of a plain service whose attempt takes unusually long may get a second attempt at another target
// while the first one is in flight. Package hedge decides when; this file passes it the state of the pool and keeps
// the accounts of both attempts. The request remains dispatched as long as one of them is in flight.

type (
	// AttemptSlow reports that an attempt has had no complete response within Effect.ExtraAfter.
	AttemptSlow struct {
		ID      ID
		Attempt int // see Basis.Attempt
	}

	// AttemptCancelled reports that one of two attempts has been cancelled because the other one has responded.
	AttemptCancelled struct {
		ID      ID
		Attempt int // see Basis.Attempt
	}

	// An ExtraOutcome describes an extra attempt.
	ExtraOutcome struct {
		Verdict hedge.Verdict // ExtraRefused: why it is not sent
		Elapsed time.Duration // Extra, ExtraRefused: since the dispatch of the first attempt
		Won     bool          // ExtraEnded: whether its response was used
		Wasted  time.Duration // ExtraEnded: time for which the attempt that was of no use has run
	}

	// secondAttempt is the one of two attempts in flight that the other fields of the request do not describe.
	secondAttempt struct {
		number          int // see Basis.Attempt
		otherNumber     int // of the attempt that the other fields describe
		target          *targetState
		dispatchedAt    time.Duration
		lease           uint64 // see request.lease
		demand          forecast.Demand
		serviceUnitRate float64 // see request.serviceUnitRate
	}

	withExtraAttempts float64
)

// extraRetryPart is the part of the retry budget that extra attempts may use. The rest is left for retries of
// failed attempts, without which their callers get no response at all.
const extraRetryPart = 0.5

// WithExtraAttempts sets the largest number of extra attempts as a fraction of the requests of a pool. 0 means none.
func WithExtraAttempts(fraction float64) Option { return withExtraAttempts(fraction) }
func (o withExtraAttempts) apply(opts *options) { opts.extraAttempts = float64(o) }

// hedgeKey returns the key of q's distribution of response times.
func (q *request) hedgeKey() hedge.Key { return hedge.Key{Pool: q.pool.name, Route: q.route} }

// mayRepeat reports whether q may have two attempts in flight.
func (q *request) mayRepeat() bool {
	return q.plain && !q.nonIdempotent && q.multipleTargets && !q.attached && q.remote == nil
}

// hasAttemptsLeft reports whether a further attempt is within the limits of q.
func (q *request) hasAttemptsLeft() bool {
	return q.attempts < maxAttempts && q.attempts-q.unsentAttempts < q.maxTargets
}

// objectiveLeft returns the time from q's dispatch until its objective.
func (q *request) objectiveLeft() time.Duration {
	return q.firstTokenObjective - (q.dispatchedAt - q.arrived)
}

// extraDelay returns the time after which q, which has just been dispatched, may get a second attempt, or 0 if it gets none.
func (r *Reducer) extraDelay(q *request) time.Duration {
	if !q.mayRepeat() || !q.hasAttemptsLeft() {
		return 0
	}
	delay, _ := r.hedges.Delay(q.hedgeKey(), q.objectiveLeft())
	return delay
}

// observeUnfinished records that an attempt of q which was dispatched at the given time has ended without a complete response.
func (r *Reducer) observeUnfinished(q *request, dispatchedAt time.Duration) {
	if q.mayRepeat() {
		r.hedges.ObserveUnfinished(q.hedgeKey(), r.now-dispatchedAt, q.objectiveLeft())
	}
}

// reduce sends a second attempt if the policy allows it.
func (e AttemptSlow) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || !q.mayRepeat() || !r.hedges.Enabled() {
		return
	}
	outcome := ExtraOutcome{Elapsed: r.now - q.dispatchedAt}
	var t *targetState
	inFlight := q.phase == phaseDispatched && q.extra == nil && q.attempts == e.Attempt && q.disconnectedAt == 0
	if inFlight {
		t = r.chooseSecond(q)
	}
	if outcome.Verdict = r.hedges.Decide(q.hedgeKey(), r.situation(q, inFlight, t)); outcome.Verdict != hedge.Send {
		r.emit(Effect{Kind: EffectExtraRefused, ID: q.id, Extra: outcome})
		return
	}
	q.pool.retryBudget.spend(r.retryCap())
	r.sendSecond(q, t, outcome)
}

// situation returns the inputs of the policy's decision about a second attempt of q at t, which may be nil.
func (r *Reducer) situation(q *request, inFlight bool, t *targetState) hedge.Situation {
	s := hedge.Situation{Organisation: q.organisation.spec.Name, InFlight: inFlight}
	if !inFlight {
		return s
	}
	s.Elapsed, s.Objective = r.now-q.dispatchedAt, q.objectiveLeft()
	if r.latestStart(q, t) >= r.now {
		s.Left = q.callerDeadline - r.now
	}
	_, s.Suspected = r.suspectedRequest(q)
	_, probed := r.possibleCrashes[q.target.spec.Name]
	s.Suspected = s.Suspected || probed || q.trialUntil > 0 || r.quarantineLeft(q.parts) > 0
	s.Held = q.pool.held > 0 || r.peersHold(q.pool)
	s.Capped = r.atInflightCap(q.organisation, q.pool)
	s.AttemptsLeft = q.hasAttemptsLeft()
	s.HasTarget = t != nil
	s.MayRetry = q.pool.retryBudget.used+1 <= extraRetryPart*r.retryCap()
	return s
}

// peersHold reports whether other hosts hold requests for a pool.
func (r *Reducer) peersHold(p *pool) bool {
	for _, o := range r.peerList {
		for _, h := range o.held {
			if h.Pool == p.name && h.Count > 0 {
				return true
			}
		}
	}
	return false
}

// chooseSecond returns the target with the lowest cost for a second attempt of q, or nil. Targets whose places are given
// out are left to first attempts.
func (r *Reducer) chooseSecond(q *request) *targetState {
	r.basis = r.newBasis(q)
	demand := q.forecastDemand()
	var best *targetState
	lowest := math.Inf(1)
	for _, t := range q.pool.targets {
		if !t.acceptsWork(r.now, r.options.maxLoadAge) {
			continue
		}
		r.basis.AcceptingTargets++
		if !r.mayChoose(q, t) || q.runsAt(t) || t.isLimited() || !t.hasFreeSlot(r.now) || r.sharesPath(q, t) {
			continue
		}
		r.basis.TargetsWithCapacity++
		if score, ok := r.score(q, t, &demand, 0); ok && score < lowest {
			best, lowest = t, score
		}
	}
	return best
}

// hasFreeSlot reports whether the target can work on a further request at once, as far as is known.
func (t *targetState) hasFreeSlot(now time.Duration) bool {
	return t.spec.Slots <= 0 || t.totalDemand(now).Streams+1 <= float64(t.spec.Slots)
}

// sharesPath reports whether the path to t may be the cause of the delay of q: t is in another failure domain, to which q was
// sent already, or from which this one may be partitioned, as it has no live peer in another domain.
func (r *Reducer) sharesPath(q *request, t *targetState) bool {
	return r.inOtherDomain(t) && (t.spec.Domain == q.target.spec.Domain || r.allHosts <= r.hosts)
}

// sendSecond sends a second attempt of q to t.
func (r *Reducer) sendSecond(q *request, t *targetState, outcome ExtraOutcome) {
	q.attempts++
	r.counts.Retried++
	basis := r.basis
	basis.Attempt, basis.Streams, basis.OtherDomain = q.attempts, t.totalDemand(r.now).Streams, r.inOtherDomain(t)
	x := &secondAttempt{number: q.attempts, otherNumber: q.attempts - 1, target: t, dispatchedAt: r.now, demand: q.forecastDemand()}
	q.extra = x
	t.breaker.recordAttempt(r.now)
	t.lastDispatch = r.nextDispatch()
	r.countSecond(q, x, 1)
	t.localDemand.Add(&x.demand)
	if r.accountsFor(q) {
		x.serviceUnitRate = q.serviceRate()
		r.ledger.AddRate(q.organisation.spec.Name, q.pool.name, x.serviceUnitRate, r.now)
	}
	r.emit(Effect{
		Kind: EffectExtra, ID: q.id, Target: t.spec.Name, To: t.spec, Priority: r.priority(q),
		Limit: r.limitOfTarget(t), Brittle: t.brittle, Basis: basis, Extra: outcome,
	})
}

// countSecond adds n to the counters of the attempts in flight of which x is one.
func (r *Reducer) countSecond(q *request, x *secondAttempt, n int) {
	x.target.running += n
	x.target.invalidateTotalDemand()
	q.organisation.inflight += n
	q.pool.inflight += n
	q.pool.queueOf(q.organisation).inflight += n
}

// detachSecond removes the second attempt of q from its target.
func (r *Reducer) detachSecond(q *request) {
	x := q.extra
	q.extra = nil
	r.releaseLease(x.target, x.lease, false)
	x.target.localDemand.Sub(&x.demand)
	r.countSecond(q, x, -1)
	if x.target.running == 0 {
		x.target.localDemand = forecast.Demand{}
	}
	if r.accountsFor(q) {
		r.ledger.AddRate(q.organisation.spec.Name, q.pool.name, -x.serviceUnitRate, r.now)
	}
}

// swapAttempts exchanges the two attempts of q in its record.
func (q *request) swapAttempts() {
	x := q.extra
	q.target, x.target = x.target, q.target
	q.dispatchedAt, x.dispatchedAt = x.dispatchedAt, q.dispatchedAt
	q.lease, x.lease = x.lease, q.lease
	q.demand, x.demand = x.demand, q.demand
	q.serviceUnitRate, x.serviceUnitRate = x.serviceUnitRate, q.serviceUnitRate
	x.number, x.otherNumber = x.otherNumber, x.number
}

// selectAttempt makes the fields of q describe its attempt with the given number, if it has two.
func (q *request) selectAttempt(number int) {
	if q.extra != nil && q.extra.number == number {
		q.swapAttempts()
	}
}

// promoteSecond makes the second attempt the only one of q, whose other attempt has been detached. It reports false if there
// is none. ran is the time for which the other one has run.
func (r *Reducer) promoteSecond(q *request, ran time.Duration) bool {
	x := q.extra
	if x == nil {
		if q.secondOnly {
			r.endExtra(q, false, ran)
		}
		return false
	}
	if x.number < x.otherNumber { // the extra attempt has failed
		r.endExtra(q, false, ran)
	} else {
		q.secondOnly = true
	}
	q.extra = nil
	q.target, q.dispatchedAt, q.lease = x.target, x.dispatchedAt, x.lease
	q.demand, q.serviceUnitRate = x.demand, x.serviceUnitRate
	return true
}

// endExtra reports the end of the extra attempt of q.
func (r *Reducer) endExtra(q *request, won bool, wasted time.Duration) {
	q.secondOnly = false
	r.emit(Effect{Kind: EffectExtraEnded, ID: q.id, Extra: ExtraOutcome{Won: won, Wasted: wasted}})
}

// reduce removes the cancelled attempt. A first attempt that has lost counts as failed in the choice of targets: it frees its
// place early, so that its target would otherwise get more requests than faster ones.
func (e AttemptCancelled) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseDispatched || q.extra == nil {
		return
	}
	if q.extra.number != e.Attempt {
		q.swapAttempts()
	}
	x := q.extra
	won := x.number < x.otherNumber
	if won {
		x.target.failureRate.record(1, r.now)
		r.observeUnfinished(q, x.dispatchedAt)
	}
	r.endExtra(q, won, r.now-x.dispatchedAt)
	r.detachSecond(q)
	r.dispatchHeld(q.pool)
}

// dropSecond removes the second attempt of q, which is about to end, if it has one, and reports the end of an extra attempt. answered
// reports whether the attempt that the other fields of q describe has responded.
func (r *Reducer) dropSecond(q *request, answered bool) {
	switch {
	case q.extra != nil:
		r.endExtra(q, false, r.now-max(q.extra.dispatchedAt, q.dispatchedAt))
		r.detachSecond(q)
	case q.secondOnly:
		r.endExtra(q, answered, 0)
	}
}
