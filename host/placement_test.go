package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

// Guards against a pause objective that is lost between a host and its coordinator, which would then place the stream as
// if no pause made it late.
func TestPauseObjectiveIsSentToCoordinator(t *testing.T) {
	c := qt.New(t)
	asked := dispatch.PlacementRequest{PauseObjective: 180 * time.Millisecond}
	c.Check(placementFromWire(placementToWire(&asked)), qt.DeepEquals, asked)
	running := dispatch.StreamState{PauseObjective: 180 * time.Millisecond}
	c.Check(streamFromWire(streamToWire(&running)), qt.DeepEquals, running)
}
