package precedence

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A pool whose objectives differ by less than a factor of 2, or with routes without one, must be served as before.
func TestMixedObjectives(t *testing.T) {
	cases := map[string]struct {
		objectives []time.Duration
		mixed      bool
	}{
		"none":            {nil, false},
		"one":             {[]time.Duration{1500}, false},
		"similar":         {[]time.Duration{1500, 2999}, false},
		"one not stated":  {[]time.Duration{1500, 0}, false},
		"factor of two":   {[]time.Duration{1500, 3000}, true},
		"several, spread": {[]time.Duration{4000, 2000, 3000}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var o Objectives
			for _, d := range tc.objectives {
				o.Add(d)
			}
			qt.Check(t, o.Mixed(), qt.Equals, tc.mixed)
			for _, d := range append(tc.objectives, 0) {
				qt.Check(t, o.IsUrgent(d), qt.Equals, tc.mixed && d > 0 && 2*d <= o.Longest, qt.Commentf("%d", d))
			}
		})
	}
}

// An organisation must not gain by stating short objectives for everything: its part is bounded, but one stream is
// allowed in the smallest pool.
func TestPartOfOrganisation(t *testing.T) {
	qt.Check(t, WithinPart(0, 1000, 0.01), qt.IsTrue)
	qt.Check(t, WithinPart(4999, 100_000, 0.1), qt.IsTrue)
	qt.Check(t, WithinPart(5000, 100_000, 0.1), qt.IsFalse)
	qt.Check(t, Classify(false, true, false), qt.Equals, OnTime)
	qt.Check(t, Classify(true, true, true), qt.Equals, Late)
}

// If only shares counted, the few urgent requests of an organisation that sends most of them would wait although all urgent requests
// together hold little memory.
func TestPartOfPool(t *testing.T) {
	qt.Check(t, WithinPoolPart(12_499, 100_000), qt.IsTrue)
	qt.Check(t, WithinPoolPart(12_500, 100_000), qt.IsFalse)
}
