package dispatch

import (
	"cmp"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/length"
	"github.com/wigeonlink/wigeonlink/quarantine"
)

type (
	// request is the state of a request that this host holds or has dispatched, from Submit or
	// Attach to its end.
	request struct {
		id            ID
		name          string // identifier in event logs
		organisation  *organisation
		pool          *pool
		lengthKey     length.Key
		curve         *length.SurvivalCurve // predicted distribution of the output length; nil for a call of a plain service
		phase         phase
		nonIdempotent bool
		plain         bool
		attached      bool // whether the generation was started through another host and is resumed here
		placement     placement
		remote        *remoteState   // nil for a request of this host
		route         string         // see Submit.Route
		extra         *secondAttempt // nil unless two attempts are in flight; see extra.go
		secondOnly    bool           // the only attempt in flight is an extra one, the first one has failed

		parts                                        []quarantine.Part // see Submit.Parts
		prompt, prefixTokens, maxOutput, knownOutput int               // in tokens; a maxOutput of 0 means no limit, a knownOutput of 0 unknown
		prefix                                       uint64            // hash of the shareable prefix; 0 means none
		firstTokenObjective                          time.Duration     // time to the first token within which the request is on time
		pauseObjective                               time.Duration     // longest pause between two events with which a stream is on time; 0 means none
		arrived, holdDeadline                        time.Duration     // time of arrival, and time by which the request must be dispatched
		expectedOutput                               float64           // output length expected when the request arrived, in tokens
		rank                                         time.Duration     // sort key in the organisation's queue, lowest first: see newRequest
		notBefore                                    time.Duration     // end of the backoff before the next attempt
		callerDeadline                               time.Duration     // time until which the caller waits
		hasDeadline                                  bool              // whether the caller set callerDeadline
		trialUntil                                   time.Duration     // time until which this host may send the request although it is suspected; see trial.go
		lease                                        uint64            // number of the lease of the place that the request uses at a brittle target; 0 if there is none
		awaitedPlace                                 *targetState      // target for a place at which the request waits, until notBefore; nil if none
		waitCause                                    WaitCause         // see Basis
		subject                                      uint64            // see Submit.Subject
		readmission                                  Readmission

		target          *targetState    // target to which the request was dispatched; nil while it is held
		triedTargets    []*targetState  // targets of failed attempts and destinations of failed moves, which are not chosen again
		attempts        int             // dispatches of the request, including unsentAttempts
		rebooted        bool            // an engine restarted while it ran the request
		unsentAttempts  int             // dispatches of which no byte left this host
		failedAttempt   answer.Kind     // refusal for the latest attempt that may have run; KindNone if none has
		maxTargets      int             // maximum number of dispatches that may reach a target
		multipleTargets bool            // whether the caller explicitly allows more than one target
		dispatchedAt    time.Duration   // time of the latest dispatch
		tokens          int             // tokens delivered so far
		answered        bool            // the answer has got past its beginning
		lastToken       time.Duration   // arrival of the latest token, or time of a later move or Attach; 0 before the first token
		tokenInterval   time.Duration   // decayed mean time between tokens; 0 if unknown
		engineQueued    bool            // whether the engine reported the stream as queued or preempted
		resumes         int             // EffectResume effects since the latest token
		nextResume      time.Duration   // earliest time of the next EffectResume
		disconnectedAt  time.Duration   // time when the caller disconnected; 0 if it is connected
		pendingPrefill  int             // prompt tokens that the target is not known to have computed
		demand          forecast.Demand // the stream's part of the target's localDemand
		demandTokens    int             // value of tokens when demand was computed
		urgentHeld      int             // the request's part of its queue's urgentHeld
		paceObjective   time.Duration   // pauseObjective per token, as counted in the target's running streams
		paceTarget      *targetState    // target that read the prompt in the latest dispatch
		promptsBefore   int             // prompts dispatched to paceTarget up to this one
		serviceUnitRate float64         // the request's part of its organisation's current rate in the ledger, in service units a second

		backup            reservation   // on the target to which the stream's memory is copied while it runs
		moveReservation   reservation   // on the destination of the move in progress
		nextBackup        reservation   // on the target that becomes the backup when the move in progress succeeds
		moveToBackup      bool          // whether the move in progress is to the backup and needs no copy
		moveAttempts      int           // moves off the current target that were started
		moveFailedFinally bool          // whether the latest failed move was final; evacuate starts no further one
		remaining         time.Duration // expected time until the stream ends; set by streamsToMove
	}

	// phase is the state of a request.
	phase uint8
)

