package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// A stopping host accepts a stream only if it ends in time also if its target falls silent for a second. Streams that left no
// time for that were cut off at the stop (review/REPORT.md).
func TestStreamThatEndsJustBeforeStopIsRefused(t *testing.T) {
	const left = 2 * time.Second
	cases := map[string]struct {
		tokens   int // 21 ms each, by the step time of newFleetTest and stopSlowdown
		accepted bool
	}{
		"ends well before":                    {30, true},
		"ends in time without a silence only": {60, false},
		"ends after":                          {120, false},
	}
	for name, q := range cases {
		f := newFleetTest(t, 1)
		f.reduce(0, Stop{Until: f.now.Add(left)})
		f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: q.tokens, MaxAttempts: 1})
		if q.accepted {
			f.requireEffect(EffectDispatch)
			continue
		}
		f.Check(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindStopping, qt.Commentf(name))
	}
}

const (
	fullPrompt   = 30_000 // tokens that leave no room for another prompt of heldPrompt in the engine of newFleetTest
	heldPrompt   = 6_000
	shortOutput  = 30    // tokens of a stream that ends 1.8 s after its dispatch at the latest, by stopSlowdown and stopSilence
	reportOutput = 2_200 // tokens of a stream that takes far longer than the stop of stopTest
)

// newStopTest returns a reducer with one engine that is full, and a held stream of the given output.
func newStopTest(t *testing.T, output int) *fleetTest {
	f := newFleetTest(t, 1)
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: fullPrompt, MaxOutputTokens: 1_000})
	f.requireEffect(EffectDispatch)
	f.hold(2, output)
	return f
}

// hold submits a stream that has to wait for room.
func (f *fleetTest) hold(id ID, output int) {
	f.Helper()
	f.reduce(0, Submit{
		ID: id, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: heldPrompt, MaxOutputTokens: output, MaxAttempts: 1,
		DispatchDeadline: f.now.Add(10 * time.Second), CallerDeadline: f.now.Add(40 * time.Second),
	})
	f.Check(f.effectOf(id), qt.IsNil)
}

// effectOf returns the latest decision about a request, or nil.
func (f *fleetTest) effectOf(id ID) *Effect {
	for i := range f.effects {
		if e := &f.effects[i]; e.ID == id && (e.Kind == EffectDispatch || e.Kind == EffectRefuse) {
			return e
		}
	}
	return nil
}

// requireStopping checks that the request is refused because the host stops.
func (f *fleetTest) requireStopping(id ID) {
	f.Helper()
	e := f.effectOf(id)
	f.Assert(e, qt.IsNotNil)
	f.Check(e.Kind, qt.Equals, EffectRefuse)
	f.Check(e.Answer, qt.Equals, answer.KindStopping)
}

// A stream that was held as its host got the signal was dispatched 0.1 s before the stop, and cut off (issue 42).
func TestHeldStreamIsDispatchedTooLateToEnd(t *testing.T) {
	f := newStopTest(t, reportOutput)
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.requireStopping(2)
	f.reduce(3900*time.Millisecond, Ended{ID: 1})
	f.Check(f.effectOf(2), qt.IsNil)
}

// A stream that a stopping host accepted, since its run would end in time, was held until it could not any more.
func TestStreamAcceptedDuringStopIsHeldTooLong(t *testing.T) {
	for _, early := range []bool{false, true} {
		f := newStopTest(t, shortOutput)
		f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
		f.Check(f.effectOf(2), qt.IsNil)
		f.hold(3, shortOutput)
		if early {
			f.reduce(time.Second, Ended{ID: 1})
			f.Check(f.effectOf(2).Kind, qt.Equals, EffectDispatch)
			continue
		}
		f.reduce(2500*time.Millisecond, Tick{})
		f.requireStopping(2)
		f.requireStopping(3)
	}
}

