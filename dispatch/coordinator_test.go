package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonlink/wigeonlink/answer"
)

// ask returns a question of a host about a request with a prompt of 100 tokens.
func ask(origin string, id ID) PlacementAsked {
	return PlacementAsked{PlacementRequest{
		Origin: origin, ID: id, Organisation: "organisation-0", Pool: "model-0", Route: "chat", PromptTokens: 100,
		Remaining: 10 * time.Second, Attempt: 1,
	}}
}

// newCoordinator returns a reducer that places the requests of other hosts.
func newCoordinator(t *testing.T, engines int, opts ...Option) *reducerTest {
	r := newReducerTest(t, 1, engines, opts...)
	r.reduce(0, LiveHosts{Hosts: 40, Coordinates: true})
	return r
}

// placed returns the EffectPlaced for a request of another host.
func (r *reducerTest) placed(origin string, id ID) Effect {
	r.Helper()
	for _, f := range r.effects {
		if f.Kind == EffectPlaced && f.Remote == origin && f.ID == id {
			return f
		}
	}
	r.Fatalf("no EffectPlaced for request %d of %s in %v", id, origin, r.effects)
	return Effect{}
}

// fill submits requests of many hosts until one is held, and returns the number placed.
func (r *reducerTest) fill(prompt int) int {
	for n := range 10_000 {
		a := ask(fmt.Sprint("filler-", n), 1)
		a.PromptTokens = prompt
		r.reduce(0, a)
		if _, ok := r.firstEffect(EffectPlaced); !ok {
			return n
		}
	}
	return 10_000
}

// Forty hosts ask for places in the same moment, as after the start of a fleet or a cut. The
// coordinator must not assign more memory than the engines have, and all others wait.
func TestBurstOfManyHostsOverfillsNoEngine(t *testing.T) {
	r := newCoordinator(t, 4, WithPrefillBurst(0))
	prompt := r.reducer.targets["engine-0000"].spec.Memory / 6
	for i := range 40 {
		a := ask(fmt.Sprint("host-", i), 1)
		a.PromptTokens = prompt
		r.reduce(0, a)
	}
	for name, target := range r.reducer.targets {
		used := target.totalDemand(r.reducer.now).MeanMemory[0]
		r.Assert(used <= float64(target.spec.Memory), qt.IsTrue, qt.Commentf("%s: %g of %d tokens", name, used, target.spec.Memory))
		r.Assert(target.running > 1, qt.IsTrue)
	}
}

// An answer may be lost on the way. The host asks again, and must get the same target: another one
// would hold memory on two engines.
func TestLostAnswerIsRepeated(t *testing.T) {
	r := newCoordinator(t, 4)
	r.reduce(0, ask("h/1", 7))
	first := r.placed("h/1", 7)
	// A new choice would avoid the target now.
	r.reduce(0, HostStreams{Origin: "x/1", Sequence: 1, Failures: []TargetFailures{{Target: first.Target, Count: 5}}})
	r.reduce(200*time.Millisecond, ask("h/1", 7))
	r.Assert(r.placed("h/1", 7).Target, qt.Equals, first.Target)
	running := 0
	for _, target := range r.reducer.targets {
		running += target.running
	}
	r.Assert(running, qt.Equals, 1)
}

// A question about a further attempt releases the place of the failed one, and excludes its target.
func TestFurtherAttemptGetsAnotherTarget(t *testing.T) {
	r := newCoordinator(t, 2)
	r.reduce(0, ask("h/1", 7))
	first := r.placed("h/1", 7).Target
	again := ask("h/1", 7)
	again.Attempt, again.Excluded = 2, []string{first}
	r.reduce(time.Millisecond, again)
	r.Assert(r.placed("h/1", 7).Target, qt.Not(qt.Equals), first)
	r.Assert(r.reducer.targets[first].running, qt.Equals, 0)
}

// What waits gets memory as soon as a host reports that a stream has ended, and is dropped if its
// host no longer asks.
func TestHeldRemoteRequests(t *testing.T) {
	r := newCoordinator(t, 1, WithPrefillBurst(0))
	prompt := r.reducer.targets["engine-0000"].spec.Memory / 4
	n := r.fill(prompt)
	r.Assert(n > 1, qt.IsTrue)
	waiting, gone := ask("waiting", 1), ask("gone", 1)
	waiting.PromptTokens, gone.PromptTokens = prompt, prompt
	r.reduce(0, gone)
	for range 8 {
		r.reduce(placementRetryInterval*10, waiting)
	}
	r.Assert(r.reducer.remoteRequest(remoteID{"gone", 1}), qt.IsNotNil)
	r.reduce(0, Tick{})
	r.reduce(0, waiting)
	r.reduce(0, Tick{})
	r.Assert(r.reducer.remoteRequest(remoteID{"gone", 1}), qt.IsNil)
	for i := range n {
		r.reduce(0, HostStreams{Origin: fmt.Sprint("filler-", i), Sequence: 1, Finished: []FinishedStream{{ID: 1, Tokens: 50}}})
		if _, ok := r.firstEffect(EffectPlaced); ok {
			r.placed("waiting", 1)
			return
		}
	}
	r.Fatal("the waiting request got no place")
}

