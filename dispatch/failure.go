package dispatch

import (
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

	// budget bounds retries to a share of the requests.
	budget struct{ tokens float64 }
)

const (
	breakAfter   = 3                     // failures in a row
	breakFirst   = time.Second           // first pause, doubled each time
	breakMost    = 30 * time.Second      // longest pause
	retryShare   = 0.1                   // retries earned by a request
	retryBurst   = 10.0                  // retries that can be saved up
	retryMost    = 3                     // attempts of a request
	retryBackoff = 20 * time.Millisecond // before the second attempt, doubled each time
	retryJitter  = 0.5                   // part of the backoff that varies
)

func (b *breaker) allows(now time.Duration) bool { return now >= b.until }

func (b *breaker) succeed() { *b = breaker{} }

func (b *breaker) fail(now time.Duration) {
	b.failures++
	if b.failures >= breakAfter {
		b.until = now + min(breakFirst<<min(b.failures-breakAfter, 6), breakMost)
	}
}

// tried notes that a request goes out. To a target that has failed, one goes out
// at a time.
func (b *breaker) tried(now time.Duration) {
	if b.failures >= breakAfter {
		b.until = now + breakFirst
	}
}

// earn and spend keep the retry budget.
func (b *budget) earn() { b.tokens = min(b.tokens+retryShare, retryBurst) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (e Failed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	t, p := q.target, q.pool
	t.breaker.fail(r.now)
	if e.Rebooted {
		clear(t.prefixes)
	}
	r.leave(q)
	q.tried = append(q.tried, t)
	if r.mayRetry(q, e) {
		r.retry(q)
	} else {
		r.counts.Lost++
		r.finish(q, failedKind(q, e), 0)
	}
	r.drain(p)
}

// mayRetry reports whether a request may be sent once more: its last attempt
// provably did not run or is provably over, or does no harm twice; its caller has
// nothing of it, and it may be repeated at all.
func (r *Reducer) mayRetry(q *request, e Failed) bool {
	over := e.Certainty == target.CertainNotRun || e.Certainty == target.CertainLost && e.Rebooted
	repeatable := q.plain && !q.once
	if !over && !repeatable || e.Delivered || q.once || q.attached || q.gone > 0 || r.stopping {
		return false
	}
	return q.attempts < retryMost && len(q.tried) < len(q.pool.targets) && r.budget.spend()
}

// retry holds a request for another attempt after a backoff.
func (r *Reducer) retry(q *request) {
	full := float64(retryBackoff << (q.attempts - 1))
	vary := float64(mix(uint64(q.id)<<8+uint64(q.attempts))%1024) / 1024
	q.notBefore = r.now + time.Duration(full*(1-retryJitter*vary))
	q.tokens = 0
	r.hold(q)
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
	case e.Certainty == target.CertainLost && !q.once:
		return answer.KindTargetLost
	}
	return answer.KindUnknownOutcome
}

func (e Dropped) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil:
	case q.phase == phaseHeld:
		r.unhold(q)
		r.finish(q, answer.KindCallerGone, 0)
	case q.phase == phaseSent:
		r.closeOff(q)
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
		r.giveUp(q)
		return
	}
	q.gone = max(r.now, 1)
	r.gone = append(r.gone, q.id)
	r.wakeBy(r.now + r.options.grace)
}

// expireGone cancels generations whose caller has not come back.
func (r *Reducer) expireGone() {
	for len(r.gone) > 0 {
		q := r.requests[r.gone[0]]
		if q != nil && q.phase == phaseSent {
			if end := q.gone + r.options.grace; r.now < end {
				r.wakeBy(end)
				return
			}
			r.giveUp(q)
		}
		r.gone = r.gone[1:]
	}
}

// giveUp cancels a sent generation.
func (r *Reducer) giveUp(q *request) {
	r.counts.Cancelled++
	r.emit(Effect{Kind: EffectCancel, ID: q.id, Target: q.target.spec.Name})
	r.closeOff(q)
}

// closeOff takes a sent request out of the books without an answer.
func (r *Reducer) closeOff(q *request) {
	p := q.pool
	r.leave(q)
	r.forget(q)
	r.drain(p)
}

func (e Superseded) reduce(r *Reducer) {
	if q := r.requests[e.ID]; q != nil && q.phase == phaseSent {
		r.closeOff(q)
	}
}
