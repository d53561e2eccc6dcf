package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/table"
)

var start = time.Unix(1_700_000_000, 0)

func targets(names ...string) []table.Target {
	var out []table.Target
	for _, n := range names {
		out = append(out, table.Target{Name: n})
	}
	return out
}

func snapshotNames(v *View) []string {
	var out []string
	for _, t := range v.Snapshot().Targets {
		out = append(out, t.Name)
	}
	return out
}

// newTestView returns a view that read the given targets and a configuration from the source at
// start.
func newTestView(listed ...string) *View {
	v := &View{}
	v.ApplySourceUpdate(start, start, Update{Full: true, Revision: 10, Targets: targets(listed...), Config: &Config{3, []byte("s")}})
	return v
}

func TestDueByRank(t *testing.T) {
	c := qt.New(t)
	var v View
	c.Assert(v.Due().IsZero(), qt.IsTrue)
	v = *newTestView("a")
	c.Assert(v.Due(), qt.Equals, start.Add(ReadInterval))
	v.SetRank(1)
	c.Assert(v.Due(), qt.Equals, start.Add(standbyReadAge))
	v.SetRank(2)
	c.Assert(v.Due(), qt.Equals, start.Add(standbyReadAge+readStagger))
	v.SetRank(70)
	c.Assert(v.Due(), qt.Equals, start.Add(maxReadAge))
}

func TestBackoffAfterFailedReads(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	at := start.Add(time.Second)
	for i := range 20 {
		v.RecordFailure(at)
		wait := v.Due().Sub(at)
		c.Assert(wait <= maxBackoff, qt.IsTrue)
		c.Assert(wait >= minBackoff, qt.IsTrue, qt.Commentf("failure %d", i))
		at = v.Due()
	}
	v.ApplySourceUpdate(at, at, Update{Base: 10, Revision: 11})
	c.Assert(v.FailureCount(), qt.Equals, 0)
}

// A host with rank 1 must not read the source while confirmations of peers arrive. Confirm must
// report false for content that the host lacks.
func TestConfirmationsPostponeReads(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	v.SetRank(1)
	now := start
	for range 20 {
		now = now.Add(ReadInterval)
		c.Assert(v.Confirm(now, Confirmation{Revision: v.Revision() + 3, ContentRevision: 10, Exact: true, Age: 20 * time.Millisecond}), qt.IsTrue)
		c.Assert(v.Due().After(now.Add(ReadInterval)), qt.IsTrue)
	}
	c.Assert(v.Age(now), qt.Equals, 20*time.Millisecond)
	c.Assert(v.Confirm(now, Confirmation{Revision: 200, ContentRevision: 150, Exact: true}), qt.IsFalse)
}

func TestDeltaRequiresBaseRevision(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	_, ok := v.ApplyPeerUpdate(start, 0, Update{Base: 12, Revision: 14, Targets: targets("b")})
	c.Assert(ok, qt.IsFalse)
	change, ok := v.ApplyPeerUpdate(start, 0, Update{Base: 9, Revision: 14, Targets: targets("b"), Removed: []string{"a"}})
	c.Assert(ok, qt.IsTrue)
	c.Assert(change.Targets, qt.IsTrue)
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"b"})
	change, _ = v.ApplyPeerUpdate(start, 0, Update{Base: 9, Revision: 13, Targets: targets("a")})
	c.Assert(change.Stale, qt.IsTrue)
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"b"})
}

// An update with a newer revision but an older configuration must not replace the newer
// configuration.
func TestConfigurationNeverReverts(t *testing.T) {
	c := qt.New(t)
	v := newTestView()
	c.Assert(v.ApplySourceUpdate(start, start, Update{Base: 10, Revision: 20, Config: &Config{20, []byte("new")}}).Config, qt.IsTrue)
	v.ApplySourceUpdate(start, start, Update{Full: true, Revision: 21, Config: &Config{3, []byte("old")}})
	c.Assert(string(v.Config().Data), qt.Equals, "new")
}

