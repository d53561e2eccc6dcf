package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wigeonlink/wigeonlink/hedge"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// newExtraTest returns a reducer that sends extra attempts, with a plain service of the given targets whose responses take 30 to 60 ms.
func newExtraTest(t *testing.T, domains map[string]string) *fleetTest {
	f := newFleetTest(t, 0, WithExtraAttempts(0.2), WithRetryBudget(0.2, 20))
	for name, domain := range domains {
		f.fleet[name] = table.Target{Name: name, Kind: table.TargetService, Service: "plain", Domain: domain, Slots: 2}
	}
	f.announceFleet(0)
	f.reduce(0, LiveHosts{Hosts: 2, AllHosts: 4})
	for n := range 40 {
		f.reduce(time.Second, Tick{})
		f.reduce(0, f.call(ID(1000+n)))
		f.requireEffect(EffectDispatch)
		f.reduce(50*time.Millisecond, Ended{ID: ID(1000 + n), Took: time.Duration(30+n%31) * time.Millisecond})
	}
	return f
}

// slow submits a request and lets the delay of its first attempt pass. It returns the dispatch.
func (f *fleetTest) slow(id ID) Effect {
	f.reduce(time.Second, Tick{})
	f.reduce(0, f.call(id))
	first := f.requireEffect(EffectDispatch)
	f.Assert(first.ExtraAfter > 0, qt.IsTrue)
	f.reduce(first.ExtraAfter, AttemptSlow{ID: id, Attempt: first.Basis.Attempt})
	return first
}

var twoTargets = map[string]string{"a": "north", "b": "north"}

// Guards against a second attempt at the same target, a result that is counted for the wrong attempt, and a request that is held or
// refused while an attempt of it is in flight.
func TestSecondAttempt(t *testing.T) {
	failed := AttemptFailed{ID: 1, Answered: true}
	first := func(delay time.Duration) time.Duration { return delay + 10*time.Millisecond }
	second := func(time.Duration) time.Duration { return 10 * time.Millisecond }
	none := func(time.Duration) time.Duration { return 0 }
	cases := []struct {
		name    string
		events  []Event
		won     bool
		wasted  func(delay time.Duration) time.Duration
		outcome EffectKind // of one of the events
	}{
		{"second wins", []Event{AttemptCancelled{1, 1}, Ended{ID: 1}}, true, first, EffectExtraEnded},
		{"first wins", []Event{AttemptCancelled{1, 2}, Ended{ID: 1}}, false, second, EffectExtraEnded},
		{"first fails, second responds", []Event{withAttempt(failed, 1), Ended{ID: 1}}, true, none, EffectExtraEnded},
		{"second fails, first responds", []Event{withAttempt(failed, 2), Ended{ID: 1}}, false, second, EffectExtraEnded},
		{"both fail", []Event{withAttempt(failed, 1), withAttempt(failed, 2)}, false, func(time.Duration) time.Duration { return 20 * time.Millisecond }, EffectRefuse},
		{"caller leaves", []Event{AbandonedByCaller{1}}, false, second, EffectExtraEnded},
		{"second is never started", []Event{Ended{ID: 1}}, false, second, EffectExtraEnded},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newExtraTest(t, twoTargets)
			first := f.slow(1)
			second := f.requireEffect(EffectExtra)
			f.Assert(second.Target, qt.Not(qt.Equals), first.Target)
			f.Assert(second.Basis.Attempt, qt.Equals, 2)
			var all []Effect
			for i, e := range tc.events {
				f.Assert(f.reducer.requests[1] != nil, qt.IsTrue)
				all = append(all, f.reduce(10*time.Millisecond, e)...)
				if i < len(tc.events)-1 {
					f.requireNoEffect(EffectRefuse)
					f.requireNoEffect(EffectDispatch)
				}
			}
			f.Check(slices.ContainsFunc(all, func(e Effect) bool { return e.Kind == tc.outcome }), qt.IsTrue)
			i := slices.IndexFunc(all, func(e Effect) bool { return e.Kind == EffectExtraEnded })
			f.Assert(i >= 0, qt.IsTrue)
			f.Check(all[i].Extra.Won, qt.Equals, tc.won)
			f.Check(all[i].Extra.Wasted, qt.Equals, tc.wasted(first.ExtraAfter))
			f.Check(f.reducer.requests[1], qt.IsNil)
			for _, target := range f.reducer.targets {
				f.Check(target.running, qt.Equals, 0)
			}
		})
	}
}

func withAttempt(e AttemptFailed, number int) AttemptFailed {
	e.Attempt = number
	return e
}

