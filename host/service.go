package host

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
)

// CallService calls a plain service on behalf of an organisation. A call without an idempotent
// route is not repeated once any part of it has been sent.
func (h *Host) CallService(ctx context.Context, organisation, service string, c target.Call, deadline time.Time) (target.Reply, error) {
	t := h.Table()
	if t == nil {
		return target.Reply{}, answer.New(answer.KindNotReady, "")
	}
	spec, ok := t.Services[service]
	if !ok {
		return target.Reply{}, answer.New(answer.KindUnknownService, "")
	}
	r := h.Submit(dispatch.Submit{
		Organisation:     organisation,
		Pool:             service,
		Plain:            true,
		NonIdempotent:    !spec.Route(c.Method, c.Path).Idempotent,
		DispatchDeadline: deadline,
	})
	defer r.Release()
	for {
		decision, err := r.Wait(ctx)
		if err != nil {
			return target.Reply{}, err
		}
		reply, err := h.callTarget(ctx, decision.Target, c)
		if err == nil {
			r.ReportResult(relay.Result{Ending: relay.EndComplete})
			return reply, nil
		}
		certainty := target.CertaintyUnknown
		var orderErr *target.RequestError
		if errors.As(err, &orderErr) {
			certainty = orderErr.Certainty
		}
		r.ReportResult(relay.Result{Ending: relay.EndFailed, Certainty: certainty, Cause: err})
		if ctx.Err() != nil {
			r.finish(dispatch.Abandoned{ID: r.ID})
			return target.Reply{}, answer.New(answer.KindUnknownOutcome, "")
		}
	}
}

func (h *Host) callTarget(ctx context.Context, name string, c target.Call) (target.Reply, error) {
	spec, ok := h.Table().Targets[name]
	if !ok {
		return target.Reply{}, &target.RequestError{
			Certainty: target.CertaintyNotRun,
			Cause:     errors.New("the target is no longer in the table"),
		}
	}
	return h.services.get(spec.Address).Do(ctx, c)
}
