package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/route"
)

const (
	urgentObjective = 1500 * time.Millisecond
	longObjective   = 4 * time.Second
)

// newMixedTest returns a reducer whose pool model-0 has routes with two objectives, and engines of the memory of package
// precedence's load.
func newMixedTest(t *testing.T, organisations, engines int, opts ...Option) *reducerTest {
	r := newReducerTest(t, organisations, engines, append([]Option{WithPrefillBurst(0)}, opts...)...)
	tab := *r.reducer.table
	tab.Version++
	for name, engine := range tab.Targets {
		engine.Memory = 26_851
		tab.Targets[name] = engine
	}
	split := []route.WeightedPool{{Pool: "model-0", Weight: 1}}
	tab.Routes = route.NewMap([]route.Route{
		{Prefix: "/short/", Kind: route.Stream, FirstByteObjective: urgentObjective, Split: split},
		{Prefix: "/long/", Kind: route.Stream, FirstByteObjective: longObjective, Split: split},
	})
	r.reduce(0, TableChange{Table: &tab})
	return r
}

// urgentRequest returns a short request.
func urgentRequest(id ID, organisation string) Submit {
	s := submit(id, organisation)
	s.Route, s.PromptTokens, s.KnownOutputTokens, s.FirstTokenObjective = "short", 2200, 8, urgentObjective
	return s
}

// longRequest returns a request that holds memory for seconds.
func longRequest(id ID, organisation string) Submit {
	s := submit(id, organisation)
	s.Route, s.PromptTokens, s.KnownOutputTokens, s.FirstTokenObjective = "long", 3000, 748, longObjective
	return s
}

// Urgent requests get a higher priority at engines only with the option and only in a mixed pool.
func TestPriorityOfUrgentRequests(t *testing.T) {
	cases := map[string]struct {
		option, mixed bool
		priority      int
	}{
		"default":   {false, true, priorityScale / 2},
		"option":    {true, true, urgentPriority},
		"not mixed": {true, false, priorityScale / 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := newMixedTest(t, 1, 2, WithUrgentPriority(tc.option))
			if !tc.mixed {
				tab := *r.reducer.table
				tab.Version++
				tab.Routes = nil
				r.reduce(0, TableChange{Table: &tab})
			}
			r.reduce(0, urgentRequest(1, "organisation-0"))
			qt.Check(t, r.requireEffect(EffectDispatch).Priority, qt.Equals, tc.priority)
			r.reduce(0, longRequest(2, "organisation-0"))
			qt.Check(t, r.requireEffect(EffectDispatch).Priority, qt.Equals, priorityScale/2)
		})
	}
}

// Long requests must leave memory for the urgent ones that arrive while none of them ends: an urgent request otherwise
// waits for seconds.
func TestLongRequestsLeaveReserve(t *testing.T) {
	r := newMixedTest(t, 1, 4)
	id := ID(1)
	for ; id < 60; id++ {
		r.reduce(150*time.Millisecond, urgentRequest(id, "organisation-0"))
		r.requireEffect(EffectDispatch)
		r.reduce(250*time.Millisecond, Ended{ID: id})
	}
	for range 60 {
		id++
		r.reduce(0, longRequest(id, "organisation-0"))
	}
	for range 2 {
		id++
		r.reduce(time.Millisecond, urgentRequest(id, "organisation-0"))
		_, ok := r.firstEffect(EffectDispatch)
		r.Check(ok, qt.IsTrue)
	}
}

// fullPool returns a reducer whose pool is full of long requests, the rate at which memory becomes free is known, and
// further ones are held. The next request has the returned ID.
func fullPool(t *testing.T, held int) (*reducerTest, ID) {
	r := newMixedTest(t, 1, 2)
	r.reduce(0, longRequest(1, "organisation-0"))
	r.reduce(time.Second, Progress{Samples: []Sample{{ID: 1, Tokens: 748, LastToken: r.now}}})
	r.reduce(7*time.Second, Ended{ID: 1})
	id := ID(2)
	for n := 0; n < held; id++ {
		s := longRequest(id, "organisation-0")
		s.DispatchDeadline, s.CallerDeadline = r.now.Add(8*time.Second), r.now.Add(24*time.Second)
		r.reduce(0, s)
		if _, ok := r.firstEffect(EffectDispatch); !ok {
			n++
		}
		r.requireNoEffect(EffectRefuse)
	}
	return r, id
}

