// Package target implements the clients for back ends: model engines and plain services.
// Engine and Service are the interfaces; an additional protocol needs only another
// implementation of one of them.
package target

import (
	"context"
	"time"
)

type (
	// An Engine is the client of one model engine.
	Engine interface {
		// Start submits a generation request and returns the event stream. A
		// RequestError with CertaintyNotRun proves that the engine did not accept
		// the request.
		Start(ctx context.Context, o GenerationRequest) (Stream, error)

		// Resume opens a new connection to a generation. The stream begins with
		// token next.
		Resume(ctx context.Context, generation string, next int) (Stream, error)

		// Cancel cancels a generation. A nil error confirms that the generation
		// is not running and will not start, even if the engine receives its
		// request later.
		Cancel(ctx context.Context, generation string) error

		// Load fetches the load report of the engine.
		Load(ctx context.Context) (Load, error)
	}

	// A Stream is a connection that receives the events of one generation. It is
	// not safe for concurrent use.
	Stream interface {
		// Next reads the next event into e. e.Text is valid until the next call.
		// If the connection ends before a final event, Next returns an error.
		Next(e *Event) error

		// Buffered reports whether unread data has been received, in which case
		// Next normally returns without waiting for the engine.
		Buffered() bool

		// Boot returns the boot identifier that the engine sent with its response.
		Boot() string

		// Close closes the connection. The generation keeps running on the engine.
		Close()
	}

	// A GenerationRequest describes a generation to start at an engine.
	GenerationRequest struct {
		Generation      string // generation identifier, chosen by the caller of Start
		Model           string
		Prompt          string
		MaxOutputTokens int // maximum number of output tokens; 0 means the default of the engine
		Priority        int // a lower value is scheduled earlier
	}

	// An Event is an event in the stream of a generation. Kind is always set; each other
	// field is set only for the kinds that its comment names.
	Event struct {
		Kind   EventKind
		Number int    // EventToken: token index, from 0; EventDone and EventFailed: number of tokens
		Text   []byte // EventToken: token text as a JSON string, with quotes
		Reason string // EventDone: stop or length; EventFailed: error message of the engine
		Usage  Usage  // EventDone
	}

	// Usage holds the token counts of a generation. Cached counts the prompt tokens that
	// the engine read from its prefix cache; they are also part of Prompt.
	Usage struct {
		Prompt, Output, Cached int
	}

	// An EventKind is the kind of a stream event.
	EventKind uint8

	// A Load is a load report of an engine. The load figures in it may be as old as Age.
	Load struct {
		Boot                       string        // boot identifier of the engine
		UsedTokens, CapacityTokens int           // cache memory in use and its capacity, in tokens
		Running                    int           // sequences in the current batch
		Waiting                    int           // sequences that are queued or preempted
		Preemptions                int           // sequences preempted since the engine started
		Leaving                    bool          // whether the engine is draining
		Age                        time.Duration // upper bound of the age of the load figures; set by the caller of Engine.Load
	}

	// A Certainty states how far an error proves whether the target executed a request.
	Certainty uint8

	// A RequestError is the error of a request to an engine or a service that failed or
	// was rejected.
	RequestError struct {
		Boot      string // boot identifier of the engine; empty for a service or without a response
		Certainty Certainty
		Answered  bool // the target has responded, with an error status
		Cause     error
	}
)

// The stream event kinds.
const (
	EventQueued EventKind = iota
	EventRunning
	EventToken
	EventDone
	EventFailed
	EventSuperseded // the engine sends the stream to a newer connection
)

// The certainties of a request error.
const (
	CertaintyUnknown Certainty = iota // the request may have been executed
	CertaintyNotRun                   // the request was not sent or not accepted
	CertaintyLost                     // the engine has no generation with this identifier
)

// Error returns the message of the cause.
func (e *RequestError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }
