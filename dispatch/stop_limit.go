package dispatch

import "time"

type (
	// A StopLimit is what the end of a host that stops, this one or one that relays its connection, means for a stream that was
	// dispatched since: its response is not to begin before it is sure to be complete by then. The zero value sets no limit.
	StopLimit struct {
		Until    time.Time     // end of the host; zero if none stops
		Tokens   int           // limit of the stream's output; 0 if it has none
		Interval time.Duration // longest time between tokens that is assumed
	}

	// StreamPace is what has arrived of a stream.
	StreamPace struct {
		Tokens  int           // tokens of the stream
		Elapsed time.Duration // from the first event to the latest one
		Later   int           // of these tokens, those that arrived after the first event
	}
)

const (
	// releaseSilence is the time for which a target may fall silent after the response has begun. A part of a response that
	// was sent cannot be replaced by an error.
	releaseSilence = 1500 * time.Millisecond

	// paceMargin is the factor by which a stream is assumed to become slower than it has been so far.
	paceMargin = 1.5
)

// EndsInTime reports whether a stream ends before the host does although its target falls silent for releaseSilence.
func (l StopLimit) EndsInTime(now time.Time, p StreamPace) bool {
	return l.Until.IsZero() || !now.Add(l.rest(p)+releaseSilence).After(l.Until)
}

// Deferral returns an upper bound of the time until EndsInTime reports true, or the stream is complete, if it runs on at its
// pace. It is 0 if the pace is not known yet.
func (l StopLimit) Deferral(now time.Time, p StreamPace) time.Duration {
	if p.Later == 0 {
		return 0
	}
	rest := l.rest(p)
	excess := now.Add(rest + releaseSilence).Sub(l.Until)
	// In each second the rest becomes shorter by at least paceMargin seconds.
	return max(time.Duration(min(float64(excess)/(paceMargin-1), float64(rest)/paceMargin)), 0)
}

// rest returns the longest time that the rest of the stream is assumed to take without a silence: at the pace that it has
// had, but not faster than an idle engine, or at Interval if the pace is not known.
func (l StopLimit) rest(p StreamPace) time.Duration {
	interval := l.Interval
	if p.Later > 0 {
		interval = max(time.Duration(paceMargin*float64(p.Elapsed)/float64(p.Later)), l.Interval/stopSlowdown)
	}
	return time.Duration(max(l.Tokens-p.Tokens, 0)) * interval
}

// Before returns the limit of a stream whose connection to its target ends at the given time. A zero time changes nothing.
func (l StopLimit) Before(end time.Time) StopLimit {
	if l.Tokens > 0 && !end.IsZero() && (l.Until.IsZero() || end.Before(l.Until)) {
		l.Until = end
	}
	return l
}

// stopLimit returns the StopLimit of a stream that is dispatched to t.
func (r *Reducer) stopLimit(q *request, t *targetState) StopLimit {
	tokens := q.outputLimit()
	if q.plain || tokens == 0 {
		return StopLimit{}
	}
	l := StopLimit{Tokens: min(tokens, maxRunTokens), Interval: r.slowInterval(t)}
	if r.stopTimeKnown() {
		l.Until = r.epoch.Add(r.stopDeadline)
	}
	return l
}
