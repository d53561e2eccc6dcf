package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// A Sink takes what a caller is to get. After an error it is not used again.
	Sink interface {
		// Open is called once, when the engine is known to have the generation.
		Open(boot string) error

		// Token writes a token. Its text is a JSON string, valid during the call.
		Token(number int, text []byte) error

		// Flush sends what has been written.
		Flush() error
	}

	// A Relay is one generation on its way to one caller.
	Relay struct {
		engine        target.Engine
		order         target.Order
		track         *Track
		sink          Sink
		sequence      Sequence
		boot          string
		stream        target.Stream
		onReconnect   func(error)
		resumeTimeout time.Duration
		onCallerGone  func()
		opened        bool
		usage         target.Usage
		finishReason  string
	}

	// A Result is how a relay ended.
	Result struct {
		Ending       Ending
		FinishReason string // stop or length; with EndFailed what the engine said
		Usage        target.Usage
		Certainty    target.Certainty
		Rebooted     bool
		Delivered    int // tokens, those before a resume included
		Cause        error
		Unsent       bool // no byte of the request has left this host
		Answered     bool // the target answered with a failure of its own
	}

	// An Ending tells results apart.
	Ending uint8

	// An Option changes a Relay.
	Option interface{ apply(*Relay) }

	withResume struct {
		boot string
		next int
	}
	withResumeTimeout time.Duration
	withCallerGone    func()
	withReconnect     func(error)
)

// The endings.
const (
	EndWhole      Ending = iota // the caller has the whole answer
	EndFailed                   // the generation is over, or cannot be reached
	EndSuperseded               // another host has the stream
	EndPastEnd                  // the caller asked for tokens past the end
	EndCancelled                // the context ended
	EndHandedOver               // the context ended, and the generation goes on for another host
)

const (
	// StallFrom is the gap between two tokens from which on a caller sees a
	// stall.
	StallFrom = 250 * time.Millisecond

	defaultResumeTimeout = 15 * time.Second // how long a generation is sought
	initialBackoff       = 10 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond
	confirmTimeout       = 2 * time.Second
)

var (
	errMissingToken = errors.New("a token is missing")
	errTokenCount   = errors.New("the final event does not match the tokens")
)

// WithResume starts at a token of a generation that is under way.
func WithResume(boot string, next int) Option { return withResume{boot, next} }

// WithResumeTimeout sets how long a generation that cannot be reached is sought.
func WithResumeTimeout(d time.Duration) Option { return withResumeTimeout(d) }

// WithCallerGone sets what is called once if the caller goes away.
func WithCallerGone(f func()) Option { return withCallerGone(f) }

// WithReconnect sets what is called for every fresh connection, with what ended the
// last.
func WithReconnect(f func(error)) Option { return withReconnect(f) }

func (o withResume) apply(r *Relay) {
	r.boot, r.sequence = o.boot, NewSequence(o.next)
}
func (o withResumeTimeout) apply(r *Relay) { r.resumeTimeout = time.Duration(o) }
func (o withCallerGone) apply(r *Relay)    { r.onCallerGone = o }
func (o withReconnect) apply(r *Relay)     { r.onReconnect = o }

// NewRelay returns a relay of one generation.
func NewRelay(e target.Engine, o target.Order, t *Track, s Sink, opts ...Option) *Relay {
	r := &Relay{
		engine:        e,
		order:         o,
		track:         t,
		sink:          s,
		resumeTimeout: defaultResumeTimeout,
		onCallerGone:  func() {},
		onReconnect:   func(error) {},
	}
	for _, opt := range opts {
		opt.apply(r)
	}
	return r
}

// Run relays until the answer is whole, lost or taken over. If the caller goes
// away the generation is followed without it, so that it can be resumed; end ctx
// to stop that.
func (r *Relay) Run(ctx context.Context) Result {
	r.track.start(r.sequence.Next())
	start := r.sequence.Next()
	if failed := r.open(ctx); failed != nil {
		return *failed
	}
	defer func() { r.stream.Close() }()
	for {
		err := r.readStream(start)
		if err == nil {
			return r.result(EndWhole)
		}
		var ended endError
		if errors.As(err, &ended) {
			return r.result(ended.ending)
		}
		r.stream.Close()
		if failed := r.reopen(ctx, err); failed != nil {
			return *failed
		}
	}
}

// endError ends a relay without asking for more.
type endError struct{ ending Ending }

func (endError) Error() string { return "ended" }

// result returns how the relay ended. A generation that its engine has ended
// without a result is lost for certain.
func (r *Relay) result(e Ending) Result {
	res := Result{Ending: e, FinishReason: r.finishReason, Usage: r.usage, Delivered: r.sequence.Next()}
	if e == EndFailed {
		res.Certainty = target.CertainLost
		res.Cause = eris.New("the engine ended the generation: " + r.finishReason)
	}
	return res
}

