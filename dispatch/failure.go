package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// breaker is the circuit breaker of one target. After several consecutive failures it blocks
	// requests for a pause.
	breaker struct {
		failures int           // consecutive failures
		until    time.Duration // end of the pause
	}

	// retryBudget limits the retries of one pool on this host. Each retry spends one unit, each
	// new request earns a fraction of a unit back. The zero value is a full budget.
	retryBudget struct{ used float64 } // retries spent and not yet earned back

	// failureRate is the decayed fraction of attempts at a target that failed.
	failureRate struct {
		value float64       // fraction at the time of the last attempt, from 0 to 1
		at    time.Duration // time of the last attempt
	}
)

const (
	breakerThreshold  = 3                      // consecutive failures that open the breaker
	breakerFirstPause = time.Second            // first pause, doubled by each further failure
	breakerMaxPause   = 2 * time.Second        // longest pause: bounds how long a recovered target stays unused
	failureWeight     = 0.2                    // weight of the latest attempt in the failure rate
	failureDecay      = 4 * time.Second        // time constant of the decay of the failure rate
	defaultMaxTargets = 3                      // attempts of a request that may reach a target, unless the request sets its own limit
	maxAttempts       = 6                      // largest number of attempts of a request, including those that reached no target
	retryBackoff      = 20 * time.Millisecond  // delay before the second attempt of a request, doubled for each further one
	retryHoldTime     = 100 * time.Millisecond // least time for which a failed request may be held again, within its caller's deadline
	retryJitter       = 0.5                    // largest fraction by which jitter shortens the backoff
)

// allows reports whether a request may be sent to the target.
func (b *breaker) allows(now time.Duration) bool { return now >= b.until }

// recordSuccess closes the breaker and resets its count of failures.
func (b *breaker) recordSuccess() { *b = breaker{} }

// recordFailure counts a failure. From breakerThreshold consecutive failures on, it opens the
// breaker for a pause that doubles with each failure, up to breakerMaxPause.
func (b *breaker) recordFailure(now time.Duration) {
	b.failures++
	if b.failures >= breakerThreshold {
		b.until = now + min(breakerFirstPause<<min(b.failures-breakerThreshold, 6), breakerMaxPause)
	}
}

// recordAttempt records the dispatch of a request to the target. From breakerThreshold consecutive
// failures on, it blocks further requests for breakerFirstPause: the dispatched request probes the
// target alone.
func (b *breaker) recordAttempt(now time.Duration) {
	if b.failures >= breakerThreshold {
		b.until = now + breakerFirstPause
	}
}

// earn returns ratio retries to the budget, for one new request.
func (b *retryBudget) earn(ratio float64) { b.used = max(b.used-ratio, 0) }

// spend takes one retry out of a budget whose full size is limit retries. It returns false, and
// takes nothing, if less than one retry is left.
func (b *retryBudget) spend(limit float64) bool {
	if b.used+1 > limit {
		return false
	}
	b.used++
	return true
}

// decayed returns the failure rate after its decay from the last attempt to the given time.
func (f *failureRate) decayed(at time.Duration) float64 {
	if f.value == 0 {
		return 0 // the common case: avoids computing the exponential
	}
	return f.value * math.Exp(-float64(at-f.at)/float64(failureDecay))
}

// record adds the outcome of an attempt: 0 for a success and 1 for a failure.
func (f *failureRate) record(outcome float64, at time.Duration) {
	f.value = f.decayed(at)
	f.value += failureWeight * (outcome - f.value)
	f.at = at
}

// retryCap returns the full retry budget of a pool on this host, in retries: an equal part of the
// retrySlack that all hosts have together.
func (r *Reducer) retryCap() float64 { return r.options.retrySlack / float64(max(r.allHosts, r.hosts)) }

// reduce holds the request for a retry if mayRetry allows it, or else refuses it.
func (e AttemptFailed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseDispatched {
		return
	}
	q.selectAttempt(e.Attempt)
	t, p, dispatchedAt := q.target, q.pool, q.dispatchedAt
	r.rest(t, e.RetryAfter)
	if !e.PathLost {
		r.recordFailedTarget(t, q, e)
	}
	if e.Rebooted {
		clear(t.prefixes)
	}
	r.release(q, e.Certainty == target.CertaintyNotRun && e.Answered)
	r.detach(q)
	q.placement = placementNone
	if e.Unsent {
		q.unsentAttempts++
	}
	q.triedTargets = append(q.triedTargets, t)
	if e.Certainty != target.CertaintyNotRun {
		q.failedAttempt = failedKind(q, e)
	}
	if !e.Answered && !e.Unsent {
		r.observeUnfinished(q, dispatchedAt)
	}
	if r.promoteSecond(q, r.now-dispatchedAt) {
		r.dispatchHeld(p)
		return
	}
	retry := r.mayRetry(q, e)
	q.rebooted = q.rebooted || e.Rebooted
	if retry {
		r.retry(q, e.Unsent || e.Answered)
		r.awaitProbe(q, t, e)
	} else {
		r.counts.Lost++
		kind, delay := failedKind(q, e), time.Duration(0)
		if kind == answer.KindRefused && r.latestStart(q, nil) < r.now {
			kind, delay = answer.KindStopping, stoppingRetryAfter
		}
		r.refuse(q, kind, delay)
	}
	r.dispatchHeld(p)
}

