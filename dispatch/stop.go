package dispatch

import (
	"cmp"
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
)

const (
	// stoppingRetryAfter is the retry delay sent to callers that a stopping host refuses. It is
	// short because other hosts can take the request immediately.
	stoppingRetryAfter = 100 * time.Millisecond

	// stopSlowdown is the factor by which a target is assumed to be slower than an idle one when
	// a stopping host decides whether a request ends in time.
	stopSlowdown = 3

	// stopSilence is the least time that is left beside that, because a sound target may fall silent for about a second, or
	// keep a stream in its queue.
	stopSilence = 1200 * time.Millisecond

	// maxRunTokens limits the tokens of an estimate, which is a duration.
	maxRunTokens = 1 << 24
)

// reduce makes the host refuse, from now on, new and held requests that are not sure to end before it stops.
func (e Stop) reduce(r *Reducer) {
	r.stopping, r.closed = true, r.closed || e.Closed || e.Until.IsZero()
	if !e.Until.IsZero() {
		r.stopDeadline = max(r.sinceEpoch(e.Until), 1)
	}
	r.returnRemoteHeld() // and accepts none from now on, so that all held requests are this host's
	for _, p := range r.poolList {
		r.refuseOutlasting(p)
	}
}

// stopTimeKnown reports whether the host stops, at a known time.
func (r *Reducer) stopTimeKnown() bool { return r.stopping && r.stopDeadline > 0 }

// endsBeforeStop reports whether a new request is sure to end before the host stops if it is dispatched now. Load
// balancers keep sending callers to a host for seconds after it has announced that it stops.
// Requests that end in time are accepted; a stream that outlived the host would be cut off.
func (r *Reducer) endsBeforeStop(e Submit) bool {
	if r.closed || r.stopDeadline <= r.now {
		return false
	}
	if e.Plain {
		return !e.CallerDeadline.IsZero() && r.sinceEpoch(e.CallerDeadline) <= r.stopDeadline || r.callEndsBeforeStop(e)
	}
	run := r.RunEstimate(e)
	return run > 0 && r.now <= r.stopDeadline-run
}

// callEndsBeforeStop reports whether a call ends before the host stops, by the time that calls of its pool have recently taken on
// this host. It is false if that is not known.
func (r *Reducer) callEndsBeforeStop(e Submit) bool {
	p := r.pools[e.Pool]
	if p == nil {
		return false
	}
	longest := r.longestCall(p, cmp.Or(e.FirstTokenObjective, defaultFirstTokenObjective), nil)
	return p.stopWaits.known && r.now <= r.stopDeadline-longest
}

// RunEstimate returns the time from the dispatch of a stream to its end that is assumed when the host stops, or 0 if
// the length of its output has no limit.
func (r *Reducer) RunEstimate(e Submit) time.Duration {
	tokens := max(e.MaxOutputTokens, e.KnownOutputTokens)
	if e.Plain || tokens <= 0 {
		return 0
	}
	return r.longestRun(r.pools[e.Pool], tokens, e.PromptTokens, nil)
}

// latestStart returns the latest time at which a request can be dispatched to t, or to any target if t is nil, and end
// before the host stops. The result is math.MaxInt64 if the host does not stop, or at no known time.
func (r *Reducer) latestStart(q *request, t *targetState) time.Duration {
	if !r.stopTimeKnown() {
		return math.MaxInt64
	}
	if q.plain {
		if q.hasDeadline && q.callerDeadline <= r.stopDeadline {
			return math.MaxInt64
		}
		return r.stopDeadline - r.longestCall(q.pool, q.firstTokenObjective, t)
	}
	tokens := q.outputLimit()
	switch {
	case tokens == 0 && r.closed:
		return math.MaxInt64 // the caller of such a host resumes the stream at another one
	case tokens == 0:
		return -1
	}
	return r.stopDeadline - r.longestRun(q.pool, tokens, q.prompt, t)
}

