package host

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// placements holds the questions of other hosts that wait for the reducer's answer, by the
	// host and the ID of the request there.
	placements struct {
		mu      sync.Mutex
		waiting map[placementKey]chan dispatch.Effect
	}

	placementKey struct {
		origin string
		id     dispatch.ID
	}

	// suspects holds the coordinators that did not answer, with the time until which they are
	// asked after the others.
	suspects struct {
		mu    sync.Mutex
		until map[string]time.Time
	}
)

const (
	// placementWait is the time after which a coordinator answers that a request still waits. The
	// host asks again then, and thus detects soon that a coordinator has failed.
	placementWait = 200 * time.Millisecond

	// placementTimeout is the time without an answer after which a host asks the next
	// coordinator. It exceeds placementWait by several round trips and by a turn of a busy
	// coordinator's processor.
	placementTimeout = placementWait + 150*time.Millisecond

	// suspectTime is the time for which a coordinator that has not answered is asked after the
	// others. By then it has answered again or counts as down.
	suspectTime = time.Second
)

// place asks the coordinators of the failure domain for a target until one of them answers, and
// passes the answer to the reducer.
func (h *Host) place(r *dispatch.PlacementRequest) {
	asked := time.Now()
	q := placementToWire(r)
	ctx, cancel := context.WithTimeout(context.Background(), max(r.Remaining, 0)+placementTimeout)
	defer cancel()
	for ctx.Err() == nil {
		a, from := h.askCoordinators(ctx, q)
		if a == nil {
			h.log.Emit(event.PlacementLost, event.Fields{Request: r.Name, Values: []any{"ms", time.Since(asked).Milliseconds()}})
			h.Post(dispatch.PlacementFailed{ID: r.ID})
			return
		}
		if a.Target != "" || a.Refusal != 0 {
			h.log.Emit(event.RequestPlaced, event.Fields{
				Request: r.Name, Peer: from, Target: a.Target, Organisation: r.Organisation,
				Values: append([]any{"ms", time.Since(asked).Milliseconds(), "refusal", answer.Kind(a.Refusal).String(), "attempt", r.Attempt}, h.StopValues(time.Now())...),
			})
			h.Post(dispatch.Placed{
				ID: r.ID, Target: a.Target, Refusal: answer.Kind(a.Refusal), RetryAfter: time.Duration(a.Retry) * time.Millisecond,
			})
			return
		}
		if !h.isHeld(r.ID) {
			return // the caller has left
		}
		q.Waited = uint32((r.Waited + time.Since(asked)).Milliseconds())
		q.Within = uint32(max(r.Remaining-time.Since(asked), 0).Milliseconds())
		if r.Deadline > 0 {
			q.Deadline = uint32(max(r.Deadline-time.Since(asked), time.Millisecond).Milliseconds())
		}
	}
	h.Post(dispatch.PlacementFailed{ID: r.ID})
}

// isHeld reports whether the request is still on the event loop.
func (h *Host) isHeld(id dispatch.ID) bool {
	held := false
	h.Inspect(func(*dispatch.Reducer) { held = h.requests[id] != nil })
	return held
}

// askCoordinators asks the coordinators in order of precedence, those under suspicion last. It
// returns the first answer with the name of the host that gave it, or nil.
func (h *Host) askCoordinators(ctx context.Context, q *wire.Place) (*wire.Placed, string) {
	for _, p := range h.suspects.last(h.mesh.Coordinators(), time.Now()) {
		if p.Young {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, placementTimeout)
		a, _, err := h.mesh.Ask(askCtx, p, &wire.Question{Place: q})
		cancel()
		switch {
		case err != nil:
			h.suspects.add(p.Host, time.Now())
			h.log.Emit(event.PeerRefused, event.Fields{Peer: p.Host, Detail: "no placement: " + err.Error()})
		case a.Placed != nil && !a.Placed.Declined:
			return a.Placed, p.Host
		}
	}
	return nil, ""
}

// last moves the suspects among the given peers to the end.
func (s *suspects) last(ps []peer.Peer, now time.Time) []peer.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]peer.Peer, 0, len(ps))
	var suspected []peer.Peer
	for _, p := range ps {
		if now.Before(s.until[p.Host]) {
			suspected = append(suspected, p)
		} else {
			out = append(out, p)
		}
	}
	return append(out, suspected...)
}

