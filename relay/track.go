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
	tokens atomic.Int64
	last   atomic.Int64 // Unix nanoseconds; 0 for none
	queued atomic.Bool
	stalls atomic.Int64 // nanoseconds
	kick   atomic.Pointer[func()]
}

// Tokens returns the tokens relayed so far.
func (t *Track) Tokens() int { return int(t.tokens.Load()) }

// Last returns when the last token came, zero if none has.
func (t *Track) Last() time.Time {
	n := t.last.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Queued reports whether the engine said that the stream is not running.
func (t *Track) Queued() bool { return t.queued.Load() }

// Stalled returns the stream's stall time so far.
func (t *Track) Stalled() time.Duration { return time.Duration(t.stalls.Load()) }

// Kick gives up the present connection, so that a fresh one is opened.
func (t *Track) Kick() {
	if f := t.kick.Load(); f != nil {
		(*f)()
	}
}

func (t *Track) begin(next int) { t.tokens.Store(int64(next)) }

func (t *Track) token(now time.Time, gap time.Duration) {
	t.tokens.Add(1)
	t.last.Store(now.UnixNano())
	t.queued.Store(false)
	if gap > StallFrom {
		t.stalls.Add(int64(gap - StallFrom))
	}
}

// connect notes the present connection.
func (t *Track) connect(giveUp func()) {
	t.kick.Store(&giveUp)
}
