package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/table"
)

// coldFleet is the hosts of a deployment that share one arbiter, without a network, and the times at which they send
// requests to one cold target.
type coldFleet struct {
	*qt.C
	hosts   []*Reducer
	arbiter int // index of the host that gives out the places
	now     time.Time
	replies map[time.Time][]func() // by time of delivery
	sent    []time.Time
	refused int
}

const (
	coldHosts   = 61
	coldRate    = 12.0
	coldStep    = 5 * time.Millisecond
	coldMessage = 10 * time.Millisecond // time of a question for a place and its reply
	coldSpan    = 30 * time.Second
)

// newColdFleet returns hosts with a plain service, or the engine of a model, that is cold for longer than the test.
func newColdFleet(t *testing.T, plain bool) *coldFleet {
	f := &coldFleet{C: qt.New(t), now: benchEpoch, replies: map[time.Time][]func(){}}
	tab := table.NewTable(1)
	tab.AddOrganisation(table.Organisation{Name: "one"})
	spec := table.ColdSpec{Rate: coldRate, Time: time.Minute}
	tab.Services["plain"] = table.Service{Name: "plain", Cold: spec}
	tab.Models["model"] = table.Model{Name: "model", Cold: spec, Engine: table.EngineSpec{Slots: 400, Memory: 4_000_000}}
	pool := "model"
	if plain {
		pool = "plain"
	}
	only := map[string]table.Target{"only": {Name: "only", Kind: table.TargetService, Service: pool, Domain: "north", ColdUntil: benchEpoch.Add(time.Hour)}}
	for i := range coldHosts {
		r := NewReducer(WithMaxLoadAge(0), WithCrossDomain(true), WithDomain("north"), WithOrigin(string(rune('a'+i))+"/1"))
		f.hosts = append(f.hosts, r)
		f.reduce(i, TableChange{Table: tab})
		f.reduce(i, Fleet{Revision: 1, Targets: only})
		f.reduce(i, LiveHosts{Hosts: coldHosts, HostIndex: i})
	}
	return f
}

// reduce applies an event at a host and carries out its effects.
func (f *coldFleet) reduce(host int, e Event) {
	for _, effect := range append([]Effect(nil), f.hosts[host].Reduce(f.now, e)...) {
		switch effect.Kind {
		case EffectReserve:
			f.Assert(effect.Limit.Cold > 0, qt.IsTrue)
			reply := f.hosts[f.arbiter].Reserve(effect.Limit, effect.Brittle, effect.Within, 1, f.now)
			reply.ID = effect.ID
			at := f.now.Add(coldMessage)
			f.replies[at] = append(f.replies[at], func() { f.reduce(host, reply) })
		case EffectDispatch:
			f.sent = append(f.sent, f.now)
			at := f.now.Add(4 * coldMessage)
			f.replies[at] = append(f.replies[at], func() { f.reduce(host, Ended{ID: effect.ID}) })
		case EffectRefuse:
			f.refused++
		}
	}
}

// run sends requests to random hosts, several times as many as the target takes.
func (f *coldFleet) run(submit func(id ID) Submit) {
	random := rand.New(rand.NewPCG(1, 2))
	id := ID(0)
	for end := f.now.Add(coldSpan); f.now.Before(end); f.now = f.now.Add(coldStep) {
		if end.Sub(f.now) == coldSpan/2 {
			f.arbiter = 1 // the former one has failed, and its record with it
		}
		for _, reply := range f.replies[f.now] {
			reply()
		}
		delete(f.replies, f.now)
		if random.Float64() < 4*coldRate*coldStep.Seconds() {
			id++
			f.reduce(random.IntN(coldHosts), submit(id))
		}
		for i := range f.hosts {
			f.reduce(i, Tick{})
		}
	}
}

