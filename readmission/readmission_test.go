package readmission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func refusal(subject uint64, wait, left time.Duration) Refusal {
	return Refusal{Key: Key{"o", "long", subject}, Size: 3000, Wait: wait, Left: left}
}

// Callers ignore a delay of more than a third of the time that they have left.
func TestDelayIsBounded(t *testing.T) {
	cases := map[string]struct{ wait, left, delay time.Duration }{
		"forecast":      {time.Second, 20 * time.Second, time.Second},
		"no wait":       {0, 20 * time.Second, minDelay},
		"long wait":     {time.Minute, 8 * time.Second, 2 * time.Second},
		"little time":   {time.Second, 40 * time.Millisecond, 10 * time.Millisecond},
		"deadline over": {time.Second, -time.Second, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var p Promises
			qt.Check(t, p.Promise(refusal(1, tc.wait, tc.left), 0), qt.Equals, tc.delay)
		})
	}
}

// A promise is kept once: a caller that repeats a subject gains no further precedence, and memory that is not claimed
// does not stay promised.
func TestPromiseIsClaimedOnce(t *testing.T) {
	var p Promises
	p.Promise(refusal(1, time.Second, time.Minute), 0)
	p.Promise(refusal(2, 2*time.Second, time.Minute), time.Millisecond)
	qt.Check(t, p.Pending(false, time.Second), qt.Equals, 6000.0)
	qt.Check(t, p.Pending(true, time.Second), qt.Equals, 0.0)
	made, ok := p.Claim(Key{"o", "long", 2}, time.Second)
	qt.Check(t, ok && made == time.Millisecond, qt.IsTrue)
	for _, key := range []Key{{"o", "long", 2}, {"o", "short", 1}, {"other", "long", 1}, {"o", "long", 0}} {
		_, ok = p.Claim(key, time.Second)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%v", key))
	}
	_, ok = p.Claim(Key{"o", "long", 1}, 3*time.Second)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, p.Pending(false, 3*time.Second), qt.Equals, 0.0)
}
