package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
)

// A stopping host accepts a stream only if it ends in time also if its target falls silent for a second. Streams that left no
// time for that were cut off at the stop (review/REPORT.md).
func TestStreamThatEndsJustBeforeStopIsRefused(t *testing.T) {
	const left = 2 * time.Second
	cases := map[string]struct {
		tokens   int // 21 ms each, by the step time of newFleetTest and stopSlowdown
		accepted bool
	}{
		"ends well before":                    {30, true},
		"ends in time without a silence only": {60, false},
		"ends after":                          {120, false},
	}
	for name, q := range cases {
		f := newFleetTest(t, 1)
		f.reduce(0, Stop{Until: f.now.Add(left)})
		f.reduce(0, Submit{ID: 1, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", MaxOutputTokens: q.tokens, MaxAttempts: 1})
		if q.accepted {
			f.requireEffect(EffectDispatch)
			continue
		}
		f.Check(f.requireEffect(EffectRefuse).Answer, qt.Equals, answer.KindStopping, qt.Commentf(name))
	}
}
