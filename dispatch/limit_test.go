package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// newPlainTest returns a reducer with a plain service of the given targets.
func newPlainTest(t *testing.T, targets ...string) *fleetTest {
	f := newFleetTest(t, 0)
	for _, name := range targets {
		f.fleet[name] = table.Target{Name: name, Kind: table.TargetService, Service: "plain", Domain: "north"}
	}
	f.announceFleet(0)
	return f
}

// call returns a call of the plain service that must be answered within 150 ms to be on time.
func (f *fleetTest) call(id ID) Submit {
	return Submit{
		ID: id, Organisation: "one", Pool: "plain", Plain: true, MaxAttempts: 2, FirstTokenObjective: 150 * time.Millisecond,
		DispatchDeadline: f.now.Add(333 * time.Millisecond), CallerDeadline: f.now.Add(time.Second),
	}
}

// nameLimit reduces a response by which a target names a limit.
func (f *fleetTest) nameLimit(name string, rate float64) {
	f.reduce(0, LimitRead{Target: name, Reading: limit.Reading{Named: true, Rate: rate}, Sent: f.now.Add(-time.Millisecond), Received: f.now})
}

func (f *fleetTest) reply(e Effect, granted bool, wait time.Duration) {
	f.reduce(0, PlaceReply{ID: e.ID, Granted: granted, Wait: wait, Limit: e.Limit})
}

// A limited target gets a request only after a place was given out, and a request that gets none goes to
// another target at once.
func TestLimitedTargetGetsRequestsWithPlacesOnly(t *testing.T) {
	f := newPlainTest(t, "limited", "other")
	f.nameLimit("limited", 4)
	sent := map[string]int{}
	for id := ID(1); id <= 20; id++ {
		f.reduce(10*time.Millisecond, f.call(id))
		if ask, asked := f.firstEffect(EffectReserve); asked {
			f.Assert(ask.Within, qt.Equals, time.Duration(0)) // the other target accepts the request
			f.requireNoEffect(EffectDispatch)
			f.reply(ask, id%2 == 0, 0)
			want := "other"
			if id%2 == 0 {
				want = "limited"
			}
			f.Assert(f.requireEffect(EffectDispatch).Target, qt.Equals, want)
		}
		sent[f.requireEffect(EffectDispatch).Target]++
		f.reduce(0, Ended{ID: id})
	}
	f.Check(sent["limited"] > 0 && sent["other"] > 0, qt.IsTrue, qt.Commentf("%v", sent))
}

// If all targets name limits, a request that cannot get a place in time is refused at once with a time to
// come back, and those that come after it with later times.
func TestRequestWithoutPlaceIsRefused(t *testing.T) {
	f := newPlainTest(t, "only")
	f.nameLimit("only", 4)
	var delays []time.Duration
	for id := range ID(3) {
		f.reduce(0, f.call(id+1))
		if ask, asked := f.firstEffect(EffectReserve); asked {
			f.Assert(ask.Within, qt.Equals, 75*time.Millisecond)
			f.reply(ask, false, 200*time.Millisecond)
		}
		refused := f.requireEffect(EffectRefuse)
		f.Check(refused.Answer, qt.Equals, answer.KindNoTarget)
		delays = append(delays, refused.RetryAfter)
	}
	f.Check(delays, qt.DeepEquals, []time.Duration{450 * time.Millisecond, 700 * time.Millisecond, 950 * time.Millisecond})
}

// A request waits for a place that is due in time, and is sent then.
func TestRequestWaitsForItsPlace(t *testing.T) {
	f := newPlainTest(t, "only")
	f.nameLimit("only", 4)
	f.reduce(0, f.call(1))
	f.reply(f.requireEffect(EffectReserve), true, 50*time.Millisecond)
	f.requireNoEffect(EffectDispatch)
	f.reduce(49*time.Millisecond, Tick{})
	f.requireNoEffect(EffectDispatch)
	f.reduce(time.Millisecond, Tick{})
	f.Check(f.requireEffect(EffectDispatch).Target, qt.Equals, "only")
}

// A place that was not used in time is void.
func TestOldPlaceIsVoid(t *testing.T) {
	f := newPlainTest(t, "only")
	f.nameLimit("only", 4)
	f.reduce(0, f.call(1))
	ask := f.requireEffect(EffectReserve)
	f.reduce(0, AbandonedByCaller{ID: 1})
	f.reply(ask, true, 0)
	f.reduce(placeLife+time.Millisecond, Tick{})
	f.reduce(0, f.call(2))
	f.requireNoEffect(EffectDispatch)
	f.requireEffect(EffectReserve)
}

// Each attempt takes a place, also one that the target refuses or that is not the first.
func TestEachAttemptTakesPlace(t *testing.T) {
	f := newPlainTest(t, "first", "second")
	f.nameLimit("first", 4)
	f.nameLimit("second", 4)
	f.reduce(0, f.call(1))
	ask := f.requireEffect(EffectReserve)
	f.reply(ask, true, 0)
	f.Assert(f.requireEffect(EffectDispatch).Target, qt.Equals, ask.Target)
	f.reduce(time.Millisecond, AttemptFailed{ID: 1, Answered: true})
	f.requireNoEffect(EffectDispatch)
	again := f.requireEffect(EffectReserve)
	f.Check(again.Target, qt.Not(qt.Equals), ask.Target)
	f.reply(again, true, 0)
	f.Check(f.requireEffect(EffectDispatch).Target, qt.Equals, again.Target)
}

