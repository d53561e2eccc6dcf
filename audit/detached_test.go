package audit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/audit"
)

// Requests that fail at a detached host count while another host has connections and no fault, and not while none has: the
// only host with connections may be cut off from the detached ones.
func TestFailuresAtDetachedHost(t *testing.T) {
	const failures = 30
	cases := map[string]struct {
		other []timedObservation // about the other host
		want  bool
	}{
		"other host is attached":          {nil, true},
		"other host has a fault":          {[]timedObservation{{0, audit.Fault{Name: "other"}}}, false},
		"other host had a fault before":   {[]timedObservation{{-20 * time.Second, audit.Fault{Name: "other"}}, {-10 * time.Second, audit.Fault{Name: "other", Ended: true}}}, true},
		"other host is detached, too":     {[]timedObservation{{0, audit.HostDetached{Host: "other"}}}, false},
		"other host is detached at first": {[]timedObservation{{0, audit.HostDetached{Host: "other"}}, {time.Second, audit.HostDetached{Host: "other", Ended: true}}}, true},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			a := audit.NewAudit(audit.Bounds{DetachedDelay: time.Second})
			before := len(q.other) / 2
			recordAll(a, q.other[:before])
			recordAttempt(a, -time.Second, "first", "other", true)
			a.Record(start, audit.HostDetached{Host: "cut"})
			recordAll(a, q.other[before:])
			for n := range failures {
				at := 3*time.Second + time.Duration(n)*10*time.Millisecond
				recordAttempt(a, at, fmt.Sprint("there-", n), "cut", false)
				recordAttempt(a, at, fmt.Sprint("elsewhere-", n), "other", true)
			}
			got := slices.ContainsFunc(a.Check(start.Add(time.Minute)), func(v audit.Violation) bool { return v.Guarantee == audit.GuaranteeReachable })
			qt.Check(t, got, qt.Equals, q.want)
		})
	}
}

func recordAll(a *audit.Audit, observations []timedObservation) {
	for _, o := range observations {
		a.Record(start.Add(o.after), o.observation)
	}
}

// recordAttempt records a request to a host, and that it is served or refused 3 ms later.
func recordAttempt(a *audit.Audit, after time.Duration, id, host string, served bool) {
	sent, ended := requestSent, audit.ResponseEnded{ID: id, Status: 503, Complete: true, FromHost: true, NotRun: true}
	sent.ID, sent.Host = id, host
	a.Record(start.Add(after), sent)
	if served {
		a.Record(start.Add(after+time.Millisecond), audit.RunStarted{ID: id, Target: "t", Pool: sent.Pool})
		a.Record(start.Add(after+2*time.Millisecond), audit.RunEnded{ID: id, Target: "t"})
		ended = audit.ResponseEnded{ID: id, Status: 200, Complete: true, Intact: true}
	}
	a.Record(start.Add(after+3*time.Millisecond), ended)
}
