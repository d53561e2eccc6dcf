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

// cancelTimeout is the timeout for cancelling a generation at its target.
const cancelTimeout = 5 * time.Second

func (h *Host) newRequest(name string, s dispatch.Submit) *Request {
	id := dispatch.ID(h.nextID.Add(1))
	s.ID = id
	if name == "" {
		name = h.name + "-" + h.incarnation + "-" + strconv.FormatUint(uint64(id), 36)
	}
	return &Request{
		ID:        id,
		Submit:    s,
		Name:      name,
		host:      h,
		decisions: make(chan dispatch.Effect, decisionBuffer),
		moves:     make(chan dispatch.Effect, decisionBuffer),
		cancel:    func() {},
	}
}

// Submit passes a request to the reducer, whose decisions Wait returns. The caller must
// report each attempt by ReportResult, report a caller that has gone away by Abandon, and call
// Release once at the end.
func (h *Host) Submit(s dispatch.Submit) *Request { return h.SubmitAs("", s) }

// SubmitAs is like Submit for a request whose name is given by the caller. The name identifies
// the request in the event log; if it is empty, one is generated.
func (h *Host) SubmitAs(name string, s dispatch.Submit) *Request {
	r := h.newRequest(name, s)
	h.beginRequest()
	h.log.Emit(event.RequestSubmitted, event.Fields{Request: r.Name, Organisation: s.Organisation, Values: []any{
		"pool", s.Pool, "route", s.Route, "prompt", s.PromptTokens, "limit", s.MaxOutputTokens, "once", s.NonIdempotent,
	}})
	h.send(message{event: r.Submit, request: r})
	return r
}

// Attach submits a running generation that was started on another host and is resumed here.
func (h *Host) Attach(a dispatch.Attach) *Request {
	r := h.newRequest("", dispatch.Submit{Organisation: a.Organisation, Pool: a.Pool, PromptTokens: a.PromptTokens})
	a.ID = r.ID
	r.target = a.Target
	h.beginRequest()
	h.log.Emit(event.RequestAttached, event.Fields{Request: r.Name, Organisation: a.Organisation, Target: a.Target})
	h.send(message{event: a, request: r})
	return r
}

func (h *Host) beginRequest() {
	h.inFlight.add()
}

// Release marks the request as no longer in flight. It must be called exactly once.
func (r *Request) Release() {
	r.host.inFlight.done()
}

// Wait returns the reducer's next decision: a dispatch, or an answer.Error if the request is
// refused. It must not be called while an attempt is in progress.
func (r *Request) Wait(ctx context.Context) (dispatch.Effect, error) {
	select {
	case f := <-r.decisions:
		if f.Kind == dispatch.EffectRefuse {
			return f, &answer.Error{Kind: f.Answer, Retry: f.RetryAfter}
		}
		return f, nil
	case <-ctx.Done():
		r.finish(dispatch.Abandoned{ID: r.ID})
		return dispatch.Effect{}, answer.New(answer.KindCallerGone, "")
	case <-r.host.done:
		return dispatch.Effect{}, answer.New(answer.KindStopping, "")
	}
}

// GenerationID returns the generation ID of an attempt.
func (r *Request) GenerationID(attempt int) string { return r.Name + "-" + strconv.Itoa(attempt) }

// CallerDisconnected reports that the caller disconnected while the generation continues.
func (r *Request) CallerDisconnected(resumable bool) {
	r.host.log.Emit(event.RequestGone, event.Fields{Request: r.Name, Organisation: r.Submit.Organisation})
	r.host.Post(dispatch.CallerDisconnected{ID: r.ID, Resumable: resumable})
}

// ConnectionReplaced logs that the connection to the target failed and was replaced.
func (r *Request) ConnectionReplaced(cause error) {
	r.host.log.Emit(event.RequestResumed, event.Fields{Request: r.Name, Target: r.target, Detail: cause.Error()})
}

// ReportResult reports the result of an attempt to the reducer. It returns true if another decision
// follows, to be read by Wait.
func (r *Request) ReportResult(result relay.Result) bool {
	r.host.observer.AttemptEnded(r, result)
	fields := event.Fields{Request: r.Name, Organisation: r.Submit.Organisation, Target: r.target}
	switch result.Ending {
	case relay.EndFailed:
		if result.Cause != nil {
			fields.Detail = result.Cause.Error()
		}
		r.host.log.Emit(event.RequestFailed, fields)
		r.host.Post(dispatch.AttemptFailed{
			ID: r.ID, Certainty: result.Certainty, Delivered: result.Delivered > 0, Rebooted: result.Rebooted,
			Unsent: result.Unsent, Answered: result.TargetFailed,
		})
		return true
	case relay.EndSuperseded, relay.EndHandedOver:
		r.host.log.Emit(event.RequestSuperseded, fields)
		r.finish(dispatch.Superseded{ID: r.ID})
	default:
		r.host.log.Emit(event.RequestEnded, fields)
		r.finish(dispatch.Ended{ID: r.ID, Usage: result.Usage})
	}
	return false
}

// Abandon reports that the caller disconnected and that the attempt has been ended.
func (r *Request) Abandon() {
	r.host.log.Emit(event.RequestGone, event.Fields{Request: r.Name, Organisation: r.Submit.Organisation, Target: r.target})
	r.finish(dispatch.Abandoned{ID: r.ID})
}

// finish posts the final event of a request and removes it from the loop.
func (r *Request) finish(e dispatch.Event) {
	r.host.Post(e)
	r.host.send(message{query: func(*dispatch.Reducer) { delete(r.host.requests, r.ID) }})
}

// CancelGeneration cancels a generation at its target, independently of the caller's context.
func (r *Request) CancelGeneration(e target.Engine, generation string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If it fails, the generation runs until it completes.
	_ = e.Cancel(ctx, generation)
}

// Moves returns the channel of the moves that the reducer requests, one at a time.
func (r *Request) Moves() <-chan dispatch.Effect { return r.moves }

// deliverMove sends a move to the receiver of Moves. It does not block: the buffer has space for
// every move that is not yet carried out.
func (r *Request) deliverMove(f dispatch.Effect) {
	select {
	case r.moves <- f:
	default:
	}
}

// MoveSucceeded reports that the stream continues on the target of the last move.
func (r *Request) MoveSucceeded() {
	r.host.send(message{query: func(*dispatch.Reducer) { r.target = r.moveTarget }})
	r.host.Post(dispatch.MoveSucceeded{ID: r.ID})
}

// StreamBroken reports that the stream was interrupted. The reducer replies on Moves with a move or a
// stay effect.
func (r *Request) StreamBroken() { r.host.Post(dispatch.StreamBroken{ID: r.ID}) }

// MoveFailed reports that the last move has failed. With over, no further move can help:
// the generation has ended or its target is lost.
func (r *Request) MoveFailed(over bool) {
	r.host.Post(dispatch.MoveFailed{ID: r.ID, Final: over})
}

// SetCancel sets the function that stops the relay when the reducer cancels the generation.
func (r *Request) SetCancel(cancel context.CancelFunc) {
	r.host.send(message{query: func(*dispatch.Reducer) { r.cancel = cancel }})
}
