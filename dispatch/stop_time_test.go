package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A host that accepts no new requests during its stop dispatched held ones until its end.
func TestClosedHostDispatchesTooLateToEnd(t *testing.T) {
	f := newStopTest(t, reportOutput)
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second), Closed: true})
	f.requireStopping(2)
}

// A second stop without a time removed that of the first one.
func TestSecondStopRemovesTime(t *testing.T) {
	f := newStopTest(t, shortOutput)
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.reduce(0, Stop{})
	f.reduce(3900*time.Millisecond, Ended{ID: 1})
	f.requireStopping(2)
}

// A number of tokens that no engine generates made the estimate of the run negative.
func TestLongestRunOverflows(t *testing.T) {
	f := newFleetTest(t, 1)
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: 1 << 58})
	f.Check(f.effectOf(1).Kind, qt.Equals, EffectRefuse)
}