// check requires that the target got no more than the bound in any second, and at least 0.9 of the rate after the first one.
func (f *coldFleet) check() {
	most, first := 0, 0
	for last, at := range f.sent {
		for at.Sub(f.sent[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	f.Check(float64(most) <= 1.5*coldRate+5, qt.IsTrue, qt.Commentf("%d requests in one second", most))
	used := float64(len(f.sent)) / (coldRate * (coldSpan - time.Second).Seconds())
	f.Check(used >= 0.9, qt.IsTrue, qt.Commentf("%.2f of the rate used, %d refused", used, f.refused))
	f.Logf("%d requests at most in one second, %.2f of the rate used", most, used)
}

// A target that gets requests well above its cold rate crashes, whichever hosts send them; one that gets fewer leaves callers waiting.
func TestColdTargetOfManyHosts(t *testing.T) {
	t.Run("plain service", func(t *testing.T) {
		f := newColdFleet(t, true)
		f.run(func(id ID) Submit {
			return Submit{
				ID: id, Organisation: "one", Pool: "plain", Plain: true, MaxAttempts: 2, FirstTokenObjective: 150 * time.Millisecond,
				DispatchDeadline: f.now.Add(333 * time.Millisecond), CallerDeadline: f.now.Add(time.Second),
			}
		})
		f.check()
	})
	t.Run("engine", func(t *testing.T) {
		f := newColdFleet(t, false)
		f.run(func(id ID) Submit {
			return Submit{
				ID: id, Organisation: "one", Pool: "model", NonIdempotent: true, PromptTokens: 100, MaxOutputTokens: 20, MaxAttempts: 1,
				FirstTokenObjective: 1800 * time.Millisecond, DispatchDeadline: f.now.Add(6 * time.Second), CallerDeadline: f.now.Add(10 * time.Second),
			}
		})
		f.check()
	})
}

// setCold replaces the entry of a target by one that says that it is cold for a time, with the given rate of its pool.
func (f *fleetTest) setCold(name string, left time.Duration, rate float64) {
	tab := *f.reducer.Table()
	tab.Version++
	model := tab.Models["model"]
	model.Cold = table.ColdSpec{Rate: rate, Time: 8 * time.Second}
	tab.Models = map[string]table.Model{"model": model}
	tab.Services = map[string]table.Service{"plain": {Name: "plain", Cold: model.Cold}}
	f.reduce(0, TableChange{Table: &tab})
	t := f.fleet[name]
	t.ColdUntil = f.now.Add(left)
	f.fleet[name] = t
	f.announceFleet(0)
}

// A move takes a place at a cold target: without one the moves of an evacuated domain would exceed its rate.
func TestMoveToColdTargetTakesPlace(t *testing.T) {
	f := newFleetTest(t, 2, WithBackupFraction(0))
	f.evacuate("south")
	f.startStream(1, 80)
	f.setCold("engine-1", time.Minute, 4)
	f.evacuate("north")
	f.reduce(evacuationMoveDelay, Tick{})
	f.requireNoEffect(EffectMove)
	ask := f.requireEffect(EffectReserve)
	f.Check(ask.Target, qt.Equals, "engine-1")
	ask.Limit.Record = limit.Record{} // the reply's is that of the target
	f.reply(ask, true, 0)
	f.Check(f.requireEffect(EffectMove).To.Name, qt.Equals, "engine-1")
	f.Check(f.reducer.targets["engine-1"].places.due, qt.HasLen, 0)
}

// A target that also names a limit gets the lower rate, and its limit holds after the cold time.
func TestColdTargetThatNamesLimit(t *testing.T) {
	for _, named := range []float64{2, 30} {
		f := newPlainTest(t, "only")
		f.setCold("only", time.Second, 8)
		f.nameLimit("only", named)
		f.reduce(0, f.call(1))
		ask := f.requireEffect(EffectReserve)
		f.Check(ask.Limit.Record.Rate, qt.Equals, min(named, 8))
		granted := 0
		for range 1000 {
			f.now = f.now.Add(10 * time.Millisecond)
			if f.reducer.Reserve(ask.Limit, false, 0, 1, f.now).Granted {
				granted++
			}
		}
		want := int(10 * min(named, 8))
		f.Check(granted >= want-2 && granted <= want+2, qt.IsTrue, qt.Commentf("%d places, want %d", granted, want))
		ask.Limit.Record = limit.Record{}
		f.reply(ask, false, time.Second)
		f.reduce(time.Second, Tick{})
		f.Check(f.requireEffect(EffectCold).Limit.Cold, qt.Equals, time.Duration(0))
		f.reduce(0, f.call(2))
		f.Check(f.requireEffect(EffectReserve).Limit.Record.Rate, qt.Equals, named)
	}
}

// After the withdrawal of an evacuation the targets of the domain are cold for the configured time, and no others.
func TestTargetsAreColdAfterWithdrawal(t *testing.T) {
	f := newPlainTest(t, "only")
	f.setCold("only", 0, 4)
	f.evacuate("north")
	f.evacuate()
	f.Check(f.reducer.AssumedCold(), qt.DeepEquals, map[string]time.Time{"only": f.now.Add(8 * time.Second)})
	f.reduce(7900*time.Millisecond, Tick{})
	f.reduce(0, f.call(1))
	f.requireEffect(EffectReserve)
	f.reduce(100*time.Millisecond, Tick{})
	f.Check(f.requireEffect(EffectCold).Limit.Cold, qt.Equals, time.Duration(0))
	f.reduce(time.Second, Tick{})
	f.reduce(0, f.call(2))
	f.requireEffect(EffectDispatch)
}

// A host that has started after the withdrawal receives it from other hosts only: the source lists no evacuation, and no target as cold. It
// sent the targets their usual load. A later copy, also one by way of a third host, is the same withdrawal.
func TestWithdrawalBeforeStartIsUnknown(t *testing.T) {
	f := newPlainTest(t, "only")
	f.setCold("only", 0, 4)
	withdrawn := f.now.Add(-3 * time.Second)
	f.reduce(0, Withdrawal{Domain: "north", Age: 3 * time.Second})
	effect := f.requireEffect(EffectReadmitted)
	f.Check(effect.At, qt.Equals, withdrawn)
	f.Check(effect.Within, qt.Equals, 8*time.Second)
	f.reduce(500*time.Millisecond, Withdrawal{Domain: "north", Age: 2900 * time.Millisecond})
	f.Check(f.reducer.AssumedCold(), qt.DeepEquals, map[string]time.Time{"only": withdrawn.Add(8 * time.Second)})
	f.reduce(0, f.call(1))
	f.requireEffect(EffectReserve)

	f.evacuate("north")
	f.reduce(0, Withdrawal{Domain: "north"}) // of the former evacuation
	f.Check(f.reducer.AssumedCold(), qt.HasLen, 0)
}

// Places that a target's limit gave out before the target became cold would exceed its cold rate together.
func TestPlacesOfFasterRateAreVoidWhenTargetIsCold(t *testing.T) {
	f := newPlainTest(t, "only")
	f.nameLimit("only", 100)
	f.reduce(0, f.call(1))
	f.reply(f.requireEffect(EffectReserve), true, 400*time.Millisecond)
	f.Check(f.reducer.targets["only"].places.due, qt.HasLen, 1)
	f.setCold("only", time.Minute, 4)
	f.Check(f.reducer.targets["only"].places.due, qt.HasLen, 0)
}
