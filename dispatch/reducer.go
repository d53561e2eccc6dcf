package dispatch

import (
	"cmp"
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/hedge"
	"github.com/wigeonlink/wigeonlink/length"
	"github.com/wigeonlink/wigeonlink/pace"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
)

// A Reducer decides for one host to which targets its requests are dispatched, and when. It holds
// the state that these decisions need and is not safe for concurrent use.
type Reducer struct {
	options          options
	epoch            time.Time     // time of the first event
	now              time.Duration // time of the current event, since epoch
	table            *table.Table
	organisations    map[string]*organisation
	organisationList []*organisation // by name
	pools            map[string]*pool
	poolList         []*pool // by name
	targets          map[string]*targetState
	retired          map[string]*targetState   // targets no longer listed that still run streams of this host
	requests         map[ID]*request           // held and dispatched requests
	freeRequests     []*request                // ended requests, reused by allocateRequest
	peers            map[string]*peer          // by origin
	peerList         []*peer                   // in order of their first report
	disconnected     []ID                      // dispatched requests whose caller disconnected, in that order
	leavingTargets   map[string]bool           // latest LeavingTargets event
	evacuations      map[string]*evacuation    // of the failure domains that are to be evacuated, by name
	withdrawals      map[string]time.Duration  // times at which the evacuation of a failure domain was withdrawn last
	rests            map[process]time.Duration // see targetState.restUntil
	leavers          map[process]time.Duration // processes that have said that they leave, and when that was last recorded
	remoteHosts      map[string]*remoteHost    // hosts whose streams this host records, by origin
	lastRemoteID     uint64                    // number in the ID of the latest request of another host
	delegated        bool                      // whether a coordinator places the requests of this host
	coordinates      bool                      // whether this host places the requests of its failure domain
	failures         []TargetFailures          // failed attempts since the latest HostStreams
	finished         []FinishedStream          // streams that have ended since the latest HostStreams
	withdrawn        []ID                      // see recordWithdrawn
	fleet            Fleet                     // latest Fleet event
	quarantine       quarantine.List           // requests and parts of prompts under which targets crashed
	possibleCrashes  map[string]*possibleCrash // by target, until its probe returns
	trials           map[string]trial          // latest trials that this host has allowed, by pool
	basis            Basis                     // basis of the decision in progress; set by chooseFromSubset
	salt             uint64                    // hash of the origin; makes pseudo-random choices of different hosts differ
	allHosts         int                       // live hosts of all failure domains
	hosts            int                       // live hosts of this failure domain
	hostIndex        int                       // index of this host among the live hosts of this failure domain
	ledger           *share.Ledger
	lengths          *length.Predictor
	hedges           hedge.Policy
	stopping         bool          // whether a Stop event has arrived
	closed           bool          // whether all new requests are refused
	stopDeadline     time.Duration // time by which requests accepted while stopping must end; 0 means none are accepted
	nextWake         time.Duration // earliest Tick that the current event has requested; math.MaxInt64 if none
	candidate        Candidate     // reused by score
	paceEngines      []pace.Engine // reused by refreshPace
	effects          []Effect      // effects of the current event
	counts           Counts
}

const (
	// minRetryAfter is the shortest retry delay sent to callers that are refused because no target
	// is available. It keeps them from retrying at the moment when the first request after the
	// circuit breaker's pause probes the target.
	minRetryAfter = 50 * time.Millisecond
)

// Counts are totals since the reducer was created:
//   - Submitted: new requests and attached generations
//   - Dispatched: dispatches, and attached generations
//   - Retried: dispatches of a request after its first one
//   - Refused: requests refused, whether new, held or after a failed attempt
//   - Ended: requests answered completely
//   - Lost: requests whose attempt failed and was not retried
//   - Resumed: EffectResume effects
//   - Cancelled: EffectCancel effects
//   - Moved: moves that succeeded
//   - NotMoved: moves that failed
//   - Promised: refusals in mixed pools with a promise of when capacity is available
//   - Returned: requests of callers that were promised capacity
//   - Hopeless: requests in mixed pools that were refused on arrival
type Counts struct {
	Submitted, Dispatched, Retried, Refused, Ended, Lost, Resumed, Cancelled, Moved, NotMoved, Promised, Returned, Hopeless int
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
		remoteHosts:   map[string]*remoteHost{},

		withdrawals:     map[string]time.Duration{},
		possibleCrashes: map[string]*possibleCrash{},
		trials:          map[string]trial{},
		leavers:         map[process]time.Duration{},
		rests:           map[process]time.Duration{},
		hosts:           1,
		allHosts:        1,
	}
	for _, o := range opts {
		o.apply(&r.options)
	}
	r.salt = mixBits(uint64(table.HashName(r.options.origin)))
	r.ledger = share.NewLedger(r.options.usageWindow)
	r.hedges = hedge.NewPolicy(r.options.extraAttempts)
	r.lengths = length.NewPredictor(length.WithMedian(r.options.medianOutput))
	return r
}

// Reduce applies an event that occurred at the given time and returns its effects. The
// slice is valid until the next call. If at is before the time of the previous event, the event is
// applied at the time of the previous one.
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

// wakeBy requests a Tick at the given time or earlier.
func (r *Reducer) wakeBy(at time.Duration) { r.nextWake = min(r.nextWake, at) }