// A request that can neither be on time nor end before its deadline is refused on arrival, as not run: it would be refused
// seconds later, when its caller has no time left to come back.
func TestHopelessRequestIsRefusedOnArrival(t *testing.T) {
	r, id := fullPool(t, 14)
	s := longRequest(id, "organisation-0")
	s.Subject, s.DispatchDeadline, s.CallerDeadline = 9, r.now.Add(4*time.Second), r.now.Add(9*time.Second)
	r.reduce(0, s)
	f := r.requireEffect(EffectRefuse)
	r.Check(f.Answer, qt.Equals, answer.KindDeadline)
	r.Check(f.Answer.Properties().Outcome, qt.Equals, answer.OutcomeNotRun)
	r.Check(f.RetryAfter > 0 && f.RetryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", f.RetryAfter))
	r.Check(f.Basis.Readmission.Promised && f.Basis.Readmission.Hopeless, qt.IsTrue)

	urgent := urgentRequest(id+1, "organisation-0")
	urgent.DispatchDeadline = r.now.Add(2 * time.Second)
	r.reduce(0, urgent)
	r.requireNoEffect(EffectRefuse)
}

// A caller that comes back at any host of the domain goes before requests that arrived after its refusal, once.
func TestReturningCallerGoesBeforeNewRequests(t *testing.T) {
	r, _ := fullPool(t, 1)
	r.reduce(0, LiveHosts{Hosts: 4, Coordinates: true})
	place := func(origin string, subject uint64, remaining time.Duration) {
		a := ask(origin, 1)
		a.Route, a.PromptTokens, a.KnownOutputTokens, a.FirstTokenObjective = "long", 3000, 748, longObjective
		a.Subject, a.Remaining, a.Deadline = subject, remaining, 24*time.Second
		r.reduce(0, PlacementAsked{a.PlacementRequest})
	}
	place("a/1", 7, 100*time.Millisecond)
	r.reduce(150*time.Millisecond, Tick{})
	refused := r.placed("a/1", 1)
	r.Check(refused.Basis.Readmission.Promised, qt.IsTrue)
	r.Check(refused.RetryAfter > 0 && refused.RetryAfter <= 8*time.Second, qt.IsTrue)
	r.now = r.now.Add(10 * time.Millisecond)
	place("b/1", 8, 8*time.Second)
	r.now = r.now.Add(100 * time.Millisecond)
	place("c/1", 7, 8*time.Second)
	place("d/1", 7, 8*time.Second)
	rank := func(origin string) time.Duration { return r.reducer.remoteRequest(remoteID{origin, 1}).rank }
	r.Check(rank("c/1") < rank("b/1"), qt.IsTrue)
	r.Check(rank("d/1") > rank("b/1"), qt.IsTrue)
	r.Check(r.reducer.Counts().Returned, qt.Equals, 1)

	// A host of an earlier build does not state the deadline: the delay is that of the forecast.
	a := ask("e/1", 1)
	a.Route, a.PromptTokens, a.KnownOutputTokens, a.FirstTokenObjective = "long", 3000, 748, longObjective
	a.Remaining = 10 * time.Millisecond
	r.reduce(0, a)
	r.reduce(50*time.Millisecond, Tick{})
	r.Check(r.placed("e/1", 1).RetryAfter >= 50*time.Millisecond, qt.IsTrue)
}

// A large request that has waited for half of its time keeps the target with the most free memory. Smaller requests that arrive
// later would otherwise take each piece of memory that becomes free, and it would be refused in the end.
func TestLargeRequestWaitsBehindSmallerOnes(t *testing.T) {
	r := newMixedTest(t, 2, 1)
	id := ID(1)
	for ; ; id++ {
		r.reduce(0, longRequest(id, "organisation-0"))
		if _, ok := r.firstEffect(EffectDispatch); !ok {
			break
		}
	}
	large := longRequest(id+1, "organisation-1")
	large.PromptTokens = 9000
	r.reduce(0, large)
	r.reduce(0, AbandonedByCaller{ID: id})
	r.reduce(longObjective*6/10, Tick{})
	for ended := ID(1); ended < id; ended++ {
		r.reduce(10*time.Millisecond, longRequest(id+1+ended, "organisation-0"))
		r.requireNoEffect(EffectDispatch)
		r.reduce(10*time.Millisecond, Ended{ID: ended})
		if f, ok := r.firstEffect(EffectDispatch); ok {
			r.Assert(f.ID, qt.Equals, large.ID)
			return
		}
	}
	r.Fatal("the large request was not dispatched")
}
