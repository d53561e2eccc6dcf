package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/target"
)

// reducerTest drives a reducer and keeps the effects of the last event.
type reducerTest struct {
	*qt.C
	reducer *Reducer
	now     time.Time
	effects []Effect
}

func newReducerTest(t *testing.T, organisations, engines int, opts ...Option) *reducerTest {
	c := qt.New(t)
	r := &reducerTest{C: c, reducer: NewReducer(append([]Option{WithMaxLoadAge(0)}, opts...)...), now: benchEpoch}
	r.reduce(0, TableChange{Table: benchTable(t, organisations, 1, engines)})
	return r
}

// reduce advances the time by after, applies an event and checks the reducer's invariants.
func (r *reducerTest) reduce(after time.Duration, e Event) []Effect {
	r.now = r.now.Add(after)
	r.effects = append([]Effect(nil), r.reducer.Reduce(r.now, e)...)
	r.Assert(r.reducer.Check(), qt.IsNil)
	return r.effects
}

// firstEffect returns the first effect of the given kind among those of the last event, and whether
// there is one.
func (r *reducerTest) firstEffect(k EffectKind) (Effect, bool) {
	for _, f := range r.effects {
		if f.Kind == k {
			return f, true
		}
	}
	return Effect{}, false
}

// requireEffect is firstEffect, and fails the test if there is no such effect.
func (r *reducerTest) requireEffect(k EffectKind) Effect {
	r.Helper()
	f, ok := r.firstEffect(k)
	r.Assert(ok, qt.IsTrue, qt.Commentf("effects %v", r.effects))
	return f
}

// requireNoEffect fails the test if the last event had an effect of the given kind.
func (r *reducerTest) requireNoEffect(k EffectKind) {
	r.Helper()
	_, ok := r.firstEffect(k)
	r.Assert(ok, qt.IsFalse, qt.Commentf("effects %v", r.effects))
}

// submit returns a request with a prompt of 100 tokens to the pool model-0.
func submit(id ID, organisation string) Submit {
	return Submit{ID: id, Organisation: organisation, Pool: "model-0", Route: "chat", PromptTokens: 100}
}

func TestFailedAttemptIsRetriedOnlyIfProvablyOver(t *testing.T) {
	cases := []struct {
		name          string
		failure       AttemptFailed
		nonIdempotent bool
		retry         bool
		answer        answer.Kind
	}{
		{"not run", AttemptFailed{Certainty: target.CertaintyNotRun}, false, true, 0},
		{"not run, not idempotent", AttemptFailed{Certainty: target.CertaintyNotRun}, true, false, answer.KindRefused},
		{"rebooted", AttemptFailed{Certainty: target.CertaintyLost, Rebooted: true}, false, true, 0},
		{"rebooted after tokens", AttemptFailed{Certainty: target.CertaintyLost, Rebooted: true, Delivered: true}, false, false, answer.KindTargetLost},
		{"lost without a reboot", AttemptFailed{Certainty: target.CertaintyLost}, false, false, answer.KindTargetLost},
		{"unknown", AttemptFailed{}, false, false, answer.KindUnknownOutcome},
		{"unknown after tokens", AttemptFailed{Delivered: true}, false, false, answer.KindStreamBroken},
		{"unknown, not idempotent", AttemptFailed{}, true, false, answer.KindUnknownOutcome},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newReducerTest(t, 1, 4)
			for id := range ID(10) { // fills the retry budget
				r.reduce(time.Millisecond, submit(100+id, "organisation-0"))
			}
			s := submit(1, "organisation-0")
			s.NonIdempotent = tc.nonIdempotent
			r.reduce(time.Second, s)
			first := r.requireEffect(EffectDispatch)
			tc.failure.ID = 1
			r.reduce(time.Millisecond, tc.failure)
			if !tc.retry {
				r.Assert(r.requireEffect(EffectRefuse).Answer, qt.Equals, tc.answer)
				return
			}
			r.requireNoEffect(EffectRefuse)
			r.reduce(retryBackoff, Tick{})
			r.Assert(r.requireEffect(EffectDispatch).Target, qt.Not(qt.Equals), first.Target)
		})
	}
}

