package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// fleetTest is a reducerTest whose targets come from Fleet events instead of the table. They are
// engines with 34,288 tokens of memory, alternately in the host's failure domain "north" and in
// "south".
type fleetTest struct {
	*reducerTest
	fleet    map[string]table.Target // targets of the next Fleet event, by name
	revision uint64                  // revision of the latest Fleet event
}

const (
	tokenBytes         = 163_840
	linkBytesPerSecond = 3_000_000_000
)

func newFleetTest(t *testing.T, engines int, opts ...Option) *fleetTest {
	r := &reducerTest{C: qt.New(t), now: benchEpoch}
	r.reducer = NewReducer(append([]Option{
		WithMaxLoadAge(0), WithCrossDomain(true), WithDomain("north"), WithMoves(true), WithOrigin("b/1"), WithPrefillBurst(0),
		WithStepTime(7*time.Millisecond, 300*time.Microsecond, 0),
	}, opts...)...)
	tab := table.NewTable(1)
	tab.AddOrganisation(table.Organisation{Name: "one"})
	tab.Models["model"] = table.Model{Name: "model", Engine: table.EngineSpec{
		Slots: 24, Memory: 34_288, TokenBytes: tokenBytes, CopyBandwidth: linkBytesPerSecond, CanMove: true, CanBackUp: true,
	}}
	tab.Services["plain"] = table.Service{Name: "plain"}
	f := &fleetTest{reducerTest: r, fleet: map[string]table.Target{}}
	for i := range engines {
		domain := "north"
		if i%2 == 1 {
			domain = "south"
		}
		name := fmt.Sprintf("engine-%d", i)
		f.fleet[name] = table.Target{Name: name, Kind: table.TargetService, Service: "model", Domain: domain, Slots: 24}
	}
	r.reduce(0, TableChange{Table: tab})
	f.announceFleet(0)
	return f
}

// announceFleet reduces a Fleet event with the current fleet.
func (f *fleetTest) announceFleet(after time.Duration) []Effect {
	f.revision++
	fleet := make(map[string]table.Target, len(f.fleet))
	for name, t := range f.fleet {
		fleet[name] = t
	}
	return f.reduce(after, Fleet{Revision: f.revision, Targets: fleet})
}

// announceLeaving reduces a Fleet event in which the target is leaving.
func (f *fleetTest) announceLeaving(name string) []Effect {
	t := f.fleet[name]
	t.Leaving = true
	f.fleet[name] = t
	return f.announceFleet(0)
}

// startStream submits a generation, lets it deliver the given number of tokens, in steps of 8, and
// returns its target.
func (f *fleetTest) startStream(id ID, tokens int) string {
	f.reduce(time.Millisecond, Submit{ID: id, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: 3000, MaxOutputTokens: 2200, MaxAttempts: 1})
	to := f.requireEffect(EffectDispatch).Target
	f.generateTokens(id, tokens)
	return to
}

// generateTokens lets a stream deliver tokens up to the given number, in steps of 8 tokens after
// 56 ms.
func (f *fleetTest) generateTokens(id ID, tokens int) {
	for n := 8; n <= tokens; n += 8 {
		f.reduce(56*time.Millisecond, Progress{Samples: []Sample{{ID: id, Tokens: n, LastToken: f.now.Add(56 * time.Millisecond)}}})
	}
}

// moveEffects returns the EffectMove effects of the last event.
func (f *fleetTest) moveEffects() []Effect {
	var out []Effect
	for _, e := range f.effects {
		if e.Kind == EffectMove {
			out = append(out, e)
		}
	}
	return out
}

