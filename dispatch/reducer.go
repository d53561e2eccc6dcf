package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/length"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
)

// A Reducer holds the dispatch state of one host. It is not safe for concurrent use.
type Reducer struct {
	options          options
	epoch            time.Time
	now              time.Duration // time of the current event, since epoch
	table            *table.Table
	organisations    map[string]*organisation
	organisationList []*organisation // by name
	pools            map[string]*pool
	poolList         []*pool // by name
	targets          map[string]*targetState
	retired          map[string]*targetState // targets no longer listed that still run streams of this host
	requests         map[ID]*request
	freeRequests     []*request
	peers            map[string]*peer
	peerList         []*peer // in order of their first report
	disconnected     []ID    // dispatched requests whose caller disconnected, in that order
	leavingTargets   map[string]bool
	fleet            Fleet
	basis            Basis  // basis of the decision in progress; set by chooseFromSubset
	salt             uint64 // hash of the origin; makes the hash-based draws of hosts differ
	allHosts         int    // live hosts of all failure domains
	hosts            int    // live hosts of this failure domain
	hostIndex        int
	turnDuration     time.Duration
	ledger           *share.Ledger
	lengths          *length.Predictor
	stopping         bool
	stopDeadline     time.Duration // time by which requests accepted while stopping must end; 0 means none are accepted
	nextWake         time.Duration
	candidate        Candidate // reused by score
	effects          []Effect
	counts           Counts
}

const (
	// stoppingRetryAfter is the retry delay sent to callers that a stopping host refuses. It is
	// short because other hosts can take the request immediately.
	stoppingRetryAfter = 100 * time.Millisecond

	// minRetryAfter is the shortest retry delay of a refusal for lack of an available target.
	// It keeps callers from retrying at the moment when the first request probes the target.
	minRetryAfter = 50 * time.Millisecond

	// stopSlowdown is the assumed slowdown of an engine relative to an empty one when the
	// host decides whether a stream ends before the host stops.
	stopSlowdown = 3
)

// Counts are totals since the reducer was created.
type Counts struct {
	Submitted, Dispatched, Retried, Refused, Ended, Lost, Resumed, Cancelled, Moved, NotMoved int
}

// NewReducer returns a reducer without a table. It refuses requests until the first
// TableChange.
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
	r.salt = mixBits(uint64(table.HashName(r.options.origin)))
	r.ledger = share.NewLedger(r.options.usageWindow)
	r.lengths = length.NewPredictor(length.WithMedian(r.options.medianOutput))
	return r
}

// Reduce applies an event that occurred at the given time and returns its effects. The
// slice is valid until the next call. Time is monotonic: a time before that of the
// previous event is replaced by it.
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

// wakeBy requests a Tick no later than at.
func (r *Reducer) wakeBy(at time.Duration) { r.nextWake = min(r.nextWake, at) }

// sinceEpoch converts a time to the duration since the reducer's first event. The zero time
// becomes 0.
func (r *Reducer) sinceEpoch(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(r.epoch)
}

// Counts returns the totals since the reducer was created.
func (r *Reducer) Counts() Counts { return r.counts }

// Table returns the table in force, or nil before the first TableChange.
func (r *Reducer) Table() *table.Table { return r.table }

// LengthCalibration returns the calibration of the output length predictions.
func (r *Reducer) LengthCalibration() length.Calibration { return r.lengths.Calibration() }

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

// admissionFailure returns the reason why a request cannot be held, or KindNone if it can.
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
	case org.heldTotal >= org.spec.MaxQueued:
		return answer.KindQueueFull
	case !e.Plain && !p.couldFit(e.PromptTokens):
		return answer.KindNoTarget
	case r.unavailableUntilDeadline(e, p):
		return answer.KindNoTarget
	case !r.consumeRate(org, p):
		return answer.KindRateLimited
	}
	return answer.KindNone
}

// unavailableUntilDeadline reports whether no target of a pool can accept the request before
// its dispatch deadline, as far as this host can tell. Such a request is refused immediately:
// in a failure domain that is partitioned from all targets of a service, callers would
// otherwise wait until their deadline for nothing.
func (r *Reducer) unavailableUntilDeadline(e Submit, p *pool) bool {
	return len(p.targets) > 0 && !e.DispatchDeadline.IsZero() && r.earliestRetry(p) > r.sinceEpoch(e.DispatchDeadline)
}

// earliestRetry returns the earliest time at which the circuit breaker of any target of the
// pool that is not leaving admits work, or math.MaxInt64 if all targets are leaving.
func (r *Reducer) earliestRetry(p *pool) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, t := range p.targets {
		if !t.leaving && !t.load.Leaving {
			soonest = min(soonest, max(t.breaker.until, r.now))
		}
	}
	return soonest
}

// refuseNew refuses a request that was never held.
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
	basis := Basis{FleetRevision: r.fleet.Revision}
	if r.table != nil {
		basis.TableVersion = r.table.Version
	}
	if p := r.pools[e.Pool]; p != nil {
		basis.Targets, basis.OpenTargets = len(p.targets), r.openTargets(p)
	}
	r.emit(Effect{Kind: EffectRefuse, ID: e.ID, Answer: kind, RetryAfter: retry, Basis: basis})
}

func (e Stop) reduce(r *Reducer) {
	r.stopping, r.stopDeadline = true, 0
	if !e.Until.IsZero() {
		r.stopDeadline = r.sinceEpoch(e.Until)
	}
}

// endsBeforeStop reports whether a new request is sure to end before the host stops.
// Load balancers keep sending callers to a host for seconds after it has announced that it
// stops; a stream that outlives the host would be cut off.
func (r *Reducer) endsBeforeStop(e Submit) bool {
	left := r.stopDeadline - r.now
	if r.stopDeadline == 0 || left <= 0 {
		return false
	}
	if e.Plain {
		return !e.CallerDeadline.IsZero() && r.sinceEpoch(e.CallerDeadline) <= r.stopDeadline
	}
	tokens := max(e.MaxOutputTokens, e.KnownOutputTokens)
	run := time.Duration(tokens)*stopSlowdown*r.options.stepBase + time.Duration(e.PromptTokens)*stopSlowdown*r.options.prefillPerToken
	return tokens > 0 && run <= left
}

// reduce removes expired state, moves streams off leaving targets and retries held requests.
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
