package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/length"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
)

// A Reducer is the state of one host's decisions. It is used by one goroutine at
// a time.
type Reducer struct {
	options          options
	epoch            time.Time
	now              time.Duration // since epoch
	table            *table.Table
	organisations    map[string]*organisation
	organisationList []*organisation // by name
	pools            map[string]*pool
	poolList         []*pool // by name
	targets          map[string]*targetState
	retired          map[string]*targetState // no longer listed, with streams of this host
	requests         map[ID]*request
	freeRequests     []*request
	peers            map[string]*peer
	peerList         []*peer // as first seen
	disconnected     []ID    // sent requests whose caller went, in that order
	leavingTargets   map[string]bool
	fleet            Fleet
	basis            Basis  // scratch of choose
	salt             uint64 // tells this host's draws from other hosts'
	allHosts         int    // live hosts of all failure domains
	hosts            int    // live hosts of this domain
	hostIndex        int
	turnDuration     time.Duration
	ledger           *share.Ledger
	lengths          *length.Predictor
	stopping         bool
	stopDeadline     time.Duration // by when what a stopping host takes must end; 0 means it takes nothing
	nextWake         time.Duration
	candidate        Candidate // scratch of score
	effects          []Effect
	counts           Counts
}

const (
	// stoppingRetryAfter is when a caller that a stopping host refuses may come back: other hosts
	// are there at once.
	stoppingRetryAfter = 100 * time.Millisecond

	// minRetryAfter keeps callers from coming back in step with the first try of a target.
	minRetryAfter = 50 * time.Millisecond

	// stopSlowdown is how many times slower than an empty engine one is taken to be when a
	// stream must end in time.
	stopSlowdown = 3
)

// Counts are totals since the reducer was made.
type Counts struct {
	Submitted, Dispatched, Retried, Refused, Ended, Lost, Resumed, Cancelled, Moved, NotMoved int
}

// NewReducer returns a reducer without a table. It refuses requests until a
// TableChange has brought one.
func NewReducer(opts ...Option) *Reducer {
	r := &Reducer{
		options:       defaultOptions(),
		organisations: map[string]*organisation{},
		pools:         map[string]*pool{},
		targets:       map[string]*targetState{},
		retired:       map[string]*targetState{},
		requests:      map[ID]*request{},
		peers:         map[string]*peer{},
		hosts:         1,
		allHosts:      1,
		turnDuration:  minTurn,
	}
	for _, o := range opts {
		o.apply(&r.options)
	}
	r.salt = mixBits(uint64(table.Hash(r.options.origin)))
	r.ledger = share.NewLedger(r.options.usageWindow)
	r.lengths = length.NewPredictor(length.WithMedian(r.options.medianOutput))
	return r
}

