// Package relay forwards the tokens of a generation from an engine to the caller. If the
// connection to the engine fails, it reconnects, as often as necessary, and resumes the
// generation, so that the caller receives every token once, in order and from one generation.
package relay

import (
	"sync/atomic"
	"time"
)

// Progress is the state of a stream that the relay or gateway which forwards it shares with the
// host: the number of tokens, their arrival, and a function that makes a relay reconnect. The
// methods that read it, and Reconnect, are safe for concurrent use with the single goroutine that
// updates it.
type Progress struct {
	tokens          atomic.Int64              // number of tokens received
	last            atomic.Int64              // arrival of the last token: nanoseconds since first, plus 1; 0 before the first
	first           atomic.Pointer[time.Time] // arrival of the first token; has a monotonic clock reading
	queued          atomic.Bool               // the engine has queued the generation
	stallTime       atomic.Int64              // nanoseconds by which gaps between tokens exceeded StallThreshold
	closeConnection atomic.Pointer[func()]    // nil before the first connection
}

// Tokens returns the number of tokens received so far, including those before a resume.
func (t *Progress) Tokens() int { return int(t.tokens.Load()) }

// LastToken returns the arrival time of the last token, or the zero time before the first.
func (t *Progress) LastToken() time.Time {
	n := t.last.Load()
	if n == 0 {
		return time.Time{}
	}
	return t.first.Load().Add(time.Duration(n - 1))
}

// Queued reports whether the generation waits in the queue of its engine.
func (t *Progress) Queued() bool { return t.queued.Load() }

// StallTime returns the sum, over all gaps between tokens longer than StallThreshold, of the time by
// which the gap exceeds it.
func (t *Progress) StallTime() time.Duration { return time.Duration(t.stallTime.Load()) }

// Reconnect closes the current connection to the engine, which makes the relay reconnect. It does
// nothing before the first connection.
func (t *Progress) Reconnect() {
	if f := t.closeConnection.Load(); f != nil {
		(*f)()
	}
}

// start sets the number of tokens received before the relay began.
func (t *Progress) start(next int) { t.tokens.Store(int64(next)) }

// Advance adds the given number of tokens, which arrived at now. gap is the time since the
// previous token, or 0 if there was none.
func (t *Progress) Advance(tokens int, now time.Time, gap time.Duration) {
	t.tokens.Add(int64(tokens))
	first := t.first.Load()
	if first == nil {
		started := now // a copy, so that now escapes to the heap only for the first token
		first = &started
		t.first.Store(first)
	}
	t.last.Store(int64(now.Sub(*first)) + 1)
	t.queued.Store(false)
	if gap > StallThreshold {
		t.stallTime.Add(int64(gap - StallThreshold))
	}
}

// setConnection sets the function that closes the current connection to the engine.
func (t *Progress) setConnection(closeFunc func()) {
	t.closeConnection.Store(&closeFunc)
}
