package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

// Responses that are not whole count as lost, except for those that a host may cut off.
func TestJudgeCountsLostResponses(t *testing.T) {
	stop := time.Now()
	after := func(seconds float64) time.Time { return stop.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(from, to float64) []emulator.Run {
		return []emulator.Run{{StartedAt: after(from), EndedAt: after(to)}}
	}
	failed := run(1, 2)
	failed[0].Failed = true
	k := &kind{deadline: 10 * time.Second, timeout: 20 * time.Second}
	for _, test := range []struct {
		name           string
		sent, ended    float64 // seconds after SIGTERM
		status         int
		complete, good bool
		runs           []emulator.Run
		live           bool // the host is not stopping
		lost           bool
	}{
		{name: "whole", sent: 1, ended: 2, status: 200, complete: true, good: true, runs: run(1, 2)},
		{name: "refused and not run", sent: 1, ended: 2, status: 503, complete: true, good: true},
		{name: "refused and run", sent: 1, ended: 2, status: 503, complete: true, good: true, runs: run(1, 2), lost: true},
		{name: "shortened, but framed as whole", sent: 1, ended: 2, status: 200, complete: true, runs: run(1, 2), lost: true},
		{name: "held for long and begun late", sent: 4.8, ended: 7.6, runs: run(7.58, 7.6), lost: true},
		{name: "held until the end", sent: 4.4, ended: 7.6, lost: true},
		{name: "held from the beginning until the end", sent: 1, ended: 7.6, lost: true},
		{name: "closed before it was read", sent: 4, ended: 4.1},
		{name: "passed on and closed at once", sent: 4, ended: 4.1, runs: run(4.05, 4.1), lost: true},
		{name: "sent early and at work in the last sixth", sent: 2.9, ended: 7.6, runs: run(3, 7.6)},
		{name: "sent late and at work in the last sixth", sent: 3.1, ended: 7.6, runs: run(3.2, 7.6), lost: true},
		{name: "sent early and cut before the last sixth", sent: 1, ended: 6, runs: run(1, 6), lost: true},
		{name: "sent early, ended at the target before", sent: 1, ended: 7.6, runs: run(1, 5), lost: true},
		{name: "broken off by the target", sent: 1, ended: 2, runs: failed},
		{name: "at the deadline", sent: -4, ended: 6, runs: run(1, 6)},
		{name: "at a host that does not stop", sent: 1, ended: 7.6, runs: run(1, 7.6), live: true, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := &process{}
			if !test.live {
				p.terminatedAt = stop
			}
			r := result{kind: k, process: p, sentAt: after(test.sent), endedAt: after(test.ended), status: test.status, complete: test.complete, intact: test.good}
			why, lost := r.judge(test.runs)
			qt.Check(t, lost, qt.Equals, test.lost, qt.Commentf("%s", why))
		})
	}
}
