package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
)

// In a failure domain with several hosts, one of them, the coordinator, places the requests of all:
// each host alone sees a fraction of the load, and the reports of the others are stale when they
// arrive, so that several hosts fill the same free memory, or leave it unused. This file is the part of
// the host that asks; coordinator.go is that of the host that answers.

type (
	// placement says who places a request of this host.
	placement uint8

	// Placed is a coordinator's reply to an EffectPlace.
	Placed struct {
		ID         ID
		Target     string        // empty if the request is refused
		Refusal    answer.Kind   // KindNone if there is a target
		RetryAfter time.Duration // of a refusal
	}

	// PlacementFailed reports that no coordinator has replied to an EffectPlace. The host places
	// the request itself.
	PlacementFailed struct{ ID ID }

	// MoveOrder is a coordinator's order to move a stream of this host to another target.
	MoveOrder struct {
		ID       ID
		From, To string // names of the targets
	}

	// A PlacementRequest asks a coordinator for the target of a request.
	PlacementRequest struct {
		Origin              string // host and incarnation that ask
		ID                  ID     // of the request on that host
		Name                string // identifier of the request in event logs
		Organisation        string
		Pool                string
		Route               string
		PromptTokens        int
		PrefixHash          uint64
		PrefixTokens        int
		MaxOutputTokens     int
		KnownOutputTokens   int
		Excluded            []string // names of targets that are not to be chosen
		FirstTokenObjective time.Duration
		PauseObjective      time.Duration // 0 means none, or that the host does not state it
		Remaining           time.Duration // time in which the request must be dispatched
		Waited              time.Duration // time since the request arrived
		Attempt             int           // number of the dispatch, from 1
		Subject             uint64        // see Submit.Subject
		Deadline            time.Duration // time until the caller's deadline; 0 means not stated
	}

	// StreamState describes a running stream of a host to its coordinators.
	StreamState struct {
		ID                        ID
		Name                      string // identifier in event logs
		Organisation, Pool, Route string
		Target                    string
		PromptTokens, Tokens      int // prompt, and output delivered so far
		MaxOutput, KnownOutput    int // 0 means none and unknown
		Moving                    bool
		PauseObjective            time.Duration // 0 means none, or that the host does not state it
	}

	// A FinishedStream is a stream that a host has delivered to its end.
	FinishedStream struct {
		ID     ID
		Tokens int // length of the output

		LongestPause time.Duration // between two events; 0 means that the host does not state it
	}

	// TargetFailures counts attempts at a target that failed.
	TargetFailures struct {
		Target string
		Count  int
	}
)

// placementRetryInterval is the delay before a host asks again because it cannot use the target that
// the coordinator chose.
const placementRetryInterval = 20 * time.Millisecond

const (
	placementNone   placement = iota // not decided: the coordinator if there is one, or else this host
	placementAsked                   // the coordinator was asked
	placementRemote                  // the coordinator has placed the request
	placementLocal                   // this host, because no coordinator has answered
)

// delegates reports whether a coordinator places the requests for a pool.
func (r *Reducer) delegates(p *pool) bool { return r.delegated && r.options.hold && !p.plain }

// askForHeld emits EffectPlace for the held requests of a pool that a coordinator is to place and
// that are not in backoff.
func (r *Reducer) askForHeld(p *pool) {
	for _, queue := range p.queues {
		for _, q := range queue.held {
			switch {
			case q.placement != placementNone || q.remote != nil:
			case q.notBefore > r.now:
				r.wakeBy(q.notBefore)
			case r.needsTrial(q):
				r.askTrial(q)
			default:
				q.placement = placementAsked
				r.emit(Effect{Kind: EffectPlace, ID: q.id, Placement: r.placementRequest(q)})
			}
		}
	}
}

// placementRequest returns the question about a held request. Targets that this host cannot reach
// are excluded, even if the coordinator can reach them, and those at which the request would not end before this host stops.
func (r *Reducer) placementRequest(q *request) *PlacementRequest {
	a := &PlacementRequest{
		Origin: r.options.origin, ID: q.id, Name: q.name, Organisation: q.organisation.spec.Name, Pool: q.pool.name, Route: q.lengthKey.Route,
		PromptTokens: q.prompt, PrefixHash: q.prefix, PrefixTokens: q.prefixTokens, MaxOutputTokens: q.maxOutput, KnownOutputTokens: q.knownOutput,
		FirstTokenObjective: q.firstTokenObjective, PauseObjective: q.pauseObjective, Remaining: min(q.holdDeadline, r.latestStart(q, nil)) - r.now, Waited: r.now - q.arrived, Attempt: q.attempts + 1,
	}
	a.Subject = q.subject
	if q.hasDeadline {
		a.Deadline = max(q.callerDeadline-r.now, 0)
	}
	if q.pool.isMixed() {
		a.Remaining = max(a.Remaining-promiseLead, 0)
	}
	for _, t := range q.triedTargets {
		a.Excluded = append(a.Excluded, t.spec.Name)
	}
	for _, t := range q.pool.targets {
		if (!t.allows(r.now) || r.latestStart(q, t) < r.now) && !slices.Contains(a.Excluded, t.spec.Name) {
			a.Excluded = append(a.Excluded, t.spec.Name)
		}
	}
	return a
}

