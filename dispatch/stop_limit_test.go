package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The response of a stream begins only if the stream ends before its host although its target falls silent, and is deferred for no
// longer than the stream lasts.
func TestResponseBeginsBeforeStreamIsSureToEnd(t *testing.T) {
	now := time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)
	first, later := StreamPace{Tokens: 4}, StreamPace{Tokens: 24, Later: 20, Elapsed: 200 * time.Millisecond}
	cases := map[string]struct {
		left     time.Duration
		tokens   int
		pace     StreamPace
		ends     bool
		deferral time.Duration
	}{
		"no stop":                     {0, 100, first, true, 0},
		"ends after a silence":        {1920 * time.Millisecond, 24, first, true, 0},
		"ends without a silence only": {1910 * time.Millisecond, 24, first, false, 0},
		"pace known":                  {2700 * time.Millisecond, 104, later, true, 0},
		"pace known, deferred":        {2600 * time.Millisecond, 104, later, false, 200 * time.Millisecond},
		"pace known, deferred to end": {2 * time.Second, 104, later, false, 800 * time.Millisecond},
		"all tokens have arrived":     {1500 * time.Millisecond, 24, later, true, 0},
	}
	for name, q := range cases {
		l := StopLimit{Tokens: q.tokens, Interval: 21 * time.Millisecond}
		if q.left > 0 {
			l.Until = now.Add(q.left)
		}
		qt.Check(t, l.EndsInTime(now, q.pace), qt.Equals, q.ends, qt.Commentf(name))
		if !q.ends {
			qt.Check(t, l.Deferral(now, q.pace), qt.Equals, q.deferral, qt.Commentf(name))
		}
	}
}
