package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
