package audit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/audit"
)

var (
	began  = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	bounds = audit.Bounds{
		Contact: 3 * time.Second, Drain: 2 * time.Second, Apply: 2 * time.Second, Slack: 100 * time.Millisecond,
		Release: 500 * time.Millisecond, Overlap: 400 * time.Millisecond, Window: 10 * time.Second, Ratio: 0.2, Spare: 2,
		Recovery: 12 * time.Second,
	}
	charge = audit.Asked{
		ID: "c", Host: "h", Organisation: "one", Path: "/c", Pool: "counter",
		Targets: 1, Within: time.Second,
	}
	reached = audit.Reached{ID: "c", Target: "t", Pool: "counter", Organisation: "one", Path: "/c", Within: time.Second}
	ran     = audit.Ran{ID: "c", Target: "t", Pool: "counter"}
)

func Example() {
	a := audit.NewAudit(bounds)
	a.Note(began, charge)
	a.Note(began.Add(time.Millisecond), reached)
	a.Note(began.Add(time.Millisecond), ran)
	a.Note(began.Add(5*time.Millisecond), audit.Ceased{ID: "c", Target: "t"})
	a.Note(began.Add(6*time.Millisecond), audit.Answered{ID: "c", Status: 503, Own: true, NotRun: true, Complete: true})
	for _, b := range a.Check(began.Add(time.Second)) {
		fmt.Println(b)
	}
	// Output: 12:00:00.006 honest: c: called not run; it ran at t
}

// seen is an observation at a time after the beginning.
type seen struct {
	after time.Duration
	what  audit.Observation
}

func TestCases(t *testing.T) {
	whole := audit.Answered{ID: "c", Status: 200, Sound: true, Complete: true}
	once := []seen{{0, charge}, {1, reached}, {1, ran}, {5, audit.Ceased{ID: "c", Target: "t"}}, {6, whole}}
	cases := map[string]struct {
		seen []seen
		want []audit.Promise
	}{
		"an answered request":   {once, nil},
		"a request nobody sent": {[]seen{{0, reached}}, []audit.Promise{audit.PromiseGenuine}},
		"late work on a leaving target": {
			[]seen{{0, audit.Leaving{Target: "t"}}, {3 * time.Second, charge}, {3*time.Second + 1, reached}, {3*time.Second + 2, whole}},
			[]audit.Promise{audit.PromiseDrained},
		},
		"the same while the source is away": {
			[]seen{
				{0, audit.Disturbed{Name: audit.Source}}, {0, audit.Leaving{Target: "t"}},
				{3 * time.Second, charge}, {3*time.Second + 1, reached}, {3*time.Second + 2, whole},
			}, nil,
		},
		"no answer":                         {[]seen{{0, charge}}, []audit.Promise{audit.PromiseAnswered}},
		"no answer of a host that failed":   {[]seen{{0, charge}, {1, audit.Disturbed{Name: "h"}}}, nil},
		"a cut connection":                  {[]seen{{0, charge}, {1, reached}, {1, ran}, {2, audit.Answered{ID: "c"}}}, []audit.Promise{audit.PromiseAnswered}},
		"a cut connection, the target gone": {[]seen{{0, charge}, {1, reached}, {1, ran}, {2, audit.Ended{Target: "t"}}, {2, audit.Answered{ID: "c"}}}, nil},
		"a second run":                      {append(once[:4:4], seen{6, ran}, seen{7, audit.Ceased{ID: "c", Target: "t"}}, seen{8, whole}), []audit.Promise{audit.PromiseOnce}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			a := audit.NewAudit(bounds)
			for _, s := range test.seen {
				a.Note(began.Add(s.after), s.what)
			}
			var got []audit.Promise
			for _, b := range a.Check(began.Add(time.Minute)) {
				got = append(got, b.Promise)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Work for a caller that has left is judged by its own time: that its target ends later is no
// excuse.
func TestLateWorkIsSeenThoughItsTargetEnds(t *testing.T) {
	a := audit.NewAudit(bounds)
	lookup := charge
	lookup.Repeatable = true
	for _, s := range []seen{
		{0, lookup}, {1, reached}, {1, ran}, {2, audit.Quit{ID: "c"}},
		{2 * time.Second, audit.Ceased{ID: "c", Target: "t"}}, {3 * time.Second, audit.Ended{Target: "t"}},
	} {
		a.Note(began.Add(s.after), s.what)
	}
	breaches := a.Check(began.Add(time.Minute))
	qt.Assert(t, breaches, qt.HasLen, 1)
	qt.Assert(t, breaches[0].Promise, qt.Equals, audit.PromiseReleased)
}
