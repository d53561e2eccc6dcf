package host

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
)

// A request that was sent to a target is not refused as one that has not run when its host ends during the attempt.
func TestRequestAtEndOfHostIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	for _, sent := range []bool{false, true} {
		want := answer.OutcomeNotRun
		h := NewHost(event.NewLog("host"))
		r := h.newRequest("request", dispatch.Submit{})
		if sent {
			r.target, want = "target", answer.OutcomeUnknown
		}
		h.requests[r.ID] = r
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		h.Run(ctx)
		for range 2 { // the refusal of the event loop, and that of a host without one
			_, err := r.WaitDecision(context.Background())
			c.Check(answer.From(err).Kind.Properties().Outcome, qt.Equals, want)
		}
	}
}
