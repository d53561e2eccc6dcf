package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/length"
)

type (
	// request is the state of a request that this host holds or has dispatched.
	request struct {
		id            ID
		organisation  *organisation
		pool          *pool
		lengthKey     length.Key
		curve         *length.SurvivalCurve
		phase         phase
		nonIdempotent bool
		plain         bool
		attached      bool // whether the generation was started through another host and is resumed here

		prompt, prefixTokens, maxOutput, knownOutput int           // tokens
		prefix                                       uint64        // hash of the shareable prefix; 0 means none
		arrived, holdDeadline                        time.Duration // time of arrival, and time by which the request must be dispatched
		expectedOutput                               float64       // expected output, in tokens, when the request arrived
		rank                                         time.Duration // order in the organisation's queue, lowest first
		notBefore                                    time.Duration // end of the retry backoff
		callerDeadline                               time.Duration // time until which the caller waits

		target          *targetState
		triedTargets    []*targetState  // targets of failed attempts and failed moves
		attempts        int             // attempts, including unsent ones
		unsentAttempts  int             // attempts of which no byte left this host
		maxTargets      int             // maximum number of attempts that may reach a target
		multipleTargets bool            // whether the caller explicitly allows more than one target
		dispatchedAt    time.Duration   // time of the latest dispatch
		tokens          int             // tokens delivered so far
		lastToken       time.Duration   // time of the latest token; 0 if none has arrived
		tokenInterval   time.Duration   // decayed mean time between tokens
		engineQueued    bool            // whether the engine reported the stream as queued or preempted
		resumes         int             // resumes since the latest token
		nextResume      time.Duration   // earliest time of the next resume
		disconnectedAt  time.Duration   // time when the caller disconnected; 0 if it is connected
		pendingPrefill  int             // prompt tokens not known to have been computed
		demand          forecast.Demand // part of the target's localDemand
		demandTokens    int             // value of tokens when demand was computed
		serviceUnitRate float64         // service units a second that the ledger counts for the request

		backup          reservation   // on the target to which the stream's memory is copied as it grows
		moveReservation reservation   // on the destination of the move in progress
		nextBackup      reservation   // on the backup that the stream gets after the move in progress
		moveToBackup    bool          // whether the destination is the backup and needs no copy
		moveAttempts    int           // attempts to move off the current target
		movesExhausted  bool          // whether no further move is attempted
		remaining       time.Duration // expected remaining time; set by streamsToMove
	}

	// phase is the state of a request.
	phase uint8
)

const (
	phaseHeld  phase = iota // in its organisation's queue
	phaseSent               // dispatched to a target
	phaseEnded              // removed
)

const (
	memoryTokensPerUnit   = 1024.0  // tokens of held memory that add one service unit to the cost of each generated token
	promptTokenCost       = 0.17    // service units of one prompt token
	assumedTokenRate      = 30.0    // assumed tokens a second of one stream
	plainServiceRate      = 30.0    // service units a second of a call of a plain service
	demandRefreshTokens   = 8       // tokens after which a stream's demand is computed again
	maxExpectedOutput     = 32768.0 // tokens up to which an output without a limit is counted
	rankPerExpectedSecond = 0.1     // seconds by which one second of expected run time delays a request's rank
)