// reduce dispatches the request to the target that the coordinator chose, or refuses it. A target
// that this host does not list, or lists as leaving, is excluded and the coordinator is asked again.
func (e Placed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseHeld || q.placement != placementAsked {
		return
	}
	q.placement = placementNone
	if r.stopping && e.Refusal == answer.KindDeadline {
		r.refuseHeldForStop(q) // the coordinator's time was that until the stop
		return
	}
	if e.Refusal != answer.KindNone {
		r.dequeue(q)
		r.refuse(q, e.Refusal, e.RetryAfter)
		return
	}
	t := r.targets[e.Target]
	if t == nil || !t.acceptsWork(r.now, 0) || slices.Contains(q.triedTargets, t) {
		if t != nil {
			q.triedTargets = append(q.triedTargets, t)
		}
		q.notBefore = r.now + placementRetryInterval
		r.wakeBy(q.notBefore)
		return
	}
	if r.latestStart(q, t) < r.now {
		r.refuseHeldForStop(q)
		return
	}
	q.placement = placementRemote
	r.basis = r.newBasis(q)
	r.dispatch(q, t)
}

// reduce makes this host place the request.
func (e PlacementFailed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseHeld || q.placement != placementAsked {
		return
	}
	q.placement = placementLocal
	r.dispatchHeld(q.pool)
}

// reduce starts the move, unless the stream runs elsewhere by now or is being moved.
func (e MoveOrder) reduce(r *Reducer) {
	q, t := r.requests[e.ID], r.targets[e.To]
	if q == nil || q.phase != phaseDispatched || q.target.spec.Name != e.From || q.moveReservation.target != nil || !r.canRunAt(t) {
		return
	}
	if !q.target.leaving && !q.target.evacuated {
		q.target.setLeaving(true, r.now)
	}
	if backup := r.usableBackup(q); backup != nil {
		t = backup
	}
	r.emitMove(q, t, t == q.backup.target)
}

// movesElsewhere reports whether another host decides about the moves of q: the coordinator, also for the streams that
// this host records because it stands by. Two hosts that order moves off one target choose different streams and
// destinations, whose copies share the target's link. The coordinator has no record of the backups of other
// hosts' streams; a stream with one needs no order.
func (r *Reducer) movesElsewhere(q *request) bool {
	if q.remote != nil {
		return !r.coordinates
	}
	return r.delegated && q.placement == placementRemote && r.usableBackup(q) == nil
}

// HostStreams returns the report of this host's streams to the coordinators of its failure
// domain: those that are running, and what has ended or failed since the previous call. The caller
// must set Origin and Sequence.
func (r *Reducer) HostStreams() HostStreams {
	e := HostStreams{Failures: r.failures, Finished: r.finished, Withdrawn: r.withdrawn}
	r.failures, r.finished, r.withdrawn = nil, nil, nil
	for _, q := range r.requests {
		if q.phase != phaseDispatched || q.plain || q.remote != nil {
			continue
		}
		e.Streams = append(e.Streams, StreamState{
			ID: q.id, Name: q.name, Organisation: q.organisation.spec.Name, Pool: q.pool.name, Route: q.lengthKey.Route, Target: q.target.spec.Name,
			PromptTokens: q.prompt, Tokens: q.tokens, MaxOutput: q.maxOutput, KnownOutput: q.knownOutput,
			Moving: q.moveReservation.target != nil, PauseObjective: q.pauseObjective,
		})
	}
	slices.SortFunc(e.Streams, func(a, b StreamState) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

// recordWithdrawn adds a request that ends while a coordinator is asked for its place to the next report to the coordinators, which
// would keep room for it until the question expires.
func (r *Reducer) recordWithdrawn(q *request) {
	if r.delegated && q.placement == placementAsked {
		r.withdrawn = append(r.withdrawn, q.id)
	}
}

// recordFinished adds a stream that has ended to the next report to the coordinators.
func (r *Reducer) recordFinished(q *request, longestPause time.Duration) {
	if r.delegated && !q.plain {
		r.finished = append(r.finished, FinishedStream{q.id, q.tokens, longestPause})
	}
}

// recordFailure counts a failed attempt for the next report to the coordinators.
func (r *Reducer) recordFailure(t *targetState) {
	if !r.delegated {
		return
	}
	i := slices.IndexFunc(r.failures, func(f TargetFailures) bool { return f.Target == t.spec.Name })
	if i < 0 {
		i = len(r.failures)
		r.failures = append(r.failures, TargetFailures{Target: t.spec.Name})
	}
	r.failures[i].Count++
}
