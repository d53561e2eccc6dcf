package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// breaker keeps requests from a target that fails.
	breaker struct {
		failures int // in a row
		until    time.Duration
	}

	// retryBudget bounds retries to a share of the requests. The zero value has all that can
	// be saved up.
	retryBudget struct{ used float64 }

	// failureRate is the decayed share of attempts at a target that failed.
	failureRate struct {
		value float64
		at    time.Duration
	}
)

const (
	breakerThreshold  = 3                      // failures in a row
	breakerFirstPause = time.Second            // first pause, doubled each time
	breakerMaxPause   = 2 * time.Second        // longest pause: a target that is back is tried by then
	failureWeight     = 0.2                    // of one attempt in the share that fails
	failureDecay      = 4 * time.Second        // time constant with which failures are forgiven
	defaultMaxTargets = 3                      // targets that a request is sent to
	maxAttempts       = 6                      // attempts of a request, those included that reached no target
	retryBackoff      = 20 * time.Millisecond  // before the second attempt, doubled each time
	retryHoldTime     = 100 * time.Millisecond // that a request may be held again for a further attempt
	retryJitter       = 0.5                    // part of the backoff that varies
)

func (b *breaker) allows(now time.Duration) bool { return now >= b.until }

func (b *breaker) recordSuccess() { *b = breaker{} }

func (b *breaker) recordFailure(now time.Duration) {
	b.failures++
	if b.failures >= breakerThreshold {
		b.until = now + min(breakerFirstPause<<min(b.failures-breakerThreshold, 6), breakerMaxPause)
	}
}

// recordAttempt notes that a request goes out. To a target that has failed, one goes out
// at a time.
func (b *breaker) recordAttempt(now time.Duration) {
	if b.failures >= breakerThreshold {
		b.until = now + breakerFirstPause
	}
}

// earn and spend keep the retry budget.
func (b *retryBudget) earn(share float64) { b.used = max(b.used-share, 0) }

func (b *retryBudget) spend(most float64) bool {
	if b.used+1 > most {
		return false
	}
	b.used++
	return true
}

// decayed returns the share of failures as forgiven by a time.
func (t *failureRate) decayed(at time.Duration) float64 {
	if t.value == 0 {
		return 0 // as of nearly all targets
	}
	return t.value * math.Exp(-float64(at-t.at)/float64(failureDecay))
}

// record counts an attempt that failed by a degree from 0, not at all, to 1.
func (t *failureRate) record(degree float64, at time.Duration) {
	t.value = t.decayed(at)
	t.value += failureWeight * (degree - t.value)
	t.at = at
}

// retryCap returns how many retries this host may save up for a pool: its part of
// what all hosts may.
func (r *Reducer) retryCap() float64 { return r.options.retrySlack / float64(max(r.allHosts, r.hosts)) }

func (e Failed) reduce(r *Reducer) {
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

// mayRetry reports whether a request may be sent once more: its last attempt
// provably did not run or is provably over, or does no harm twice, and its caller has
// nothing of it. One that is not idempotent goes out again only if nothing of it left
// this host, or if it was provably not run and its caller allows several targets.
func (r *Reducer) mayRetry(q *request, e Failed) bool {
	over := e.Certainty == target.CertainNotRun || e.Certainty == target.CertainLost && e.Rebooted
	if q.nonIdempotent && !e.Unsent && (!q.multipleTargets || e.Certainty != target.CertainNotRun) {
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

// retry holds a request for another attempt, after a backoff unless the last target is
// known to be done with it.
func (r *Reducer) retry(q *request, atOnce bool) {
	q.holdDeadline = max(q.holdDeadline, min(r.now+retryHoldTime, q.callerDeadline))
	if atOnce {
		q.notBefore, q.tokens = r.now, 0
		r.enqueue(q)
		return
	}
	full := float64(retryBackoff << (q.attempts - 1))
	vary := float64(mixBits(uint64(q.id)<<8+uint64(q.attempts))%1024) / 1024
	q.notBefore = r.now + time.Duration(full*(1-retryJitter*vary))
	q.tokens = 0
	r.enqueue(q)
	r.wakeBy(q.notBefore)
}

// failedKind returns the answer to a request that is not tried again.
func failedKind(q *request, e Failed) answer.Kind {
	switch {
	case e.Delivered && e.Certainty == target.CertainNothing:
		return answer.KindBroken
	case e.Delivered:
		return answer.KindTargetLost
	case e.Certainty == target.CertainNotRun:
		return answer.KindRefused
	case e.Certainty == target.CertainLost && !q.nonIdempotent:
		return answer.KindTargetLost
	}
	return answer.KindUnknownOutcome
}

func (e Dropped) reduce(r *Reducer) {
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

// A Gone cancels a sent generation, after a grace time if its caller may come back
// for the rest.
func (e Gone) reduce(r *Reducer) {
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

// cancelDisconnected cancels generations whose caller has not come back.
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

// cancel cancels a sent generation.
func (r *Reducer) cancel(q *request) {
	r.counts.Cancelled++
	r.emit(Effect{Kind: EffectCancel, ID: q.id, Target: q.target.spec.Name})
	r.discard(q)
}

// discard takes a sent request out of the books without an answer.
func (r *Reducer) discard(q *request) {
	p := q.pool
	r.detach(q)
	r.releaseRequest(q)
	r.dispatchHeld(p)
}

func (e Superseded) reduce(r *Reducer) {
	if q := r.requests[e.ID]; q != nil && q.phase == phaseSent {
		r.discard(q)
	}
}