// A host that stands by records the streams that the hosts report. When it takes over, it
// must not place more than the engines have room for, and its accounts begin with these streams.
func TestTakeoverOverfillsNoEngine(t *testing.T) {
	r := newCoordinator(t, 2, WithPrefillBurst(0))
	standby := newReducerTest(t, 1, 2, WithPrefillBurst(0))
	standby.reduce(0, LiveHosts{Hosts: 40, Delegated: true})
	prompt := r.reducer.targets["engine-0000"].spec.Memory / 5
	n := r.fill(prompt)
	for i := range n {
		q := r.reducer.remoteRequest(remoteID{fmt.Sprint("filler-", i), 1})
		s := StreamState{ID: 1, Organisation: "organisation-0", Pool: "model-0", Route: "chat", Target: q.target.spec.Name, PromptTokens: prompt, Tokens: 10}
		standby.reduce(time.Millisecond, HostStreams{Origin: fmt.Sprint("filler-", i), Sequence: 1, Streams: []StreamState{s}})
	}
	r.Assert(r.reducer.Report(r.now).Accounts, qt.Not(qt.HasLen), 0)
	r.Assert(standby.reducer.Report(standby.now).Accounts, qt.HasLen, 0) // the coordinator reports them
	standby.reduce(0, LiveHosts{Hosts: 40, Coordinates: true})
	a := ask("late", 1)
	a.PromptTokens = prompt
	standby.reduce(0, a)
	standby.requireNoEffect(EffectPlaced)
}

// The streams of a host that no longer reports must not hold memory for ever.
func TestStreamsOfSilentHostExpire(t *testing.T) {
	r := newCoordinator(t, 1)
	r.reduce(0, ask("h/1", 1))
	r.reduce(remoteHostExpiry-time.Millisecond, Tick{})
	r.Assert(r.reducer.targets["engine-0000"].running, qt.Equals, 1)
	r.reduce(time.Millisecond, Tick{})
	r.Assert(r.reducer.targets["engine-0000"].running, qt.Equals, 0)
	r.Assert(r.reducer.remoteHosts, qt.HasLen, 0)
}

// A report that was sent before the host had the answer does not list the stream. The stream must
// not count as ended.
func TestReportBeforeAnswerEndsNothing(t *testing.T) {
	r := newCoordinator(t, 1)
	r.reduce(0, ask("h/1", 1))
	r.reduce(10*time.Millisecond, HostStreams{Origin: "h/1", Sequence: 1})
	r.Assert(r.reducer.targets["engine-0000"].running, qt.Equals, 1)
	s := StreamState{ID: 1, Organisation: "organisation-0", Pool: "model-0", Target: "engine-0000", PromptTokens: 100, Tokens: 3}
	r.reduce(10*time.Millisecond, HostStreams{Origin: "h/1", Sequence: 3, Streams: []StreamState{s}})
	r.reduce(0, HostStreams{Origin: "h/1", Sequence: 2}) // out of order
	r.Assert(r.reducer.targets["engine-0000"].running, qt.Equals, 1)
	r.reduce(10*time.Millisecond, HostStreams{Origin: "h/1", Sequence: 4})
	r.Assert(r.reducer.targets["engine-0000"].running, qt.Equals, 0)
}

// A host whose coordinators do not answer places its requests itself, and one whose coordinator
// names a target that it does not list asks again.
func TestHostWithoutAnswerPlacesItself(t *testing.T) {
	r := newReducerTest(t, 1, 2)
	r.reduce(0, LiveHosts{Hosts: 40, Delegated: true})
	r.reduce(0, submit(1, "organisation-0"))
	r.requireEffect(EffectPlace)
	r.requireNoEffect(EffectDispatch)
	r.reduce(time.Millisecond, Placed{ID: 1, Target: "unknown"})
	r.requireNoEffect(EffectDispatch)
	r.reduce(placementRetryInterval, Tick{})
	r.requireEffect(EffectPlace)
	r.reduce(time.Millisecond, PlacementFailed{ID: 1})
	r.requireEffect(EffectDispatch)
	r.reduce(time.Millisecond, Placed{ID: 1, Target: "engine-0000"}) // a late answer
	r.requireNoEffect(EffectDispatch)
}