// A coordinator's place came too late for a stream of a stopping host, which used it.
func TestPlaceThatComesTooLateIsUsed(t *testing.T) {
	f := newFleetTest(t, 1)
	f.reduce(0, LiveHosts{Hosts: 2, Delegated: true})
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.reduce(0, Submit{
		ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: heldPrompt, MaxOutputTokens: shortOutput, MaxAttempts: 1,
		DispatchDeadline: f.now.Add(10 * time.Second), CallerDeadline: f.now.Add(40 * time.Second),
	})
	place := f.requireEffect(EffectPlace)
	f.Check(place.Placement.Remaining < 4*time.Second, qt.IsTrue, qt.Commentf("the coordinator may place the request for %s", place.Placement.Remaining))
	f.reduce(3900*time.Millisecond, Placed{ID: 2, Target: "engine-0"})
	f.requireStopping(2)
}

// A stream whose target refused it was sent to another one just before the stop.
func TestRetryDuringStopBeginsTooLate(t *testing.T) {
	f := newFleetTest(t, 2)
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: shortOutput, MaxAttempts: 2})
	f.requireEffect(EffectDispatch)
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.reduce(3900*time.Millisecond, AttemptFailed{ID: 1, Certainty: target.CertaintyNotRun, Answered: true})
	f.requireStopping(1)
}

// A call of a plain service that was held as its host got the signal, and whose deadline is after the stop, was dispatched
// just before it.
func TestHeldCallIsDispatchedTooLateToEnd(t *testing.T) {
	const objective = 500 * time.Millisecond
	for left, kind := range map[time.Duration]EffectKind{4 * time.Second: EffectDispatch, time.Second: EffectRefuse} {
		f := newFleetTest(t, 0)
		f.reduce(0, Submit{
			ID: 1, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, FirstTokenObjective: objective,
			DispatchDeadline: f.now.Add(10 * time.Second), CallerDeadline: f.now.Add(40 * time.Second),
		})
		f.reduce(0, Stop{Until: f.now.Add(left)})
		if e := f.effectOf(1); e != nil {
			f.Check(e.Kind, qt.Equals, kind, qt.Commentf("%s before the stop", left))
			f.Check(e.Answer, qt.Equals, answer.KindStopping)
			continue
		}
		f.fleet["plain-0"] = table.Target{Name: "plain-0", Kind: table.TargetService, Service: "plain", Domain: "north", Slots: 24}
		f.announceFleet(0)
		f.Check(f.effectOf(1).Kind, qt.Equals, kind, qt.Commentf("%s before the stop", left))
	}
}

// A stream that ends in time at a third of an idle engine's speed was dispatched to an engine that had become slower than that.
func TestStreamAtSlowEngineBeginsTooLateToEnd(t *testing.T) {
	for interval, kind := range map[time.Duration]EffectKind{7 * time.Millisecond: EffectDispatch, 200 * time.Millisecond: EffectRefuse} {
		f := newFleetTest(t, 1)
		f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: 1_000})
		for n := range 50 {
			f.reduce(interval, Progress{Samples: []Sample{{ID: 1, Tokens: n + 1, LastToken: f.now.Add(interval)}}})
		}
		f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
		f.reduce(0, Submit{ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: shortOutput, MaxAttempts: 1})
		f.Check(f.effectOf(2).Kind, qt.Equals, kind, qt.Commentf("%s between tokens", interval))
	}
}

// A place at an engine that has become slow was used although the stream could not end there.
func TestPlaceAtSlowEngineIsUsed(t *testing.T) {
	f := newFleetTest(t, 1)
	f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: 1_000})
	for n := range 50 {
		f.reduce(200*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: n + 1, LastToken: f.now.Add(200 * time.Millisecond)}}})
	}
	f.reduce(0, LiveHosts{Hosts: 2, Delegated: true})
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.reduce(0, Submit{ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: shortOutput, MaxAttempts: 1})
	f.requireEffect(EffectPlace)
	f.reduce(0, Placed{ID: 2, Target: "engine-0"})
	f.requireStopping(2)
}

