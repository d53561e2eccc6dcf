package dispatch

import "time"

const (
	stallFactor   = 6                      // intervals without a token that count as a stall
	stallLeast    = 250 * time.Millisecond // shortest gap that counts as a stall
	firstPatience = 2 * time.Second        // before the first token
	resumeBackoff = 500 * time.Millisecond // after a resume, doubled each time
	resumeMost    = 8 * time.Second
	paceWeight    = 0.2
)

// A Progress charges what was delivered, refreshes the forecasts and looks for
// stalled streams.
func (e Progress) reduce(r *Reducer) {
	for i := range e.Samples {
		r.sample(&e.Samples[i])
	}
	r.evacuate()
	for _, p := range r.poolList {
		if p.held > 0 {
			r.drain(p)
		}
	}
}

func (r *Reducer) sample(s *Sample) {
	q := r.requests[s.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	q.queued = s.Queued
	if s.Tokens > q.tokens {
		r.advanceTo(q, s)
		return
	}
	r.checkStall(q)
}

// advanceTo books new tokens.
func (r *Reducer) advanceTo(q *request, s *Sample) {
	last := r.since(s.Last)
	if q.last > 0 && last > q.last {
		each := (last - q.last) / time.Duration(s.Tokens-q.tokens)
		if q.interval == 0 {
			q.interval = each
		}
		q.interval += time.Duration(paceWeight * float64(each-q.interval))
		q.target.pace.Observe(q.target.streams(), each)
	}
	if q.unfilled > 0 {
		q.target.unfilled -= q.unfilled
		q.unfilled = 0
	}
	q.last, q.resumes, q.resumeAt = last, 0, 0
	r.chargeTo(q, s.Tokens)
	if q.tokens-q.demandAt >= demandSteps {
		r.updateDemand(q)
	}
}

// streams returns the streams on the target of hosts that report.
func (t *targetState) streams() float64 { return float64(t.running) + t.others.Streams }

// checkStall asks for a fresh connection when a stream is silent for longer than
// its own pace explains. An engine that says the stream is queued or preempted
// has a working connection: the stall is its own, and asking again is spaced out.
func (r *Reducer) checkStall(q *request) {
	if q.plain || r.now < q.resumeAt {
		return
	}
	since, limit := q.last, max(stallFactor*q.interval, stallLeast)
	if q.last == 0 {
		since, limit = q.sent, firstPatience
	}
	if r.now-since < limit {
		return
	}
	q.resumeAt = r.now + min(resumeBackoff<<min(q.resumes, 6), resumeMost)
	q.resumes++
	r.counts.Resumed++
	r.emit(Effect{Kind: EffectResume, ID: q.id, Target: q.target.spec.Name})
}