// Several streams run at an engine when it starts to leave. They must move one after the other,
// each to an engine that is not leaving.
func TestStreamsLeaveALeavingEngineOneByOne(t *testing.T) {
	f := newFleetTest(t, 4, WithBackupFraction(0))
	streams := map[string][]ID{}
	for id := range ID(8) {
		name := f.startStream(id+1, 40)
		streams[name] = append(streams[name], id+1)
	}
	leaving := ""
	for name, ids := range streams {
		if len(ids) > len(streams[leaving]) {
			leaving = name
		}
	}
	f.Assert(len(streams[leaving]) >= 2, qt.IsTrue)
	f.announceLeaving(leaving)
	for range streams[leaving] {
		m := f.moveEffects()
		f.Assert(m, qt.HasLen, 1)
		f.Assert(m[0].Target, qt.Equals, leaving)
		f.Assert(m[0].To.Name, qt.Not(qt.Equals), leaving)
		f.Assert(m[0].ToBackup, qt.IsFalse)
		f.reduce(200*time.Millisecond, MoveSucceeded{ID: m[0].ID})
	}
	f.Assert(f.moveEffects(), qt.HasLen, 0)
	f.Assert(f.reducer.Counts().Moved, qt.Equals, len(streams[leaving]))
}

// A failed move of a stream is retried with other destinations, up to maxMoveAttempts, unless the
// failure is final.
func TestFailedMoveIsRetriedElsewhere(t *testing.T) {
	f := newFleetTest(t, 6, WithBackupFraction(0))
	name := f.startStream(1, 40)
	f.announceLeaving(name)
	tried := map[string]bool{name: true}
	for range maxMoveAttempts {
		m := f.moveEffects()
		f.Assert(m, qt.HasLen, 1)
		f.Assert(tried[m[0].To.Name], qt.IsFalse)
		tried[m[0].To.Name] = true
		f.reduce(10*time.Millisecond, MoveFailed{ID: 1})
	}
	f.Assert(f.moveEffects(), qt.HasLen, 0)

	f = newFleetTest(t, 6, WithBackupFraction(0))
	f.announceLeaving(f.startStream(1, 40))
	f.reduce(10*time.Millisecond, MoveFailed{ID: 1, Final: true})
	f.reduce(100*time.Millisecond, Tick{})
	f.Assert(f.moveEffects(), qt.HasLen, 0)
}

// A stream whose engine starts leaving before the first token is moved after its first token.
func TestStreamIsMovedOnlyAfterFirstToken(t *testing.T) {
	f := newFleetTest(t, 4, WithBackupFraction(0))
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 3000, MaxOutputTokens: 2200})
	name := f.requireEffect(EffectDispatch).Target
	f.announceLeaving(name)
	f.Assert(f.moveEffects(), qt.HasLen, 0)
	f.reduce(300*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: 4, LastToken: f.now}}})
	f.Assert(f.moveEffects(), qt.HasLen, 1)
}

// When an engine crashes, its stream must continue at its backup. If the backup is no longer
// listed, the reducer must emit EffectNoMove.
func TestBrokenStreamContinuesAtItsBackup(t *testing.T) {
	f := newFleetTest(t, 4, WithBackupFraction(0.6))
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 3000, MaxOutputTokens: 2200})
	d := f.requireEffect(EffectDispatch)
	f.Assert(d.Backup.Name, qt.Not(qt.Equals), "")
	f.Assert(d.Backup.Name, qt.Not(qt.Equals), d.Target)
	f.generateTokens(1, 40)
	f.reduce(0, StreamBroken{ID: 1})
	m := f.requireEffect(EffectMove)
	f.Assert(m.ToBackup, qt.IsTrue)
	f.Assert(m.To.Name, qt.Equals, d.Backup.Name)
	f.reduce(50*time.Millisecond, MoveSucceeded{ID: 1})

	delete(f.fleet, m.Backup.Name)
	f.announceFleet(0)
	f.reduce(0, StreamBroken{ID: 1})
	f.requireEffect(EffectNoMove)
	f.reduce(0, Ended{ID: 1, Usage: target.Usage{Output: 60}})
}

