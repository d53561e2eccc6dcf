package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/target"
)

// parts returns parts of prompts to the pool model-0.
func parts(ids ...uint64) []quarantine.Part {
	out := make([]quarantine.Part, 0, len(ids))
	for _, id := range ids {
		out = append(out, quarantine.Part{Pool: "model-0", ID: id})
	}
	return out
}

// submitWith submits a request with shared prompt parts and returns the target that it is dispatched to.
func (r *reducerTest) submitWith(id ID, shared ...quarantine.Part) string {
	r.Helper()
	s := submit(id, "organisation-0")
	s.Parts = shared
	s.MaxAttempts = 1
	r.reduce(time.Millisecond, s)
	return r.requireEffect(EffectDispatch).Target
}

// loseAtBeginning ends the connection of a request before its answer, and confirms or denies that its
// target has crashed.
func (r *reducerTest) loseAtBeginning(id ID, gone bool) {
	r.Helper()
	r.reduce(400*time.Millisecond, AttemptFailed{ID: id, Certainty: target.CertaintyUnknown, Ended: true})
	probe := r.requireEffect(EffectProbe)
	r.reduce(50*time.Millisecond, Probed{Target: probe.Target, Gone: gone})
}

// Requests with one part crash three targets. Those that follow, and those that wait, are refused at
// once, while others with the same first part are served.
func TestRequestsWithQuarantinedPartAreRefused(t *testing.T) {
	r := newReducerTest(t, 1, 6)
	for i := range ID(3) {
		r.submitWith(10*i+1, parts(1, 7)...)
		r.submitWith(10*i+2, parts(1)...)
		r.reduce(time.Millisecond, Ended{ID: 10*i + 2})
		r.loseAtBeginning(10*i+1, true)
		_, quarantined := r.firstEffect(EffectQuarantined)
		r.Assert(quarantined, qt.Equals, i == 2)
	}
	s := submit(50, "organisation-0")
	s.Parts = parts(1, 7)
	r.reduce(0, s)
	refused := r.requireEffect(EffectRefuse)
	r.Check(refused.Answer, qt.Equals, answer.KindQuarantined)
	r.Check(refused.Answer.Properties().Outcome, qt.Equals, answer.OutcomeNotRun)
	r.Check(refused.RetryAfter > 10*time.Minute, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
	r.submitWith(51, parts(1)...)
}

// A request that waits is refused when another host's records quarantine its part.
func TestHeldRequestIsRefusedByQuarantine(t *testing.T) {
	r := newReducerTest(t, 1, 2)
	leaving := map[string]bool{}
	for _, row := range r.reducer.Targets() {
		leaving[row.Target] = true
	}
	r.reduce(0, LeavingTargets{Leaving: leaving})
	s := submit(1, "organisation-0")
	s.Parts = parts(7)
	r.reduce(0, s)
	r.requireNoEffect(EffectRefuse)
	record := quarantine.Record{Part: parts(7)[0]}
	for i := range 3 {
		record.Crashes = append(record.Crashes, quarantine.Crash{Target: uint64(i), At: r.now.Add(time.Duration(i-3) * time.Second)})
	}
	r.reduce(0, Suspects{Records: []quarantine.Record{record}})
	r.Check(r.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindQuarantined)
	r.requireEffect(EffectShareSuspects)
	r.reduce(0, Suspects{Records: []quarantine.Record{record}})
	r.requireNoEffect(EffectShareSuspects)
}

// Connections that end early do not suspect a part if the target still listens, if it was leaving, if
// the answer had got past its beginning, or if the request has only a part of its own.
func TestEarlyEndsThatSuspectNothing(t *testing.T) {
	ended := AttemptFailed{Certainty: target.CertaintyUnknown, Ended: true}
	cases := map[string]struct {
		parts   []quarantine.Part
		failure AttemptFailed
		leaving bool
		probed  bool
	}{
		"the target listens":    {parts(7), ended, false, true},
		"the target is leaving": {parts(7), ended, true, false},
		"an answer under way":   {parts(7), AttemptFailed{Delivered: true, Tokens: beginningTokens + 1, Ended: true}, false, false},
		"no shared part":        {nil, ended, false, false},
		"a timeout":             {parts(7), AttemptFailed{Certainty: target.CertaintyUnknown}, false, false},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReducerTest(t, 1, 6)
			for i := range ID(4) {
				to := r.submitWith(i+1, q.parts...)
				if q.leaving {
					r.reduce(0, LeavingTargets{Leaving: map[string]bool{to: true}})
				}
				failure := q.failure
				failure.ID = i + 1
				r.reduce(time.Second, failure)
				probe, probed := r.firstEffect(EffectProbe)
				r.Assert(probed, qt.Equals, q.probed)
				if probed {
					r.reduce(0, Probed{Target: probe.Target, Gone: false})
				}
			}
			r.Check(r.reducer.SuspectRecords(r.now), qt.HasLen, 0)
			r.submitWith(20, q.parts...)
		})
	}
}

// A generation whose shared parts are sound comes again with the same content and crashes engines. It reaches no more
// than three, and other generations with its shared parts are served.
func TestSameGenerationKeepsCrashingEngines(t *testing.T) {
	r := newReducerTest(t, 1, 6)
	whole := quarantine.Part{Pool: "model-0", ID: 99, Organisation: "organisation-0"}
	crashes := 0
	for i := range ID(20) {
		r.submitWith(100+i, parts(1)...)
		r.reduce(time.Millisecond, Ended{ID: 100 + i})
		s := submit(1+i, "organisation-0")
		s.Parts, s.MaxAttempts = append(parts(1), whole), 1
		r.reduce(time.Second, s)
		if trial, asked := r.firstEffect(EffectTrial); asked {
			reply := r.reducer.AllowTrial(TrialRequest{Asker: "a", Part: trial.Part, Crashes: trial.Crashes, Life: trial.Within}, r.now)
			reply.ID = trial.ID
			r.reduce(0, reply)
		}
		if _, dispatched := r.firstEffect(EffectDispatch); !dispatched {
			r.Check(r.requireEffect(EffectRefuse).Answer.Properties().Outcome, qt.Equals, answer.OutcomeNotRun)
			continue
		}
		crashes++
		r.loseAtBeginning(1+i, true)
	}
	r.Check(crashes <= 3, qt.IsTrue, qt.Commentf("%d engines crashed", crashes))
}
