package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/target"
)

func digestOf(content uint64) []quarantine.Part {
	return []quarantine.Part{{Pool: "plain", ID: content, Organisation: "one"}}
}

// callOf returns a call with the given content.
func (f *fleetTest) callOf(id ID, content uint64, once bool) Submit {
	s := f.call(id)
	s.Parts, s.NonIdempotent = digestOf(content), once
	return s
}

// crash ends the connection of a call, and confirms that its target has crashed.
func (f *fleetTest) crash(id ID) {
	f.Helper()
	f.reduce(time.Millisecond, AttemptFailed{ID: id, Ended: true})
	f.reduce(time.Millisecond, Probed{Target: f.requireEffect(EffectProbe).Target, Gone: true})
}

// allow lets the reducer itself decide about the trial that the last event has asked for.
func (f *fleetTest) allow() bool {
	f.Helper()
	e := f.requireEffect(EffectTrial)
	reply := f.reducer.AllowTrial(TrialRequest{Asker: e.Name + string(rune(e.ID)), Part: e.Part, Crashes: e.Crashes, Life: e.Within}, f.now)
	reply.ID = e.ID
	f.reduce(0, reply)
	return reply.Granted
}

// A lookup whose target has ended is not sent to the next one before it is known whether the target has
// crashed, and then only as a trial. After a second crash its caller gets an answer at once, and its
// repetitions are refused as not run.
func TestCrashedLookupIsTriedAlone(t *testing.T) {
	f := newPlainTest(t, "p1", "p2", "p3")
	f.reduce(0, f.callOf(1, 7, false))
	first := f.requireEffect(EffectDispatch).Target
	f.reduce(time.Millisecond, AttemptFailed{ID: 1, Ended: true})
	f.requireNoEffect(EffectDispatch)
	f.reduce(30*time.Millisecond, Tick{})
	f.requireNoEffect(EffectDispatch)
	f.reduce(0, Probed{Target: first, Gone: true})
	f.requireNoEffect(EffectDispatch)
	f.Assert(f.allow(), qt.IsTrue)
	f.Assert(f.requireEffect(EffectDispatch).Target, qt.Not(qt.Equals), first)

	f.reduce(time.Millisecond, AttemptFailed{ID: 1, Ended: true})
	refused, ended := f.firstEffect(EffectRefuse)
	if !ended {
		f.reduce(0, Probed{Target: f.requireEffect(EffectProbe).Target, Gone: true})
		refused = f.requireEffect(EffectRefuse)
	} else {
		f.reduce(0, Probed{Target: f.requireEffect(EffectProbe).Target, Gone: true})
	}
	f.Check(refused.Answer, qt.Equals, answer.KindUnknownOutcome) // it has begun to run

	f.reduce(0, f.callOf(2, 7, false))
	refused = f.requireEffect(EffectRefuse)
	f.Check(refused.Answer, qt.Equals, answer.KindRequestQuarantined)
	f.Check(refused.Answer.Properties().Outcome, qt.Equals, answer.OutcomeNotRun)
	f.Check(refused.RetryAfter > 9*time.Second, qt.IsTrue)
}

// A call that is not idempotent is not sent again after a crash; its repetitions are tried one at a time.
func TestCrashedBookingIsNotSentAgain(t *testing.T) {
	f := newPlainTest(t, "p1", "p2", "p3")
	f.reduce(0, f.callOf(1, 7, true))
	f.reduce(time.Millisecond, AttemptFailed{ID: 1, Ended: true})
	f.Check(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindUnknownOutcome)
	f.reduce(0, Probed{Target: f.requireProbe(), Gone: true})

	f.reduce(0, f.callOf(2, 7, true))
	f.requireNoEffect(EffectDispatch)
	f.Assert(f.allow(), qt.IsTrue)
	f.requireEffect(EffectDispatch)
	f.reduce(0, f.callOf(3, 7, true)) // at the same time
	f.Assert(f.allow(), qt.IsFalse)
	f.requireNoEffect(EffectDispatch)
	f.reduce(0, Ended{ID: 2}) // an answer clears all
	f.reduce(trialRetryInterval, Tick{})
	f.requireEffect(EffectDispatch)
}

// requireProbe returns the target that is being probed.
func (f *fleetTest) requireProbe() string {
	for name := range f.reducer.possibleCrashes {
		return name
	}
	f.Fatal("no probe")
	return ""
}

// A target that lives resets connections: its lookups go elsewhere, and are not suspected.
func TestResetWithoutCrashIsRetried(t *testing.T) {
	f := newPlainTest(t, "p1", "p2", "p3")
	for id := ID(1); id <= 8; id++ { // within the retry budget
		f.reduce(10*time.Millisecond, f.callOf(id, 7, false))
		first := f.requireEffect(EffectDispatch).Target
		f.reduce(time.Millisecond, AttemptFailed{ID: id, Ended: true})
		f.reduce(50*time.Millisecond, Probed{Target: first, Gone: false})
		f.requireEffect(EffectDispatch)
		f.reduce(time.Millisecond, Ended{ID: id})
	}
}

// The bystanders of a crash are tried one after the other, and each answer clears one.
func TestBystandersAreServed(t *testing.T) {
	f := newPlainTest(t, "p1", "p2")
	at := map[string][]ID{}
	for id := range ID(8) {
		f.reduce(0, f.callOf(id+1, uint64(id), false))
		name := f.requireEffect(EffectDispatch).Target
		at[name] = append(at[name], id+1)
	}
	for _, id := range at["p2"] {
		f.reduce(0, Ended{ID: id})
	}
	for _, id := range at["p1"] {
		f.reduce(0, AttemptFailed{ID: id, Ended: true})
	}
	f.reduce(time.Millisecond, Probed{Target: "p1", Gone: true})
	served := map[ID]bool{}
	for range 100 {
		for _, e := range append([]Effect(nil), f.effects...) {
			switch e.Kind {
			case EffectTrial:
				reply := f.reducer.AllowTrial(TrialRequest{Asker: string(rune(e.ID)), Part: e.Part, Crashes: e.Crashes, Life: e.Within}, f.now)
				reply.ID = e.ID
				f.reduce(0, reply)
				if d, ok := f.firstEffect(EffectDispatch); ok {
					f.reduce(time.Millisecond, Ended{ID: d.ID})
					served[d.ID] = true
				}
			case EffectRefuse:
				f.Fatalf("refused: %v", e)
			}
		}
		f.reduce(5*time.Millisecond, Tick{})
	}
	f.Check(served, qt.HasLen, len(at["p1"]))
}

// An error of a target's own shows that the request has not crashed it.
func TestErrorOfLivingTargetClearsRequest(t *testing.T) {
	f := newPlainTest(t, "p1", "p2", "p3")
	f.reduce(0, f.callOf(1, 7, true))
	f.crash(1)
	f.reduce(0, f.callOf(2, 7, true))
	f.Assert(f.allow(), qt.IsTrue)
	f.reduce(0, AttemptFailed{ID: 2, Answered: true, Certainty: target.CertaintyUnknown})
	f.reduce(0, f.callOf(3, 7, true))
	f.requireEffect(EffectDispatch)
}