// longestRun returns an upper bound of the time from the dispatch of a stream to its end, at t or, if t is nil, at the
// target of the pool p with the shortest queue. A stream that waits in an engine's queue for longer than
// stopSilence would be cut off.
func (r *Reducer) longestRun(p *pool, tokens, prompt int, t *targetState) time.Duration {
	interval := stopSlowdown * r.options.stepBase
	if t != nil {
		interval = r.slowInterval(t)
		prompt += t.pendingPrefill
	}
	return runTime(tokens, prompt, interval, stopSlowdown*r.options.prefillPerToken) + max(stopSilence, r.queueWait(p, t))
}

// longestCall returns the assumed longest time from the dispatch of a call of a plain service to its end, at t or, if t is nil,
// at the target of the pool p with the shortest response time: as long as calls have recently taken there, but at least
// stopSlowdown times the objective, and a silence.
func (r *Reducer) longestCall(p *pool, objective time.Duration, t *targetState) time.Duration {
	return callTime(objective, r.queueWait(p, t))
}

// callTime returns the assumed longest time of a call, given the longest time that calls have recently taken.
func callTime(objective, longest time.Duration) time.Duration {
	return max(stopSlowdown*objective, longest) + stopSilence
}

// slowInterval returns the longest time between tokens that is assumed at t.
func (r *Reducer) slowInterval(t *targetState) time.Duration {
	return max(stopSlowdown*r.options.stepBase, r.nextInterval(t))
}

// nextInterval returns the time between tokens at t when one more stream runs there.
func (r *Reducer) nextInterval(t *targetState) time.Duration {
	return t.tokenInterval.At(t.totalDemand(r.now).Streams + 1)
}

// runTime returns the time of a run without interruption, with the given times for each token of its output and of its prompt.
func runTime(tokens, prompt int, interval, prefill time.Duration) time.Duration {
	return time.Duration(min(tokens, maxRunTokens))*interval + time.Duration(min(prompt, maxRunTokens))*prefill
}

// usualRun returns the time from the dispatch of a stream to t to its end at the limit of its output, at the speed that
// streams have there and after the wait that they recently had, or 0 if the output has no limit. For a call of a plain service it
// is that of longestCall.
func (r *Reducer) usualRun(q *request, t *targetState) time.Duration {
	wait, _ := t.startWaits.longest(r.now)
	if q.plain {
		return callTime(q.firstTokenObjective, wait)
	}
	tokens := q.outputLimit()
	if tokens == 0 {
		return 0
	}
	return runTime(tokens, q.prompt, r.nextInterval(t), r.options.prefillPerToken) + max(stopSilence, wait)
}

// outlastsStop reports whether a held request that is dispatched to t, or a stream that moves there, would not end before the host
// stops.
func (r *Reducer) outlastsStop(q *request, t *targetState) bool {
	switch {
	case q.phase == phaseHeld:
		return r.latestStart(q, t) < r.now
	case !r.stopTimeKnown() || q.plain || q.remote != nil:
		return false
	}
	run := r.resumedRun(q, t)
	return run > 0 && r.now+run > r.stopDeadline
}

// refuseOutlasting refuses the held requests of a pool that would not end before the host stops, so that their callers
// have time at another host. It requests a Tick for the others.
func (r *Reducer) refuseOutlasting(p *pool) {
	if !r.stopTimeKnown() {
		return
	}
	for _, queue := range p.queues {
		for i := len(queue.held) - 1; i >= 0; i-- {
			q := queue.held[i]
			switch latest := r.latestStart(q, nil); {
			case latest == math.MaxInt64:
			case latest < r.now:
				r.refuseHeldForStop(q)
			default:
				r.wakeBy(latest + 1)
			}
		}
	}
}

// refuseHeldForStop refuses a held request because the host stops.
func (r *Reducer) refuseHeldForStop(q *request) {
	r.dequeue(q)
	r.refuse(q, answer.KindStopping, stoppingRetryAfter)
}
