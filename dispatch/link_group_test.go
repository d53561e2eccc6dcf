package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two engines start to leave at the same time, and a stream of each is moved. The two streams must
// not get the same destination, whose link would slow down both copies.
func TestStreamsOfTwoLeavingEnginesGoToDifferentEngines(t *testing.T) {
	f := newFleetTest(t, 8)
	streams := map[string][]ID{}
	for id := range ID(16) {
		name := f.startStream(id+1, 40)
		streams[name] = append(streams[name], id+1)
	}
	var leaving []string
	for name, ids := range streams {
		if len(ids) >= 2 && f.fleet[name].Domain == "north" && len(leaving) < 2 {
			leaving = append(leaving, name)
		}
	}
	f.Assert(leaving, qt.HasLen, 2)
	for _, name := range leaving {
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