// Reduce applies an event that happened at a time and returns the effects. The
// slice is valid until the next call. Time never runs backwards: an earlier time
// counts as the last.
func (r *Reducer) Reduce(at time.Time, e Event) []Effect {
	if r.epoch.IsZero() {
		r.epoch = at
	}
	r.now = max(r.now, at.Sub(r.epoch))
	r.effects = r.effects[:0]
	r.nextWake = math.MaxInt64
	e.reduce(r)
	if r.nextWake < math.MaxInt64 {
		r.emit(Effect{Kind: EffectTimer, At: r.epoch.Add(r.nextWake)})
	}
	return r.effects
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// wakeBy asks for a Tick no later than at.
func (r *Reducer) wakeBy(at time.Duration) { r.nextWake = min(r.nextWake, at) }

// sinceEpoch returns a time as the duration since the reducer's first event.
func (r *Reducer) sinceEpoch(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(r.epoch)
}

// Counts returns the totals so far.
func (r *Reducer) Counts() Counts { return r.counts }

// Table returns the table in force, nil before the first.
func (r *Reducer) Table() *table.Table { return r.table }

// Lengths returns the calibration of the predicted lengths.
func (r *Reducer) Lengths() length.Tally { return r.lengths.Tally() }

func (e Submit) reduce(r *Reducer) {
	r.counts.Submitted++
	if kind := r.admissionFailure(e); kind != answer.KindNone {
		r.refuseNew(e, kind)
		return
	}
	q := r.newRequest(e)
	q.pool.retryBudget.earn(r.options.retryRatio)
	r.enqueue(q)
	r.dispatchHeld(q.pool)
}

// admissionFailure returns why a request cannot be held, or KindNone.
func (r *Reducer) admissionFailure(e Submit) answer.Kind {
	switch {
	case r.stopping && !r.endsBeforeStop(e):
		return answer.KindStopping
	case r.table == nil:
		return answer.KindNotReady
	}
	org, p := r.organisations[e.Organisation], r.pools[e.Pool]
	switch {
	case org == nil:
		return answer.KindBadKey
	case p == nil && e.Plain:
		return answer.KindUnknownService
	case p == nil:
		return answer.KindUnknownModel
	case org.heldTotal >= org.spec.Queue:
		return answer.KindQueueFull
	case !e.Plain && !p.couldFit(e.Prompt):
		return answer.KindNoTarget
	case r.unavailableUntilDeadline(e, p):
		return answer.KindNoTarget
	case !r.consumeRate(org, p):
		return answer.KindRateLimited
	}
	return answer.KindNone
}

// unavailableUntilDeadline reports whether all targets of a pool are known not to take a request before
// it must be sent. The load pattern that it answers: a failure domain that is cut off from
// all targets of a service, whose callers wait for nothing.
func (r *Reducer) unavailableUntilDeadline(e Submit, p *pool) bool {
	return len(p.targets) > 0 && !e.Deadline.IsZero() && r.earliestRetry(p) > r.sinceEpoch(e.Deadline)
}

// earliestRetry returns when the first target of a pool may take work again, as far as is known.
func (r *Reducer) earliestRetry(p *pool) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, t := range p.targets {
		if !t.leaving && !t.load.Leaving {
			soonest = min(soonest, max(t.breaker.until, r.now))
		}
	}
	return soonest
}

// refuseNew answers a request that was never held.
func (r *Reducer) refuseNew(e Submit, kind answer.Kind) {
	r.counts.Refused++
	retry := kind.Row().Retry
	if org := r.organisations[e.Organisation]; org != nil {
		org.refused++
		if kind == answer.KindQueueFull {
			retry = r.queueDrainTime(org)
		}
		if kind == answer.KindNoTarget {
			if at := r.earliestRetry(r.pools[e.Pool]); at < math.MaxInt64 {
				retry = max(at-r.now, minRetryAfter)
			}
		}
		if kind == answer.KindStopping {
			retry = stoppingRetryAfter
		}
		if kind == answer.KindRateLimited {
			retry = r.rateRetryAfter(org, r.pools[e.Pool])
		}
	}
	basis := Basis{Fleet: r.fleet.Revision}
	if r.table != nil {
		basis.Table = r.table.Version
	}
	if p := r.pools[e.Pool]; p != nil {
		basis.Targets, basis.Open = len(p.targets), r.openTargets(p)
	}
	r.emit(Effect{Kind: EffectRefuse, ID: e.ID, Answer: kind, Retry: retry, Basis: basis})
}

func (e Stop) reduce(r *Reducer) {
	r.stopping, r.stopDeadline = true, 0
	if !e.Until.IsZero() {
		r.stopDeadline = r.sinceEpoch(e.Until)
	}
}

// endsBeforeStop reports whether a new request is sure to end before a stopping host does.
// The load pattern that it answers: whoever sends callers to a host goes on doing so for
// seconds after it has said that it stops, and a long stream would be cut.
func (r *Reducer) endsBeforeStop(e Submit) bool {
	left := r.stopDeadline - r.now
	if r.stopDeadline == 0 || left <= 0 {
		return false
	}
	if e.Plain {
		return !e.End.IsZero() && r.sinceEpoch(e.End) <= r.stopDeadline
	}
	tokens := max(e.Limit, e.Output)
	run := time.Duration(tokens)*stopSlowdown*r.options.stepBase + time.Duration(e.Prompt)*stopSlowdown*r.options.prefillPerToken
	return tokens > 0 && run <= left
}

// A Tick expires what is too old and tries the held again.
func (e Tick) reduce(r *Reducer) {
	r.expirePeers()
	r.ledger.Expire(r.now)
	r.expireHeld()
	r.cancelDisconnected()
	r.evacuate()
	r.dispatchAllHeld()
}

func (r *Reducer) dispatchAllHeld() {
	for _, p := range r.poolList {
		r.dispatchHeld(p)
	}
}