// Without an outage of the source, the removal of a target must take effect immediately. After
// an outage, the source may not list a live target until the target renews its lease; the target
// must remain in use for recoveryGrace.
func TestMissingTargetsRetainedAfterSourceOutage(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a", "b", "c")
	v.ApplySourceUpdate(start.Add(time.Second), start.Add(time.Second), Update{Base: 10, Revision: 11, Removed: []string{"c"}})
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"a", "b"})

	back := start.Add(8 * time.Second)
	change := v.ApplySourceUpdate(back, back, Update{Full: true, Revision: 30})
	c.Assert(change.Retained, qt.DeepEquals, []string{"a", "b"})
	c.Assert(v.Targets(), qt.HasLen, 2)
	c.Assert(snapshotNames(v), qt.HasLen, 0) // the snapshot for peers leaves retained targets out

	v.ApplySourceUpdate(back.Add(time.Second), back.Add(time.Second), Update{Base: 30, Revision: 33, Targets: targets("a")})
	c.Assert(v.Expire(back.Add(time.Second)).Targets, qt.IsFalse)
	c.Assert(v.Expire(back.Add(recoveryGrace)).Targets, qt.IsTrue)
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"a"})
	late := back.Add(recoveryGrace)
	v.ApplySourceUpdate(late, late, Update{Base: 33, Revision: 36})
	v.ApplySourceUpdate(late.Add(time.Second), late.Add(time.Second), Update{Base: 36, Revision: 40, Removed: []string{"a"}})
	c.Assert(v.Targets(), qt.HasLen, 0)
}

// Updates and confirmations of peers that were buffered in the sockets during a pause of the
// process must not count as fresh. The host must read the source, independently of its rank.
func TestPausedHostIgnoresPeersAndReadsSource(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	v.SetRank(3)
	woke := start.Add(5 * time.Second)
	v.HandlePause(woke)
	c.Assert(v.Confirm(woke, Confirmation{Revision: 12, ContentRevision: 10, Exact: true}), qt.IsTrue)
	c.Assert(v.Due().After(woke), qt.IsFalse)
	_, _ = v.ApplyPeerUpdate(woke, 0, Update{Base: 10, Revision: 14, Targets: targets("b")})
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"a"})
	v.ApplySourceUpdate(woke, woke, Update{Base: 10, Revision: 15, Targets: targets("d")})
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"a", "d"})
	c.Assert(v.Due().After(woke), qt.IsTrue)
}

// A source that was restored from a backup begins a new era with lower revisions. The view must
// adopt its full state, also an older configuration, and targets that were added after the backup
// must remain in use until they have renewed their entries.
func TestRestoredSourceReplacesState(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	v.ApplySourceUpdate(start, start, Update{Base: 10, Revision: 40, Targets: targets("new"), Config: &Config{35, []byte("lost")}})
	now := start.Add(time.Second)
	change := v.ApplySourceUpdate(now, now, Update{Era: 1, Full: true, Revision: 20, Targets: targets("a"), Config: &Config{3, []byte("s")}})
	c.Assert(change.Stale, qt.IsFalse)
	c.Assert(change.Config, qt.IsTrue)
	c.Assert(change.Retained, qt.DeepEquals, []string{"new"})
	c.Assert(v.Revision(), qt.Equals, uint64(20))
	c.Assert(v.Expire(now.Add(recoveryGrace)).Targets, qt.IsTrue)
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"a"})

	// A second restore, before the targets have renewed their entries.
	now = now.Add(recoveryGrace)
	v.ApplySourceUpdate(now, now, Update{Era: 2, Full: true, Revision: 18, Targets: targets("b")})
	c.Assert(v.Era(), qt.Equals, uint64(2))
	c.Assert(snapshotNames(v), qt.DeepEquals, []string{"b"})
}

// Revisions are ordered only within an era: after a restore, updates and confirmations of peers
// that still have the old era must be ignored, and a peer with a newer era must be asked for the
// full state, regardless of the revisions.
func TestPeersOfAnotherEra(t *testing.T) {
	c := qt.New(t)
	fresh := newTestView("a")
	fresh.ApplySourceUpdate(start, start, Update{Era: 1, Full: true, Revision: 5, Targets: targets("a")})
	change, ok := fresh.ApplyPeerUpdate(start, 0, Update{Base: 4, Revision: 90, Targets: targets("old")})
	c.Assert(ok, qt.IsTrue)
	c.Assert(change.Stale, qt.IsTrue)
	c.Assert(fresh.Confirm(start, Confirmation{Revision: 95, ContentRevision: 90, Exact: true}), qt.IsTrue)
	c.Assert(fresh.Revision(), qt.Equals, uint64(5))

	late := newTestView("a")
	c.Assert(late.Confirm(start, fresh.Confirmation(start)), qt.IsFalse)
	_, ok = late.ApplyPeerUpdate(start, 0, Update{Era: 1, Base: 5, Revision: 30, Targets: targets("b")})
	c.Assert(ok, qt.IsFalse)
	_, ok = late.ApplyPeerUpdate(start, 0, fresh.Snapshot())
	c.Assert(ok, qt.IsTrue)
	c.Assert(late.Revision(), qt.Equals, uint64(5))
}

