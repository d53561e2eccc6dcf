package host

import (
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/relay"
)

// An Attempt identifies one attempt of a request in a report of its result.
type Attempt struct {
	Number int           // Basis.Attempt of its decision; used if two attempts were in flight
	Target string        // empty stands for the target of the latest EffectDispatch, or of the latest move
	Took   time.Duration // from the sending of the request to the complete response; 0 if unknown
}

// Decisions returns the channel of the decisions that WaitDecision returns, for a caller that waits for a second attempt while the first
// one is in flight: EffectExtra.
func (r *Request) Decisions() <-chan dispatch.Effect { return r.decisions }

// AttemptSlow reports to the reducer that the attempt with the given number has had no complete response within
// Effect.ExtraAfter. The reducer may reply on Decisions with EffectExtra.
func (r *Request) AttemptSlow(number int) {
	r.host.Post(dispatch.AttemptSlow{ID: r.ID, Attempt: number})
}

// AttemptCancelled reports to the reducer that one of two attempts was cancelled because the other one has responded.
func (r *Request) AttemptCancelled(a Attempt) {
	r.host.observer.AttemptEnded(r, relay.Result{Ending: relay.EndCancelled})
	r.host.Post(dispatch.AttemptCancelled{ID: r.ID, Attempt: a.Number})
}

// performExtra performs an effect that concerns a second attempt of r. It reports false for the others.
func (h *Host) performExtra(r *Request, f dispatch.Effect) bool {
	fields := event.Fields{Request: r.Name, Organisation: r.Submit.Organisation, Target: f.Target}
	pool := []any{"pool", r.Submit.Pool, "route", r.Submit.Route}
	switch f.Kind {
	case dispatch.EffectExtra:
		fields.Values = append(append(pool, "after_ms", f.Extra.Elapsed.Milliseconds()), h.basisValues(f.Basis)...)
		h.log.Emit(event.ExtraSent, fields)
		r.deliver(f)
	case dispatch.EffectExtraRefused:
		fields.Values = append(pool, "after_ms", f.Extra.Elapsed.Milliseconds(), "cause", f.Extra.Verdict.String())
		h.log.Emit(event.ExtraRefused, fields)
	case dispatch.EffectExtraEnded:
		fields.Values = append(pool, "won", f.Extra.Won, "wasted_ms", f.Extra.Wasted.Milliseconds())
		h.log.Emit(event.ExtraEnded, fields)
	default:
		return false
	}
	return true
}
