package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/length"
)

type (
	// PlacementAsked is a request of another host for a target. The host repeats it until it gets
	// an answer, an EffectPlaced.
	PlacementAsked struct{ PlacementRequest }

	// HostStreams lists all running streams of another host whose requests this host places, or
	// will place when it takes over from the coordinator.
	HostStreams struct {
		Origin   string // host and incarnation
		Sequence uint64
		Streams  []StreamState
		Failures []TargetFailures
		Finished []FinishedStream

		Withdrawn []ID // requests that have ended while they waited for a place
	}

	// remoteID identifies a request of another host.
	remoteID struct {
		origin string
		id     ID
	}

	// remoteHost is what a coordinator records about another host of its failure domain.
	remoteHost struct {
		sequence   uint64
		reportedAt time.Duration // time of the latest HostStreams
		requests   map[ID]*request
	}

	// remoteState is the part of a request that is kept if it is one of another host.
	remoteState struct {
		remoteID
		askedAt      time.Duration // time of the latest PlacementAsked
		reportNumber uint64        // sequence number of the latest HostStreams that lists the stream; 0 means none
		orderedAt    time.Duration // time of the latest order to move the stream
	}
)

const (
	// remoteAskExpiry is the time without a repeated question after which a held request of
	// another host is dropped: its caller has left or the host has failed.
	remoteAskExpiry = time.Second

	// remoteHostExpiry is the time without a report after which the streams of another host count
	// as ended: engines cancel them when the connection of a failed host is closed.
	remoteHostExpiry = 2 * time.Second

	// reportLag is the time within which a host first reports a stream after the coordinator has
	// placed it.
	reportLag = time.Second

	// orderLag is the time within which a host reports a move after the coordinator has ordered it.
	orderLag = 400 * time.Millisecond

	// remoteRequestBit distinguishes the IDs of other hosts' requests from this host's own.
	remoteRequestBit = ID(1) << 63
)

// reduce holds a request of another host until a target has capacity for it. If the request is
// placed already, as the answer was lost, the answer is repeated.
func (e PlacementAsked) reduce(r *Reducer) {
	key := remoteID{e.Origin, e.ID}
	switch q := r.remoteRequest(key); {
	case q == nil:
	case q.phase == phaseHeld:
		q.remote.askedAt = r.now
		return
	case q.attempts >= e.Attempt:
		r.emitPlaced(q)
		return
	default:
		// The host asks for another attempt; the one placed before has failed.
		r.endRemote(q)
	}
	s := Submit{
		Name: e.Name, Organisation: e.Organisation, Pool: e.Pool, NonIdempotent: true, Route: e.Route, PromptTokens: e.PromptTokens,
		PrefixHash: e.PrefixHash, PrefixTokens: e.PrefixTokens, MaxOutputTokens: e.MaxOutputTokens, KnownOutputTokens: e.KnownOutputTokens,
		FirstTokenObjective: e.FirstTokenObjective, PauseObjective: e.PauseObjective, DispatchDeadline: r.epoch.Add(r.now + e.Remaining), Subject: e.Subject,
	}
	if p := r.pools[e.Pool]; e.Deadline > 0 && p != nil && p.isMixed() {
		s.CallerDeadline = r.epoch.Add(r.now + e.Deadline)
	}
	if kind := r.remoteAdmissionFailure(s); kind != answer.KindNone {
		retry, basis := kind.Properties().RetryDelay, Basis{}
		if kind == answer.KindQueueFull && r.pools[e.Pool].isMixed() {
			s.ID = r.nextRemoteID()
			retry, basis.Readmission = r.retryAfterFull(s)
		}
		r.emit(Effect{Kind: EffectPlaced, Remote: key.origin, ID: key.id, Name: e.Name, Answer: kind, RetryAfter: retry, Basis: basis})
		return
	}
	s.ID = r.nextRemoteID()
	q := r.newRequest(s)
	q.remote = &remoteState{remoteID: key, askedAt: r.now}
	for _, name := range e.Excluded {
		if t := r.targets[name]; t != nil {
			q.triedTargets = append(q.triedTargets, t)
		}
	}
	q.arrived -= e.Waited
	q.attempts = e.Attempt - 1
	r.hostOf(e.Origin).requests[e.ID] = q
	p := q.pool
	r.admit(q)
	r.dispatchHeld(p)
}