// A request whose engines restart while they run it may be the reason. It is sent to a second engine, but
// not to a third.
func TestRequestThatRestartsEngines(t *testing.T) {
	r := newReducerTest(t, 1, 4)
	r.reduce(0, submit(1, "organisation-0"))
	r.requireEffect(EffectDispatch)
	r.reduce(time.Millisecond, AttemptFailed{ID: 1, Certainty: target.CertaintyLost, Rebooted: true})
	r.reduce(time.Second, Tick{})
	r.requireEffect(EffectDispatch)
	r.reduce(time.Millisecond, AttemptFailed{ID: 1, Certainty: target.CertaintyLost, Rebooted: true})
	r.Check(r.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindTargetLost)
}

// A request whose attempt may have run waits for a retry and is then refused. The refusal
// must not say that the request did not run, even if that holds for the last attempt.
func TestRefusalAfterAttemptThatMayHaveRun(t *testing.T) {
	cases := map[string]Event{
		"no target until the deadline": nil,
		"the retry did not run":        AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun},
	}
	for name, last := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReducerTest(t, 1, 2)
			r.reduce(0, submit(1, "organisation-0"))
			f := r.requireEffect(EffectDispatch)
			if last == nil {
				leaving := map[string]bool{}
				for _, row := range r.reducer.Targets() {
					leaving[row.Target] = true
				}
				r.reduce(0, LeavingTargets{Leaving: leaving})
			}
			r.reduce(time.Millisecond, AttemptFailed{ID: 1, Certainty: target.CertaintyLost, Rebooted: true})
			r.requireNoEffect(EffectRefuse)
			if last != nil {
				r.reduce(time.Second, Tick{})
				r.Assert(r.requireEffect(EffectDispatch).Target, qt.Not(qt.Equals), f.Target)
				r.reduce(time.Millisecond, last)
			} else {
				r.reduce(time.Hour, Tick{})
			}
			refused := r.requireEffect(EffectRefuse)
			r.Check(refused.Answer, qt.Equals, answer.KindTargetLost)
			r.Check(refused.Answer.Properties().Outcome, qt.Not(qt.Equals), answer.OutcomeNotRun)
		})
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	r := newReducerTest(t, 1, 50)
	const requests = 400
	for id := range ID(requests) {
		r.reduce(time.Second, submit(id+1, "organisation-0"))
		for range defaultMaxTargets {
			if _, ok := r.firstEffect(EffectDispatch); ok {
				r.reduce(time.Millisecond, AttemptFailed{ID: id + 1, Certainty: target.CertaintyNotRun})
			}
			r.reduce(time.Second, Tick{})
		}
	}
	retried := r.reducer.Counts().Retried
	r.Assert(retried > 0, qt.IsTrue)
	r.Assert(float64(retried) <= defaultRetryRatio*requests+defaultRetrySlack, qt.IsTrue, qt.Commentf("%d", retried))
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	r := newReducerTest(t, 1, 2, WithPrefillBurst(0))
	r.reduce(0, LeavingTargets{Leaving: map[string]bool{"engine-0000": true}})
	for id := range ID(20) {
		r.reduce(time.Second, submit(id+1, "organisation-0"))
		r.Assert(r.requireEffect(EffectDispatch).Target, qt.Equals, "engine-0001")
	}
	r.reduce(0, LoadReport{Target: "engine-0001", Load: target.Load{Leaving: true}})
	r.reduce(time.Second, submit(99, "organisation-0"))
	r.requireNoEffect(EffectDispatch)
	r.reduce(defaultMaxHold, Tick{})
	r.Assert(r.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindDeadline)
}

func TestEngineWithStaleLoadReportGetsNoNewWork(t *testing.T) {
	r := newReducerTest(t, 1, 1, WithMaxLoadAge(defaultMaxLoadAge))
	r.reduce(0, submit(1, "organisation-0"))
	r.requireNoEffect(EffectDispatch)
	r.reduce(0, LoadReport{Target: "engine-0000"})
	r.requireEffect(EffectDispatch)
	r.reduce(defaultMaxLoadAge+time.Millisecond, submit(2, "organisation-0"))
	r.requireNoEffect(EffectDispatch)
}

