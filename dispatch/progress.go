package dispatch

import "time"

const (
	stallFactor       = 6                      // intervals without a token that count as a stall
	minStall          = 250 * time.Millisecond // shortest gap that counts as a stall
	firstTokenTimeout = 2 * time.Second        // before the first token
	resumeBackoff     = 500 * time.Millisecond // after a resume, doubled each time
	maxResumeBackoff  = 8 * time.Second
	intervalSmoothing = 0.2
)

// A Progress charges what was delivered, refreshes the forecasts and looks for
// stalled streams.
func (e Progress) reduce(r *Reducer) {
	for i := range e.Samples {
		r.applySample(&e.Samples[i])
	}
	r.evacuate()
	for _, p := range r.poolList {
		if p.held > 0 {
			r.dispatchHeld(p)
		}
	}
}

func (r *Reducer) applySample(s *Sample) {
	q := r.requests[s.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	q.engineQueued = s.Queued
	if s.Tokens > q.tokens {
		r.recordTokens(q, s)
		return
	}
	r.checkStall(q)
}

// recordTokens books new tokens.
func (r *Reducer) recordTokens(q *request, s *Sample) {
	last := r.sinceEpoch(s.Last)
	if q.lastToken > 0 && last > q.lastToken {
		each := (last - q.lastToken) / time.Duration(s.Tokens-q.tokens)
		if q.tokenInterval == 0 {
			q.tokenInterval = each
		}
		q.tokenInterval += time.Duration(intervalSmoothing * float64(each-q.tokenInterval))
		q.target.tokenInterval.Observe(q.target.reportedStreams(), each)
	}
	if q.pendingPrefill > 0 {
		q.target.pendingPrefill -= q.pendingPrefill
		q.pendingPrefill = 0
	}
	q.lastToken, q.resumes, q.nextResume = last, 0, 0
	r.chargeTokens(q, s.Tokens)
	if q.tokens-q.demandTokens >= demandRefreshTokens {
		r.updateDemand(q)
	}
}

// reportedStreams returns the streams on the target of hosts that report.
func (t *targetState) reportedStreams() float64 { return float64(t.running) + t.peerDemand.Streams }

// checkStall asks for a fresh connection when a stream is silent for longer than
// its own pace explains. An engine that says the stream is queued or preempted
// has a working connection: the stall is its own, and asking again is spaced out.
func (r *Reducer) checkStall(q *request) {
	if q.plain || r.now < q.nextResume {
		return
	}
	since, limit := q.lastToken, max(stallFactor*q.tokenInterval, minStall)
	if q.lastToken == 0 {
		since, limit = q.dispatchedAt, firstTokenTimeout
	}
	if r.now-since < limit {
		return
	}
	q.nextResume = r.now + min(resumeBackoff<<min(q.resumes, 6), maxResumeBackoff)
	q.resumes++
	r.counts.Resumed++
	r.emit(Effect{Kind: EffectResume, ID: q.id, Target: q.target.spec.Name})
}
