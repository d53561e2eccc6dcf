package host

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
)

// cancelTimeout is the timeout of a call that cancels a generation at its target.
const cancelTimeout = 5 * time.Second

// newRequest returns a request with a new ID. It generates a name if the given one is empty.
func (h *Host) newRequest(name string, s dispatch.Submit) *Request {
	id := dispatch.ID(h.nextID.Add(1))
	s.ID = id
	if name == "" {
		name = h.name + "-" + h.incarnation + "-" + strconv.FormatUint(uint64(id), 36)
	}
	s.Name = name
	return &Request{
		ID:        id,
		Submit:    s,
		Name:      name,
		submitted: time.Now(),
		host:      h,
		decisions: make(chan dispatch.Effect, decisionBuffer),
		moves:     make(chan dispatch.Effect, decisionBuffer),
		cancel:    func() {},
	}
}

// Submit passes a request to the reducer. Wait returns the reducer's decisions about it. The code
// that submits a request must call ReportResult after each attempt, or Abandon if the caller of the
// request disconnected during it, and defer Release.
func (h *Host) Submit(s dispatch.Submit) *Request { return h.SubmitAs("", s) }

// SubmitAs is like Submit but sets the name that identifies the request in the event log and in
// GenerationID. If the name is empty, one is generated.
func (h *Host) SubmitAs(name string, s dispatch.Submit) *Request {
	r := h.newRequest(name, s)
	h.beginRequest()
	h.log.Emit(event.RequestSubmitted, event.Fields{Request: r.Name, Organisation: s.Organisation, Values: append([]any{
		"pool", s.Pool, "route", s.Route, "prompt", s.PromptTokens, "limit", s.MaxOutputTokens, "once", s.NonIdempotent,
	}, h.StopValues(time.Now())...)})
	h.send(message{event: r.Submit, request: r})
	return r
}

// Attach adds a request for a generation that another host started, is running at its target, and
// whose caller reconnected to this host.
func (h *Host) Attach(a dispatch.Attach) *Request {
	r := h.newRequest("", dispatch.Submit{Organisation: a.Organisation, Pool: a.Pool, PromptTokens: a.PromptTokens})
	a.ID = r.ID
	r.target = a.Target
	h.beginRequest()
	h.log.Emit(event.RequestAttached, event.Fields{Request: r.Name, Organisation: a.Organisation, Target: a.Target})
	h.send(message{event: a, request: r})
	return r
}

// beginRequest counts a request as in flight. Release undoes it.
func (h *Host) beginRequest() {
	h.inFlight.add()
}

// Release removes the request from the count of requests in flight. The code that submits a request must defer it: if that
// code panics, Release ends the request, which would otherwise be in flight for ever, and panics again. Code that panics with
// http.ErrAbortHandler has reported the end itself.
func (r *Request) Release() {
	defer r.host.inFlight.done()
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		r.EndEarly(eris.Errorf("panic: %v", p))
	}
	panic(p)
}

// WaitDecision waits for the reducer's next decision. It returns an EffectDispatch, an EffectExtra if the first attempt
// failed after AttemptSlow was called, or an answer.Error if
// the request is refused, ctx is done or the host has stopped. It must not be called while an
// attempt is in progress.
func (r *Request) WaitDecision(ctx context.Context) (dispatch.Effect, error) {
	select {
	case f := <-r.decisions:
		if f.Kind == dispatch.EffectRefuse {
			return f, &answer.Error{Kind: f.Answer, RetryDelay: f.RetryAfter}
		}
		return f, nil
	case <-ctx.Done():
		r.finish(dispatch.AbandonedByCaller{ID: r.ID})
		return dispatch.Effect{}, answer.New(answer.KindCallerGone, "")
	case <-r.host.done:
		return dispatch.Effect{}, answer.New(r.kindAtEnd(), "")
	}
}

// kindAtEnd returns the kind of the refusal of a request that has not ended when the event loop does. It must be
// called on the event loop or after its end.
func (r *Request) kindAtEnd() answer.Kind {
	if r.target != "" {
		return answer.KindUnknownOutcome // an attempt may have run
	}
	return answer.KindStopping
}

// GenerationID returns the identifier that a target gets for the generation of an attempt.
func (r *Request) GenerationID(attempt int) string { return r.Name + "-" + strconv.Itoa(attempt) }

// CallerDisconnected reports to the reducer that the caller disconnected while the generation
// continues. If resumable, the caller may reconnect for the rest of the response.
func (r *Request) CallerDisconnected(resumable bool) {
	r.host.log.Emit(event.RequestGone, event.Fields{Request: r.Name, Organisation: r.Submit.Organisation})
	r.host.Post(dispatch.CallerDisconnected{ID: r.ID, Resumable: resumable})
}

// ConnectionReplaced logs that the connection to the target failed for the given cause and that a
// new one has replaced it.
func (r *Request) ConnectionReplaced(cause error) {
	r.host.log.Emit(event.RequestResumed, event.Fields{Request: r.Name, Target: r.target, Detail: cause.Error()})
}

