package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
)

// fillUntilHeld dispatches requests until the next one is held.
func (r *reducerTest) fillUntilHeld() ID {
	r.Helper()
	for id := ID(1); ; id++ {
		s := submit(id, "organisation-0")
		s.PromptTokens, s.KnownOutputTokens = 1500, 1000
		s.DispatchDeadline, s.CallerDeadline = r.now.Add(5*time.Second), r.now.Add(20*time.Second)
		r.reduce(time.Millisecond, s)
		r.requireNoEffect(EffectRefuse)
		if _, ok := r.firstEffect(EffectDispatch); !ok {
			return id
		}
	}
}

// A held request is refused as soon as no target can take it before its dispatch deadline. It was held until then.
func TestHeldRequestWaitsForTargetsThatAllLeave(t *testing.T) {
	r := newReducerTest(t, 1, 2)
	id := r.fillUntilHeld()
	leaving := map[string]bool{}
	for _, row := range r.reducer.Targets() {
		leaving[row.Target] = true
	}
	r.reduce(time.Millisecond, LeavingTargets{Leaving: leaving})
	r.reduce(500*time.Millisecond, Tick{})
	f, ok := r.firstEffect(EffectRefuse)
	r.Assert(ok && f.ID == id && f.Answer == answer.KindNoTarget, qt.IsTrue, qt.Commentf("effects %v", r.effects))
}

// The same, of targets that rest until after the deadline.
func TestHeldRequestWaitsForTargetsThatRest(t *testing.T) {
	r := newReducerTest(t, 1, 2)
	id := r.fillUntilHeld()
	for _, row := range r.reducer.Targets() {
		r.reduce(time.Millisecond, RestAsked{Target: row.Target, StartTime: r.reducer.targets[row.Target].spec.StartTime, Rest: 10 * time.Second})
	}
	r.reduce(500*time.Millisecond, Tick{})
	f, ok := r.firstEffect(EffectRefuse)
	r.Assert(ok && f.ID == id, qt.IsTrue, qt.Commentf("effects %v", r.effects))
}

// A coordinator places a request that its stopping host has refused, and its room is kept from others for about a second. The next
// report of that host ends that.
func TestCoordinatorPlacesRequestThatStoppingHostRefused(t *testing.T) {
	stopping := newFleetTest(t, 1)
	stopping.reduce(0, LiveHosts{Hosts: 2, Delegated: true})
	stopping.reduce(0, Submit{
		ID: 7, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: 20_000, MaxOutputTokens: 1_000,
		DispatchDeadline: stopping.now.Add(8 * time.Second), CallerDeadline: stopping.now.Add(30 * time.Second),
	})
	q := *stopping.requireEffect(EffectPlace).Placement
	q.Origin = "a/1"
	coordinator := newFleetTest(t, 1)
	coordinator.reduce(0, LiveHosts{Hosts: 2})
	coordinator.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: fullPrompt, MaxOutputTokens: 1_000})
	coordinator.reduce(0, PlacementAsked{q})
	stopping.reduce(0, Stop{Until: stopping.now.Add(7600 * time.Millisecond)})
	stopping.requireStopping(7)
	coordinator.reduce(10*time.Millisecond, Submit{
		ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: 20_000, MaxOutputTokens: 1_000,
		DispatchDeadline: coordinator.now.Add(10 * time.Second),
	})
	coordinator.reduce(290*time.Millisecond, Ended{ID: 1})
	coordinator.Check(coordinator.effectOf(2), qt.IsNil) // before the report
	report := stopping.reducer.HostStreams()
	report.Origin, report.Sequence = "a/1", 1
	coordinator.reduce(50*time.Millisecond, report)
	coordinator.Check(coordinator.effectOf(2), qt.IsNotNil, qt.Commentf("request 2 waits for room that request 7 holds"))
}
