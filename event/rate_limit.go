package event

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// rateLimiter is a token bucket that limits the lines a log writes per second. It reserves
// part of the bucket for lines above the debug level: under load, the debug lines about
// single requests are suppressed first, and lines about the host are still written. The
// zero value has no limit.
type rateLimiter struct {
	rate       float64 // lines per second; 0 means no limit
	tokens     float64 // lines in the bucket at lastRefill, including the reserved part
	lastRefill time.Time
	suppressed int // lines suppressed since lastReport
	lastReport time.Time
}

const (
	burstSeconds     = 2.0 // capacity of the bucket, in seconds at the rate limit
	reservedFraction = 0.5 // fraction of the bucket for lines above the debug level
	reportInterval   = time.Second
)

// allow reports whether a line of the given level may be written. It takes a token for the line,
// or counts the line as suppressed.
func (r *rateLimiter) allow(level hclog.Level, now time.Time) bool {
	if r.rate == 0 {
		return true
	}
	capacity := r.rate * burstSeconds
	if r.lastRefill.IsZero() {
		r.tokens = capacity
	} else {
		r.tokens = min(r.tokens+r.rate*now.Sub(r.lastRefill).Seconds(), capacity)
	}
	r.lastRefill = now
	reserved := 0.0
	if level <= hclog.Debug {
		reserved = capacity * reservedFraction
	}
	if r.tokens-1 < reserved {
		r.suppressed++
		return false
	}
	r.tokens--
	return true
}

// takeSuppressed returns the number of lines suppressed since its last report, and resets the
// number. It returns false if the number is 0 or if reportInterval has not passed since that
// report.
func (r *rateLimiter) takeSuppressed(now time.Time) (int, bool) {
	if r.suppressed == 0 || now.Sub(r.lastReport) < reportInterval {
		return 0, false
	}
	n := r.suppressed
	r.suppressed, r.lastReport = 0, now
	return n, true
}
