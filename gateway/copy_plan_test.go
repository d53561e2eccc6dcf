package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The first copy transfers the whole KV cache (190 ms), the second queues behind copies of other
// generations (380 ms), and the third finds idle links (5 ms). Guards against stopping the
// generation after the second copy, when the final copy would queue while the stream is paused.
func TestCopyPlanStopsWhenLinksAreIdle(t *testing.T) {
	began := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := copyPlan{maxGap: 180 * time.Millisecond, deadline: began.Add(time.Second)}
	at := began
	for i, took := range []time.Duration{190, 380, 5} {
		took *= time.Millisecond
		at = at.Add(took)
		qt.Assert(t, p.shouldStop(at, took), qt.Equals, i == 2)
	}
}

func TestCopyPlanStopsAtDeadline(t *testing.T) {
	began := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := copyPlan{maxGap: 180 * time.Millisecond, deadline: began.Add(500 * time.Millisecond)}
	qt.Assert(t, p.shouldStop(began.Add(300*time.Millisecond), 300*time.Millisecond), qt.IsFalse)
	qt.Assert(t, p.shouldStop(began.Add(600*time.Millisecond), 300*time.Millisecond), qt.IsTrue)
}

func TestCopyPlanWithoutMaxGapStopsAfterFirstCopy(t *testing.T) {
	p := copyPlan{}
	qt.Assert(t, p.shouldStop(time.Time{}, time.Second), qt.IsTrue)
}