// sinceEpoch converts a time to the duration since the reducer's first event. The zero time
// becomes 0.
func (r *Reducer) sinceEpoch(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(r.epoch)
}

// TargetCount returns the number of targets in use.
func (r *Reducer) TargetCount() int { return len(r.targets) }

// Counts returns the totals since the reducer was created.
func (r *Reducer) Counts() Counts { return r.counts }

// Table returns the table in force, or nil before the first TableChange.
func (r *Reducer) Table() *table.Table { return r.table }

// LengthCalibration returns the calibration of the output length predictions.
func (r *Reducer) LengthCalibration() length.Calibration { return r.lengths.Calibration() }

// reduce refuses the request, or holds it and dispatches what its pool has capacity for.
func (e Submit) reduce(r *Reducer) {
	r.counts.Submitted++
	if kind := r.admissionFailure(e); kind != answer.KindNone {
		r.refuseNew(e, kind)
		return
	}
	q := r.newRequest(e)
	p := q.pool
	p.retryBudget.earn(r.options.retryRatio)
	r.hedges.Earn(p.name, e.Organisation)
	r.admit(q)
	r.dispatchHeld(p)
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
	case r.quarantineLeft(e.Parts) > 0:
		return r.quarantineKind(e.Parts)
	case !e.Plain && !p.couldFit(e.PromptTokens):
		return answer.KindNoTarget
	case r.unavailableUntilDeadline(e, p):
		return answer.KindNoTarget
	case !r.consumeRate(org, p):
		return answer.KindRateLimited
	}
	return answer.KindNone
}

// unavailableUntilDeadline reports whether, by the state known to this host, no target of the pool
// will accept the request before its dispatch deadline. Such a request is refused immediately:
// in a failure domain that is partitioned from all targets of a service, callers would
// otherwise wait until their deadline for nothing.
func (r *Reducer) unavailableUntilDeadline(e Submit, p *pool) bool {
	return p.allEvacuated() || !e.DispatchDeadline.IsZero() && r.unavailableUntil(r.sinceEpoch(e.DispatchDeadline), p)
}

// unavailableUntil reports whether, by the state known to this host, no target of the pool will accept requests before
// the given time. It is false for a pool without targets, which may get some.
func (r *Reducer) unavailableUntil(at time.Duration, p *pool) bool {
	return len(p.targets) > 0 && r.earliestRetry(p) > at
}

// earliestRetry returns the earliest time at which the circuit breaker of one of the pool's targets, and its wish
// for rest, allow requests, or math.MaxInt64 if all targets are leaving or in evacuated domains, which are not
// considered.
func (r *Reducer) earliestRetry(p *pool) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, t := range p.targets {
		if !t.isLeavingOrEvacuated() {
			soonest = min(soonest, max(t.nextAllowed(), r.now))
		}
	}
	return soonest
}

// noTargetRetryAfter returns the time until a target of the pool allows requests, or 0 if all are leaving or in
// evacuated domains.
func (r *Reducer) noTargetRetryAfter(p *pool) time.Duration {
	if at := r.earliestRetry(p); at < math.MaxInt64 {
		return max(at-r.now, minRetryAfter)
	}
	return 0
}

// refuseNew refuses a request that was never held.
func (r *Reducer) refuseNew(e Submit, kind answer.Kind) {
	r.counts.Refused++
	retry, readmission := kind.Properties().RetryDelay, Readmission{}
	if org := r.organisations[e.Organisation]; org != nil {
		org.refused++
		if kind == answer.KindQueueFull {
			retry, readmission = r.retryAfterFull(e)
		}
		if kind == answer.KindNoTarget {
			retry = cmp.Or(r.noTargetRetryAfter(r.pools[e.Pool]), retry)
		}
		if kind == answer.KindStopping {
			retry = stoppingRetryAfter
		}
		if kind == answer.KindQuarantined || kind == answer.KindRequestQuarantined {
			retry = r.quarantineLeft(e.Parts)
		}
		if kind == answer.KindRateLimited {
			retry = r.rateRetryAfter(org, r.pools[e.Pool])
		}
	}
	basis := Basis{FleetRevision: r.fleet.Revision, Readmission: readmission}
	if r.table != nil {
		basis.TableVersion = r.table.Version
	}
	if p := r.pools[e.Pool]; p != nil {
		basis.Targets, basis.AcceptingTargets = len(p.targets), r.acceptingTargets(p)
	}
	r.emit(Effect{Kind: EffectRefuse, ID: e.ID, Answer: kind, RetryAfter: retry, Basis: basis})
}

// reduce removes expired state, cancels generations whose callers have not reconnected, moves
// streams off leaving targets and dispatches held requests.
func (e Tick) reduce(r *Reducer) {
	r.expirePeers()
	r.expireRemote()
	r.ledger.Expire(r.now)
	r.expireHeld()
	r.cancelDisconnected()
	r.expireProbes()
	r.expireLeavers()
	r.expireRests()
	r.checkEmptied()
	r.refreshColdTargets()
	r.evacuate()
	r.dispatchAllHeld()
}

// dispatchAllHeld dispatches the held requests of all pools as far as their targets have capacity.
func (r *Reducer) dispatchAllHeld() {
	for _, p := range r.poolList {
		r.dispatchHeld(p)
	}
}