// The prompt of a held stream, and those that its engine still has to read, are a part of its run.
func TestPromptOfHeldStreamDoesNotCount(t *testing.T) {
	const prefill = 100 * time.Microsecond
	for pending, kind := range map[int]EffectKind{0: EffectDispatch, 8_000: EffectRefuse} {
		f := newFleetTest(t, 1, WithStepTime(7*time.Millisecond, 300*time.Microsecond, prefill))
		if pending > 0 {
			f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: pending, MaxOutputTokens: 1_000})
		}
		f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
		f.reduce(0, Submit{ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: heldPrompt, MaxOutputTokens: shortOutput, MaxAttempts: 1})
		f.Check(f.effectOf(2).Kind, qt.Equals, kind, qt.Commentf("%d tokens pending", pending))
	}
	f := newFleetTest(t, 1, WithStepTime(7*time.Millisecond, 300*time.Microsecond, prefill))
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.reduce(0, Submit{ID: 2, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: 2 * heldPrompt, MaxOutputTokens: shortOutput, MaxAttempts: 1})
	f.requireStopping(2)
}

// A held call whose deadline is before the stop is served during it.
func TestHeldCallWithEarlyDeadlineIsRefused(t *testing.T) {
	f := newFleetTest(t, 0)
	f.reduce(0, Submit{
		ID: 1, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, FirstTokenObjective: 500 * time.Millisecond,
		DispatchDeadline: f.now.Add(2 * time.Second), CallerDeadline: f.now.Add(2 * time.Second),
	})
	f.reduce(0, Stop{Until: f.now.Add(2500 * time.Millisecond)})
	f.Check(f.effectOf(1), qt.IsNil)
	f.fleet["plain-0"] = table.Target{Name: "plain-0", Kind: table.TargetService, Service: "plain", Domain: "north", Slots: 24}
	f.announceFleet(time.Second)
	f.Check(f.effectOf(1).Kind, qt.Equals, EffectDispatch)
}

// The refusal of a coordinator that was asked for the time until the stop reached callers with a long Retry-After.
func TestCoordinatorsDeadlineAtStopIsPassedOn(t *testing.T) {
	f := newFleetTest(t, 1)
	f.reduce(0, LiveHosts{Hosts: 2, Delegated: true})
	f.reduce(0, Stop{Until: f.now.Add(4 * time.Second)})
	f.hold(2, shortOutput)
	left := f.requireEffect(EffectPlace).Placement.Remaining
	f.reduce(left, Placed{ID: 2, Refusal: answer.KindDeadline, RetryAfter: 5 * time.Second})
	f.requireStopping(2)
	f.Check(f.effectOf(2).RetryAfter, qt.Equals, stoppingRetryAfter)
}

// callTo submits a call of the plain service whose deadline is after the stop, and returns the decision.
func (f *fleetTest) callTo(id ID) *Effect {
	f.reduce(0, Submit{
		ID: id, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, FirstTokenObjective: 150 * time.Millisecond,
		DispatchDeadline: f.now.Add(10 * time.Second), CallerDeadline: f.now.Add(40 * time.Second),
	})
	return f.effectOf(id)
}

// A call that a service keeps in its queue for seconds, and that was dispatched shortly before the stop, had an unknown outcome if the
// service then sent nothing for a second. A stopping host refused calls whose deadline is after the stop although calls there end long before.
func TestQueueOfServiceDoesNotCountAtStop(t *testing.T) {
	cases := map[string]struct {
		took, left time.Duration
		kind       EffectKind
	}{
		"quick, ends after a silence":         {100 * time.Millisecond, 1800 * time.Millisecond, EffectDispatch},
		"quick, ends without a silence only":  {100 * time.Millisecond, 1500 * time.Millisecond, EffectRefuse},
		"queued, ends after a silence":        {2500 * time.Millisecond, 3800 * time.Millisecond, EffectDispatch},
		"queued, ends without a silence only": {2500 * time.Millisecond, 3500 * time.Millisecond, EffectRefuse},
	}
	for name, q := range cases {
		for _, held := range []bool{false, true} {
			f := newFleetTest(t, 0)
			f.fleet["plain-0"] = table.Target{Name: "plain-0", Kind: table.TargetService, Service: "plain", Domain: "north", Slots: 24}
			f.announceFleet(0)
			f.callTo(1)
			f.reduce(q.took, Ended{ID: 1})
			const stop = 6 * time.Second
			if held {
				f.callTo(2)
				f.reduce(0, AttemptFailed{ID: 2, Certainty: target.CertaintyNotRun, Answered: true, RetryAfter: stop - q.left})
				f.callTo(3)
			}
			f.reduce(0, Stop{Until: f.now.Add(stop)})
			f.reduce(stop-q.left, Tick{})
			if !held {
				f.callTo(3)
			}
			decision := f.effectOf(3)
			comment := qt.Commentf("%s, held before: %t", name, held)
			f.Assert(decision, qt.IsNotNil, comment)
			f.Check(decision.Kind, qt.Equals, q.kind, comment)
		}
	}
}

