package host

import (
	"context"
	"strconv"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
)

// cancelTimeout bounds how long a cancel is tried.
const cancelTimeout = 5 * time.Second

func (h *Host) newRequest(name string, s dispatch.Submit) *Booking {
	id := dispatch.ID(h.nextID.Add(1))
	s.ID = id
	if name == "" {
		name = h.name + "-" + h.incarnation + "-" + strconv.FormatUint(uint64(id), 36)
	}
	return &Booking{
		ID:        id,
		Submit:    s,
		Name:      name,
		host:      h,
		decisions: make(chan dispatch.Effect, decisionBuffer),
		moves:     make(chan dispatch.Effect, decisionBuffer),
		cancel:    func() {},
	}
}

// Submit asks for a decision on a request. The booking must be finished by Refused
// from Wait, or by one of Ended, Failed that is final, Superseded or Release.
func (h *Host) Submit(s dispatch.Submit) *Booking { return h.SubmitAs("", s) }

// SubmitAs is Submit under a name that the caller has given its request, by which the
// time line shows it.
func (h *Host) SubmitAs(name string, s dispatch.Submit) *Booking {
	b := h.newRequest(name, s)
	h.beginRequest()
	h.log.Emit(event.RequestSubmitted, event.Fields{Request: b.Name, Organisation: s.Organisation, Values: []any{
		"pool", s.Pool, "route", s.Route, "prompt", s.Prompt, "limit", s.Limit, "once", s.Once,
	}})
	h.send(message{event: b.Submit, request: b})
	return b
}

// Attach books a stream that was begun on another host and is resumed here.
func (h *Host) Attach(a dispatch.Attach) *Booking {
	b := h.newRequest("", dispatch.Submit{Organisation: a.Organisation, Pool: a.Pool, Prompt: a.Prompt})
	a.ID = b.ID
	b.target = a.Target
	h.beginRequest()
	h.log.Emit(event.RequestAttached, event.Fields{Request: b.Name, Organisation: a.Organisation, Target: a.Target})
	h.send(message{event: a, request: b})
	return b
}

func (h *Host) beginRequest() {
	h.inFlight.add()
}

// Release ends the host's interest in a booking. It is called once for each.
func (b *Booking) Release() {
	b.host.inFlight.done()
}

// Wait returns the next verdict: a dispatch, or an error of the kind that the
// reducer decided. It is called only while no attempt is under way.
func (b *Booking) Wait(ctx context.Context) (dispatch.Effect, error) {
	select {
	case f := <-b.decisions:
		if f.Kind == dispatch.EffectRefuse {
			return f, &answer.Error{Kind: f.Answer, Retry: f.Retry}
		}
		return f, nil
	case <-ctx.Done():
		b.finish(dispatch.Dropped{ID: b.ID})
		return dispatch.Effect{}, answer.New(answer.KindCallerGone, "")
	case <-b.host.done:
		return dispatch.Effect{}, answer.New(answer.KindStopping, "")
	}
}

// Generation returns the identifier of an attempt's generation.
func (b *Booking) Generation(attempt int) string { return b.Name + "-" + strconv.Itoa(attempt) }

// Gone tells that the caller went away while the generation goes on.
func (b *Booking) Gone(resumable bool) {
	b.host.log.Emit(event.RequestGone, event.Fields{Request: b.Name, Organisation: b.Submit.Organisation})
	b.host.Post(dispatch.Gone{ID: b.ID, Resumable: resumable})
}

// Resumed tells that a connection was replaced.
func (b *Booking) Resumed(cause error) {
	b.host.log.Emit(event.RequestResumed, event.Fields{Request: b.Name, Target: b.target, Detail: cause.Error()})
}

// Ended tells how an attempt ended. If it reports true, Wait has another verdict.
func (b *Booking) Ended(r relay.Result) bool {
	b.host.observer.Ended(b, r)
	fields := event.Fields{Request: b.Name, Organisation: b.Submit.Organisation, Target: b.target}
	switch r.Ending {
	case relay.EndFailed:
		if r.Cause != nil {
			fields.Detail = r.Cause.Error()
		}
		b.host.log.Emit(event.RequestFailed, fields)
		b.host.Post(dispatch.Failed{
			ID: b.ID, Certainty: r.Certainty, Delivered: r.Delivered > 0, Rebooted: r.Rebooted,
			Unsent: r.Unsent, Answered: r.Answered,
		})
		return true
	case relay.EndSuperseded, relay.EndHandedOver:
		b.host.log.Emit(event.RequestSuperseded, fields)
		b.finish(dispatch.Superseded{ID: b.ID})
	default:
		b.host.log.Emit(event.RequestEnded, fields)
		b.finish(dispatch.Ended{ID: b.ID, Usage: r.Usage})
	}
	return false
}

// Drop tells that the caller went away and that its attempt has been ended.
func (b *Booking) Drop() {
	b.host.log.Emit(event.RequestGone, event.Fields{Request: b.Name, Organisation: b.Submit.Organisation, Target: b.target})
	b.finish(dispatch.Dropped{ID: b.ID})
}

// finish hands in a last event, after which the loop no longer knows the booking.
func (b *Booking) finish(e dispatch.Event) {
	b.host.Post(e)
	b.host.send(message{query: func(*dispatch.Reducer) { delete(b.host.requests, b.ID) }})
}

// CancelAt ends a generation at its target, in the background.
func (b *Booking) CancelAt(e target.Engine, generation string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// A cancel that fails leaves the generation to end by itself.
	_ = e.Cancel(ctx, generation)
}

// Moves returns the moves that the reducer asks for, one at a time.
func (b *Booking) Moves() <-chan dispatch.Effect { return b.moves }

// deliverMove hands a move to whoever follows the booking's moves. There is room for every
// one that is not yet carried out.
func (b *Booking) deliverMove(f dispatch.Effect) {
	select {
	case b.moves <- f:
	default:
	}
}

// Moved tells that the stream goes on where the last move was to bring it.
func (b *Booking) Moved() {
	b.host.send(message{query: func(*dispatch.Reducer) { b.target = b.moveTarget }})
	b.host.Post(dispatch.Moved{ID: b.ID})
}

// Broken asks where a stream that has broken off goes on. A move or a stay follows.
func (b *Booking) Broken() { b.host.Post(dispatch.Broken{ID: b.ID}) }

// NotMoved tells that the last move has failed. over says that no other can help.
func (b *Booking) NotMoved(over bool) {
	b.host.Post(dispatch.NotMoved{ID: b.ID, Over: over})
}

// OnCancel sets how the relay is ended when the reducer gives a generation up.
func (b *Booking) OnCancel(cancel context.CancelFunc) {
	b.host.send(message{query: func(*dispatch.Reducer) { b.cancel = cancel }})
}
