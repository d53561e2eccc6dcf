package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A peer of an earlier build does not read evacuations. A host that took over the revision of its delta, or of its full
// state as proven, would never read a change of the set before that revision.
func TestEvacuationsOfEarlierBuild(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	v.SetRank(3)
	change, ok := v.ApplyPeerUpdate(start, 0, Update{Base: 10, Revision: 14, Targets: targets("b"), OmitsEvacuations: true})
	c.Check(ok, qt.IsTrue)
	c.Check(change.Stale, qt.IsTrue)
	c.Check(v.Revision(), qt.Equals, uint64(10))
	c.Check(v.Due().IsZero(), qt.IsTrue)
	v.ApplySourceUpdate(start, start, Update{Base: 10, Revision: 14, Targets: targets("b"), Evacuated: []string{"north"}})
	c.Check(v.Evacuated(), qt.DeepEquals, []string{"north"})

	var empty View
	_, ok = empty.ApplyPeerUpdate(start, 0, Update{Full: true, Revision: 14, ContentRevision: 14, Targets: targets("a"), OmitsEvacuations: true})
	c.Check(ok, qt.IsTrue)
	c.Check(empty.NeedsFull(), qt.IsTrue)
	c.Check(empty.Due().IsZero(), qt.IsTrue)
	c.Check(empty.Confirmation(start).Exact, qt.IsFalse)
}

// The set survives a loss of the source, and the full read of a restored source decides.
func TestEvacuationsOfRestoredSource(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	change := v.ApplySourceUpdate(start, start, Update{Base: 10, Revision: 12, Evacuated: []string{"north", "south"}})
	c.Check(change.Evacuations && change.Content, qt.IsTrue)
	v.RecordFailure(start.Add(time.Second))
	c.Check(v.Evacuated(), qt.DeepEquals, []string{"north", "south"})
	change = v.ApplySourceUpdate(start, start, Update{Full: true, Era: 1, Revision: 11, Targets: targets("a"), Evacuated: []string{"south"}})
	c.Check(change.Evacuations, qt.IsTrue)
	c.Check(v.Evacuated(), qt.DeepEquals, []string{"south"})
	c.Check(v.Snapshot().Evacuated, qt.DeepEquals, []string{"south"})
}
