package precedence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The reserve follows the rate of arrivals, is bounded, and is given up soon after the arrivals end.
func TestReserveFollowsArrivals(t *testing.T) {
	var d Demand
	qt.Check(t, d.Places(300_000, 1, 0), qt.Equals, 0)
	now := time.Duration(0)
	for range 200 { // 7 a second, each for 400 ms
		now += time.Second / 7
		d.Arrive(2200, now)
		d.Leave(400 * time.Millisecond)
	}
	usual := d.Places(300_000, 1, now)
	qt.Check(t, usual >= 5 && usual <= 8, qt.IsTrue, qt.Commentf("%d places", usual))
	qt.Check(t, d.Places(300_000, 4, now) > 2*usual, qt.IsTrue)
	qt.Check(t, d.Places(22_000, 1, now), qt.Equals, 2) // a quarter of the memory
	qt.Check(t, d.Places(300_000, 1, now+time.Minute), qt.Equals, 1)
	qt.Check(t, d.Places(300_000, 1, now+time.Hour), qt.Equals, 0)
}
