// Package relay carries one generation from an engine to its caller: every token
// exactly once, in order and from a single generation, over as many connections
// as it takes.
package relay

import (
	"sync/atomic"
	"time"
)

// A Track is what the relay of a stream shares with the host: how far it is, and
// a way to make it open a fresh connection. All methods may be called at any time.
type Track struct {
	tokens          atomic.Int64
	last            atomic.Int64              // nanoseconds since first, plus 1; 0 for none
	first           atomic.Pointer[time.Time] // when the first token came; keeps the monotonic clock
	queued          atomic.Bool
	stallTime       atomic.Int64 // nanoseconds
	closeConnection atomic.Pointer[func()]
}

// Tokens returns the tokens relayed so far.
func (t *Track) Tokens() int { return int(t.tokens.Load()) }

// Last returns when the last token came, zero if none has.
func (t *Track) Last() time.Time {
	n := t.last.Load()
	if n == 0 {
		return time.Time{}
	}
	return t.first.Load().Add(time.Duration(n - 1))
}

// Queued reports whether the engine said that the stream is not running.
func (t *Track) Queued() bool { return t.queued.Load() }

// StallTime returns the stream's stall time so far.
func (t *Track) StallTime() time.Duration { return time.Duration(t.stallTime.Load()) }

// Kick gives up the present connection, so that a fresh one is opened.
func (t *Track) Kick() {
	if f := t.closeConnection.Load(); f != nil {
		(*f)()
	}
}

func (t *Track) start(next int) { t.tokens.Store(int64(next)) }

// Advance counts tokens that came at a time, a gap after the ones before.
func (t *Track) Advance(tokens int, now time.Time, gap time.Duration) {
	t.tokens.Add(int64(tokens))
	first := t.first.Load()
	if first == nil {
		started := now // escapes to the heap only here
		first = &started
		t.first.Store(first)
	}
	t.last.Store(int64(now.Sub(*first)) + 1)
	t.queued.Store(false)
	if gap > StallFrom {
		t.stallTime.Add(int64(gap - StallFrom))
	}
}

// setConnection notes the present connection.
func (t *Track) setConnection(giveUp func()) {
	t.closeConnection.Store(&giveUp)
}
