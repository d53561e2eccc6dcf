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
		id           ID
		organisation *organisation
		pool         *pool
		key          length.Key
		curve        *length.Curve
		phase        phase
		once         bool
		plain        bool
		attached     bool // resumed here, started elsewhere

		prompt, shared, limit, output int
		prefix                        uint64
		arrived, deadline             time.Duration
		expected                      float64       // output in tokens
		rank                          time.Duration // order among the organisation's held
		notBefore                     time.Duration // end of a retry's backoff
		end                           time.Duration // of its caller's patience

		target   *targetState
		tried    []*targetState
		attempts int           // those included that reached no target
		unsent   int           // of these, the ones that did not
		sends    int           // targets that it may be sent to
		again    bool          // the caller allows several targets even if it is not idempotent
		sent     time.Duration // when it was dispatched
		tokens   int
		last     time.Duration // when the last token came
		interval time.Duration // decayed time between its tokens
		queued   bool          // the engine said that it is not running
		resumes  int           // since the last token
		resumeAt time.Duration // no earlier
		gone     time.Duration // when the caller went; 0 if it is there
		unfilled int           // prompt tokens not known to be computed
		demand   forecast.Demand
		demandAt int     // tokens when demand was computed
		rate     float64 // service units a second counted in the ledger

		backup    reservation   // where its memory is copied as it grows
		moving    reservation   // where it is being moved to
		next      reservation   // of its backup, once it is there
		ready     bool          // the move needs no copy
		moveTries int           // from its present target
		settled   bool          // no move is tried any more
		rest      time.Duration // expected, when last compared with others
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
	memoryUnit   = 1024.0  // tokens of held memory that cost as much as one token generated
	promptUnit   = 0.17    // service units of a prompt token
	streamRate   = 30.0    // tokens a second that a stream is taken to generate
	plainUnit    = 30.0    // service units of a call of a plain service
	demandSteps  = 8       // tokens between two computations of a stream's demand
	mostExpected = 32768.0 // tokens counted of an output without a limit
	rankWeight   = 0.1     // seconds of arrival that a second of expected run is worth
)

func (r *Reducer) newRequest(e Submit) *request {
	q := r.allocate()
	q.id, q.once, q.plain = e.ID, e.Once, e.Plain
	q.organisation, q.pool = r.organisations[e.Organisation], r.pools[e.Pool]
	q.prompt, q.shared, q.prefix = e.Prompt, e.Shared, e.Prefix
	q.limit, q.output = e.Limit, e.Output
	q.sends = retryMost
	if e.Attempts > 0 {
		q.sends, q.again = e.Attempts, e.Attempts > 1
	}
	q.arrived = r.now
	q.deadline = r.now + r.options.patience
	if !e.Deadline.IsZero() {
		q.deadline = min(q.deadline, r.since(e.Deadline))
	}
	q.end = q.deadline
	if !e.End.IsZero() {
		q.end = max(q.deadline, r.since(e.End))
	}
	q.rank = r.now
	if !q.plain {
		q.key = length.Key{Organisation: e.Organisation, Model: e.Pool, Route: e.Route}
		q.curve = r.lengths.Curve(q.key)
		q.expected = expectedOutput(q)
		q.rank += time.Duration(rankWeight * q.expected / streamRate * float64(time.Second))
	}
	r.requests[q.id] = q
	return q
}

// expectedOutput returns the output in tokens expected of a request not yet sent.
func expectedOutput(q *request) float64 {
	if q.output > 0 {
		return float64(q.output)
	}
	most := mostExpected
	if q.limit > 0 {
		most = float64(q.limit)
	}
	return q.curve.Mean(0, most)
}

func (r *Reducer) allocate() *request {
	if n := len(r.free); n > 0 {
		q := r.free[n-1]
		r.free = r.free[:n-1]
		*q = request{tried: q.tried[:0]}
		return q
	}
	return &request{}
}

// forget takes a request out of the books.
func (r *Reducer) forget(q *request) {
	delete(r.requests, q.id)
	q.phase = phaseEnded
	r.free = append(r.free, q)
}

// forecastOf returns the demand of q's remaining output.
func (q *request) forecastOf() forecast.Demand {
	if q.plain {
		return forecast.Demand{Streams: 1}
	}
	if q.output > 0 {
		return forecast.Known(q.prompt+q.tokens, q.tokens, q.output)
	}
	return forecast.Of(q.curve, q.prompt+q.tokens, q.tokens, q.limit)
}

// serviceRate returns the service units that q consumes a second.
func (q *request) serviceRate() float64 {
	if q.plain {
		return plainUnit
	}
	return streamRate * tokenCost(q.prompt+q.tokens)
}