// Targets of another failure domain must be used when those of the host's own have no capacity
// left, and not before at least 12 requests were dispatched in the host's own.
func TestOtherDomainIsUsedWhenOwnIsFull(t *testing.T) {
	f := newFleetTest(t, 4, WithBackupFraction(0))
	domains := map[string]int{}
	for id := range ID(24) {
		f.reduce(time.Millisecond, Submit{ID: id + 1, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 3000, MaxOutputTokens: 200, KnownOutputTokens: 200})
		if d, ok := f.firstEffect(EffectDispatch); ok {
			domains[d.To.Domain]++
			if domains["south"] == 1 {
				f.Assert(domains["north"] >= 12, qt.IsTrue, qt.Commentf("%v", domains))
			}
		}
	}
	f.Assert(domains["south"] > 0, qt.IsTrue)
}

// A request that is not idempotent and may reach only one target is retried at another one if no
// byte of it left the host. It is not retried once it was sent.
func TestUnsentNonIdempotentRequestGoesElsewhere(t *testing.T) {
	f := newFleetTest(t, 0)
	for _, name := range []string{"p1", "p2"} {
		f.fleet[name] = table.Target{Name: name, Kind: table.TargetService, Service: "plain", Domain: "north"}
	}
	f.announceFleet(0)
	charge := Submit{ID: 1, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, MaxAttempts: 1}
	f.reduce(0, charge)
	first := f.requireEffect(EffectDispatch).Target
	f.reduce(0, AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun, Unsent: true})
	f.Assert(f.requireEffect(EffectDispatch).Target, qt.Not(qt.Equals), first)
	f.reduce(0, AttemptFailed{ID: 1})
	f.Assert(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindUnknownOutcome)

	charge.ID = 2
	f.reduce(0, charge)
	f.reduce(0, AttemptFailed{ID: 2, Certainty: target.CertaintyNotRun, Answered: true})
	f.Assert(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindRefused)
}

// After an outage of the store, a live target can be missing from the store's list and is marked as
// unlisted. Such a target must be used only if the pool has no listed one.
func TestMissingTargetIsChosenLast(t *testing.T) {
	f := newFleetTest(t, 0)
	f.fleet["gone"] = table.Target{Name: "gone", Kind: table.TargetService, Service: "plain", Domain: "north", Unlisted: true}
	f.fleet["listed"] = table.Target{Name: "listed", Kind: table.TargetService, Service: "plain", Domain: "south"}
	f.announceFleet(0)
	for id := range ID(10) {
		f.reduce(time.Millisecond, Submit{ID: id + 1, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, MaxAttempts: 1})
		f.Assert(f.requireEffect(EffectDispatch).Target, qt.Equals, "listed")
	}
	delete(f.fleet, "listed")
	f.announceFleet(0)
	f.reduce(0, Submit{ID: 99, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, MaxAttempts: 1})
	f.Assert(f.requireEffect(EffectDispatch).Target, qt.Equals, "gone")
}

// Connecting to an unreachable target can take longer than the hold deadline. The request must
// still be retried at another target until the caller's deadline.
func TestUnreachableTargetLeavesTimeForRetry(t *testing.T) {
	f := newFleetTest(t, 0)
	for _, name := range []string{"p1", "p2"} {
		f.fleet[name] = table.Target{Name: name, Kind: table.TargetService, Service: "plain", Domain: "north"}
	}
	f.announceFleet(0)
	f.reduce(0, Submit{
		ID: 1, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, MaxAttempts: 1,
		DispatchDeadline: f.now.Add(300 * time.Millisecond), CallerDeadline: f.now.Add(time.Second),
	})
	f.reduce(500*time.Millisecond, AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun, Unsent: true})
	f.requireEffect(EffectDispatch)
	f.reduce(600*time.Millisecond, AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun, Unsent: true})
	f.Assert(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindRefused)
}