func TestStalledStreamIsResumedWithBackoff(t *testing.T) {
	r := newReducerTest(t, 1, 1)
	r.reduce(0, submit(1, "organisation-0"))
	last := r.now
	for n := 1; n <= 20; n++ {
		last = r.now
		r.reduce(20*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: n, LastToken: last}}})
		r.requireNoEffect(EffectResume)
	}
	var resumes []time.Duration
	for r.now.Sub(last) < 10*time.Second {
		r.reduce(25*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: 20, LastToken: last}}})
		if _, ok := r.firstEffect(EffectResume); ok {
			resumes = append(resumes, r.now.Sub(last))
		}
	}
	r.Assert(len(resumes) >= 3, qt.IsTrue)
	r.Assert(resumes[0] < 2*minStall, qt.IsTrue, qt.Commentf("%v", resumes))
	for i := 2; i < len(resumes); i++ {
		r.Assert(resumes[i]-resumes[i-1] > resumes[i-1]-resumes[i-2], qt.IsTrue, qt.Commentf("%v", resumes))
	}
}

func TestFullQueueIsRefusedWithRetryAfter(t *testing.T) {
	r := newReducerTest(t, 1, 1)
	r.reduce(0, LeavingTargets{Leaving: map[string]bool{"engine-0000": true}})
	r.reducer.organisations["organisation-0"].spec.MaxQueued = 3
	for id := range ID(3) {
		r.reduce(0, submit(id+1, "organisation-0"))
		r.requireNoEffect(EffectRefuse)
	}
	r.reduce(0, submit(4, "organisation-0"))
	refused := r.requireEffect(EffectRefuse)
	r.Assert(refused.Answer, qt.Equals, answer.KindQueueFull)
	r.Assert(refused.RetryAfter >= minQueueDrain, qt.IsTrue)
}

func TestIdleShareReturnsToItsOrganisation(t *testing.T) {
	r := newReducerTest(t, 2, 1)
	id := ID(0)
	// The requests of organisation-0 fill the engine, and further ones are held.
	for range 4000 {
		id++
		r.reduce(time.Millisecond, submit(id, "organisation-0"))
	}
	r.Assert(r.reducer.pools["model-0"].held > 100, qt.IsTrue)
	id++
	first := id
	r.reduce(0, submit(first, "organisation-1"))
	// The first free capacity goes to organisation-1, which has used nothing of its share.
	for done := ID(1); ; done++ {
		r.reduce(time.Millisecond, Ended{ID: done, Usage: target.Usage{Output: 100}})
		if f, ok := r.firstEffect(EffectDispatch); ok {
			r.Assert(f.ID, qt.Equals, first)
			return
		}
	}
}

func TestPeerReportReplacesPreviousReport(t *testing.T) {
	r := newReducerTest(t, 1, 1)
	report := PeerReport{
		Origin:   "p/1",
		Sequence: 2,
		Accounts: []share.Entry{{Account: share.Account{Organisation: "organisation-0"}, Use: 10, Rate: 5}},
		Demands:  []TargetDemand{{Target: "engine-0000", Demand: forecast.Demand{Streams: 3}}},
	}
	r.reduce(0, report)
	r.reduce(0, report) // duplicate
	report.Sequence = 1
	r.reduce(0, report) // late
	r.Assert(r.reducer.targets["engine-0000"].peerDemand.Streams, qt.Equals, 3.0)
	r.Assert(r.reducer.ledger.CurrentRate(share.Account{Organisation: "organisation-0"}), qt.Equals, 5.0)
	r.reduce(peersExpiry, Tick{})
	r.Assert(r.reducer.targets["engine-0000"].peerDemand.Streams, qt.Equals, 0.0)
	r.Assert(r.reducer.ledger.CurrentRate(share.Account{Organisation: "organisation-0"}), qt.Equals, 0.0)
}

func TestOlderTableIsIgnored(t *testing.T) {
	r := newReducerTest(t, 1, 1)
	newer := *benchTable(t, 1, 1, 2)
	newer.Version = 5
	r.reduce(0, TableChange{Table: &newer})
	older := *benchTable(t, 1, 1, 1)
	older.Version = 4
	r.reduce(0, TableChange{Table: &older})
	r.Assert(r.reducer.Table().Version, qt.Equals, uint64(5))
	r.Assert(r.reducer.targets, qt.HasLen, 2)
}