func (r *Reducer) newRequest(e Submit) *request {
	q := r.allocateRequest()
	q.id, q.nonIdempotent, q.plain = e.ID, e.NonIdempotent, e.Plain
	q.organisation, q.pool = r.organisations[e.Organisation], r.pools[e.Pool]
	q.prompt, q.prefixTokens, q.prefix = e.PromptTokens, e.PrefixTokens, e.PrefixHash
	q.maxOutput, q.knownOutput = e.MaxOutputTokens, e.KnownOutputTokens
	q.maxTargets = defaultMaxTargets
	if e.MaxAttempts > 0 {
		q.maxTargets, q.multipleTargets = e.MaxAttempts, e.MaxAttempts > 1
	}
	q.arrived = r.now
	q.holdDeadline = r.now + r.options.maxHold
	if !e.DispatchDeadline.IsZero() {
		q.holdDeadline = min(q.holdDeadline, r.sinceEpoch(e.DispatchDeadline))
	}
	q.callerDeadline = q.holdDeadline
	if !e.CallerDeadline.IsZero() {
		q.callerDeadline = max(q.holdDeadline, r.sinceEpoch(e.CallerDeadline))
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

// expectedOutput returns the expected output of a request that has not been dispatched, in
// tokens.
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

// forecastDemand returns the demand of q on a target, from its current length on.
func (q *request) forecastDemand() forecast.Demand {
	if q.plain {
		return forecast.Demand{Streams: 1}
	}
	if q.knownOutput > 0 {
		return forecast.ForKnownOutput(q.prompt+q.tokens, q.tokens, q.knownOutput)
	}
	return forecast.ForStream(q.curve, q.prompt+q.tokens, q.tokens, q.maxOutput)
}

// serviceRate returns the service units a second that q consumes while it runs.
func (q *request) serviceRate() float64 {
	if q.plain {
		return plainServiceRate
	}
	return assumedTokenRate * tokenCost(q.prompt+q.tokens)
}

// tokenCost returns the service units of one generated token of a stream that holds the given
// memory, in tokens.
func tokenCost(held int) float64 { return 1 + float64(held)/memoryTokensPerUnit }

// assign records q as dispatched to t, and charges its prompt.
func (r *Reducer) assign(q *request, t *targetState) {
	q.phase, q.target = phaseSent, t
	q.dispatchedAt, q.lastToken = r.now, 0
	q.engineQueued, q.resumes, q.nextResume = false, 0, 0
	q.tokenInterval = 0
	t.running++
	t.lastDispatch = r.nextDispatch()
	q.organisation.inflight++
	q.pool.inflight++
	q.pool.queueOf(q.organisation).inflight++
	r.updateDemand(q)
	if !q.plain {
		q.pendingPrefill = q.prompt
		if t.hasPrefix(q.prefix) {
			q.pendingPrefill -= q.prefixTokens
		}
		t.pendingPrefill += q.pendingPrefill
		t.recordPrefix(q.prefix, r.now)
	}
	r.ledger.Charge(q.organisation.spec.Name, q.pool.name, promptTokenCost*float64(q.prompt), r.now)
}

// updateDemand recomputes q's part of its target's demand and of the ledger's current rate.
func (r *Reducer) updateDemand(q *request) {
	q.target.localDemand.Sub(&q.demand)
	q.demand = q.forecastDemand()
	q.demandTokens = q.tokens
	q.target.localDemand.Add(&q.demand)
	q.target.invalidateTotal()
	rate := q.serviceRate()
	r.ledger.AddRate(q.organisation.spec.Name, q.pool.name, rate-q.serviceUnitRate, r.now)
	q.serviceUnitRate = rate
}

// detach removes q from its target and ends its move. The caller must then hold, finish or
// release q.
func (r *Reducer) detach(q *request) {
	r.endMove(q)
	q.backup.release()
	t := q.target
	t.localDemand.Sub(&q.demand)
	t.pendingPrefill -= q.pendingPrefill
	t.running--
	if t.running == 0 {
		t.localDemand = forecast.Demand{}
	}
	t.invalidateTotal()
	q.organisation.inflight--
	q.pool.inflight--
	q.pool.queueOf(q.organisation).inflight--
	r.ledger.AddRate(q.organisation.spec.Name, q.pool.name, -q.serviceUnitRate, r.now)
	q.demand, q.serviceUnitRate, q.pendingPrefill, q.target = forecast.Demand{}, 0, 0, nil
}

// finish refuses a request finally and removes it. A zero retry stands for the default delay of
// kind.
func (r *Reducer) finish(q *request, kind answer.Kind, retry time.Duration) {
	if kind != answer.KindNone {
		r.counts.Refused++
		q.organisation.refused++
		if retry == 0 {
			retry = kind.Row().Retry
		}
		basis := r.newBasis(q)
		basis.OpenTargets = r.openTargets(q.pool)
		r.emit(Effect{Kind: EffectRefuse, ID: q.id, Answer: kind, RetryAfter: retry, Basis: basis})
	}
	r.releaseRequest(q)
}

// reduce charges the rest of the request's use, updates the predictions and removes the request.
func (e Ended) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	r.counts.Ended++
	r.chargeTokens(q, max(e.Usage.Output, q.tokens))
	if e.Usage.Cached > 0 {
		r.ledger.Charge(q.organisation.spec.Name, q.pool.name, -promptTokenCost*float64(min(e.Usage.Cached, q.prompt)), r.now)
	}
	if !q.plain {
		r.recordUsage(q, e.Usage)
	}
	q.target.breaker.recordSuccess()
	q.target.failureRate.record(0, r.now)
	q.organisation.served++
	p := q.pool
	r.detach(q)
	r.releaseRequest(q)
	r.dispatchHeld(p)
}

// recordUsage adds the output length to the predictor, and removes the prefix from the target's
// known prefixes if the engine did not find it in its cache.
func (r *Reducer) recordUsage(q *request, u struct{ Prompt, Output, Cached int }) {
	if u.Output > 0 && !q.attached {
		r.lengths.Observe(q.lengthKey, u.Output)
	}
	if q.prefixTokens > 0 && u.Cached == 0 && q.attempts == 1 && q.resumes == 0 {
		q.target.dropMissedPrefix(q.prefix, q.dispatchedAt)
	}
}

// chargeTokens charges the tokens that q has delivered since the last call. tokens is its total.
func (r *Reducer) chargeTokens(q *request, tokens int) {
	added := tokens - q.tokens
	if added <= 0 {
		return
	}
	cost := float64(added) * tokenCost(q.prompt+q.tokens+added/2)
	q.tokens = tokens
	q.organisation.tokens += added
	r.ledger.Charge(q.organisation.spec.Name, q.pool.name, cost, r.now)
}

// reduce records the attached generation as running. An unknown organisation, pool or target is
// ignored.
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

func (r *Reducer) nextDispatch() uint64 {
	r.counts.Dispatched++
	return uint64(r.counts.Dispatched)
}
