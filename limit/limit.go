// Package limit keeps the requests that all hosts together send to a target within the rate that the
// target names in its responses. A Record holds what responses have said of one target; a Pacer
// spaces requests. The package reads no clock.
package limit

import "time"

type (
	// A Reading is what one response of a target says about its limit. The zero value says that
	// there is none.
	Reading struct {
		Named bool    // whether the response names a limit
		Rate  float64 // requests a second from all hosts together, 0 or more
	}

	// A Record is what responses have said about a target's limit, at this host or others. The zero
	// value says that there is none.
	Record struct {
		Reading
		At time.Time // of a named limit the latest, of none the earliest time at which the target can have said so
	}

	// A Pacer spaces the requests to one target. The zero value has given out no places.
	Pacer struct {
		next time.Time // time of the next free place; zero before the first call of Reserve
	}
)

const (
	// minRate is the lowest rate at which a target is used, in requests a second. The responses to
	// these requests show when a limit near zero has ended.
	minRate = 0.2

	// minBurst is the least time for which unused places may be made up for.
	minBurst = 100 * time.Millisecond
)

// allowsMore reports whether o allows more requests than r.
func (r Reading) allowsMore(o Reading) bool {
	return r.Named && (!o.Named || o.Rate > r.Rate)
}

// Observe records the reading of a response whose request was sent and whose head was received at the
// given times. It reports whether the limit has changed. Responses may overtake each other: one that
// allows more than the record counts only if the target must have sent it later.
func (r *Record) Observe(o Reading, sent, received time.Time) (changed bool) {
	if r.allowsMore(o) && !sent.After(r.At) {
		return false
	}
	at := sent
	if o.Named {
		at = received
	}
	return r.Merge(Record{o, at})
}

// Merge replaces the record by another host's, if that is later. It reports whether the limit has changed.
func (r *Record) Merge(o Record) (changed bool) {
	if !o.At.After(r.At) {
		return false
	}
	changed = r.Reading != o.Reading
	*r = o
	return changed
}

// Interval returns the time between two places of targets that take rate requests a second.
func Interval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / max(rate, minRate))
}

// Reserve gives out the next free place of a target that takes rate requests a second, and returns the
// time until then. If that exceeds patience, it gives out none and reports false.
func (p *Pacer) Reserve(now time.Time, rate float64, patience time.Duration) (wait time.Duration, ok bool) {
	interval := Interval(rate)
	if p.next.IsZero() {
		// Another host may have given out places until now.
		p.next = now.Add(interval)
	}
	if earliest := now.Add(-max(interval, minBurst)); p.next.Before(earliest) {
		p.next = earliest
	}
	wait = max(p.next.Sub(now), 0)
	if wait > patience {
		return wait, false
	}
	p.next = p.next.Add(interval)
	return wait, true
}
