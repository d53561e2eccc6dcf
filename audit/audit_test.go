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
		FaultGrace: 3 * time.Second, LeavingGrace: 2 * time.Second, ApplyDelay: 2 * time.Second, NetworkDelay: 100 * time.Millisecond,
		CancelGrace: 500 * time.Millisecond, MoveOverlap: 400 * time.Millisecond, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryBurst: 2,
		RecoveryTime: 12 * time.Second,
	}
	requestSent = audit.RequestSent{
		ID: "c", Host: "h", Organisation: "one", Path: "/c", Pool: "counter",
		MaxAttempts: 1, CallerTimeout: time.Second,
	}
	requestReceived = audit.RequestReceived{ID: "c", Target: "t", Pool: "counter", Organisation: "one", Path: "/c", TimeLeft: time.Second}
	runStarted      = audit.RunStarted{ID: "c", Target: "t", Pool: "counter"}
)

func Example() {
	a := audit.NewAudit(bounds)
	a.Record(start, requestSent)
	a.Record(start.Add(time.Millisecond), requestReceived)
	a.Record(start.Add(time.Millisecond), runStarted)
	a.Record(start.Add(5*time.Millisecond), audit.RunEnded{ID: "c", Target: "t"})
	a.Record(start.Add(6*time.Millisecond), audit.ResponseEnded{ID: "c", Status: 503, FromHost: true, NotRun: true, Complete: true})
	for _, v := range a.Check(start.Add(time.Second)) {
		fmt.Println(v)
	}
	// Output: 12:00:00.006 honest: c: reported as not run, but ran at t
}

// timedObservation is an observation made at an offset from start.
type timedObservation struct {
	after       time.Duration
	observation audit.Observation
}

// Each sequence of observations must violate exactly the listed guarantees.
func TestViolations(t *testing.T) {
	complete := audit.ResponseEnded{ID: "c", Status: 200, Intact: true, Complete: true}
	successful := []timedObservation{{0, requestSent}, {1, requestReceived}, {1, runStarted}, {5, audit.RunEnded{ID: "c", Target: "t"}}, {6, complete}}
	cases := map[string]struct {
		observations []timedObservation
		want         []audit.Guarantee
	}{
		"successful request":             {successful, nil},
		"request not sent by any caller": {[]timedObservation{{0, requestReceived}}, []audit.Guarantee{audit.GuaranteeGenuine}},
		"late request to a leaving target": {
			[]timedObservation{{0, audit.TargetLeaving{Target: "t"}}, {3 * time.Second, requestSent}, {3*time.Second + 1, requestReceived}, {3*time.Second + 2, complete}},
			[]audit.Guarantee{audit.GuaranteeDrained},
		},
		"late request to a leaving target during a source outage": {
			[]timedObservation{
				{0, audit.Fault{Name: audit.ConfigSource}}, {0, audit.TargetLeaving{Target: "t"}},
				{3 * time.Second, requestSent}, {3*time.Second + 1, requestReceived}, {3*time.Second + 2, complete},
			}, nil,
		},
		"no response":                            {[]timedObservation{{0, requestSent}}, []audit.Guarantee{audit.GuaranteeAnswered}},
		"no response from a failed host":         {[]timedObservation{{0, requestSent}, {1, audit.Fault{Name: "h"}}}, nil},
		"connection reset":                       {[]timedObservation{{0, requestSent}, {1, requestReceived}, {1, runStarted}, {2, audit.ResponseEnded{ID: "c"}}}, []audit.Guarantee{audit.GuaranteeAnswered}},
		"connection reset by a stopped target":   {[]timedObservation{{0, requestSent}, {1, requestReceived}, {1, runStarted}, {2, audit.TargetStopped{Target: "t"}}, {2, audit.ResponseEnded{ID: "c"}}}, nil},
		"second run of a non-idempotent request": {append(successful[:4:4], timedObservation{6, runStarted}, timedObservation{7, audit.RunEnded{ID: "c", Target: "t"}}, timedObservation{8, complete}), []audit.Guarantee{audit.GuaranteeOnce}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			a := audit.NewAudit(bounds)
			for _, s := range test.observations {
				a.Record(start.Add(s.after), s.observation)
			}
			var got []audit.Guarantee
			for _, v := range a.Check(start.Add(time.Minute)) {
				got = append(got, v.Guarantee)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// A target works on a request for longer than CancelGrace after its caller disconnected, and
// stops later. The check must not exempt the target because of the later stop.
func TestWorkAfterDisconnectionIsReportedAlthoughTargetStops(t *testing.T) {
	a := audit.NewAudit(bounds)
	idempotent := requestSent
	idempotent.Idempotent = true
	for _, s := range []timedObservation{
		{0, idempotent}, {1, requestReceived}, {1, runStarted}, {2, audit.CallerDisconnected{ID: "c"}},
		{2 * time.Second, audit.RunEnded{ID: "c", Target: "t"}}, {3 * time.Second, audit.TargetStopped{Target: "t"}},
	} {
		a.Record(start.Add(s.after), s.observation)
	}
	violations := a.Check(start.Add(time.Minute))
	qt.Assert(t, violations, qt.HasLen, 1)
	qt.Assert(t, violations[0].Guarantee, qt.Equals, audit.GuaranteeReleased)
}