const (
	phaseHeld       phase = iota // in its organisation's queue
	phaseDispatched              // in flight at a target
	phaseEnded                   // removed from the reducer
)

const (
	memoryTokensPerUnit   = 1024.0  // tokens of memory by which the cost of a generated token rises by one service unit
	promptTokenCost       = 0.17    // service units of one prompt token
	assumedTokenRate      = 30.0    // assumed tokens a second of one stream
	plainServiceRate      = 30.0    // service units a second of a call of a plain service
	demandRefreshTokens   = 8       // generated tokens after which a stream's demand is computed again
	maxExpectedOutput     = 32768.0 // output length assumed as the limit of a request that sets none, in tokens
	rankPerExpectedSecond = 0.1     // seconds added to a request's rank for each second of its expected run time
)

// newRequest adds a request that is not yet held. Its rank is its time of arrival plus a part of
// its expected run time; short requests therefore overtake long ones in the queue.
func (r *Reducer) newRequest(e Submit) *request {
	q := r.allocateRequest()
	q.id, q.name, q.nonIdempotent, q.plain = e.ID, e.Name, e.NonIdempotent, e.Plain
	q.organisation, q.pool = r.organisations[e.Organisation], r.pools[e.Pool]
	q.prompt, q.prefixTokens, q.prefix = e.PromptTokens, e.PrefixTokens, e.PrefixHash
	q.parts, q.route = e.Parts, e.Route
	q.maxOutput, q.knownOutput = e.MaxOutputTokens, e.KnownOutputTokens
	q.maxTargets = defaultMaxTargets
	if e.MaxAttempts > 0 {
		q.maxTargets, q.multipleTargets = e.MaxAttempts, e.MaxAttempts > 1
	}
	q.subject = e.Subject
	q.arrived = r.now
	q.firstTokenObjective = cmp.Or(e.FirstTokenObjective, defaultFirstTokenObjective)
	q.pauseObjective = e.PauseObjective
	q.holdDeadline = r.now + r.options.maxHold
	if !e.DispatchDeadline.IsZero() {
		q.holdDeadline = min(q.holdDeadline, r.sinceEpoch(e.DispatchDeadline))
	}
	q.callerDeadline = q.holdDeadline
	if !e.CallerDeadline.IsZero() {
		q.callerDeadline, q.hasDeadline = max(q.holdDeadline, r.sinceEpoch(e.CallerDeadline)), true
	}
	q.rank = r.now
	if !q.plain {
		q.lengthKey = length.Key{Organisation: e.Organisation, Model: e.Pool, Route: e.Route}
		q.curve = r.lengths.Curve(q.lengthKey)
		q.expectedOutput = expectedOutput(q)
		q.rank += time.Duration(rankPerExpectedSecond * q.expectedOutput / assumedTokenRate * float64(time.Second))
	}
	r.requests[q.id] = q
	return q
}

// expectedOutput returns the expected output length of a request that has not been dispatched,
// in tokens.
func expectedOutput(q *request) float64 {
	if q.knownOutput > 0 {
		return float64(q.knownOutput)
	}
	limit := maxExpectedOutput
	if q.maxOutput > 0 {
		limit = float64(q.maxOutput)
	}
	return q.curve.MeanRemaining(0, limit)
}

// outputLimit returns the largest number of tokens of a stream's output, or 0 if it has no limit.
func (q *request) outputLimit() int { return max(q.maxOutput, q.knownOutput) }

// allocateRequest returns a zero request, from the free list if possible.
func (r *Reducer) allocateRequest() *request {
	if n := len(r.freeRequests); n > 0 {
		q := r.freeRequests[n-1]
		r.freeRequests = r.freeRequests[:n-1]
		*q = request{triedTargets: q.triedTargets[:0]}
		return q
	}
	return &request{}
}

// releaseRequest removes a request and returns it to the free list.
func (r *Reducer) releaseRequest(q *request) {
	delete(r.requests, q.id)
	q.phase = phaseEnded
	r.freeRequests = append(r.freeRequests, q)
}

