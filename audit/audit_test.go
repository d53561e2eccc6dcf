package audit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/audit"
)

var (
	start  = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	bounds = audit.Bounds{
		Contact: 3 * time.Second, Drain: 2 * time.Second, Apply: 2 * time.Second, Slack: 100 * time.Millisecond,
		Release: 500 * time.Millisecond, Overlap: 400 * time.Millisecond, Window: 10 * time.Second, Ratio: 0.2, Spare: 2,
		Recovery: 12 * time.Second,
	}
	requestSent = audit.Asked{
		ID: "c", Host: "h", Organisation: "one", Path: "/c", Pool: "counter",
		Targets: 1, Within: time.Second,
	}
	requestReceived = audit.Reached{ID: "c", Target: "t", Pool: "counter", Organisation: "one", Path: "/c", Within: time.Second}
	runStarted      = audit.Ran{ID: "c", Target: "t", Pool: "counter"}
)

func Example() {
	a := audit.NewAudit(bounds)
	a.Note(start, requestSent)
	a.Note(start.Add(time.Millisecond), requestReceived)
	a.Note(start.Add(time.Millisecond), runStarted)
	a.Note(start.Add(5*time.Millisecond), audit.Ceased{ID: "c", Target: "t"})
	a.Note(start.Add(6*time.Millisecond), audit.Answered{ID: "c", Status: 503, Own: true, NotRun: true, Complete: true})
	for _, b := range a.Check(start.Add(time.Second)) {
		fmt.Println(b)
	}
	// Output: 12:00:00.006 honest: c: reported as not run, but ran at t
}

// timedObservation is an observation made at an offset from start.
type timedObservation struct {
	after       time.Duration
	observation audit.Observation
}

// Each sequence of observations must lead to exactly the listed violations.
func TestViolations(t *testing.T) {
	complete := audit.Answered{ID: "c", Status: 200, Sound: true, Complete: true}
	successful := []timedObservation{{0, requestSent}, {1, requestReceived}, {1, runStarted}, {5, audit.Ceased{ID: "c", Target: "t"}}, {6, complete}}
	cases := map[string]struct {
		seen []timedObservation
		want []audit.Promise
	}{
		"successful request":             {successful, nil},
		"request not sent by any caller": {[]timedObservation{{0, requestReceived}}, []audit.Promise{audit.PromiseGenuine}},
		"late request to a draining target": {
			[]timedObservation{{0, audit.Leaving{Target: "t"}}, {3 * time.Second, requestSent}, {3*time.Second + 1, requestReceived}, {3*time.Second + 2, complete}},
			[]audit.Promise{audit.PromiseDrained},
		},
		"late request to a draining target during a source outage": {
			[]timedObservation{
				{0, audit.Disturbed{Name: audit.Source}}, {0, audit.Leaving{Target: "t"}},
				{3 * time.Second, requestSent}, {3*time.Second + 1, requestReceived}, {3*time.Second + 2, complete},
			}, nil,
		},
		"no response":                            {[]timedObservation{{0, requestSent}}, []audit.Promise{audit.PromiseAnswered}},
		"no response from a failed host":         {[]timedObservation{{0, requestSent}, {1, audit.Disturbed{Name: "h"}}}, nil},
		"connection reset":                       {[]timedObservation{{0, requestSent}, {1, requestReceived}, {1, runStarted}, {2, audit.Answered{ID: "c"}}}, []audit.Promise{audit.PromiseAnswered}},
		"connection reset by a stopped target":   {[]timedObservation{{0, requestSent}, {1, requestReceived}, {1, runStarted}, {2, audit.Ended{Target: "t"}}, {2, audit.Answered{ID: "c"}}}, nil},
		"second run of a non-idempotent request": {append(successful[:4:4], timedObservation{6, runStarted}, timedObservation{7, audit.Ceased{ID: "c", Target: "t"}}, timedObservation{8, complete}), []audit.Promise{audit.PromiseOnce}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			a := audit.NewAudit(bounds)
			for _, s := range test.seen {
				a.Note(start.Add(s.after), s.observation)
			}
			var got []audit.Promise
			for _, b := range a.Check(start.Add(time.Minute)) {
				got = append(got, b.Promise)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// A target works on a request for longer than allowed after its caller disconnected, and stops
// later. The stop of the target must not hide the violation.
func TestWorkAfterDisconnectionIsReportedAlthoughTargetStops(t *testing.T) {
	a := audit.NewAudit(bounds)
	idempotent := requestSent
	idempotent.Repeatable = true
	for _, s := range []timedObservation{
		{0, idempotent}, {1, requestReceived}, {1, runStarted}, {2, audit.Quit{ID: "c"}},
		{2 * time.Second, audit.Ceased{ID: "c", Target: "t"}}, {3 * time.Second, audit.Ended{Target: "t"}},
	} {
		a.Note(start.Add(s.after), s.observation)
	}
	violations := a.Check(start.Add(time.Minute))
	qt.Assert(t, violations, qt.HasLen, 1)
	qt.Assert(t, violations[0].Promise, qt.Equals, audit.PromiseReleased)
}
