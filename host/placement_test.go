package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/wire"
)

// A field that is lost on the way to the coordinator would end the precedence of returning callers and the bound on
// Retry-After. A host of an earlier build states neither.
func TestPlacementKeepsSubjectAndDeadline(t *testing.T) {
	r := dispatch.PlacementRequest{
		Origin: "a/1", ID: 3, Pool: "m", PromptTokens: 100, FirstTokenObjective: time.Second, Remaining: time.Second, Attempt: 1,
		Subject: 1<<63 + 5, Deadline: 6 * time.Second,
	}
	qt.Check(t, placementFromWire(placementToWire(&r)), qt.DeepEquals, r)
	earlier := placementFromWire(&wire.Place{Id: 3})
	qt.Check(t, earlier.Subject == 0 && earlier.Deadline == 0, qt.IsTrue)
}

// Guards against a pause objective that is lost between a host and its coordinator, which would then place the stream as
// if no pause made it late.
func TestPauseObjectiveIsSentToCoordinator(t *testing.T) {
	c := qt.New(t)
	asked := dispatch.PlacementRequest{PauseObjective: 180 * time.Millisecond}
	c.Check(placementFromWire(placementToWire(&asked)), qt.DeepEquals, asked)
	running := dispatch.StreamState{PauseObjective: 180 * time.Millisecond}
	c.Check(streamFromWire(streamToWire(&running)), qt.DeepEquals, running)
}