// remoteAdmissionFailure returns the reason why another host's request cannot be placed, or
// KindNone. That host has checked the key and the rate.
func (r *Reducer) remoteAdmissionFailure(s Submit) answer.Kind {
	org, p := r.organisations[s.Organisation], r.pools[s.Pool]
	switch {
	case r.stopping || r.table == nil || org == nil || p == nil:
		return answer.KindStopping // another coordinator may accept it
	case org.heldTotal >= org.spec.MaxQueued:
		return answer.KindQueueFull
	case r.unavailableUntilDeadline(s, p):
		return answer.KindNoTarget
	}
	return answer.KindNone
}

func (r *Reducer) nextRemoteID() ID {
	r.lastRemoteID++
	return remoteRequestBit | ID(r.lastRemoteID)
}

// hostOf returns the record of another host, and creates it if needed.
func (r *Reducer) hostOf(origin string) *remoteHost {
	o := r.remoteHosts[origin]
	if o == nil {
		o = &remoteHost{requests: map[ID]*request{}, reportedAt: r.now}
		r.remoteHosts[origin] = o
	}
	return o
}

// sorted returns the requests in the order in which this host recorded them, so that the result of an
// event does not depend on the order of a map.
func (o *remoteHost) sorted() []*request {
	return slices.SortedFunc(maps.Values(o.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

func (r *Reducer) remoteRequest(key remoteID) *request {
	if o := r.remoteHosts[key.origin]; o != nil {
		return o.requests[key.id]
	}
	return nil
}

// emitPlaced emits the answer that names the target of another host's request.
func (r *Reducer) emitPlaced(q *request) {
	r.emit(Effect{Kind: EffectPlaced, Remote: q.remote.origin, ID: q.remote.id, Name: q.name, Target: q.target.spec.Name, Basis: r.basis})
}

// reduce brings the recorded streams of the host up to date: it adds streams that other
// coordinators, or the host itself, have placed, and ends those that have finished or that the host
// no longer lists.
func (e HostStreams) reduce(r *Reducer) {
	o := r.hostOf(e.Origin)
	if e.Sequence <= o.sequence || r.table == nil {
		return
	}
	o.sequence, o.reportedAt = e.Sequence, r.now
	for _, f := range e.Failures {
		r.applyFailures(f)
	}
	for _, f := range e.Finished {
		if q := o.requests[f.ID]; q != nil && q.phase == phaseDispatched {
			r.chargeTokens(q, f.Tokens)
			r.lengths.Observe(q.lengthKey, f.Tokens)
			q.target.failureRate.record(0, r.now)
			r.finishPace(q, f.LongestPause)
			r.endRemote(q)
		}
	}
	for _, id := range e.Withdrawn {
		r.withdraw(o.requests[id])
	}
	for i := range e.Streams {
		r.applyStream(o, e.Origin, &e.Streams[i])
	}
	for _, q := range o.sorted() {
		if q.phase == phaseDispatched && q.remote.reportNumber != e.Sequence && (q.remote.reportNumber != 0 || r.now-q.dispatchedAt >= reportLag) {
			r.endRemote(q)
		}
	}
	r.evacuate()
	r.dispatchAllHeld()
}

// withdraw removes a request that its host has refused, or whose caller has left, before the host had a place for it. q is nil if
// there is no record of it.
func (r *Reducer) withdraw(q *request) {
	switch {
	case q == nil:
	case q.phase == phaseHeld:
		r.dequeue(q)
		r.removeRemote(q)
	case q.remote.reportNumber == 0:
		r.endRemote(q) // the place has arrived too late
	}
}

// applyFailures records another host's failed attempts at a target.
func (r *Reducer) applyFailures(f TargetFailures) {
	t := r.targets[f.Target]
	if t == nil {
		return
	}
	for range f.Count {
		t.failureRate.record(1, r.now)
	}
}

// applyStream applies the state of one stream.
func (r *Reducer) applyStream(o *remoteHost, origin string, s *StreamState) {
	t := r.targets[s.Target]
	if t == nil {
		t = r.retired[s.Target]
	}
	q := o.requests[s.ID]
	if q != nil && q.phase == phaseHeld {
		r.dequeue(q) // the host has placed the request itself or through another coordinator
		r.removeRemote(q)
		q = nil
	}
	if t == nil || q == nil && (r.organisations[s.Organisation] == nil || r.pools[s.Pool] == nil) {
		return
	}
	if q == nil {
		q = r.addRemoteStream(origin, s, t)
		o.requests[s.ID] = q
	}
	q.remote.reportNumber = o.sequence
	if q.target != t {
		r.applyMove(q, t)
	} else if q.moveReservation.target != nil && !s.Moving && r.now-q.remote.orderedAt >= orderLag {
		q.triedTargets = append(q.triedTargets, q.moveReservation.target)
		r.endMove(q)
		r.counts.NotMoved++
	}
	if s.Tokens > q.tokens {
		r.recordTokens(q, &Sample{ID: q.id, Tokens: s.Tokens, LastToken: r.epoch.Add(r.now)})
	}
}

// addRemoteStream records a running stream of another host that this host has not placed.
func (r *Reducer) addRemoteStream(origin string, s *StreamState, t *targetState) *request {
	q := r.allocateRequest()
	q.id, q.organisation, q.pool = r.nextRemoteID(), r.organisations[s.Organisation], r.pools[s.Pool]
	q.name, q.nonIdempotent = s.Name, true
	q.remote = &remoteState{remoteID: remoteID{origin, s.ID}}
	q.prompt, q.tokens, q.maxOutput, q.knownOutput = s.PromptTokens, s.Tokens, s.MaxOutput, s.KnownOutput
	q.arrived, q.attempts, q.pauseObjective = r.now, 1, s.PauseObjective
	q.lengthKey = length.Key{Organisation: s.Organisation, Model: s.Pool, Route: s.Route}
	q.curve = r.lengths.Curve(q.lengthKey)
	r.requests[q.id] = q
	r.assign(q, t)
	if s.Tokens > 0 {
		t.pendingPrefill -= q.pendingPrefill
		q.pendingPrefill = 0
		q.lastToken = r.now
	}
	return q
}

// applyMove records that a stream runs at another target now.
func (r *Reducer) applyMove(q *request, to *targetState) {
	r.endMove(q)
	r.changeTarget(q, to)
	r.counts.Moved++
}

// endRemote removes a dispatched stream of another host.
func (r *Reducer) endRemote(q *request) {
	r.detach(q)
	r.removeRemote(q)
}

// removeRemote removes a request of another host that is neither held nor dispatched any more.
func (r *Reducer) removeRemote(q *request) {
	if o := r.remoteHosts[q.remote.origin]; o != nil && o.requests[q.remote.id] == q {
		delete(o.requests, q.remote.id)
	}
	r.releaseRequest(q)
}

// expireRemote drops the held requests about which their host no longer asks, and the streams of
// hosts that no longer report.
func (r *Reducer) expireRemote() {
	for _, origin := range slices.Sorted(maps.Keys(r.remoteHosts)) {
		o := r.remoteHosts[origin]
		silent := r.now-o.reportedAt >= remoteHostExpiry
		for _, q := range o.sorted() {
			switch {
			case q.phase == phaseHeld && r.now-q.remote.askedAt >= remoteAskExpiry:
				r.dequeue(q)
				r.removeRemote(q)
			case q.phase == phaseDispatched && silent && r.now-q.dispatchedAt >= remoteHostExpiry:
				r.endRemote(q)
			}
		}
		if silent && len(o.requests) == 0 {
			delete(r.remoteHosts, origin)
		}
	}
}

// returnRemoteHeld refuses the held requests of other hosts because this host stops. The hosts ask
// another coordinator.
func (r *Reducer) returnRemoteHeld() {
	for _, origin := range slices.Sorted(maps.Keys(r.remoteHosts)) {
		for _, q := range r.remoteHosts[origin].sorted() {
			if q.phase == phaseHeld {
				r.refuseHeldForStop(q)
			}
		}
	}
}
