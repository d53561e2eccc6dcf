// Package target talks to the back ends: model engines and plain services.
// Each kind stands behind one small interface, so that another protocol is one
// more file.
package target

import (
	"context"
	"time"
)

type (
	// An Engine is one model engine, as an entry host sees it.
	Engine interface {
		// Start orders a generation and returns its stream. An error whose
		// Certainty is CertainNotRun proves that the engine did not take it.
		Start(ctx context.Context, o Order) (Stream, error)

		// Resume opens a fresh connection to a generation, from token next on.
		Resume(ctx context.Context, generation string, next int) (Stream, error)

		// Cancel ends a generation. A nil error confirms that the generation
		// neither runs nor will run, even if its order is still on the way.
		Cancel(ctx context.Context, generation string) error

		// Load asks for the engine's load report.
		Load(ctx context.Context) (Load, error)
	}

	// A Stream is one connection to one generation. It is used by one
	// goroutine at a time.
	Stream interface {
		// Next reads the next event into e. The event's Text is valid until
		// the next call. A break before a final event is an error.
		Next(e *Event) error

		// Buffered reports whether Next can return without waiting.
		Buffered() bool

		// Boot returns the boot identifier of the engine.
		Boot() string

		// Close gives the connection up; the generation goes on.
		Close()
	}

	// An Order is one generation to be started.
	Order struct {
		Generation string // identifier, chosen by the caller of Start
		Model      string
		Prompt     string
		Limit      int // largest number of output tokens; 0 means the engine's own
		Priority   int // lower goes first
	}

	// An Event is one event of a stream.
	Event struct {
		Kind   EventKind
		Number int    // tokens: index from 0; final events: tokens in total
		Text   []byte // tokens: a JSON string, quotes included
		Reason string // final events: stop, length, cancelled or a fault
		Usage  Usage  // final events
	}

	// Usage counts the tokens of a generation.
	Usage struct {
		Prompt, Output, Cached int
	}

	// An EventKind tells the events of a stream apart.
	EventKind uint8

	// A Load is an engine's report on itself. It lags behind reality.
	Load struct {
		Boot        string
		Used, Total int // tokens of memory
		Running     int // sequences in the batch
		Waiting     int // sequences queued or preempted
		Preemptions int // since boot
		Leaving     bool
		Lag         time.Duration // age of the figures, as far as known
	}

	// A Certainty says what an error proves about an order.
	Certainty uint8

	// An OrderError is a failed order, with what the failure proves.
	OrderError struct {
		Boot      string // boot identifier of the engine, if it answered
		Certainty Certainty
		Cause     error
	}
)

// The kinds of stream event.
const (
	EventQueued EventKind = iota
	EventRunning
	EventToken
	EventDone
	EventFailed
	EventSuperseded // a newer connection has taken the stream over
)

// What an error proves.
const (
	CertainNothing Certainty = iota
	CertainNotRun            // the order was never taken
	CertainLost              // the engine does not know the generation
)

// Error gives the cause.
func (e *OrderError) Error() string { return e.Cause.Error() }

// Unwrap gives the cause.
func (e *OrderError) Unwrap() error { return e.Cause }
