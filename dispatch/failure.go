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

	// budget bounds retries to a share of the requests. The zero value has all that can
	// be saved up.
	budget struct{ used float64 }

	// trouble is the decayed share of attempts at a target that failed.
	trouble struct {
		share float64
		at    time.Duration
	}
)

const (
	breakAfter    = 3                      // failures in a row
	breakFirst    = time.Second            // first pause, doubled each time
	breakMost     = 2 * time.Second        // longest pause: a target that is back is tried by then
	troubleWeight = 0.2                    // of one attempt in the share that fails
	troubleLife   = 4 * time.Second        // time constant with which failures are forgiven
	retryMost     = 3                      // targets that a request is sent to
	mostTries     = 6                      // attempts of a request, those included that reached no target
	retryBackoff  = 20 * time.Millisecond  // before the second attempt, doubled each time
	retryWait     = 100 * time.Millisecond // that a request may be held again for a further attempt
	retryJitter   = 0.5                    // part of the backoff that varies
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
func (b *budget) earn(share float64) { b.used = max(b.used-share, 0) }

func (b *budget) spend(most float64) bool {
	if b.used+1 > most {
		return false
	}
	b.used++
	return true
}

// now returns the share of failures as forgiven by a time.
func (t *trouble) now(at time.Duration) float64 {
	if t.share == 0 {
		return 0 // as of nearly all targets
	}
	return t.share * math.Exp(-float64(at-t.at)/float64(troubleLife))
}

// add counts an attempt that failed by a degree from 0, not at all, to 1.
func (t *trouble) add(degree float64, at time.Duration) {
	t.share = t.now(at)
	t.share += troubleWeight * (degree - t.share)
	t.at = at
}

// retryBurst returns how many retries this host may save up for a pool: its part of
// what all hosts may.
func (r *Reducer) retryBurst() float64 { return r.options.retrySlack / float64(max(r.all, r.count)) }

func (e Failed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	t, p := q.target, q.pool
	if !e.Answered {
		t.breaker.fail(r.now)
	}
	t.trouble.add(1, r.now)
	if e.Rebooted {
		clear(t.prefixes)
	}
	r.leave(q)
	if e.Unsent {
		q.unsent++
	}
	q.tried = append(q.tried, t)
	if r.mayRetry(q, e) {
		r.retry(q, e.Unsent || e.Answered)
	} else {
		r.counts.Lost++
		r.finish(q, failedKind(q, e), 0)
	}
	r.drain(p)
}

// mayRetry reports whether a request may be sent once more: its last attempt
// provably did not run or is provably over, or does no harm twice, and its caller has
// nothing of it. One that is not idempotent goes out again only if nothing of it left
// this host, or if it was provably not run and its caller allows several targets.
func (r *Reducer) mayRetry(q *request, e Failed) bool {
	over := e.Certainty == target.CertainNotRun || e.Certainty == target.CertainLost && e.Rebooted
	if q.once && !e.Unsent && (!q.again || e.Certainty != target.CertainNotRun) {
		return false
	}
	repeatable := q.plain && !q.once
	if !over && !repeatable || e.Delivered || q.attached || q.gone > 0 || r.stopping && r.now >= r.stopUntil {
		return false
	}
	if q.attempts >= mostTries || q.attempts-q.unsent >= q.sends || q.end <= r.now {
		return false
	}
	return len(q.tried) < len(q.pool.targets) && (e.Unsent || q.pool.budget.spend(r.retryBurst()))
}

// retry holds a request for another attempt, after a backoff unless the last target is
// known to be done with it.
func (r *Reducer) retry(q *request, atOnce bool) {
	q.deadline = max(q.deadline, min(r.now+retryWait, q.end))
	if atOnce {
		q.notBefore, q.tokens = r.now, 0
		r.hold(q)
		return
	}
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