// forecastDemand returns the memory demand of q on its target, forecast from the tokens that it has
// delivered so far.
func (q *request) forecastDemand() forecast.Demand {
	if q.plain {
		return forecast.Demand{Streams: 1}
	}
	if q.knownOutput > 0 {
		return forecast.ForKnownOutput(q.prompt+q.tokens, q.tokens, q.knownOutput)
	}
	return forecast.ForStream(q.curve, q.prompt+q.tokens, q.tokens, q.maxOutput)
}

// serviceRate returns the service units a second that q is assumed to use at its current length.
func (q *request) serviceRate() float64 {
	if q.plain {
		return plainServiceRate
	}
	return assumedTokenRate * tokenCost(q.prompt+q.tokens)
}

// tokenCost returns the service units of one generated token of a stream that holds the given
// number of tokens in memory. A token of a stream without memory costs one unit.
func tokenCost(held int) float64 { return 1 + float64(held)/memoryTokensPerUnit }

// assign records q as dispatched to t, and charges its prompt to its organisation.
func (r *Reducer) assign(q *request, t *targetState) {
	q.phase, q.target = phaseDispatched, t
	q.dispatchedAt, q.lastToken = r.now, 0
	q.engineQueued, q.resumes, q.nextResume = false, 0, 0
	q.tokenInterval = 0
	t.running++
	t.lastDispatch = r.nextDispatch()
	q.organisation.inflight++
	q.pool.inflight++
	q.pool.queueOf(q.organisation).inflight++
	r.holdUrgent(q)
	r.updateDemand(q)
	if !q.plain {
		q.pendingPrefill = q.prompt
		if t.hasPrefix(q.prefix) {
			q.pendingPrefill -= q.prefixTokens
		}
		t.pendingPrefill += q.pendingPrefill
		t.recordPrefix(q.prefix, r.now)
	}
	r.startPace(q)
	r.charge(q, promptTokenCost*float64(q.prompt))
}

// charge charges service units to q's organisation.
func (r *Reducer) charge(q *request, units float64) {
	if r.accountsFor(q) {
		r.ledger.Charge(q.organisation.spec.Name, q.pool.name, units, r.now)
	}
}

// setServiceRate sets q's part of its organisation's current rate in the ledger.
func (r *Reducer) setServiceRate(q *request, rate float64) {
	if !r.accountsFor(q) {
		rate = 0
	}
	r.ledger.AddRate(q.organisation.spec.Name, q.pool.name, rate-q.serviceUnitRate, r.now)
	q.serviceUnitRate = rate
}

// accountsFor reports whether this host's ledger holds the use of q: the coordinator accounts for
// the streams that it has placed, and a host that stands by for none of another host.
func (r *Reducer) accountsFor(q *request) bool {
	return q.placement != placementRemote && (q.remote == nil || r.coordinates)
}

// updateDemand recomputes q's part of its target's demand and of its organisation's current rate in
// the ledger.
func (r *Reducer) updateDemand(q *request) {
	q.target.localDemand.Sub(&q.demand)
	q.demand = q.forecastDemand()
	q.demandTokens = q.tokens
	q.target.localDemand.Add(&q.demand)
	q.target.invalidateTotalDemand()
	r.setServiceRate(q, q.serviceRate())
}

// detach removes q from its target and ends its move, if one is in progress. The function that
// calls it must then hold, refuse or release q.
func (r *Reducer) detach(q *request) {
	r.endMove(q)
	q.backup.release()
	r.release(q, false)
	t := q.target
	t.localDemand.Sub(&q.demand)
	t.pendingPrefill -= q.pendingPrefill
	t.addPaced(q, -1)
	t.running--
	if t.running == 0 {
		t.localDemand = forecast.Demand{}
	}
	t.invalidateTotalDemand()
	q.organisation.inflight--
	q.pool.inflight--
	q.pool.queueOf(q.organisation).inflight--
	r.releaseUrgent(q)
	r.setServiceRate(q, 0)
	q.demand, q.pendingPrefill, q.target = forecast.Demand{}, 0, nil
}

