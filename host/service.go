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

// CallService calls a plain service on behalf of an organisation and returns the service's reply. If
// an attempt fails, the call is repeated as the reducer decides. A call whose route is not idempotent
// is not repeated if the service may have run it. The deadline limits the time until a target is
// chosen; zero means none.
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
		decision, err := r.WaitDecision(ctx)
		if err != nil {
			return target.Reply{}, err
		}
		reply, err := h.callTarget(ctx, decision.Target, c)
		if err == nil {
			r.ReportResult(relay.Result{Ending: relay.EndComplete})
			return reply, nil
		}
		certainty := target.CertaintyUnknown
		var requestErr *target.RequestError
		if errors.As(err, &requestErr) {
			certainty = requestErr.Certainty
		}
		r.ReportResult(relay.Result{Ending: relay.EndFailed, Certainty: certainty, Cause: err})
		if ctx.Err() != nil {
			r.finish(dispatch.AbandonedByCaller{ID: r.ID})
			return target.Reply{}, answer.New(answer.KindUnknownOutcome, "")
		}
	}
}

// callTarget makes one attempt of a call at the named target.
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
