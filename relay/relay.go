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
	// A Sink writes a generation to its caller. It is not used again after an error.
	Sink interface {
		// Open starts the response. It is called once, after the engine has confirmed
		// that it has the generation; boot is the engine's boot identifier.
		Open(boot string) error

		// Token writes a token. The text is a JSON string that is valid only during
		// the call.
		Token(number int, text []byte) error

		// Flush sends the tokens written so far.
		Flush() error
	}

	// A Relay forwards one generation from its engine to one caller.
	Relay struct {
		engine        target.Engine
		order         target.GenerationRequest
		track         *Progress
		sink          Sink
		sequence      Sequence
		boot          string // boot identifier of the engine; empty until the first connection
		stream        target.Stream
		onReconnect   func(error)
		resumeTimeout time.Duration
		onCallerGone  func()
		opened        bool
		usage         target.Usage
		finishReason  string
	}

	// A Result describes the end of an attempt.
	Result struct {
		Ending       Ending
		FinishReason string // "stop" or "length"; with EndFailed the engine's error
		Usage        target.Usage
		Certainty    target.Certainty
		Rebooted     bool // the engine has restarted since the generation began
		Delivered    int  // tokens, including those before a resume
		Cause        error
		Unsent       bool // no byte of the request has been sent
		TargetFailed bool // the target itself responded with an error
	}

	// An Ending is the way in which an attempt ended.
	Ending uint8

	// An Option configures a Relay.
	Option interface{ apply(*Relay) }

	withResume struct {
		boot string
		next int
	}
	withResumeTimeout time.Duration
	withCallerGone    func()
	withReconnect     func(error)
)

// The values of Ending.
const (
	EndComplete   Ending = iota // the response is complete
	EndFailed                   // the generation failed or its engine is unreachable
	EndSuperseded               // another host has resumed the stream
	EndPastEnd                  // the caller asked to resume past the last token
	EndCancelled                // the context was cancelled
	EndHandedOver               // the context was cancelled; the caller resumes at another host
)

const (
	// StallThreshold is the gap between two tokens above which the stream counts as stalled.
	StallThreshold = 250 * time.Millisecond

	defaultResumeTimeout = 15 * time.Second // total, over all attempts to reach the engine
	initialBackoff       = 10 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond
	confirmTimeout       = 2 * time.Second // of the cancel request for a generation that the engine reports as unknown
)

var (
	errMissingToken = errors.New("a token is missing from the stream")
	errTokenCount   = errors.New("the token count of the final event differs from the tokens received")
)

// WithResume resumes a running generation at token next. boot is the boot identifier that its
// engine had.
func WithResume(boot string, next int) Option { return withResume{boot, next} }

// WithResumeTimeout sets how long reconnecting to an unreachable engine is retried.
func WithResumeTimeout(d time.Duration) Option { return withResumeTimeout(d) }

// WithCallerGone sets a function that is called once if the caller disconnects.
func WithCallerGone(f func()) Option { return withCallerGone(f) }

// WithReconnect sets a function that is called before each reconnect with the error that ended
// the previous connection.
func WithReconnect(f func(error)) Option { return withReconnect(f) }

func (o withResume) apply(r *Relay) {
	r.boot, r.sequence = o.boot, NewSequence(o.next)
}
func (o withResumeTimeout) apply(r *Relay) { r.resumeTimeout = time.Duration(o) }
func (o withCallerGone) apply(r *Relay)    { r.onCallerGone = o }
func (o withReconnect) apply(r *Relay)     { r.onReconnect = o }

// NewRelay returns a relay of one generation.
func NewRelay(e target.Engine, o target.GenerationRequest, t *Progress, s Sink, opts ...Option) *Relay {
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

// Run relays the generation until it is complete, has failed or was resumed by another host.
// If the caller disconnects, Run keeps reading the generation, so that the caller can resume
// it; cancel ctx to stop.
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
			return r.result(EndComplete)
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

// endError ends a relay without a reconnect.
type endError struct{ ending Ending }

func (endError) Error() string { return "ended" }

// result returns the result for an ending. A generation that its engine has ended without a
// result is certainly lost.
func (r *Relay) result(e Ending) Result {
	res := Result{Ending: e, FinishReason: r.finishReason, Usage: r.usage, Delivered: r.sequence.Next()}
	if e == EndFailed {
		res.Certainty = target.CertaintyLost
		res.Cause = eris.New("the engine ended the generation: " + r.finishReason)
	}
	return res
}

func (r *Relay) failedResult(c target.Certainty, rebooted bool, cause error) *Result {
	return &Result{Ending: EndFailed, Certainty: c, Rebooted: rebooted, Delivered: r.sequence.Next(), Cause: cause}
}

// open starts the generation. If it is unknown whether the engine accepted the start, open
// tries to resume the generation instead; if the engine has no such generation, a confirmed
// cancel makes sure that it never executes it.
func (r *Relay) open(ctx context.Context) *Result {
	if r.boot != "" {
		return r.reopen(ctx, nil)
	}
	stream, err := r.engine.Start(ctx, r.order)
	if err == nil {
		r.setStream(stream)
		return nil
	}
	if c := certainty(err); c == target.CertaintyNotRun {
		return r.failedResult(c, false, err)
	}
	return r.reopen(ctx, err)
}

func certainty(err error) target.Certainty {
	var oe *target.RequestError
	if errors.As(err, &oe) {
		return oe.Certainty
	}
	return target.CertaintyUnknown
}

func (r *Relay) setStream(s target.Stream) {
	if r.boot == "" {
		r.boot = s.Boot()
	}
	r.stream = s
	r.track.setConnection(s.Close)
}

// reopen reconnects to the generation, with retries until the resume timeout.
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
			return r.failedResult(target.CertaintyLost, true, eris.New("the boot identifier of the engine has changed"))
		case err == nil:
			r.setStream(stream)
			return nil
		case certainty(err) == target.CertaintyLost:
			return r.unknownGeneration(ctx, err)
		case time.Now().After(deadline):
			return r.failedResult(target.CertaintyUnknown, false, err)
		}
		pause.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// unknownGeneration returns the result for a generation that the engine reports as unknown. A
// generation that was connected before is lost. One that was not is cancelled; once the engine
// confirms the cancel, the generation certainly did not run.
func (r *Relay) unknownGeneration(ctx context.Context, cause error) *Result {
	var oe *target.RequestError
	errors.As(cause, &oe)
	if r.boot != "" {
		return r.failedResult(target.CertaintyLost, oe.Boot != r.boot, cause)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, r.order.Generation); err != nil {
		return r.failedResult(target.CertaintyUnknown, false, err)
	}
	return r.failedResult(target.CertaintyNotRun, false, cause)
}

// readStream reads the current connection to its end. It returns nil after a final event whose
// token count matches the tokens received. start is the token at which the relay began.
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

// openSink starts the caller's response, once.
func (r *Relay) openSink() {
	if r.opened {
		return
	}
	r.opened = true
	if r.sink != nil && r.sink.Open(r.boot) != nil {
		r.dropCaller()
	}
}

// dropCaller continues the relay without a caller.
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
	if last := r.track.LastToken(); !last.IsZero() {
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

// checkFinal compares the token count of a final event with the tokens received.
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