func (s *suspects) add(host string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[host] = now.Add(suspectTime)
}

// answerPlace passes another host's question to the reducer and waits for the answer, at most for
// placementWait.
func (h *Host) answerPlace(ctx context.Context, q *wire.Place) *wire.Placed {
	if !h.Ready() {
		return &wire.Placed{Declined: true}
	}
	key := placementKey{q.Origin, dispatch.ID(q.Id)}
	answered := h.placements.add(key)
	defer h.placements.remove(key, answered)
	h.Post(dispatch.PlacementAsked{PlacementRequest: placementFromWire(q)})
	ctx, cancel := context.WithTimeout(ctx, placementWait)
	defer cancel()
	select {
	case f := <-answered:
		if f.Answer == answer.KindStopping {
			return &wire.Placed{Declined: true}
		}
		return &wire.Placed{Target: f.Target, Refusal: uint32(f.Answer), Retry: uint32(f.RetryAfter.Milliseconds())}
	case <-ctx.Done():
		return &wire.Placed{}
	}
}

func (s *placements) add(key placementKey) chan dispatch.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = map[placementKey]chan dispatch.Effect{}
	}
	answered := make(chan dispatch.Effect, 1)
	s.waiting[key] = answered
	return answered
}

// remove removes a question, unless a repetition has replaced it.
func (s *placements) remove(key placementKey, answered chan dispatch.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[key] == answered {
		delete(s.waiting, key)
	}
}

// deliver passes an answer to the question that waits for it. Without one, the next repetition of
// the question gets the answer from the reducer.
func (s *placements) deliver(f dispatch.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered := s.waiting[placementKey{f.Remote, f.ID}]; answered != nil {
		select {
		case answered <- f:
		default:
		}
	}
}

// performRemote performs an effect for a request of another host.
func (h *Host) performRemote(f dispatch.Effect) {
	switch f.Kind {
	case dispatch.EffectPlaced:
		h.logPlacement(f)
		h.placements.deliver(f)
	case dispatch.EffectMove:
		h.orderMove(f)
	}
}

// logPlacement logs a coordinator's decision about another host's request.
func (h *Host) logPlacement(f dispatch.Effect) {
	values := append(h.basisValues(f.Basis), "origin", f.Remote)
	if f.Answer != answer.KindNone {
		values = append(values, "refusal", f.Answer.String())
	}
	h.logReadmission(f, f.Name)
	h.log.Emit(event.PlacementDecided, event.Fields{Request: f.Name, Target: f.Target, Values: append(values, h.StopValues(time.Now())...)})
}

// orderMove sends another host the order to move one of its streams.
func (h *Host) orderMove(f dispatch.Effect) {
	h.log.Emit(event.MoveAsked, event.Fields{Request: f.Name, Target: f.Target, Values: append(h.basisValues(f.Basis), "to", f.To.Name, "origin", f.Remote)})
	for _, p := range h.livePeers() {
		if originOf(p.Host, p.Incarnation) == f.Remote {
			order := &wire.Order{Id: uint64(f.ID), From: f.Target, Target: f.To.Name}
			go h.mesh.Send(context.Background(), p, &wire.Report{Orders: []*wire.Order{order}})
			return
		}
	}
	// The host is down; its streams expire.
}

// Streams returns the host's running streams for its coordinators.
func (h peerHandler) Streams() *wire.Streams {
	var e dispatch.HostStreams
	if !h.Inspect(func(r *dispatch.Reducer) { e = r.HostStreams() }) {
		return nil
	}
	out := &wire.Streams{}
	for i := range e.Streams {
		out.Streams = append(out.Streams, streamToWire(&e.Streams[i]))
	}
	for _, f := range e.Failures {
		out.Failures = append(out.Failures, &wire.Failure{Target: f.Target, Count: uint32(f.Count)})
	}
	for _, id := range e.Withdrawn {
		out.Withdrawn = append(out.Withdrawn, uint64(id))
	}
	for _, f := range e.Finished {
		out.Finished = append(out.Finished, &wire.Finish{Id: uint64(f.ID), Tokens: uint32(f.Tokens), Pause: uint32(f.LongestPause.Milliseconds())})
	}
	return out
}

