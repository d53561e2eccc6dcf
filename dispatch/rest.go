package dispatch

import "time"

// A target that refuses a request may ask this host to send no further ones for a while. The time is set by the target,
// not estimated by this host: neither the breaker's longest pause nor an answer to an earlier request shortens it, nor
// that the target was missing from the list in between.

// maxRest bounds the time for which a target is left alone because it has asked for that.
const maxRest = time.Minute

// RestAsked reports that a target has asked this host to send no requests for a while, in a response to this host or to
// one for which it relays.
type RestAsked struct {
	Target    string
	StartTime time.Time
	Rest      time.Duration
}

// reduce records the rest.
func (e RestAsked) reduce(r *Reducer) {
	if t := r.targets[e.Target]; t != nil && processOf(e.Target, t.spec.StartTime) == processOf(e.Target, e.StartTime) {
		r.rest(t, e.Rest)
	}
}

// rest leaves the target alone for a while.
func (r *Reducer) rest(t *targetState, asked time.Duration) {
	if asked <= 0 {
		return
	}
	t.restUntil = max(t.restUntil, r.now+min(asked, maxRest))
	r.rests[processOf(t.spec.Name, t.spec.StartTime)] = t.restUntil
}

// allows reports whether neither the target's breaker nor its wish for rest bars requests.
func (t *targetState) allows(now time.Duration) bool {
	return t.breaker.allows(now) && now >= t.restUntil
}

// nextAllowed returns the earliest time from which allows holds.
func (t *targetState) nextAllowed() time.Duration { return max(t.breaker.until, t.restUntil) }

// expireRests drops the records of rests that have ended.
func (r *Reducer) expireRests() {
	for key, until := range r.rests {
		if until <= r.now {
			delete(r.rests, key)
		}
	}
}