// A refusal of the coordinator is the caller's final answer.
func TestRefusalOfCoordinatorIsFinal(t *testing.T) {
	r := newReducerTest(t, 1, 2)
	r.reduce(0, LiveHosts{Hosts: 40, Delegated: true})
	r.reduce(0, submit(1, "organisation-0"))
	r.reduce(time.Millisecond, Placed{ID: 1, Refusal: answer.KindQueueFull, RetryAfter: time.Second})
	f := r.requireEffect(EffectRefuse)
	r.Assert(f.Answer, qt.Equals, answer.KindQueueFull)
	r.Assert(f.RetryAfter, qt.Equals, time.Second)
}

// A coordinator that stops passes what it holds back to the hosts, which ask the next one.
func TestStoppingCoordinatorPassesRequestsBack(t *testing.T) {
	r := newCoordinator(t, 1, WithPrefillBurst(0))
	a := ask("h/1", 1)
	a.PromptTokens = r.reducer.targets["engine-0000"].spec.Memory / 4
	r.fill(a.PromptTokens)
	r.reduce(0, a)
	r.reduce(0, Stop{})
	r.Assert(r.placed("h/1", 1).Answer, qt.Equals, answer.KindStopping)
	r.reduce(0, ask("h/2", 1))
	r.Assert(r.placed("h/2", 1).Answer, qt.Equals, answer.KindStopping)
}

// allowMoves makes all engines able to move streams.
func (r *reducerTest) allowMoves() {
	for name, model := range r.reducer.table.Models {
		model.Engine.CanMove = true
		r.reducer.table.Models[name] = model
	}
}

// A host that stands by records the streams of other hosts like the coordinator. If it orders moves, too, two streams are
// copied off an engine at once, to destinations that the coordinator has not reserved.
func TestStandbyOrdersMoves(t *testing.T) {
	r := newReducerTest(t, 1, 3, WithMoves(true))
	r.allowMoves()
	r.reduce(0, LiveHosts{Hosts: 40, Delegated: true})
	stream := StreamState{ID: 1, Organisation: "organisation-0", Pool: "model-0", Target: "engine-0000", PromptTokens: 100, Tokens: 10, KnownOutput: 1000}
	r.reduce(0, HostStreams{Origin: "a/1", Sequence: 1, Streams: []StreamState{stream}})
	r.reduce(time.Millisecond, LeavingTargets{Leaving: map[string]bool{"engine-0000": true}})
	r.reduce(time.Millisecond, Tick{})
	r.requireNoEffect(EffectMove)
	r.reduce(time.Millisecond, LiveHosts{Hosts: 40, Coordinates: true})
	r.reduce(0, Tick{})
	r.requireEffect(EffectMove)
}

// The coordinator moves the streams of all hosts off an engine that is about to end one after the
// other, the longest first, since their copies share the engine's link; a move that the host does
// not begin is tried again with another destination.
func TestCoordinatorOrdersMoves(t *testing.T) {
	r := newCoordinator(t, 3, WithMoves(true))
	r.allowMoves()
	origins := []string{"a/1", "b/1", "c/1"}
	streams := map[string]StreamState{}
	for i, o := range origins {
		s := StreamState{ID: 1, Organisation: "organisation-0", Pool: "model-0", Target: "engine-0000", PromptTokens: 100, Tokens: 10 + i, KnownOutput: 1000 * (i + 1)}
		streams[o] = s
		r.reduce(0, HostStreams{Origin: o, Sequence: 1, Streams: []StreamState{s}})
	}
	r.reduce(time.Millisecond, LeavingTargets{Leaving: map[string]bool{"engine-0000": true}})
	r.reduce(time.Millisecond, Tick{})
	order := r.requireEffect(EffectMove)
	r.Assert(order.Remote, qt.Equals, "c/1")
	r.Assert(order.ID, qt.Equals, ID(1))
	moves := 0
	for _, f := range r.effects {
		if f.Kind == EffectMove {
			moves++
		}
	}
	r.Assert(moves, qt.Equals, maxConcurrentMoves)

	// The host has moved the stream; the next one follows.
	s := streams["c/1"]
	s.Target = order.To.Name
	r.reduce(300*time.Millisecond, HostStreams{Origin: "c/1", Sequence: 2, Streams: []StreamState{s}})
	r.reduce(0, Tick{})
	q := r.reducer.remoteRequest(remoteID{"b/1", 1})
	r.Assert(q.moveReservation.target, qt.IsNotNil)
	first := q.moveReservation.target

	// The host of the next one has not begun.
	r.reduce(orderLag, HostStreams{Origin: "b/1", Sequence: 2, Streams: []StreamState{streams["b/1"]}})
	r.Assert(q.triedTargets, qt.Contains, first)
}