// handleStreams passes another host's list of its streams to the reducer.
func (h peerHandler) handleStreams(r *wire.Report) {
	e := dispatch.HostStreams{Origin: originOf(r.Host, r.Incarnation), Sequence: r.Sequence}
	for _, s := range r.Streams.Streams {
		e.Streams = append(e.Streams, streamFromWire(s))
	}
	for _, f := range r.Streams.Failures {
		e.Failures = append(e.Failures, dispatch.TargetFailures{Target: f.Target, Count: int(f.Count)})
	}
	for _, f := range r.Streams.Finished {
		e.Finished = append(e.Finished, dispatch.FinishedStream{
			ID: dispatch.ID(f.Id), Tokens: int(f.Tokens), LongestPause: time.Duration(f.Pause) * time.Millisecond,
		})
	}
	for _, id := range r.Streams.Withdrawn {
		e.Withdrawn = append(e.Withdrawn, dispatch.ID(id))
	}
	h.Post(e)
}

// handleOrders passes a coordinator's orders to move streams to the reducer.
func (h peerHandler) handleOrders(r *wire.Report) {
	for _, o := range r.Orders {
		h.Post(dispatch.MoveOrder{ID: dispatch.ID(o.Id), From: o.From, To: o.Target})
	}
	h.mesh.ReportStreams()
}

func streamToWire(s *dispatch.StreamState) *wire.Stream {
	return &wire.Stream{
		Id: uint64(s.ID), Name: s.Name, Organisation: s.Organisation, Pool: s.Pool, Route: s.Route, Target: s.Target,
		Prompt: uint32(s.PromptTokens), Tokens: uint32(s.Tokens), Limit: uint32(s.MaxOutput), Output: uint32(s.KnownOutput), Moving: s.Moving,
		Pause: uint32(s.PauseObjective.Milliseconds()),
	}
}

func streamFromWire(s *wire.Stream) dispatch.StreamState {
	return dispatch.StreamState{
		ID: dispatch.ID(s.Id), Name: s.Name, Organisation: s.Organisation, Pool: s.Pool, Route: s.Route, Target: s.Target,
		PromptTokens: int(s.Prompt), Tokens: int(s.Tokens), MaxOutput: int(s.Limit), KnownOutput: int(s.Output), Moving: s.Moving,
		PauseObjective: time.Duration(s.Pause) * time.Millisecond,
	}
}

func placementToWire(r *dispatch.PlacementRequest) *wire.Place {
	return &wire.Place{
		Origin: r.Origin, Id: uint64(r.ID), Name: r.Name, Organisation: r.Organisation, Pool: r.Pool, Route: r.Route,
		Prompt: uint32(r.PromptTokens), Limit: uint32(r.MaxOutputTokens), Output: uint32(r.KnownOutputTokens),
		Prefix: r.PrefixHash, Shared: uint32(r.PrefixTokens), Except: r.Excluded,
		Within: uint32(max(r.Remaining, 0).Milliseconds()), Waited: uint32(r.Waited.Milliseconds()), Attempt: uint32(r.Attempt),
		Objective: uint32(r.FirstTokenObjective.Milliseconds()), Pause: uint32(r.PauseObjective.Milliseconds()),
		Subject: r.Subject, Deadline: uint32(r.Deadline.Milliseconds()),
	}
}

func placementFromWire(q *wire.Place) dispatch.PlacementRequest {
	return dispatch.PlacementRequest{
		Origin: q.Origin, ID: dispatch.ID(q.Id), Name: q.Name, Organisation: q.Organisation, Pool: q.Pool, Route: q.Route,
		PromptTokens: int(q.Prompt), MaxOutputTokens: int(q.Limit), KnownOutputTokens: int(q.Output),
		PrefixHash: q.Prefix, PrefixTokens: int(q.Shared), Excluded: q.Except,
		Remaining: time.Duration(q.Within) * time.Millisecond, Waited: time.Duration(q.Waited) * time.Millisecond, Attempt: int(q.Attempt),
		FirstTokenObjective: time.Duration(q.Objective) * time.Millisecond, PauseObjective: time.Duration(q.Pause) * time.Millisecond,
		Subject: q.Subject, Deadline: time.Duration(q.Deadline) * time.Millisecond,
	}
}