// tokenCost returns the service units of one token of a stream that holds memory.
func tokenCost(held int) float64 { return 1 + float64(held)/memoryUnit }

// placeAt counts q at a target.
func (r *Reducer) placeAt(q *request, t *targetState) {
	q.phase, q.target = phaseSent, t
	q.sent, q.last = r.now, 0
	q.queued, q.resumes, q.resumeAt = false, 0, 0
	q.interval = 0
	t.running++
	t.sequence = r.nextSequence()
	q.organisation.inflight++
	q.pool.inflight++
	q.pool.queueOf(q.organisation).inflight++
	r.updateDemand(q)
	if !q.plain {
		q.unfilled = q.prompt
		if t.holds(q.prefix) {
			q.unfilled -= q.shared
		}
		t.unfilled += q.unfilled
		t.remember(q.prefix, r.now)
	}
	r.ledger.Charge(q.organisation.spec.Name, q.pool.name, promptUnit*float64(q.prompt), r.now)
}

// updateDemand replaces q's part of its target's demand and of the ledger's rate.
func (r *Reducer) updateDemand(q *request) {
	q.target.own.Sub(&q.demand)
	q.demand = q.forecastOf()
	q.demandAt = q.tokens
	q.target.own.Add(&q.demand)
	q.target.changed()
	rate := q.serviceRate()
	r.ledger.Hold(q.organisation.spec.Name, q.pool.name, rate-q.rate, r.now)
	q.rate = rate
}

// leave takes q off its target. The caller decides what becomes of q.
func (r *Reducer) leave(q *request) {
	r.unmove(q)
	q.backup.free()
	t := q.target
	t.own.Sub(&q.demand)
	t.unfilled -= q.unfilled
	t.running--
	if t.running == 0 {
		t.own = forecast.Demand{}
	}
	t.changed()
	q.organisation.inflight--
	q.pool.inflight--
	q.pool.queueOf(q.organisation).inflight--
	r.ledger.Hold(q.organisation.spec.Name, q.pool.name, -q.rate, r.now)
	q.demand, q.rate, q.unfilled, q.target = forecast.Demand{}, 0, 0, nil
}

// finish gives a request its final answer.
func (r *Reducer) finish(q *request, kind answer.Kind, retry time.Duration) {
	if kind != answer.KindNone {
		r.counts.Refused++
		q.organisation.refused++
		if retry == 0 {
			retry = kind.Row().Retry
		}
		basis := r.basisOf(q)
		basis.Open = r.openTargets(q.pool)
		r.emit(Effect{Kind: EffectRefuse, ID: q.id, Answer: kind, Retry: retry, Basis: basis})
	}
	r.forget(q)
}

func (e Ended) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent {
		return
	}
	r.counts.Ended++
	r.chargeTo(q, max(e.Usage.Output, q.tokens))
	if e.Usage.Cached > 0 {
		r.ledger.Charge(q.organisation.spec.Name, q.pool.name, -promptUnit*float64(min(e.Usage.Cached, q.prompt)), r.now)
	}
	if !q.plain {
		r.observe(q, e.Usage)
	}
	q.target.breaker.succeed()
	q.target.trouble.add(0, r.now)
	q.organisation.served++
	p := q.pool
	r.leave(q)
	r.forget(q)
	r.drain(p)
}

// observe teaches the predictor and the prefix memory.
func (r *Reducer) observe(q *request, u struct{ Prompt, Output, Cached int }) {
	if u.Output > 0 && !q.attached {
		r.lengths.Observe(q.key, u.Output)
	}
	if q.shared > 0 && u.Cached == 0 && q.attempts == 1 && q.resumes == 0 {
		q.target.miss(q.prefix, q.sent)
	}
}

// chargeTo charges the tokens of q up to a count.
func (r *Reducer) chargeTo(q *request, tokens int) {
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
	m, p, t := r.organisations[e.Organisation], r.pools[e.Pool], r.targets[e.Target]
	if m == nil || p == nil || t == nil {
		return
	}
	r.counts.Submitted++
	q := r.allocate()
	q.id, q.organisation, q.pool, q.prompt, q.tokens = e.ID, m, p, e.Prompt, e.Tokens
	q.arrived, q.attached, q.attempts = r.now, true, 1
	q.key = length.Key{Organisation: e.Organisation, Model: e.Pool}
	q.curve = r.lengths.Curve(q.key)
	r.requests[q.id] = q
	r.placeAt(q, t)
	t.unfilled -= q.unfilled
	q.unfilled = 0
	q.last = r.now
}

func (r *Reducer) nextSequence() uint64 {
	r.counts.Dispatched++
	return uint64(r.counts.Dispatched)
}