func (r *Relay) failedResult(c target.Certainty, rebooted bool, cause error) *Result {
	return &Result{Ending: EndFailed, Certainty: c, Rebooted: rebooted, Delivered: r.sequence.Next(), Cause: cause}
}

// open makes the first connection. When it is not known whether the engine took
// the order, the generation is sought; if the engine does not know it, a confirmed
// cancel makes sure that it never will.
func (r *Relay) open(ctx context.Context) *Result {
	if r.boot != "" {
		return r.reopen(ctx, nil)
	}
	stream, err := r.engine.Start(ctx, r.order)
	if err == nil {
		r.setStream(stream)
		return nil
	}
	if c := certainty(err); c == target.CertainNotRun {
		return r.failedResult(c, false, err)
	}
	return r.reopen(ctx, err)
}

func certainty(err error) target.Certainty {
	var oe *target.OrderError
	if errors.As(err, &oe) {
		return oe.Certainty
	}
	return target.CertainNothing
}

func (r *Relay) setStream(s target.Stream) {
	if r.boot == "" {
		r.boot = s.Boot()
	}
	r.stream = s
	r.track.setConnection(s.Close)
}

// reopen opens a fresh connection, trying for the relay's patience.
func (r *Relay) reopen(ctx context.Context, cause error) *Result {
	if cause != nil {
		r.onReconnect(cause)
	}
	deadline := time.Now().Add(r.resumeTimeout)
	backoff := initialBackoff
	for {
		if ctx.Err() != nil {
			res := r.result(EndCancelled)
			return &res
		}
		stream, err := r.engine.Resume(ctx, r.order.Generation, r.sequence.Next())
		switch {
		case err == nil && r.boot != "" && stream.Boot() != r.boot:
			stream.Close()
			return r.failedResult(target.CertainLost, true, eris.New("the engine has another boot identifier"))
		case err == nil:
			r.setStream(stream)
			return nil
		case certainty(err) == target.CertainLost:
			return r.unknownGeneration(ctx, err)
		case time.Now().After(deadline):
			return r.failedResult(target.CertainNothing, false, err)
		}
		pause.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// unknownGeneration says what it proves that the engine does not know the generation.
func (r *Relay) unknownGeneration(ctx context.Context, cause error) *Result {
	var oe *target.OrderError
	errors.As(cause, &oe)
	if r.boot != "" {
		return r.failedResult(target.CertainLost, oe.Boot != r.boot, cause)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, r.order.Generation); err != nil {
		return r.failedResult(target.CertainNothing, false, err)
	}
	return r.failedResult(target.CertainNotRun, false, cause)
}

// readStream reads the present connection to its end. It returns nil at a final event
// that matches the tokens.
func (r *Relay) readStream(start int) error {
	var e target.Event
	for {
		if err := r.stream.Next(&e); err != nil {
			return err
		}
		switch e.Kind {
		case target.EventQueued:
			r.track.queued.Store(true)
			r.openSink()
		case target.EventRunning:
			r.track.queued.Store(false)
			r.openSink()
		case target.EventToken:
			if err := r.handleToken(&e); err != nil {
				return err
			}
		case target.EventSuperseded:
			return endError{EndSuperseded}
		case target.EventFailed:
			r.finishReason = e.Reason
			return endError{EndFailed}
		case target.EventDone:
			return r.checkFinal(&e, start)
		}
	}
}

// openSink opens the caller's answer.
func (r *Relay) openSink() {
	if r.opened {
		return
	}
	r.opened = true
	if r.sink != nil && r.sink.Open(r.boot) != nil {
		r.dropCaller()
	}
}

// dropCaller goes on without the caller.
func (r *Relay) dropCaller() {
	r.sink = nil
	r.onCallerGone()
}

func (r *Relay) handleToken(e *target.Event) error {
	switch r.sequence.Accept(e.Number) {
	case Duplicate:
		return nil
	case Gap:
		return errMissingToken
	}
	r.openSink()
	now := time.Now()
	gap := time.Duration(0)
	if last := r.track.Last(); !last.IsZero() {
		gap = now.Sub(last)
	}
	r.track.Advance(1, now, gap)
	if r.sink == nil {
		return nil
	}
	if err := r.sink.Token(e.Number, e.Text); err != nil {
		r.dropCaller()
		return nil
	}
	if !r.stream.Buffered() && r.sink.Flush() != nil {
		r.dropCaller()
	}
	return nil
}

// checkFinal checks the count of a final event.
func (r *Relay) checkFinal(e *target.Event, start int) error {
	if r.sequence.Next() > e.Number && r.sequence.Next() == start {
		return endError{EndPastEnd}
	}
	if !r.sequence.Complete(e.Number) {
		return errTokenCount
	}
	r.openSink()
	r.usage, r.finishReason = e.Usage, e.Reason
	return nil
}
