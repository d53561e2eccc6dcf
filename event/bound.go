package event

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// bound limits the lines that a log writes in a second. What concerns a single request
// is left out first, so that lines about the host itself still appear under load. The
// zero value has no limit.
type bound struct {
	rate    float64 // lines a second; 0 means any number
	tokens  float64
	at      time.Time
	thinned int // lines left out since the last note
	noted   time.Time
}

const (
	boundBurst   = 2.0 // seconds' worth of lines that may come at once
	boundReserve = 0.5 // part of the burst kept for lines above the debug level
	noteEvery    = time.Second
)

// allows takes a line out of the budget, or counts it as left out.
func (b *bound) allows(level hclog.Level, now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	most := b.rate * boundBurst
	if b.at.IsZero() {
		b.tokens = most
	} else {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), most)
	}
	b.at = now
	floor := 0.0
	if level <= hclog.Debug {
		floor = most * boundReserve
	}
	if b.tokens-1 < floor {
		b.thinned++
		return false
	}
	b.tokens--
	return true
}

// note returns how many lines were left out, if it is time to say so.
func (b *bound) note(now time.Time) (int, bool) {
	if b.thinned == 0 || now.Sub(b.noted) < noteEvery {
		return 0, false
	}
	n := b.thinned
	b.thinned, b.noted = 0, now
	return n, true
}
