// Package relay forwards a generation from an engine to its caller. It reconnects to the engine
// as often as necessary and delivers every token exactly once, in order and from a single
// generation.
package relay

import (
	"sync/atomic"
	"time"
)

// Progress is the state of a stream that its relay shares with the host: the tokens relayed so far,
// and a function to force a reconnect. Its methods are safe for concurrent use.
type Progress struct {
	tokens          atomic.Int64
	last            atomic.Int64              // arrival of the last token: nanoseconds since first, plus 1; 0 before the first
	first           atomic.Pointer[time.Time] // arrival of the first token; has a monotonic clock reading
	queued          atomic.Bool
	stallTime       atomic.Int64 // nanoseconds
	closeConnection atomic.Pointer[func()]
}

// Tokens returns the number of tokens relayed so far.
func (t *Progress) Tokens() int { return int(t.tokens.Load()) }

// LastToken returns the arrival time of the last token, or the zero time before the first.
func (t *Progress) LastToken() time.Time {
	n := t.last.Load()
	if n == 0 {
		return time.Time{}
	}
	return t.first.Load().Add(time.Duration(n - 1))
}

// Queued reports whether the engine has the generation in its queue, not running.
func (t *Progress) Queued() bool { return t.queued.Load() }

// StallTime returns the total time by which gaps between tokens exceeded StallThreshold.
func (t *Progress) StallTime() time.Duration { return time.Duration(t.stallTime.Load()) }

// Reconnect closes the current connection, which makes the relay reconnect.
func (t *Progress) Reconnect() {
	if f := t.closeConnection.Load(); f != nil {
		(*f)()
	}
}

func (t *Progress) start(next int) { t.tokens.Store(int64(next)) }

// Advance adds tokens that arrived at now, a gap after the previous token.
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

// setConnection sets the function that closes the current connection.
func (t *Progress) setConnection(closeFunc func()) {
	t.closeConnection.Store(&closeFunc)
}