// ReportResult reports the result of an attempt to the reducer. It returns true if the attempt
// failed: Wait must then be called for the next decision.
func (r *Request) ReportResult(result relay.Result) bool { return r.ReportAttempt(Attempt{}, result) }

// ReportAttempt is like ReportResult for a request that may have two attempts in flight. While another one is, the failed one needs no
// further decision.
func (r *Request) ReportAttempt(a Attempt, result relay.Result) bool {
	r.host.observer.AttemptEnded(r, result)
	fields := event.Fields{Request: r.Name, Organisation: r.Submit.Organisation, Target: cmp.Or(a.Target, r.target)}
	switch result.Ending {
	case relay.EndFailed:
		if result.Cause != nil {
			fields.Detail = result.Cause.Error()
		}
		r.host.log.Emit(event.RequestFailed, fields)
		r.host.Post(dispatch.AttemptFailed{
			ID: r.ID, Certainty: result.Certainty, Delivered: result.DeliveredTokens > 0, Tokens: result.DeliveredTokens + result.WithheldTokens, Rebooted: result.Rebooted, Ended: result.TargetEnded,
			Unsent: result.Unsent, Answered: result.TargetFailed, RetryAfter: result.RetryAfter, Attempt: a.Number, PathLost: result.PathLost,
		})
		r.reportStreams()
		return true
	case relay.EndSuperseded, relay.EndHandedOver:
		r.host.log.Emit(event.RequestSuperseded, fields)
		r.finish(dispatch.Superseded{ID: r.ID})
	default:
		r.host.log.Emit(event.RequestEnded, fields)
		r.finish(dispatch.Ended{ID: r.ID, Usage: result.Usage, LongestPause: result.LongestPause, Took: a.Took})
	}
	return false
}

// Abandon reports to the reducer that the caller disconnected and that the attempt has ended because
// of it.
func (r *Request) Abandon() {
	r.host.log.Emit(event.RequestGone, event.Fields{Request: r.Name, Organisation: r.Submit.Organisation, Target: r.target})
	r.finish(dispatch.AbandonedByCaller{ID: r.ID})
}

// EndEarly reports to the reducer that this host has ended the attempt for the given cause, which is not that of its target.
func (r *Request) EndEarly(cause error) {
	r.host.log.Emit(event.RequestFailed, event.Fields{Request: r.Name, Organisation: r.Submit.Organisation, Target: r.target, Detail: cause.Error()})
	r.finish(dispatch.AbandonedByCaller{ID: r.ID})
}

// finish posts the final event of a request and removes the request from the event loop.
func (r *Request) finish(e dispatch.Event) {
	r.host.Post(e)
	r.host.send(message{query: func(*dispatch.Reducer) { delete(r.host.requests, r.ID) }})
	r.reportStreams()
}

// reportStreams makes the mesh report soon that a stream has started, ended or moved.
func (r *Request) reportStreams() {
	if r.host.mesh != nil && !r.Submit.Plain {
		r.host.mesh.ReportStreams()
	}
}

// CancelGeneration cancels the generation with the given identifier at its target. It does not use
// the caller's context, which may be done already.
func (r *Request) CancelGeneration(e target.Engine, generation string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If the call fails, the generation runs until it completes.
	_ = e.Cancel(ctx, generation)
}

// Moves returns the channel of the reducer's effects about moves: EffectMove requests a move of the
// stream to another target, and EffectNoMove is the reply to StreamBroken if there is none.
func (r *Request) Moves() <-chan dispatch.Effect { return r.moves }

// deliverMove sends an effect to the receiver of Moves. It does not block: the buffer has space for
// all effects that have not been received.
func (r *Request) deliverMove(f dispatch.Effect) {
	select {
	case r.moves <- f:
	default:
	}
}

// MoveSucceeded reports to the reducer that the stream continues at the destination of the last
// move.
func (r *Request) MoveSucceeded() {
	r.host.send(message{query: func(*dispatch.Reducer) { r.target = r.moveTarget }})
	r.host.Post(dispatch.MoveSucceeded{ID: r.ID})
	r.reportStreams()
}

// StreamBroken reports to the reducer that the target's stream ended before it was complete. The
// reducer replies on Moves with EffectMove or EffectNoMove.
func (r *Request) StreamBroken() { r.host.Post(dispatch.StreamBroken{ID: r.ID}) }

// MoveFailed reports to the reducer that the last move has failed. If final, another move is useless
// because the generation has ended or its target is lost.
func (r *Request) MoveFailed(final bool) {
	r.host.Post(dispatch.MoveFailed{ID: r.ID, Final: final})
	r.reportStreams()
}

// SetCancel sets the function that stops the relay. It is called when the reducer cancels the
// generation.
func (r *Request) SetCancel(cancel context.CancelFunc) {
	r.host.send(message{query: func(*dispatch.Reducer) { r.cancel = cancel }})
}
