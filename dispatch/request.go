package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/length"
)

type (
	// request is one request in the books of this host.
	request struct {
		id            ID
		organisation  *organisation
		pool          *pool
		lengthKey     length.Key
		curve         *length.SurvivalCurve
		phase         phase
		nonIdempotent bool
		plain         bool
		attached      bool // resumed here, started elsewhere

		prompt, prefixTokens, maxOutput, knownOutput int
		prefix                                       uint64
		arrived, holdDeadline                        time.Duration
		expectedOutput                               float64       // output in tokens
		rank                                         time.Duration // order among the organisation's held
		notBefore                                    time.Duration // end of a retry's backoff
		callerDeadline                               time.Duration // of its caller's patience

		target          *targetState
		triedTargets    []*targetState
		attempts        int           // those included that reached no target
		unsentAttempts  int           // of these, the ones that did not
		maxTargets      int           // targets that it may be sent to
		multipleTargets bool          // the caller allows several targets even if it is not idempotent
		dispatchedAt    time.Duration // when it was dispatched
		tokens          int
		lastToken       time.Duration // when the last token came
		tokenInterval   time.Duration // decayed time between its tokens
		engineQueued    bool          // the engine said that it is not running
		resumes         int           // since the last token
		nextResume      time.Duration // no earlier
		disconnectedAt  time.Duration // when the caller went; 0 if it is there
		pendingPrefill  int           // prompt tokens not known to be computed
		demand          forecast.Demand
		demandTokens    int     // tokens when demand was computed
		serviceUnitRate float64 // service units a second counted in the ledger

		backup          reservation   // where its memory is copied as it grows
		moveReservation reservation   // where it is being moved to
		nextBackup      reservation   // of its backup, once it is there
		moveToBackup    bool          // the move needs no copy
		moveAttempts    int           // from its present target
		movesExhausted  bool          // no move is tried any more
		remaining       time.Duration // expected, when last compared with others
	}

	// phase is where a request stands.
	phase uint8
)

const (
	phaseHeld phase = iota
	phaseSent
	phaseEnded
)

const (
	memoryTokensPerUnit   = 1024.0  // tokens of held memory that cost as much as one token generated
	promptTokenCost       = 0.17    // service units of a prompt token
	assumedTokenRate      = 30.0    // tokens a second that a stream is taken to generate
	plainServiceRate      = 30.0    // service units of a call of a plain service
	demandRefreshTokens   = 8       // tokens between two computations of a stream's demand
	maxExpectedOutput     = 32768.0 // tokens counted of an output without a limit
	rankPerExpectedSecond = 0.1     // seconds of arrival that a second of expected run is worth
)

func (r *Reducer) newRequest(e Submit) *request {
	q := r.allocateRequest()
	q.id, q.nonIdempotent, q.plain = e.ID, e.Once, e.Plain
	q.organisation, q.pool = r.organisations[e.Organisation], r.pools[e.Pool]
	q.prompt, q.prefixTokens, q.prefix = e.Prompt, e.Shared, e.Prefix
	q.maxOutput, q.knownOutput = e.Limit, e.Output
	q.maxTargets = defaultMaxTargets
	if e.Attempts > 0 {
		q.maxTargets, q.multipleTargets = e.Attempts, e.Attempts > 1
	}
	q.arrived = r.now
	q.holdDeadline = r.now + r.options.maxHold
	if !e.Deadline.IsZero() {
		q.holdDeadline = min(q.holdDeadline, r.sinceEpoch(e.Deadline))
	}
	q.callerDeadline = q.holdDeadline
	if !e.End.IsZero() {
		q.callerDeadline = max(q.holdDeadline, r.sinceEpoch(e.End))
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

// expectedOutput returns the output in tokens expected of a request not yet sent.
func expectedOutput(q *request) float64 {
	if q.knownOutput > 0 {
		return float64(q.knownOutput)
	}
	most := maxExpectedOutput
	if q.maxOutput > 0 {
		most = float64(q.maxOutput)
	}
	return q.curve.MeanRemaining(0, most)
}

func (r *Reducer) allocateRequest() *request {
	if n := len(r.freeRequests); n > 0 {
		q := r.freeRequests[n-1]
		r.freeRequests = r.freeRequests[:n-1]
		*q = request{triedTargets: q.triedTargets[:0]}
		return q
	}
	return &request{}
}

// releaseRequest takes a request out of the books.
func (r *Reducer) releaseRequest(q *request) {
	delete(r.requests, q.id)
	q.phase = phaseEnded
	r.freeRequests = append(r.freeRequests, q)
}

// forecastDemand returns the demand of q's remaining output.
func (q *request) forecastDemand() forecast.Demand {
	if q.plain {
		return forecast.Demand{Streams: 1}
	}
	if q.knownOutput > 0 {
		return forecast.ForKnownOutput(q.prompt+q.tokens, q.tokens, q.knownOutput)
	}
	return forecast.ForStream(q.curve, q.prompt+q.tokens, q.tokens, q.maxOutput)
}

// serviceRate returns the service units that q consumes a second.
func (q *request) serviceRate() float64 {
	if q.plain {
		return plainServiceRate
	}
	return assumedTokenRate * tokenCost(q.prompt+q.tokens)
}

// tokenCost returns the service units of one token of a stream that holds memory.
func tokenCost(held int) float64 { return 1 + float64(held)/memoryTokensPerUnit }

// assign counts q at a target.
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

// updateDemand replaces q's part of its target's demand and of the ledger's rate.
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

// detach takes q off its target. The caller decides what becomes of q.
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

// finish gives a request its final answer.
func (r *Reducer) finish(q *request, kind answer.Kind, retry time.Duration) {
	if kind != answer.KindNone {
		r.counts.Refused++
		q.organisation.refused++
		if retry == 0 {
			retry = kind.Row().Retry
		}
		basis := r.newBasis(q)
		basis.Open = r.openTargets(q.pool)
		r.emit(Effect{Kind: EffectRefuse, ID: q.id, Answer: kind, Retry: retry, Basis: basis})
	}
	r.releaseRequest(q)
}

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

// recordUsage teaches the predictor and the prefix memory.
func (r *Reducer) recordUsage(q *request, u struct{ Prompt, Output, Cached int }) {
	if u.Output > 0 && !q.attached {
		r.lengths.Observe(q.lengthKey, u.Output)
	}
	if q.prefixTokens > 0 && u.Cached == 0 && q.attempts == 1 && q.resumes == 0 {
		q.target.dropMissedPrefix(q.prefix, q.dispatchedAt)
	}
}

// chargeTokens charges the tokens of q up to a count.
func (r *Reducer) chargeTokens(q *request, tokens int) {
	fresh := tokens - q.tokens
	if fresh <= 0 {
		return
	}
	cost := float64(fresh) * tokenCost(q.prompt+q.tokens+fresh/2)
	q.tokens = tokens
	q.organisation.tokens += fresh
	r.ledger.Charge(q.organisation.spec.Name, q.pool.name, cost, r.now)
}

func (e Attach) reduce(r *Reducer) {
	org, p, t := r.organisations[e.Organisation], r.pools[e.Pool], r.targets[e.Target]
	if org == nil || p == nil || t == nil {
		return
	}
	r.counts.Submitted++
	q := r.allocateRequest()
	q.id, q.organisation, q.pool, q.prompt, q.tokens = e.ID, org, p, e.Prompt, e.Tokens
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
