package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// breaker is the circuit breaker of one target. It blocks requests for a pause after
	// several failures in a row.
	breaker struct {
		failures int           // consecutive failures
		until    time.Duration // end of the pause
	}

	// retryBudget limits retries to a ratio of the requests. The zero value is a full budget.
	retryBudget struct{ used float64 } // retries taken out and not yet earned back

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
	failureWeight     = 0.2                    // weight of one attempt in the failure rate
	failureDecay      = 4 * time.Second        // time constant of the decay of the failure rate
	defaultMaxTargets = 3                      // targets that a request is sent to, unless it sets its own limit
	maxAttempts       = 6                      // attempts of a request, including those that reached no target
	retryBackoff      = 20 * time.Millisecond  // delay before the second attempt, doubled for each further one
	retryHoldTime     = 100 * time.Millisecond // time for which a request may be held again for a further attempt
	retryJitter       = 0.5                    // fraction of the backoff subject to jitter
)

func (b *breaker) allows(now time.Duration) bool { return now >= b.until }

func (b *breaker) recordSuccess() { *b = breaker{} }

func (b *breaker) recordFailure(now time.Duration) {
	b.failures++
	if b.failures >= breakerThreshold {
		b.until = now + min(breakerFirstPause<<min(b.failures-breakerThreshold, 6), breakerMaxPause)
	}
}

// recordAttempt records the dispatch of a request. After breakerThreshold failures it blocks
// further requests for breakerFirstPause, so that one request at a time probes the target.
func (b *breaker) recordAttempt(now time.Duration) {
	if b.failures >= breakerThreshold {
		b.until = now + breakerFirstPause
	}
}

// earn credits the budget with the retries that one request allows.
func (b *retryBudget) earn(ratio float64) { b.used = max(b.used-ratio, 0) }

// spend takes one retry out of a budget of at most limit retries. It reports false, and takes
// nothing, if the budget is used up.
func (b *retryBudget) spend(limit float64) bool {
	if b.used+1 > limit {
		return false
	}
	b.used++
	return true
}

// decayed returns the failure rate as decayed to the given time.
func (f *failureRate) decayed(at time.Duration) float64 {
	if f.value == 0 {
		return 0 // the common case: avoids computing the exponential
	}
	return f.value * math.Exp(-float64(at-f.at)/float64(failureDecay))
}

// record adds the outcome of an attempt: degree is 0 for a success and 1 for a failure.
func (f *failureRate) record(degree float64, at time.Duration) {
	f.value = f.decayed(at)
	f.value += failureWeight * (degree - f.value)
	f.at = at
}

// retryCap returns the largest retry budget of a pool on this host: an equal part of the slack
// of all hosts.
func (r *Reducer) retryCap() float64 { return r.options.retrySlack / float64(max(r.allHosts, r.hosts)) }

// reduce retries the request if that is safe and allowed, or else gives its final answer.
func (e AttemptFailed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	t, p := q.target, q.pool
	if !e.Answered {
		t.breaker.recordFailure(r.now)
	}
	t.failureRate.record(1, r.now)
	if e.Rebooted {
		clear(t.prefixes)
	}
	r.detach(q)
	if e.Unsent {
		q.unsentAttempts++
	}
	q.triedTargets = append(q.triedTargets, t)
	if r.mayRetry(q, e) {
		r.retry(q, e.Unsent || e.Answered)
	} else {
		r.counts.Lost++
		r.finish(q, failedKind(q, e), 0)
	}
	r.dispatchHeld(p)
}

// mayRetry reports whether a request may be sent once more: its last attempt provably did
// not run or is provably over, or the request is safe to repeat, and nothing was delivered to
// the caller. A request that is not idempotent is retried only if no byte of it left this
// host, or if it provably did not run and its caller allows several targets. The caller's
// deadline, the number of attempts and the retry budget limit all retries; a retry after an
// unsent attempt costs no budget.
func (r *Reducer) mayRetry(q *request, e AttemptFailed) bool {
	over := e.Certainty == target.CertaintyNotRun || e.Certainty == target.CertaintyLost && e.Rebooted
	if q.nonIdempotent && !e.Unsent && (!q.multipleTargets || e.Certainty != target.CertaintyNotRun) {
		return false
	}
	repeatable := q.plain && !q.nonIdempotent
	if !over && !repeatable || e.Delivered || q.attached || q.disconnectedAt > 0 || r.stopping && r.now >= r.stopDeadline {
		return false
	}
	if q.attempts >= maxAttempts || q.attempts-q.unsentAttempts >= q.maxTargets || q.callerDeadline <= r.now {
		return false
	}
	return len(q.triedTargets) < len(q.pool.targets) && (e.Unsent || q.pool.retryBudget.spend(r.retryCap()))
}

// retry holds a request for another attempt. It backs off first, unless immediate is set
// because the last target is known to have finished with the request.
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

// failedKind returns the final answer to a failed request that is not retried.
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

// reduce removes the request, held or dispatched.
func (e Abandoned) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil:
	case q.phase == phaseHeld:
		r.dequeue(q)
		r.finish(q, answer.KindCallerGone, 0)
	case q.phase == phaseSent:
		r.discard(q)
	}
}

// reduce cancels a dispatched generation, after a grace period if its caller may reconnect.
func (e CallerDisconnected) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent {
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

// cancelDisconnected cancels generations whose caller has not reconnected within the grace
// period.
func (r *Reducer) cancelDisconnected() {
	for len(r.disconnected) > 0 {
		q := r.requests[r.disconnected[0]]
		if q != nil && q.phase == phaseSent {
			if end := q.disconnectedAt + r.options.disconnectGrace; r.now < end {
				r.wakeBy(end)
				return
			}
			r.cancel(q)
		}
		r.disconnected = r.disconnected[1:]
	}
}

// cancel cancels a dispatched generation at its target and removes the request.
func (r *Reducer) cancel(q *request) {
	r.counts.Cancelled++
	r.emit(Effect{Kind: EffectCancel, ID: q.id, Target: q.target.spec.Name})
	r.discard(q)
}

// discard removes a dispatched request without an answer.
func (r *Reducer) discard(q *request) {
	p := q.pool
	r.detach(q)
	r.releaseRequest(q)
	r.dispatchHeld(p)
}

// reduce removes the request; its generation continues for the other host.
func (e Superseded) reduce(r *Reducer) {
	if q := r.requests[e.ID]; q != nil && q.phase == phaseSent {
		r.discard(q)
	}
}