// Guards against a second attempt where it would be delayed by the same cause or would take the place of a first attempt.
func TestSecondAttemptIsRefused(t *testing.T) {
	acrossDomains := map[string]string{"a": "south", "b": "south"}
	cases := []struct {
		name    string
		targets map[string]string
		before  func(f *fleetTest, first Effect)
		want    hedge.Verdict
	}{
		{"other target leaves", twoTargets, func(f *fleetTest, first Effect) {
			f.reduce(0, LeavingTargets{Leaving: map[string]bool{other(first.Target): true}})
		}, hedge.NoTarget},
		{"other target names a limit", twoTargets, func(f *fleetTest, first Effect) { f.nameLimit(other(first.Target), 50) }, hedge.NoTarget},
		{"other target rests", twoTargets, func(f *fleetTest, first Effect) {
			f.reduce(0, RestAsked{Target: other(first.Target), Rest: time.Second})
		}, hedge.NoTarget},
		{"all slots are taken", twoTargets, func(f *fleetTest, _ Effect) {
			for id := ID(10); id < 13; id++ {
				f.reduce(0, f.call(id))
				f.requireEffect(EffectDispatch)
			}
		}, hedge.NoTarget},
		{"the same other domain", acrossDomains, func(*fleetTest, Effect) {}, hedge.NoTarget},
		{"domain is partitioned", map[string]string{"a": "north", "b": "south"}, func(f *fleetTest, _ Effect) {
			f.reduce(0, LiveHosts{Hosts: 2, AllHosts: 2})
		}, hedge.NoTarget},
		{"requests are held at a peer", twoTargets, func(f *fleetTest, _ Effect) {
			f.reduce(0, PeerReport{Origin: "c/1", Sequence: 1, HeldCounts: []HeldCount{{"one", "plain", 1, 0}}})
		}, hedge.Held},
		{"request is suspected", twoTargets, func(f *fleetTest, _ Effect) {
			f.reducer.quarantine.Crashed(f.now, 1, f.reducer.requests[1].parts)
		}, hedge.Suspected},
		{"retry budget is used", twoTargets, func(f *fleetTest, _ Effect) {
			f.reducer.pools["plain"].retryBudget.used = 0.5 * f.reducer.retryCap()
		}, hedge.RetryBudget},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newExtraTest(t, tc.targets)
			s := f.call(1)
			s.Parts = []quarantine.Part{{Pool: "plain", ID: 7, Organisation: "one"}}
			f.reduce(0, s)
			first := f.requireEffect(EffectDispatch)
			tc.before(f, first)
			f.reduce(first.ExtraAfter, AttemptSlow{ID: 1, Attempt: 1})
			f.requireNoEffect(EffectExtra)
			f.Check(f.requireEffect(EffectExtraRefused).Extra.Verdict, qt.Equals, tc.want)
		})
	}
}

func other(name string) string { return map[string]string{"a": "b", "b": "a"}[name] }

// Guards against second attempts of requests that must not run twice, and against any change while the fraction is 0.
func TestOnlyRepeatableRequestsGetSecondAttempts(t *testing.T) {
	f := newExtraTest(t, twoTargets)
	for id, change := range map[ID]func(*Submit){
		1: func(s *Submit) { s.NonIdempotent = true },
		2: func(s *Submit) { s.MaxAttempts = 1 },
	} {
		s := f.call(id)
		change(&s)
		f.reduce(0, s)
		f.Check(f.requireEffect(EffectDispatch).ExtraAfter, qt.Equals, time.Duration(0))
		f.reduce(time.Second, AttemptSlow{ID: id, Attempt: 1})
		f.requireNoEffect(EffectExtra)
		f.reduce(0, AbandonedByCaller{id})
	}
	f.reducer.hedges = hedge.NewPolicy(0)
	f.reduce(0, f.call(3))
	f.Check(f.requireEffect(EffectDispatch).ExtraAfter, qt.Equals, time.Duration(0))
}

// extraModel feeds random events to a reducer with a plain service and records the attempts in flight.
type extraModel struct {
	reducer          *Reducer
	now              time.Time
	running          map[ID]map[int]string // targets of the attempts in flight, by their numbers
	dispatched       map[ID]int            // attempts of each request
	submitted, extra int
}

// reduce applies an event to the reducer, and its effects to the model. It fails the test if the two disagree.
func (m *extraModel) reduce(t *rapid.T, e Event) {
	for _, f := range m.reducer.Reduce(m.now, e) {
		switch f.Kind {
		case EffectDispatch, EffectExtra:
			m.dispatch(t, f)
		case EffectRefuse:
			if len(m.running[f.ID]) > 0 {
				t.Fatalf("request %d was refused while %v are in flight", f.ID, m.running[f.ID])
			}
		}
	}
	if err := m.reducer.Check(); err != nil {
		t.Fatalf("after %T: %v", e, err)
	}
	inFlight := 0
	for _, attempts := range m.running {
		inFlight += len(attempts)
	}
	if got := m.reducer.pools["plain"].inflight; got != inFlight {
		t.Fatalf("after %T: the pool has %d attempts in flight, callers have %d", e, got, inFlight)
	}
}

