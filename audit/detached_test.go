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
			send := func(after time.Duration, id, host string, status int) {
				sent := requestSent
				sent.ID, sent.Host = id, host
				a.Record(start.Add(after), sent)
				if status == 200 {
					a.Record(start.Add(after+time.Millisecond), audit.RunStarted{ID: id, Target: "t", Pool: sent.Pool})
					a.Record(start.Add(after+2*time.Millisecond), audit.RunEnded{ID: id, Target: "t"})
				}
				a.Record(start.Add(after+3*time.Millisecond), audit.ResponseEnded{ID: id, Status: status, Intact: status == 200, Complete: true, FromHost: status != 200, NotRun: status != 200})
			}
			for _, o := range q.other[:len(q.other)/2] {
				a.Record(start.Add(o.after), o.observation)
			}
			send(-time.Second, "first", "other", 200)
			a.Record(start, audit.HostDetached{Host: "cut"})
			for _, o := range q.other[len(q.other)/2:] {
				a.Record(start.Add(o.after), o.observation)
			}
			for n := range failures {
				at := 3*time.Second + time.Duration(n)*10*time.Millisecond
				send(at, fmt.Sprint("there-", n), "cut", 503)
				send(at, fmt.Sprint("elsewhere-", n), "other", 200)
			}
			got := slices.ContainsFunc(a.Check(start.Add(time.Minute)), func(v audit.Violation) bool { return v.Guarantee == audit.GuaranteeReachable })
			qt.Check(t, got, qt.Equals, q.want)
		})
	}
}
