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

// CallService makes a call of a plain service on behalf of an organisation. A call that no
// route names idempotent is sent once, whatever happens.
func (h *Host) CallService(ctx context.Context, organisation, service string, c target.Call, deadline time.Time) (target.Reply, error) {
	t := h.Table()
	if t == nil {
		return target.Reply{}, answer.New(answer.KindNotReady, "")
	}
	spec, ok := t.Services[service]
	if !ok {
		return target.Reply{}, answer.New(answer.KindUnknownService, "")
	}
	b := h.Submit(dispatch.Submit{
		Organisation: organisation,
		Pool:         service,
		Plain:        true,
		Once:         !spec.Route(c.Method, c.Path).Idempotent,
		Deadline:     deadline,
	})
	defer b.Release()
	for {
		verdict, err := b.Wait(ctx)
		if err != nil {
			return target.Reply{}, err
		}
		reply, err := h.callTarget(ctx, verdict.Target, c)
		if err == nil {
			b.Ended(relay.Result{Ending: relay.EndWhole})
			return reply, nil
		}
		certainty := target.CertainNothing
		var oe *target.OrderError
		if errors.As(err, &oe) {
			certainty = oe.Certainty
		}
		b.Ended(relay.Result{Ending: relay.EndFailed, Certainty: certainty, Cause: err})
		if ctx.Err() != nil {
			b.finish(dispatch.Dropped{ID: b.ID})
			return target.Reply{}, answer.New(answer.KindUnknownOutcome, "")
		}
	}
}

func (h *Host) callTarget(ctx context.Context, name string, c target.Call) (target.Reply, error) {
	spec, ok := h.Table().Targets[name]
	if !ok {
		return target.Reply{}, &target.OrderError{
			Certainty: target.CertainNotRun,
			Cause:     errors.New("the target is no longer in the table"),
		}
	}
	return h.services.get(spec.Address).Do(ctx, c)
}
