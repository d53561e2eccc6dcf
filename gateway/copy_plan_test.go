package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The first copy is long; the second waits behind the copies of others; the third finds
// quiet links.
func TestRunIsStoppedWhenLinksAreQuiet(t *testing.T) {
	began := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := copyPlan{gap: 180 * time.Millisecond, latest: began.Add(time.Second)}
	at := began
	for i, took := range []time.Duration{190, 380, 5} {
		took *= time.Millisecond
		at = at.Add(took)
		qt.Assert(t, p.stop(at, took), qt.Equals, i == 2)
	}
}

func TestRunIsStoppedInTime(t *testing.T) {
	began := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := copyPlan{gap: 180 * time.Millisecond, latest: began.Add(500 * time.Millisecond)}
	qt.Assert(t, p.stop(began.Add(300*time.Millisecond), 300*time.Millisecond), qt.IsFalse)
	qt.Assert(t, p.stop(began.Add(600*time.Millisecond), 300*time.Millisecond), qt.IsTrue)
}

func TestRunWithoutAnAcceptedPauseIsStoppedAtOnce(t *testing.T) {
	p := copyPlan{}
	qt.Assert(t, p.stop(time.Time{}, time.Second), qt.IsTrue)
}