// refuse ends a request that is neither held nor dispatched any more: it emits the refusal, unless
// kind is KindNone, and removes the request. A zero retry stands for the default retry delay of
// kind. If an earlier attempt may have run, the refusal for that attempt replaces a kind which says
// that the request did not run.
func (r *Reducer) refuse(q *request, kind answer.Kind, retry time.Duration) {
	if q.remote != nil {
		if kind != answer.KindNone {
			r.emit(Effect{
				Kind: EffectPlaced, Remote: q.remote.origin, ID: q.remote.id, Name: q.name, Answer: kind,
				RetryAfter: cmp.Or(retry, kind.Properties().RetryDelay), Basis: r.newBasis(q),
			})
		}
		r.removeRemote(q)
		return
	}
	r.recordWithdrawn(q)
	if kind != answer.KindNone {
		if q.failedAttempt != answer.KindNone && kind.Properties().Outcome == answer.OutcomeNotRun {
			kind, retry = q.failedAttempt, 0
		}
		r.counts.Refused++
		q.organisation.refused++
		if retry == 0 {
			retry = kind.Properties().RetryDelay
		}
		basis := r.newBasis(q)
		basis.AcceptingTargets = r.acceptingTargets(q.pool)
		r.emit(Effect{Kind: EffectRefuse, ID: q.id, Answer: kind, RetryAfter: retry, Basis: basis})
	}
	r.releaseRequest(q)
}

// reduce charges the tokens not yet charged, refunds the prompt tokens that the engine's cache
// provided, updates the length predictions and removes the request.
func (e Ended) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseDispatched {
		return
	}
	r.counts.Ended++
	r.recordCall(q)
	r.dropSecond(q, true)
	if q.mayRepeat() {
		r.hedges.Observe(q.hedgeKey(), e.Took)
	}
	r.chargeTokens(q, max(e.Usage.Output, q.tokens))
	if e.Usage.Cached > 0 {
		r.charge(q, -promptTokenCost*float64(min(e.Usage.Cached, q.prompt)))
	}
	if !q.plain {
		r.recordUsage(q, e.Usage)
	}
	if q.lastToken == 0 {
		r.recordStart(q, r.now) // it has ended between two Progress events
	}
	r.finishPace(q, e.LongestPause)
	r.recordFinished(q, e.LongestPause)
	r.recordAnswered(q)
	q.target.breaker.recordSuccess()
	q.target.failureRate.record(0, r.now)
	q.organisation.served++
	p := q.pool
	r.detach(q)
	r.releaseRequest(q)
	r.dispatchHeld(p)
}

// recordUsage adds the output length to the predictor. If the engine did not find the request's
// prefix in its cache, the prefix is no longer assumed to be cached there.
func (r *Reducer) recordUsage(q *request, u struct{ Prompt, Output, Cached int }) {
	if u.Output > 0 && !q.attached {
		r.lengths.Observe(q.lengthKey, u.Output)
	}
	if q.prefixTokens > 0 && u.Cached == 0 && q.attempts == 1 && q.resumes == 0 {
		q.target.dropMissedPrefix(q.prefix, q.dispatchedAt)
	}
}

// chargeTokens charges q's organisation for the tokens delivered since the previous call. tokens is
// the number that q has delivered in all.
func (r *Reducer) chargeTokens(q *request, tokens int) {
	added := tokens - q.tokens
	if added <= 0 {
		return
	}
	cost := float64(added) * tokenCost(q.prompt+q.tokens+added/2)
	q.tokens = tokens
	if q.remote == nil {
		q.organisation.tokens += added
	}
	r.charge(q, cost)
}

// reduce records the attached generation as running at its target. The event is ignored if its
// organisation, pool or target is unknown.
func (e Attach) reduce(r *Reducer) {
	org, p, t := r.organisations[e.Organisation], r.pools[e.Pool], r.targets[e.Target]
	if org == nil || p == nil || t == nil {
		return
	}
	r.counts.Submitted++
	q := r.allocateRequest()
	q.id, q.organisation, q.pool, q.prompt, q.tokens = e.ID, org, p, e.PromptTokens, e.Tokens
	q.arrived, q.attached, q.attempts = r.now, true, 1
	q.lengthKey = length.Key{Organisation: e.Organisation, Model: e.Pool}
	q.curve = r.lengths.Curve(q.lengthKey)
	r.requests[q.id] = q
	r.assign(q, t)
	t.pendingPrefill -= q.pendingPrefill
	q.pendingPrefill = 0
	q.lastToken = r.now
}

// nextDispatch counts a dispatch and returns its number, from 1.
func (r *Reducer) nextDispatch() uint64 {
	r.counts.Dispatched++
	return uint64(r.counts.Dispatched)
}
