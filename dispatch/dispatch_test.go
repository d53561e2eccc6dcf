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

// rig drives one reducer and keeps its last effects.
type rig struct {
	*qt.C
	reducer *Reducer
	now     time.Time
	effects []Effect
}

func newRig(t *testing.T, organisations, engines int, opts ...Option) *rig {
	c := qt.New(t)
	r := &rig{C: c, reducer: NewReducer(append([]Option{WithFresh(0)}, opts...)...), now: benchEpoch}
	r.do(0, TableChange{Table: benchTable(t, organisations, 1, engines)})
	return r
}

func (r *rig) do(after time.Duration, e Event) []Effect {
	r.now = r.now.Add(after)
	r.effects = append([]Effect(nil), r.reducer.Reduce(r.now, e)...)
	r.Assert(r.reducer.Check(), qt.IsNil)
	return r.effects
}

// of returns the first effect of a kind.
func (r *rig) of(k EffectKind) (Effect, bool) {
	for _, f := range r.effects {
		if f.Kind == k {
			return f, true
		}
	}
	return Effect{}, false
}

func (r *rig) mustBe(k EffectKind) Effect {
	r.Helper()
	f, ok := r.of(k)
	r.Assert(ok, qt.IsTrue, qt.Commentf("effects %v", r.effects))
	return f
}

func (r *rig) mustNotBe(k EffectKind) {
	r.Helper()
	_, ok := r.of(k)
	r.Assert(ok, qt.IsFalse, qt.Commentf("effects %v", r.effects))
}

func submit(id ID, organisation string) Submit {
	return Submit{ID: id, Organisation: organisation, Pool: "model-0", Route: "chat", Prompt: 100}
}

func TestLostAttemptIsRepeatedOnlyWhenItProvablyIsOver(t *testing.T) {
	cases := []struct {
		name   string
		failed Failed
		once   bool
		retry  bool
		answer answer.Kind
	}{
		{"not run", Failed{Certainty: target.CertainNotRun}, false, true, 0},
		{"not run, but once", Failed{Certainty: target.CertainNotRun}, true, false, answer.KindRefused},
		{"rebooted", Failed{Certainty: target.CertainLost, Rebooted: true}, false, true, 0},
		{"rebooted after tokens", Failed{Certainty: target.CertainLost, Rebooted: true, Delivered: true}, false, false, answer.KindTargetLost},
		{"lost without a reboot", Failed{Certainty: target.CertainLost}, false, false, answer.KindTargetLost},
		{"unknown", Failed{}, false, false, answer.KindUnknownOutcome},
		{"unknown after tokens", Failed{Delivered: true}, false, false, answer.KindBroken},
		{"once and unknown", Failed{}, true, false, answer.KindUnknownOutcome},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, 1, 4)
			for id := range ID(10) { // earns a retry
				r.do(time.Millisecond, submit(100+id, "organisation-0"))
			}
			s := submit(1, "organisation-0")
			s.Once = tc.once
			r.do(time.Second, s)
			first := r.mustBe(EffectDispatch)
			tc.failed.ID = 1
			r.do(time.Millisecond, tc.failed)
			if !tc.retry {
				r.Assert(r.mustBe(EffectRefuse).Answer, qt.Equals, tc.answer)
				return
			}
			r.mustNotBe(EffectRefuse)
			r.do(retryBackoff, Tick{})
			r.Assert(r.mustBe(EffectDispatch).Target, qt.Not(qt.Equals), first.Target)
		})
	}
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	r := newRig(t, 1, 50)
	const requests = 400
	for id := range ID(requests) {
		r.do(time.Second, submit(id+1, "organisation-0"))
		for range retryMost {
			if _, ok := r.of(EffectDispatch); ok {
				r.do(time.Millisecond, Failed{ID: id + 1, Certainty: target.CertainNotRun})
			}
			r.do(time.Second, Tick{})
		}
	}
	retried := r.reducer.Counts().Retried
	r.Assert(retried > 0, qt.IsTrue)
	r.Assert(float64(retried) <= defaultRetryShare*requests+defaultRetrySlack, qt.IsTrue, qt.Commentf("%d", retried))
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	r := newRig(t, 1, 2, WithBurst(0))
	r.do(0, Roster{Leaving: map[string]bool{"engine-0000": true}})
	for id := range ID(20) {
		r.do(time.Second, submit(id+1, "organisation-0"))
		r.Assert(r.mustBe(EffectDispatch).Target, qt.Equals, "engine-0001")
	}
	r.do(0, LoadReport{Target: "engine-0001", Load: target.Load{Leaving: true}})
	r.do(time.Second, submit(99, "organisation-0"))
	r.mustNotBe(EffectDispatch)
	r.do(defaultPatience, Tick{})
	r.Assert(r.mustBe(EffectRefuse).Answer, qt.Equals, answer.KindDeadline)
}

