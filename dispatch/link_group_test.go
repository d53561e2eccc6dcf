package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two engines are preempted at once, and streams of both are moved at the same time. Two streams
// that move at the same time must not share a destination, whose link would slow both down.
func TestStreamsOfTwoLeavingEnginesGoToDifferentEngines(t *testing.T) {
	f := newFleetTest(t, 8)
	at := map[string][]ID{}
	for id := range ID(16) {
		name := f.startStream(id+1, 40)
		at[name] = append(at[name], id+1)
	}
	var ending []string
	for name, ids := range at {
		if len(ids) >= 2 && f.fleet[name].Domain == "north" && len(ending) < 2 {
			ending = append(ending, name)
		}
	}
	f.Assert(ending, qt.HasLen, 2)
	for _, name := range ending {
		e := f.fleet[name]
		e.Leaving = true
		f.fleet[name] = e
	}
	f.announceFleet(0)
	for range 2 {
		m := f.moveEffects()
		f.Assert(m, qt.HasLen, 2)
		f.Assert(m[0].To.Name, qt.Not(qt.Equals), m[1].To.Name)
		f.Check(m[0].To.Domain, qt.Equals, "north")
		f.Check(m[1].To.Domain, qt.Equals, "north")
		f.reduce(200*time.Millisecond, MoveSucceeded{ID: m[0].ID})
		first := f.moveEffects()
		f.reduce(0, MoveSucceeded{ID: m[1].ID})
		f.effects = append(first, f.effects...)
	}
}