// During a network partition no target of a service can be reached. After a few failures requests
// must be refused immediately with a retry delay, and the targets must be tried again within
// breakerMaxPause after the partition heals.
func TestUnreachableServiceIsRefusedImmediately(t *testing.T) {
	f := newFleetTest(t, 0)
	f.fleet["p1"] = table.Target{Name: "p1", Kind: table.TargetService, Service: "plain", Domain: "south"}
	f.announceFleet(0)
	id := ID(0)
	submitPlain := func() {
		id++
		f.reduce(time.Millisecond, Submit{
			ID: id, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, MaxAttempts: 1,
			DispatchDeadline: f.now.Add(300 * time.Millisecond), CallerDeadline: f.now.Add(time.Second),
		})
	}
	for range 20 {
		submitPlain()
		if _, ok := f.firstEffect(EffectDispatch); ok {
			f.reduce(250*time.Millisecond, AttemptFailed{ID: id, Certainty: target.CertaintyNotRun, Unsent: true})
		}
	}
	submitPlain()
	refused := f.requireEffect(EffectRefuse)
	f.Assert(refused.Answer, qt.Equals, answer.KindNoTarget)
	f.Assert(refused.RetryAfter > 0 && refused.RetryAfter <= breakerMaxPause, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))

	f.reduce(breakerMaxPause, Tick{})
	submitPlain()
	f.requireEffect(EffectDispatch)
	f.reduce(10*time.Millisecond, Ended{ID: id})
	for range 5 {
		submitPlain()
		f.requireEffect(EffectDispatch)
	}
}

// The list entry of a target expires and reappears while a stream runs there. The stream must not
// be moved to the target that it runs at, even if a new process has taken over the target's name.
// New requests must go to the new process.
func TestReturningTargetKeepsItsStreams(t *testing.T) {
	f := newFleetTest(t, 1, WithBackupFraction(0))
	name := f.startStream(1, 40)
	entry := f.fleet[name]
	delete(f.fleet, name)
	f.announceFleet(0)
	f.Assert(f.moveEffects(), qt.HasLen, 0)
	f.fleet[name] = entry
	f.announceFleet(time.Second)
	f.reduce(time.Second, Tick{})
	f.Assert(f.moveEffects(), qt.HasLen, 0)

	entry.StartTime = time.Unix(5, 0) // a new process under the same name
	delete(f.fleet, name)
	f.announceFleet(0)
	f.fleet[name] = entry
	f.announceFleet(time.Second)
	f.reduce(time.Second, Tick{})
	f.Assert(f.moveEffects(), qt.HasLen, 0)
	f.reduce(0, Ended{ID: 1, Usage: target.Usage{Output: 60}})
	f.reduce(0, Submit{ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 30, MaxOutputTokens: 200})
	f.Assert(f.requireEffect(EffectDispatch).To.StartTime.Equal(entry.StartTime), qt.IsTrue)
}

// A target whose list entry expires and reappears while a stream runs there must keep its state,
// including its number of running streams, and must not count as leaving.
func TestReturningTargetKeepsItsState(t *testing.T) {
	f := newFleetTest(t, 1, WithBackupFraction(0))
	name := f.startStream(1, 40)
	before := f.reducer.targets[name]
	entry := f.fleet[name]
	delete(f.fleet, name)
	f.announceFleet(0)
	f.fleet[name] = entry
	f.announceFleet(time.Second)
	f.Assert(f.reducer.targets[name] == before, qt.IsTrue)
	f.Assert(before.leaving, qt.IsFalse)
	f.Assert(before.running, qt.Equals, 1)
}

// A moved stream brings the memory of its prompt with it. If it is kept from an engine that still computes the prompt of another
// request, it finds no destination under load, where most engines do, and is lost with its target.
func TestMoveWaitsForPromptAtDestination(t *testing.T) {
	f := newFleetTest(t, 3, WithPrefillBurst(512))
	running := f.startStream(1, 8)
	f.fleet["engine-1"] = table.Target{Name: "engine-1", Kind: table.TargetService, Service: "model", Domain: "south", Slots: 24, Leaving: true}
	f.announceFleet(0)
	f.reduce(time.Millisecond, Submit{ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: 3000, MaxOutputTokens: 2200, MaxAttempts: 1})
	other := f.requireEffect(EffectDispatch).Target
	f.Assert(other, qt.Not(qt.Equals), running)
	f.announceLeaving(running)
	f.Assert(f.requireEffect(EffectMove).To.Name, qt.Equals, other)
}
