package dispatch

import "time"

const (
	stallFactor       = 6                      // time without a token that counts as a stall, as a multiple of the stream's mean time between tokens
	minStall          = 250 * time.Millisecond // shortest time without a token that counts as a stall
	firstTokenTimeout = 2 * time.Second        // time without a first token, from the dispatch, that counts as a stall
	resumeBackoff     = 500 * time.Millisecond // shortest time between two resumes of a stream, doubled by each resume until a token arrives
	maxResumeBackoff  = 8 * time.Second        // longest time between two resumes of a stream
	intervalSmoothing = 0.2                    // weight of the latest interval in a stream's mean time between tokens
)

// reduce charges the delivered tokens to their organisations and updates the demand forecasts. It
// emits EffectResume for streams without new tokens for too long, moves streams off leaving targets
// and dispatches held requests.
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

// applySample applies the sample of one stream. If it shows new tokens, they are recorded;
// otherwise the stream is checked for a stall.
func (r *Reducer) applySample(s *Sample) {
	q := r.requests[s.ID]
	if q == nil || q.phase != phaseDispatched {
		return
	}
	q.engineQueued = s.EngineQueued
	if s.Tokens > q.tokens {
		r.recordTokens(q, s)
		return
	}
	r.checkStall(q)
}

// recordTokens charges the new tokens of a sample and updates the time between tokens of the stream
// and of its target. The stream's prompt counts as computed from the first token on.
func (r *Reducer) recordTokens(q *request, s *Sample) {
	last := r.sinceEpoch(s.LastToken)
	if q.lastToken > 0 && last > q.lastToken {
		interval := (last - q.lastToken) / time.Duration(s.Tokens-q.tokens)
		if q.tokenInterval == 0 {
			q.tokenInterval = interval
		}
		q.tokenInterval += time.Duration(intervalSmoothing * float64(interval-q.tokenInterval))
		q.target.tokenInterval.Observe(q.target.reportedStreams(), interval)
		r.observePace(q, s.Tokens-q.tokens, last-q.lastToken)
	}
	if q.lastToken == 0 {
		r.recordStart(q, last)
	}
	if q.pendingPrefill > 0 {
		q.target.pendingPrefill -= q.pendingPrefill
		q.pendingPrefill = 0
	}
	q.lastToken, q.resumes, q.nextResume = last, 0, 0
	r.chargeTokens(q, s.Tokens)
	if q.tokens > beginningTokens {
		r.recordAnswered(q)
	}
	if q.tokens-q.demandTokens >= demandRefreshTokens {
		r.updateDemand(q)
	}
}

// reportedStreams returns the number of streams on the target: this host's own and those that its
// peers have reported.
func (t *targetState) reportedStreams() float64 { return float64(t.running) + t.peerDemand.Streams }

// checkStall emits EffectResume, which opens a new connection to the target, when a stream has
// delivered no token for stallFactor times its mean time between tokens, but at least minStall. If
// the engine has queued or preempted the stream, the connection works and a resume is useless;
// exponential backoff bounds the number of such resumes. A stream in an evacuated domain is
// not resumed there.
func (r *Reducer) checkStall(q *request) {
	if q.plain || r.now < q.nextResume || q.target.evacuated {
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