// A new process of a target has no limit, and what was said of its predecessor does not concern it.
func TestNewProcessHasNoLimit(t *testing.T) {
	f := newPlainTest(t, "only")
	f.nameLimit("only", 4)
	old := f.reducer.LimitRecords(f.now)
	f.Assert(old, qt.HasLen, 1)
	renewed := f.fleet["only"]
	renewed.StartTime = f.now
	f.fleet["only"] = renewed
	f.announceFleet(0)
	f.reduce(0, PeerLimits{Limits: old})
	f.reduce(0, f.call(1))
	f.requireEffect(EffectDispatch)
}

// The host that gives out places keeps to the limit whoever asks, and uses a part of it only while hosts
// of its domain are silent.
func TestPlacesForAllHosts(t *testing.T) {
	for _, part := range []float64{1, 0.5, 0} {
		f := newPlainTest(t, "only")
		f.nameLimit("only", 10)
		asked, granted := f.reducer.LimitRecords(f.now)[0], 0
		for range 1000 {
			f.now = f.now.Add(10 * time.Millisecond)
			if f.reducer.Reserve(asked, false, 0, part, f.now).Granted {
				granted++
			}
		}
		want := int(100 * part)
		f.Check(granted >= want-2 && granted <= want+2, qt.IsTrue, qt.Commentf("%d places, want %d", granted, want))
	}
}

// No streams move to a limited engine, whose places are for new requests.
func TestStreamsDoNotMoveToLimitedEngine(t *testing.T) {
	f := newFleetTest(t, 3)
	from := f.startStream(1, 80)
	for name := range f.fleet {
		if name != from {
			f.nameLimit(name, 100)
		}
	}
	f.announceLeaving(from)
	f.requireNoEffect(EffectMove)
}

// A target that refuses a request and asks to be left alone for a while gets none until then.
func TestTargetGetsRequestsBeforeItsRetryAfter(t *testing.T) {
	f := newPlainTest(t, "busy", "other")
	f.reduce(0, f.call(1))
	busy := f.requireEffect(EffectDispatch).Target
	f.reduce(0, AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun, Answered: true, RetryAfter: 700 * time.Millisecond})
	for id := ID(2); id < 40; id++ {
		f.reduce(20*time.Millisecond, f.call(id))
		to := f.requireEffect(EffectDispatch).Target
		f.Check(to != busy || f.now.Sub(benchEpoch) >= 700*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", f.now.Sub(benchEpoch)))
	}
}

// A host without an arbiter asks for places again after the time that the reply names, not at once: the reply takes
// no time if the host asks itself.
func TestPlaceIsNotAskedForAgainAtOnce(t *testing.T) {
	f := newPlainTest(t, "limited")
	f.nameLimit("limited", 1)
	call := f.call(1)
	call.FirstTokenObjective = 1800 * time.Millisecond // it can wait for longer than the reply says
	call.DispatchDeadline = f.now.Add(time.Second)
	f.reduce(0, call)
	f.requireEffect(EffectReserve)
	f.reduce(0, PlaceReply{ID: 1, Wait: placeLife, Later: true, Limit: TargetLimit{Target: "limited"}})
	f.requireNoEffect(EffectReserve)
	f.reduce(placeLife-time.Millisecond, Tick{})
	f.requireNoEffect(EffectReserve)
	f.reduce(time.Millisecond, Tick{})
	f.requireEffect(EffectReserve)
}

// A target's wish for rest outlasts the longest pause of a breaker, the answer to an earlier request, and a time in
// which the target was missing from the list.
func TestRestIsNotShortened(t *testing.T) {
	f := newPlainTest(t, "resting")
	f.reduce(0, f.call(1))
	f.reduce(0, f.call(2))
	f.reduce(0, RestAsked{Target: "resting", Rest: 3 * time.Second})
	f.reduce(0, AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun, Answered: true, RetryAfter: 3 * time.Second})
	f.reduce(time.Millisecond, Ended{ID: 2})
	entry := f.fleet["resting"]
	delete(f.fleet, "resting")
	f.announceFleet(time.Second)
	f.fleet["resting"] = entry
	f.announceFleet(time.Second)
	f.reduce(500*time.Millisecond, Tick{})
	f.reduce(0, f.call(3))
	refused := f.requireEffect(EffectRefuse)
	f.Check(refused.Answer, qt.Equals, answer.KindNoTarget)
	f.Check(refused.RetryAfter > 400*time.Millisecond && refused.RetryAfter <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
	f.reduce(500*time.Millisecond, Tick{})
	f.reduce(0, f.call(4))
	f.requireEffect(EffectDispatch)
}