// Random questions, reports and changes of the role must not violate the reducer's invariants, and
// each answer must agree with its state.
func TestRandomRemoteHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newCoordinator(t, 3)
		sequence := uint64(0)
		for range rapid.IntRange(1, 80).Draw(rt, "events") {
			sequence++
			after := time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			r.reduce(after, randomRemoteEvent(rt, sequence))
			r.checkPlaced(rt)
			r.reduce(0, Tick{})
		}
		r.reduce(10*time.Second, Tick{})
		r.reduce(time.Second, Tick{})
		for name, target := range r.reducer.targets {
			if target.running != 0 {
				rt.Fatalf("%s still has %d streams of silent hosts", name, target.running)
			}
		}
	})
}

// checkPlaced compares the answers among the last effects with the reducer's state.
func (r *reducerTest) checkPlaced(rt *rapid.T) {
	for _, f := range r.effects {
		if f.Kind != EffectPlaced || f.Answer != answer.KindNone {
			continue
		}
		q := r.reducer.remoteRequest(remoteID{f.Remote, f.ID})
		if q == nil || q.target == nil || q.target.spec.Name != f.Target {
			rt.Fatalf("request %d of %s was placed at %s, which differs from the reducer's state", f.ID, f.Remote, f.Target)
		}
	}
}

// randomRemoteEvent returns a random question or report of another host, or a random change of the
// role or of the targets.
func randomRemoteEvent(rt *rapid.T, sequence uint64) Event {
	origin := fmt.Sprint("h", rapid.IntRange(0, 3).Draw(rt, "host"))
	id := ID(rapid.IntRange(1, 6).Draw(rt, "id"))
	switch rapid.IntRange(0, 5).Draw(rt, "kind") {
	case 0, 1:
		a := ask(origin, id)
		a.PromptTokens = rapid.IntRange(1, 40_000).Draw(rt, "prompt")
		a.Attempt = rapid.IntRange(1, 3).Draw(rt, "attempt")
		return a
	case 2, 3:
		return randomHostStreams(rt, origin, id, sequence)
	case 4:
		name := fmt.Sprintf("engine-%04d", rapid.IntRange(0, 2).Draw(rt, "leaving"))
		return LeavingTargets{Leaving: map[string]bool{name: rapid.Bool().Draw(rt, "on")}}
	}
	coordinates := rapid.Bool().Draw(rt, "coordinates")
	return LiveHosts{Hosts: 4, Coordinates: coordinates, Delegated: !coordinates}
}

// randomHostStreams returns a report of up to three streams, in which a request has finished.
func randomHostStreams(rt *rapid.T, origin string, finished ID, sequence uint64) HostStreams {
	e := HostStreams{Origin: origin, Sequence: sequence, Finished: []FinishedStream{{ID: finished, Tokens: 20}}}
	for n := range rapid.IntRange(0, 3).Draw(rt, "streams") {
		e.Streams = append(e.Streams, StreamState{
			ID: ID(n + 1), Organisation: "organisation-0", Pool: "model-0", PromptTokens: 100,
			Target: fmt.Sprintf("engine-%04d", rapid.IntRange(0, 4).Draw(rt, "engine")), Tokens: rapid.IntRange(0, 500).Draw(rt, "tokens"),
			Moving: rapid.Bool().Draw(rt, "moving"),
		})
	}
	return e
}

// A stream with a backup needs no order of the coordinator, which has no record of the backup, and an
// order leads to the backup.
func TestStreamWithBackupMovesWithoutOrder(t *testing.T) {
	r := newReducerTest(t, 1, 3, WithMoves(true), WithBackupFraction(0.8))
	table := *r.reducer.table
	for name, model := range table.Models {
		model.Engine.CanMove, model.Engine.CanBackUp = true, true
		table.Models[name] = model
	}
	r.reduce(0, LiveHosts{Hosts: 2, Delegated: true})
	for id := range ID(2) {
		r.reduce(0, submit(id+1, "organisation-0"))
		r.reduce(time.Millisecond, Placed{ID: id + 1, Target: "engine-0000"})
		r.Assert(r.requireEffect(EffectDispatch).Backup.Name, qt.Not(qt.Equals), "")
		r.reduce(time.Millisecond, Progress{Samples: []Sample{{ID: id + 1, Tokens: 5, LastToken: r.now}}})
	}
	backup := r.reducer.requests[2].backup.target.spec.Name
	other := "engine-0001"
	if backup == other {
		other = "engine-0002"
	}
	r.reduce(time.Millisecond, MoveOrder{ID: 2, From: "engine-0000", To: other})
	r.Assert(r.requireEffect(EffectMove).To.Name, qt.Equals, backup)
	r.reduce(time.Millisecond, LeavingTargets{Leaving: map[string]bool{"engine-0000": true}})
	r.reduce(time.Millisecond, Tick{})
	move := r.requireEffect(EffectMove)
	r.Assert(move.ID, qt.Equals, ID(1))
	r.Assert(move.ToBackup, qt.IsTrue)
}