func (m *extraModel) dispatch(t *rapid.T, f Effect) {
	attempts := m.running[f.ID]
	if f.Kind == EffectExtra {
		m.extra++
	}
	if f.Kind == EffectDispatch && len(attempts) > 0 || len(attempts) > 1 || slices.Contains(slices.Collect(maps.Values(attempts)), f.Target) {
		t.Fatalf("%s of request %d to %s while %v are in flight", f.Kind, f.ID, f.Target, attempts)
	}
	if m.dispatched[f.ID]++; m.dispatched[f.ID] > 2 || float64(m.extra) > 0.3*float64(m.submitted)+1 {
		t.Fatalf("request %d: %d attempts; %d extra attempts of %d requests", f.ID, m.dispatched[f.ID], m.extra, m.submitted)
	}
	if attempts == nil {
		m.running[f.ID] = map[int]string{}
	}
	m.running[f.ID][f.Basis.Attempt] = f.Target
}

// pick draws an attempt in flight, or returns 0 if there is none.
func (m *extraModel) pick(t *rapid.T) (ID, int) {
	var ids []ID
	for id := ID(1); id <= ID(m.submitted); id++ {
		if len(m.running[id]) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, 0
	}
	id := rapid.SampledFrom(ids).Draw(t, "request")
	return id, rapid.SampledFrom(slices.Sorted(maps.Keys(m.running[id]))).Draw(t, "attempt")
}

func (m *extraModel) submit(t *rapid.T) {
	m.submitted++
	m.reduce(t, Submit{ID: ID(m.submitted), Organisation: "one", Pool: "plain", Plain: true, MaxAttempts: 2, CallerDeadline: m.now.Add(time.Second)})
}

func (m *extraModel) changeFleet(t *rapid.T) {
	fleet := Fleet{Targets: map[string]table.Target{}}
	for n := range rapid.IntRange(1, 4).Draw(t, "targets") {
		name := fmt.Sprint("target-", n)
		fleet.Targets[name] = table.Target{Name: name, Kind: table.TargetService, Service: "plain", Slots: 3}
	}
	m.reduce(t, fleet)
}

// endAttempt ends an attempt in flight. If there is another one, it has failed or was overtaken.
func (m *extraModel) endAttempt(t *rapid.T, id ID, number int) {
	others := len(m.running[id]) - 1
	delete(m.running[id], number)
	switch rapid.IntRange(0, 1+others).Draw(t, "end") {
	case 0:
		m.reduce(t, AttemptFailed{
			ID: id, Attempt: number, Answered: rapid.Bool().Draw(t, "answered"), Ended: rapid.Bool().Draw(t, "ended"),
			Certainty: rapid.SampledFrom([]target.Certainty{target.CertaintyUnknown, target.CertaintyNotRun}).Draw(t, "certainty"),
		})
	case 1:
		if others == 0 {
			m.reduce(t, Ended{ID: id, Took: time.Duration(rapid.IntRange(1, 100).Draw(t, "took")) * time.Millisecond})
			return
		}
		m.reduce(t, AttemptCancelled{ID: id, Attempt: number})
	default:
		delete(m.running, id)
		m.reduce(t, AbandonedByCaller{ID: id})
	}
}

// Random results of calls with up to two attempts in flight. It guards against counters that do not agree with the attempts in flight, more
// attempts than a call may have, and more extra attempts than the budget allows.
func TestRandomExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &extraModel{reducer: NewReducer(WithExtraAttempts(0.3), WithRetryBudget(10, 1000)), now: benchEpoch, running: map[ID]map[int]string{}, dispatched: map[ID]int{}}
		tab := table.NewTable(1)
		tab.AddOrganisation(table.Organisation{Name: "one", MaxInFlight: rapid.IntRange(0, 6).Draw(t, "cap")})
		tab.Services["plain"] = table.Service{Name: "plain"}
		m.reducer.Reduce(m.now, TableChange{Table: tab})
		m.changeFleet(t)
		for range 40 {
			m.reducer.hedges.Observe(hedge.Key{Pool: "plain"}, 20*time.Millisecond)
		}
		for n := range rapid.IntRange(1, 300).Draw(t, "events") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			id, number := m.pick(t)
			step := rapid.IntRange(0, 8).Draw(t, "step")
			switch {
			case id == 0 || step < 3:
				m.submit(t)
			case step == 3 && n%8 == 0:
				m.changeFleet(t)
			case step < 6:
				m.reduce(t, AttemptSlow{ID: id, Attempt: 1})
			default:
				m.endAttempt(t, id, number)
			}
		}
	})
}
