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