// A host opens a connection for a peer's call only if the call ends before it stops: the time that the peer asks for contains the queue
// of the service and a silence. It asked for no time, and calls were cut off that took longer than 2 s.
func TestRelayedCallLastsLongerThanRelay(t *testing.T) {
	f := newFleetTest(t, 0)
	f.fleet["plain-0"] = table.Target{Name: "plain-0", Kind: table.TargetService, Service: "plain", Domain: "north", Slots: 24}
	f.announceFleet(0)
	f.Check(f.callTo(1).Run, qt.Equals, 450*time.Millisecond+stopSilence)
	f.reduce(2500*time.Millisecond, Ended{ID: 1})
	f.Check(f.callTo(2).Run, qt.Equals, 2500*time.Millisecond+stopSilence)
}

// The move of a stream says for how long the connection to its destination is needed, so that it is not opened through a host that
// stops before.
func TestMoveDoesNotSayHowLongItsStreamRuns(t *testing.T) {
	f := newFleetTest(t, 2, WithBackupFraction(0))
	from := f.startStream(1, 40)
	f.announceLeaving(from)
	moves := f.moveEffects()
	f.Assert(moves, qt.HasLen, 1)
	f.Check(moves[0].Run > 2160*7*time.Millisecond+stopSilence, qt.IsTrue, qt.Commentf("%s", moves[0].Run))
}

// A stream moved off a leaving target that its host does not outlive, and ended too late for the pause of the move.
func TestStreamMovesAlthoughItsHostEndsFirst(t *testing.T) {
	for left, moves := range map[time.Duration]int{time.Second: 0, 8 * time.Second: 1} {
		f := newFleetTest(t, 2, WithBackupFraction(0))
		from := f.startStream(1, 2000)
		f.reduce(0, Stop{Until: f.now.Add(left)})
		f.announceLeaving(from)
		f.Check(f.moveEffects(), qt.HasLen, moves, qt.Commentf("%s before the stop", left))
	}
}

// A stream of a stopping host moved to an engine at which it did not end before the stop, as that has the lowest cost.
func TestStreamMovesToEngineAtWhichItOutlastsStop(t *testing.T) {
	f := newFleetTest(t, 3, WithBackupFraction(0))
	slow := f.startStream(1, 0)
	for n := range 50 {
		f.reduce(200*time.Millisecond, Progress{Samples: []Sample{{ID: 1, Tokens: n + 1, LastToken: f.now.Add(200 * time.Millisecond)}}})
	}
	f.reduce(0, Ended{ID: 1})
	from := f.startStream(2, 1600)
	f.Assert(from, qt.Not(qt.Equals), slow)
	other := ""
	for name := range f.fleet {
		if name != from && name != slow {
			other = name
		}
	}
	for id := range ID(10) { // makes the slow engine the cheaper one
		f.reduce(0, Submit{ID: 10 + id, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: 2000, MaxAttempts: 1})
	}
	f.reduce(0, Stop{Until: f.now.Add(8 * time.Second)})
	f.announceLeaving(from)
	moves := f.moveEffects()
	f.Assert(moves, qt.HasLen, 1)
	f.Check(moves[0].To.Name, qt.Equals, other)
}
