package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/target"
)

// evacuate reduces the request to evacuate the given domains and no others.
func (f *fleetTest) evacuate(domains ...string) { f.reduce(0, Evacuations{Domains: domains}) }

// Each way in which a target is chosen or asked must leave out those of an evacuated domain.
func TestNothingIsDecidedForEvacuatedDomain(t *testing.T) {
	f := newFleetTest(t, 4) // engines 0 and 2 in north, 1 and 3 in south
	for id := range ID(4) {
		f.startStream(id+1, 16)
	}
	f.evacuate("north")
	f.Check(f.requireEffect(EffectEvacuated).Domain, qt.Equals, "north")
	for id := ID(10); id < 30; id++ {
		to := f.startStream(id, 0)
		f.Check(f.fleet[to].Domain, qt.Equals, "south")
		f.reduce(0, AttemptFailed{ID: id, Certainty: target.CertaintyNotRun, Ended: true})
		f.reduce(time.Second, Tick{})
		for _, e := range f.effects {
			f.Check(e.To.Domain, qt.Not(qt.Equals), "north", qt.Commentf("%v", e))
		}
		f.reduce(0, AbandonedByCaller{ID: id})
	}
	f.reduce(0, FleetUnconfirmed{Age: time.Minute})
	for _, e := range f.effects {
		f.Check(e.To.Domain, qt.Not(qt.Equals), "north")
	}
	// A target that is listed while the evacuation is in force, and a new process of one.
	added := f.fleet["engine-0"]
	added.Name = "engine-9"
	f.fleet["engine-9"] = added
	added.Name, added.StartTime = "engine-0", f.now
	f.fleet["engine-0"] = added
	f.announceFleet(0)
	for _, row := range f.reducer.Targets() {
		f.Check(row.AcceptsWork && row.Domain == "north", qt.IsFalse, qt.Commentf("%s", row.Target))
	}
	f.evacuate()
	f.Check(f.requireEffect(EffectReadmitted).Domain, qt.Equals, "north")
	f.Check(f.reducer.Domains()[0].Evacuated, qt.IsFalse)
}

// A coordinator that has not received the evacuation yet names targets of the domain. The host uses none of them.
func TestCoordinatorWithoutEvacuation(t *testing.T) {
	f := newFleetTest(t, 2)
	f.reduce(0, LiveHosts{Hosts: 2, Delegated: true})
	f.evacuate("north")
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 100, MaxOutputTokens: 50})
	f.requireEffect(EffectPlace)
	f.reduce(0, Placed{ID: 1, Target: "engine-0"})
	f.requireNoEffect(EffectDispatch)
	f.reduce(placementRetryInterval, Tick{})
	f.Check(f.requireEffect(EffectPlace).Placement.Excluded, qt.DeepEquals, []string{"engine-0"})
}

// Streams leave one by one, the one with the longest expected remainder first, with time until they are expected to end.
// After the withdrawal none begins to move.
func TestStreamsLeaveEvacuatedDomainLongestFirst(t *testing.T) {
	f := newFleetTest(t, 2, WithBackupFraction(0))
	f.evacuate("south") // so that all streams run at engine-0
	for id, length := range map[ID]int{1: 400, 2: 2000, 3: 1200, 4: 40} {
		f.reduce(time.Millisecond, Submit{ID: id, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 1000, MaxOutputTokens: length, KnownOutputTokens: length})
		f.generateTokens(id, 16)
	}
	f.evacuate("north")
	f.requireNoEffect(EffectMove) // no destination: the other domain was evacuated until now, and the hosts are to receive it
	f.reduce(evacuationMoveDelay, Tick{})
	var moved []ID
	for len(f.moveEffects()) > 0 && len(moved) < 2 {
		m := f.moveEffects()
		f.Assert(m, qt.HasLen, 1)
		f.Check(m[0].At.Sub(f.now) > 2*time.Second, qt.IsTrue, qt.Commentf("%s", m[0].At.Sub(f.now)))
		moved = append(moved, m[0].ID)
		f.reduce(100*time.Millisecond, MoveSucceeded{ID: m[0].ID})
	}
	f.Check(moved, qt.DeepEquals, []ID{2, 3})
	f.reduce(0, MoveFailed{ID: 1})
	f.evacuate()
	f.reduce(evacuationRetry, Tick{})
	f.requireNoEffect(EffectMove)
}

// A move that fails does not keep a stream from its next one, and streams without a destination are not cut.
func TestStreamWithoutDestinationStays(t *testing.T) {
	f := newFleetTest(t, 1)
	f.startStream(1, 16)
	f.evacuate("north")
	for range 20 {
		f.reduce(evacuationRetry, Tick{})
		f.Assert(f.effects, qt.Satisfies, func(es []Effect) bool {
			for _, e := range es {
				if e.Kind != EffectTimer {
					return false
				}
			}
			return true
		})
	}
	f.Check(f.reducer.Domains()[0].Running, qt.Equals, 1)
	f.reduce(0, Ended{ID: 1})
	f.reduce(time.Second, Tick{})
	f.Check(f.requireEffect(EffectEmptied).Domain, qt.Equals, "north")
	f.reduce(time.Second, Tick{})
	f.Check(f.reducer.Domains()[0].EmptyFor, qt.Equals, time.Second)
}

// Held and new requests are refused at once if all domains are evacuated, also those without a deadline.
func TestAllDomainsEvacuated(t *testing.T) {
	f := newFleetTest(t, 2)
	held := ID(0)
	for id := ID(1); held == 0; id++ {
		f.reduce(0, Submit{ID: id, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 16_000, MaxOutputTokens: 2000})
		if _, ok := f.firstEffect(EffectDispatch); !ok {
			held = id
		}
	}
	f.evacuate("north", "south")
	e := f.requireEffect(EffectRefuse)
	f.Check(e.ID, qt.Equals, held)
	f.Check(e.Answer, qt.Equals, answer.KindNoTarget)
	f.Check(e.RetryAfter > 0, qt.IsTrue)
	f.reduce(0, Submit{ID: held + 1, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 100})
	f.Check(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindNoTarget)
}