// A backup lists targets that have left since it was made. They must not get new requests, except
// a target whose process renews its entry after the restore.
func TestDepartedTargetsStayOutAfterRestore(t *testing.T) {
	c := qt.New(t)
	v := newTestView("left", "lapsed", "drained", "replaced")
	now := start.Add(time.Second)
	drained := table.Target{Name: "drained", Leaving: true}
	v.ApplySourceUpdate(now, now, Update{Base: 10, Revision: 20, Targets: []table.Target{drained}, Removed: []string{"left", "lapsed", "replaced"}})
	restored := targets("left", "lapsed", "drained", "replaced")
	restored[3].StartTime = now // another process under the same name
	v.ApplySourceUpdate(now, now, Update{Era: 1, Full: true, Revision: 12, Targets: restored})
	leaving := func() []string {
		var out []string
		for _, t := range v.Snapshot().Targets {
			if t.Leaving {
				out = append(out, t.Name)
			}
		}
		return out
	}
	c.Assert(leaving(), qt.DeepEquals, []string{"drained", "lapsed", "left"})
	v.ApplySourceUpdate(now, now, Update{Era: 1, Base: 12, Revision: 14, Targets: targets("lapsed")})
	c.Assert(leaving(), qt.DeepEquals, []string{"drained", "left"})
}

// Many hosts that start at once must not all read the source: the first one by rank does, and the
// others get the state from it.
func TestFirstReadWaitsForPeers(t *testing.T) {
	c := qt.New(t)
	var v View
	v.WaitForPeers(start, 0.5)
	c.Assert(v.Due(), qt.Equals, start.Add((startDelay+maxStartDelay)/2)) // no peer yet
	v.SetRank(0)
	c.Assert(v.Due(), qt.Equals, start.Add(startDelay))
	v.SetRank(1)
	c.Assert(v.Due(), qt.Equals, start.Add(startDelay+standbyReadAge-ReadInterval))
	_, ok := v.ApplyPeerUpdate(start.Add(startDelay), 0, Update{Full: true, Revision: 10, ContentRevision: 10, Targets: targets("a")})
	c.Assert(ok, qt.IsTrue)
	c.Assert(v.Due().After(start.Add(startDelay+standbyReadAge-ReadInterval)), qt.IsTrue)
}

// A host without live peers reads the source as seldom as the last host by rank: hundreds of hosts
// that are not yet connected would otherwise all read it four times a second.
func TestHostWithoutPeersReadsSeldom(t *testing.T) {
	c := qt.New(t)
	var v View
	v.WaitForPeers(start, 0)
	v.ApplySourceUpdate(start, start, Update{Full: true, Revision: 10})
	c.Assert(v.Due(), qt.Equals, start.Add(maxReadAge))
}

// Hosts of an earlier build may confirm a revision whose changes they have not passed on. A host must
// not take the revision from them, and must read the source if they have content that it lacks.
func TestConfirmationOfEarlierBuild(t *testing.T) {
	c := qt.New(t)
	v := newTestView("a")
	v.SetRank(3)
	c.Check(v.Confirm(start, Confirmation{Revision: 14, ContentRevision: 10}), qt.IsTrue)
	c.Check(v.Revision(), qt.Equals, uint64(10))
	c.Check(v.Due(), qt.Equals, start.Add(standbyReadAge+2*readStagger))
	c.Check(v.Confirm(start, Confirmation{Revision: 14, ContentRevision: 12}), qt.IsTrue)
	c.Check(v.Due().IsZero(), qt.IsTrue)
	c.Check(v.NeedsFull(), qt.IsFalse)
	v.ApplySourceUpdate(start, start, Update{Base: 10, Revision: 14, Targets: targets("b")})
	c.Check(v.Due(), qt.Equals, start.Add(standbyReadAge+2*readStagger))
}