func TestEngineNotHeardOfGetsNoNewWork(t *testing.T) {
	r := newRig(t, 1, 1, WithFresh(defaultFresh))
	r.do(0, submit(1, "organisation-0"))
	r.mustNotBe(EffectDispatch)
	r.do(0, LoadReport{Target: "engine-0000"})
	r.mustBe(EffectDispatch)
	r.do(defaultFresh+time.Millisecond, submit(2, "organisation-0"))
	r.mustNotBe(EffectDispatch)
}

func TestSilentStreamIsResumedWithGrowingPauses(t *testing.T) {
	r := newRig(t, 1, 1)
	r.do(0, submit(1, "organisation-0"))
	last := r.now
	for n := 1; n <= 20; n++ {
		last = r.now
		r.do(20*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: n, Last: last}}})
		r.mustNotBe(EffectResume)
	}
	var resumes []time.Duration
	for r.now.Sub(last) < 10*time.Second {
		r.do(25*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: 20, Last: last}}})
		if _, ok := r.of(EffectResume); ok {
			resumes = append(resumes, r.now.Sub(last))
		}
	}
	r.Assert(len(resumes) >= 3, qt.IsTrue)
	r.Assert(resumes[0] < 2*stallLeast, qt.IsTrue, qt.Commentf("%v", resumes))
	for i := 2; i < len(resumes); i++ {
		r.Assert(resumes[i]-resumes[i-1] > resumes[i-1]-resumes[i-2], qt.IsTrue, qt.Commentf("%v", resumes))
	}
}

func TestFullQueueIsRefusedAtOnceWithATime(t *testing.T) {
	r := newRig(t, 1, 1)
	r.do(0, Roster{Leaving: map[string]bool{"engine-0000": true}})
	r.reducer.organisations["organisation-0"].spec.Queue = 3
	for id := range ID(3) {
		r.do(0, submit(id+1, "organisation-0"))
		r.mustNotBe(EffectRefuse)
	}
	r.do(0, submit(4, "organisation-0"))
	refused := r.mustBe(EffectRefuse)
	r.Assert(refused.Answer, qt.Equals, answer.KindQueueFull)
	r.Assert(refused.Retry >= leastDrain, qt.IsTrue)
}

func TestIdleShareComesBackToItsOwner(t *testing.T) {
	r := newRig(t, 2, 1)
	id := ID(0)
	// One organisation fills the engine and keeps more waiting.
	for range 4000 {
		id++
		r.do(time.Millisecond, submit(id, "organisation-0"))
	}
	r.Assert(r.reducer.pools["model-0"].held > 100, qt.IsTrue)
	id++
	owner := id
	r.do(0, submit(owner, "organisation-1"))
	// The first room that opens goes to the owner of the idle share.
	for done := ID(1); ; done++ {
		r.do(time.Millisecond, Ended{ID: done, Usage: target.Usage{Output: 100}})
		if f, ok := r.of(EffectDispatch); ok {
			r.Assert(f.ID, qt.Equals, owner)
			return
		}
	}
}

func TestPeerReportReplacesThePeersLast(t *testing.T) {
	r := newRig(t, 1, 1)
	report := PeerReport{
		Origin:   "p/1",
		Sequence: 2,
		Accounts: []share.Entry{{Account: share.Account{Organisation: "organisation-0"}, Use: 10, Holding: 5}},
		Demands:  []TargetDemand{{Target: "engine-0000", Demand: forecast.Demand{Streams: 3}}},
	}
	r.do(0, report)
	r.do(0, report) // a repeat
	report.Sequence = 1
	r.do(0, report) // a late one
	r.Assert(r.reducer.targets["engine-0000"].others.Streams, qt.Equals, 3.0)
	r.Assert(r.reducer.ledger.Holding(share.Account{Organisation: "organisation-0"}), qt.Equals, 5.0)
	r.do(peersExpiry, Tick{})
	r.Assert(r.reducer.targets["engine-0000"].others.Streams, qt.Equals, 0.0)
	r.Assert(r.reducer.ledger.Holding(share.Account{Organisation: "organisation-0"}), qt.Equals, 0.0)
}

func TestOlderTableIsIgnored(t *testing.T) {
	r := newRig(t, 1, 1)
	newer := *benchTable(t, 1, 1, 2)
	newer.Version = 5
	r.do(0, TableChange{Table: &newer})
	older := *benchTable(t, 1, 1, 1)
	older.Version = 4
	r.do(0, TableChange{Table: &older})
	r.Assert(r.reducer.Table().Version, qt.Equals, uint64(5))
	r.Assert(r.reducer.targets, qt.HasLen, 2)
}