// recordFailedTarget records a failed attempt as one of its target.
func (r *Reducer) recordFailedTarget(t *targetState, q *request, e AttemptFailed) {
	if !e.Answered {
		t.breaker.recordFailure(r.now)
	}
	t.failureRate.record(1, r.now)
	r.recordFailure(t)
	r.recordPossibleCrash(q, e)
}

// mayRetry reports whether a request may be sent again after the failed attempt e. Nothing may
// have been delivered to the caller. The attempt must provably not have run, or have ended with a
// restart of its engine, or the request must be an idempotent call of a plain service. A request
// that is not idempotent is retried only if no byte of it left this host, or if it provably did
// not run and its caller allows several targets. If a second engine has restarted while it ran the
// request, the request may be the reason, and is not sent to a third. The caller's deadline, the
// number of attempts and
// the retry budget limit all retries; a retry after an unsent attempt takes nothing from the
// budget. mayRetry takes a retry out of the budget if it returns true.
func (r *Reducer) mayRetry(q *request, e AttemptFailed) bool {
	over := e.Certainty == target.CertaintyNotRun || e.Certainty == target.CertaintyLost && e.Rebooted
	if q.nonIdempotent && !e.Unsent && (!q.multipleTargets || e.Certainty != target.CertaintyNotRun) {
		return false
	}
	repeatable := q.plain && !q.nonIdempotent
	if !over && !repeatable || e.Delivered || q.attached || q.disconnectedAt > 0 || r.stopping && r.now >= r.stopDeadline || r.latestStart(q, nil) < r.now {
		return false
	}
	if e.Rebooted && q.rebooted || q.attempts >= maxAttempts || q.attempts-q.unsentAttempts >= q.maxTargets || q.callerDeadline <= r.now {
		return false
	}
	return len(q.triedTargets) < len(q.pool.targets) && (e.Unsent || q.pool.retryBudget.spend(r.retryCap()))
}

// retry holds a request for another attempt, after a backoff with jitter or, if immediate is set,
// without one. No backoff is needed if the failed attempt was not sent or the target answered it.
func (r *Reducer) retry(q *request, immediate bool) {
	q.holdDeadline = max(q.holdDeadline, min(r.now+retryHoldTime, q.callerDeadline))
	if immediate {
		q.notBefore, q.tokens = r.now, 0
		r.enqueue(q)
		return
	}
	backoff := float64(retryBackoff << (q.attempts - 1))
	jitter := float64(mixBits(uint64(q.id)<<8+uint64(q.attempts))%1024) / 1024
	q.notBefore = r.now + time.Duration(backoff*(1-retryJitter*jitter))
	q.tokens = 0
	r.enqueue(q)
	r.wakeBy(q.notBefore)
}

// failedKind returns the kind of refusal of a request that is not retried after its attempt e.
func failedKind(q *request, e AttemptFailed) answer.Kind {
	switch {
	case e.Delivered && e.Certainty == target.CertaintyUnknown:
		return answer.KindStreamBroken
	case e.Delivered:
		return answer.KindTargetLost
	case e.Certainty == target.CertaintyNotRun:
		return answer.KindRefused
	case e.Certainty == target.CertaintyLost && !q.nonIdempotent:
		return answer.KindTargetLost
	}
	return answer.KindUnknownOutcome
}

// reduce removes the request, whether held or dispatched.
func (e AbandonedByCaller) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil:
	case q.phase == phaseHeld:
		r.dequeue(q)
		r.refuse(q, answer.KindCallerGone, 0)
	case q.phase == phaseDispatched:
		r.discard(q)
	}
}

// reduce cancels a dispatched request: immediately, or after disconnectGrace if its caller may
// reconnect.
func (e CallerDisconnected) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseDispatched {
		return
	}
	if !e.Resumable {
		r.cancel(q)
		return
	}
	q.disconnectedAt = max(r.now, 1)
	r.disconnected = append(r.disconnected, q.id)
	r.wakeBy(r.now + r.options.disconnectGrace)
}

// cancelDisconnected cancels dispatched requests whose caller has not reconnected within
// disconnectGrace.
func (r *Reducer) cancelDisconnected() {
	for len(r.disconnected) > 0 {
		q := r.requests[r.disconnected[0]]
		if q != nil && q.phase == phaseDispatched {
			if end := q.disconnectedAt + r.options.disconnectGrace; r.now < end {
				r.wakeBy(end)
				return
			}
			r.cancel(q)
		}
		r.disconnected = r.disconnected[1:]
	}
}

// cancel cancels a dispatched request at its target and removes it.
func (r *Reducer) cancel(q *request) {
	r.counts.Cancelled++
	r.emit(Effect{Kind: EffectCancel, ID: q.id, Target: q.target.spec.Name})
	r.discard(q)
}

// discard removes a dispatched request without emitting an effect for it, and dispatches held ones.
func (r *Reducer) discard(q *request) {
	p := q.pool
	r.dropSecond(q, false)
	r.detach(q)
	r.releaseRequest(q)
	r.dispatchHeld(p)
}

// reduce removes the request. Its generation continues at the target, and the other host delivers
// the output.
func (e Superseded) reduce(r *Reducer) {
	if q := r.requests[e.ID]; q != nil && q.phase == phaseDispatched {
		r.discard(q)
	}
}