// The full state of a host of an earlier build may lack targets. A host with a state of its own must not
// use it, and a host without one only until it has read the source. It must not pass such a state on as
// exact.
func TestStateOfEarlierBuild(t *testing.T) {
	c := qt.New(t)
	old := Update{Full: true, Revision: 14, Targets: targets("a")}
	v := newTestView("a", "b")
	change, ok := v.ApplyPeerUpdate(start, 0, old)
	c.Check(ok, qt.IsTrue)
	c.Check(change.Stale, qt.IsTrue)
	c.Check(snapshotNames(v), qt.DeepEquals, []string{"a", "b"})
	c.Check(v.Due().IsZero(), qt.IsTrue)

	started := &View{}
	started.WaitForPeers(start, 1)
	c.Check(started.Confirm(start, Confirmation{Revision: 14, ContentRevision: 14}), qt.IsFalse)
	_, ok = started.ApplyPeerUpdate(start, 0, old)
	c.Check(ok, qt.IsTrue)
	c.Check(snapshotNames(started), qt.DeepEquals, []string{"a"})
	c.Check(started.Due().IsZero(), qt.IsTrue)
	c.Check(started.NeedsFull(), qt.IsTrue)
	c.Check(started.Confirmation(start).Exact, qt.IsFalse)
	c.Check(started.Snapshot().ContentRevision, qt.Equals, uint64(0))
	started.ApplySourceUpdate(start, start, Update{Full: true, Revision: 14, Targets: targets("a", "b")})
	c.Check(snapshotNames(started), qt.DeepEquals, []string{"a", "b"})
	c.Check(started.NeedsFull(), qt.IsFalse)
	c.Check(started.Confirmation(start).Exact, qt.IsTrue)
}

// A delta in which a target lapsed and returned changes nothing for a host that had the target before,
// and must reach hosts that have the content in between.
func TestDeltaThatSkipsContent(t *testing.T) {
	c := qt.New(t)
	cases := map[string]struct {
		change func(*Update)
		skips  bool
	}{
		"lapsed and listed again":   {func(r *Update) { r.Remove("a"); r.Put(table.Target{Name: "a"}) }, true},
		"listed and removed":        {func(r *Update) { r.Put(table.Target{Name: "b"}); r.Remove("b") }, true},
		"another and the same":      {func(r *Update) { r.Put(table.Target{Name: "a", Slots: 2}); r.Put(table.Target{Name: "a"}) }, true},
		"written twice, unchanged":  {func(r *Update) { r.Put(table.Target{Name: "a"}); r.Put(table.Target{Name: "a"}) }, false},
		"removed twice, not listed": {func(r *Update) { r.Remove("b"); r.Remove("b") }, false},
	}
	for name, q := range cases {
		v := newTestView("a")
		r := Update{Base: 10, Revision: 14}
		q.change(&r)
		change := v.ApplySourceUpdate(start, start, r)
		c.Check(change.Targets, qt.IsFalse, qt.Commentf(name))
		c.Check(change.Content, qt.Equals, q.skips, qt.Commentf(name))
		c.Check(v.Confirmation(start).ContentRevision == 14, qt.Equals, q.skips, qt.Commentf(name))
	}
}

// A host that had got the state of a restored source from a peer read the source, too, which lists a target that has left since the
// backup as it was before. The host used the target again, and sent its list to its peers.
func TestTargetThatHasLeftIsUsedAfterSecondReadOfRestoredSource(t *testing.T) {
	c := qt.New(t)
	left := targets("left")[0]
	leaving := left
	leaving.Leaving = true
	v := newTestView("a", "left")
	v.ApplySourceUpdate(start, start, Update{Base: 10, Revision: 12, Targets: []table.Target{leaving}})
	now := start.Add(time.Second)
	_, _ = v.ApplyPeerUpdate(now, 0, Update{Era: 1, Full: true, Revision: 20, ContentRevision: 20, Targets: append(targets("a"), leaving)})
	for _, read := range []struct {
		revision, written uint64
		leaving           bool
	}{
		{20, 0, true}, {20, 8, true}, {25, 8, true},
		{27, 26, false}, // it has written its entry again
		{28, 26, false},
	} {
		now = now.Add(100 * time.Millisecond)
		v.ApplySourceUpdate(now, now, Update{
			Era: 1, Full: true, Revision: read.revision, Targets: append(targets("a"), left), Written: map[string]uint64{"left": read.written},
		})
		c.Check(v.Targets()["left"].Leaving, qt.Equals, read.leaving, qt.Commentf("%+v", read))
	}
}
