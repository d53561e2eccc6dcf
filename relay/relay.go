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
	// A Sink writes the output of a generation to the caller. After one of its methods has
	// returned an error, the relay calls none again.
	Sink interface {
		// Open starts the response to the caller. It is called at most once, when the
		// engine has sent the first event of the generation; boot is the engine's boot
		// identifier.
		Open(boot string) error

		// Token writes the token with the given number, counted from 0. The text is a
		// JSON string with its quotes; its memory is valid only during the call.
		Token(number int, text []byte) error

		// Flush sends the tokens written so far to the caller.
		Flush() error
	}

	// A Relay forwards one generation from its engine to one caller.
	Relay struct {
		engine               target.Engine
		request              target.GenerationRequest
		progress             *Progress
		sink                 Sink // nil after the caller has disconnected
		sequence             Sequence
		boot                 string        // boot identifier of the engine; empty until the first connection
		stream               target.Stream // current connection to the engine
		onReconnect          func(error)
		resumeTimeout        time.Duration
		onCallerDisconnected func()
		opened               bool // Open of the sink was called
		usage                target.Usage
		finishReason         string
	}

	// A Result is the result of one attempt to serve a request.
	Result struct {
		Ending          Ending
		FinishReason    string // "stop" or "length"; with EndFailed, the reason that the engine reported
		Usage           target.Usage
		Certainty       target.Certainty // of a failed attempt: whether the engine executed the request
		Rebooted        bool             // the engine has restarted since the generation was started
		LongestPause    time.Duration    // longest time between two events of a stream; 0 if it is not known
		DeliveredTokens int              // number of tokens for the caller, including those before a resume; 1 if part of a response without tokens was sent
		WithheldTokens  int              // number of tokens that the target has sent and the caller does not get
		Cause           error            // of a failed attempt; logged
		Unsent          bool             // no byte of the request has been sent
		TargetFailed    bool             // the target responded with an error status
		RetryAfter      time.Duration    // time for which a target that refused the request asks to be left alone
		TargetEnded     bool             // the target ended the connection before the response was complete
		PathLost        bool             // the request was sent over this host's own path to the target, which is lost
	}

	// An Ending classifies how an attempt ended.
	Ending uint8

	// An Option configures a Relay.
	Option interface{ apply(*Relay) }

	withResume struct {
		boot string
		next int
	}
	withResumeTimeout      time.Duration
	withCallerDisconnected func()
	withReconnect          func(error)
)

// The values of Ending.
const (
	EndComplete   Ending = iota // the response is complete
	EndFailed                   // the target refused the request, failed or is unreachable
	EndSuperseded               // the engine now sends the stream to a newer connection
	EndPastEnd                  // the token at which the caller resumed is past the end of the generation
	EndCancelled                // the attempt was cancelled before the response was complete
	EndHandedOver               // the attempt was cancelled because the host is stopping; the caller can resume at another host
)

const (
	// StallThreshold is the time between two tokens above which a stream counts as stalled.
	StallThreshold = 250 * time.Millisecond

	defaultResumeTimeout = 15 * time.Second      // for all attempts of one reconnect together
	initialBackoff       = 10 * time.Millisecond // between attempts of a reconnect
	maxBackoff           = 500 * time.Millisecond
	confirmTimeout       = 2 * time.Second // of the cancel request in unknownGeneration, and of the attempts to resume a generation whose start failed with an error status
)

var (
	errMissingToken = errors.New("a token is missing from the stream")
	errTokenCount   = errors.New("the token count of the final event differs from the tokens received")
)

// WithResume makes the relay resume a generation that was started before, from token next on,
// instead of starting it. boot is the boot identifier that the engine had when the generation was
// started; if it has changed, the generation is lost.
func WithResume(boot string, next int) Option { return withResume{boot, next} }

// WithResumeTimeout sets how long the relay tries to reconnect to an unreachable engine before
// the attempt fails. The default is 15 seconds.
func WithResumeTimeout(d time.Duration) Option { return withResumeTimeout(d) }

// WithCallerDisconnected sets a function that is called once when writing to the caller has
// failed. The relay continues to read the generation.
func WithCallerDisconnected(f func()) Option { return withCallerDisconnected(f) }

// WithReconnect sets a function that is called before each reconnect to the engine, with the
// error that ended the previous connection or the start of the generation.
func WithReconnect(f func(error)) Option { return withReconnect(f) }

func (o withResume) apply(r *Relay) {
	r.boot, r.sequence = o.boot, NewSequence(o.next)
}
func (o withResumeTimeout) apply(r *Relay)      { r.resumeTimeout = time.Duration(o) }
func (o withCallerDisconnected) apply(r *Relay) { r.onCallerDisconnected = o }
func (o withReconnect) apply(r *Relay)          { r.onReconnect = o }

// NewRelay returns a relay of the generation o from the engine e to the sink s. The relay records
// its progress in t.
func NewRelay(e target.Engine, o target.GenerationRequest, t *Progress, s Sink, opts ...Option) *Relay {
	r := &Relay{
		engine:               e,
		request:              o,
		progress:             t,
		sink:                 s,
		resumeTimeout:        defaultResumeTimeout,
		onCallerDisconnected: func() {},
		onReconnect:          func(error) {},
	}
	for _, opt := range opts {
		opt.apply(r)
	}
	return r
}

// Run starts or resumes the generation and relays it until it is complete, has failed or the
// engine sends it to a newer connection. If the caller disconnects, Run continues to read the
// generation, so that the caller can resume it. Cancelling ctx stops Run but does not cancel the
// generation at the engine.
func (r *Relay) Run(ctx context.Context) Result {
	r.progress.start(r.sequence.Next())
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
		if failed := r.reopen(ctx, err, r.resumeTimeout); failed != nil {
			return *failed
		}
	}
}

// endError is the error of a stream that ended for a reason that a reconnect cannot mend.
type endError struct{ ending Ending }

func (endError) Error() string { return "ended" }

// result returns the result of the attempt with the ending e. EndFailed means here that the
// engine reported a failure of the generation: its certainty is CertaintyLost.
func (r *Relay) result(e Ending) Result {
	res := Result{Ending: e, FinishReason: r.finishReason, Usage: r.usage, DeliveredTokens: r.sequence.Next()}
	if e == EndFailed {
		res.Certainty = target.CertaintyLost
		res.Cause = eris.New("the engine ended the generation: " + r.finishReason)
	}
	return res
}

// failedResult returns the result of an attempt that failed for another cause than a failure that
// the engine reported.
func (r *Relay) failedResult(c target.Certainty, rebooted bool, cause error) *Result {
	return &Result{Ending: EndFailed, Certainty: c, Rebooted: rebooted, DeliveredTokens: r.sequence.Next(), Cause: cause}
}

// open starts the generation, or resumes it if WithResume was given. If the start failed and it
// is unknown whether the engine accepted it, open tries to resume the generation. If the engine
// has no such generation, open cancels it, so that a start request that arrives late is not
// executed. open returns nil if the stream is connected.
func (r *Relay) open(ctx context.Context) *Result {
	if r.boot != "" {
		return r.reopen(ctx, nil, r.resumeTimeout)
	}
	stream, err := r.engine.Start(ctx, r.request)
	if err == nil {
		r.setStream(stream)
		return nil
	}
	if c := certainty(err); c == target.CertaintyNotRun {
		return r.failedResult(c, false, err)
	}
	timeout := r.resumeTimeout
	if answered(err) {
		timeout = min(timeout, confirmTimeout) // the engine can be reached; it is not waited for
	}
	return r.reopen(ctx, err, timeout)
}

// certainty returns the certainty of a target.RequestError, and CertaintyUnknown for other errors.
func certainty(err error) target.Certainty {
	var oe *target.RequestError
	if errors.As(err, &oe) {
		return oe.Certainty
	}
	return target.CertaintyUnknown
}

// answered reports whether the engine has responded with an error status.
func answered(err error) bool {
	var oe *target.RequestError
	return errors.As(err, &oe) && oe.Answered
}

// setStream makes s the current connection to the engine.
func (r *Relay) setStream(s target.Stream) {
	if r.boot == "" {
		r.boot = s.Boot()
	}
	r.stream = s
	r.progress.setConnection(s.Close)
}

// reopen connects to the running generation at the next expected token. It retries with
// exponential backoff until the timeout. cause is the error that made the reconnect
// necessary, or nil at the start of a resume. reopen returns nil if the stream is connected.
func (r *Relay) reopen(ctx context.Context, cause error, timeout time.Duration) *Result {
	if cause != nil {
		r.onReconnect(cause)
	}
	deadline := time.Now().Add(timeout)
	backoff := initialBackoff
	for {
		if ctx.Err() != nil {
			res := r.result(EndCancelled)
			return &res
		}
		stream, err := r.engine.Resume(ctx, r.request.Generation, r.sequence.Next())
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

// unknownGeneration returns the result for a generation of which the engine reports that it does
// not exist. If the relay was connected to it before, or was to resume it, the generation is
// lost. Otherwise its start may still arrive, so unknownGeneration cancels it; if the engine
// confirms the cancel, the generation did not run and will not.
func (r *Relay) unknownGeneration(ctx context.Context, cause error) *Result {
	var oe *target.RequestError
	errors.As(cause, &oe)
	if r.boot != "" {
		return r.failedResult(target.CertaintyLost, oe.Boot != r.boot, cause)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, r.request.Generation); err != nil {
		return r.failedResult(target.CertaintyUnknown, false, err)
	}
	return r.failedResult(target.CertaintyNotRun, false, cause)
}

// readStream relays events until the current connection ends. It returns nil if the generation is
// complete: its final event has arrived, with the number of tokens received. start is the number
// of the token at which the relay began.
func (r *Relay) readStream(start int) error {
	var e target.Event
	for {
		if err := r.stream.Next(&e); err != nil {
			return err
		}
		switch e.Kind {
		case target.EventQueued:
			r.progress.queued.Store(true)
			r.openSink()
		case target.EventRunning:
			r.progress.queued.Store(false)
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

// openSink starts the response to the caller, unless it has been started before.
func (r *Relay) openSink() {
	if r.opened {
		return
	}
	r.opened = true
	if r.sink != nil && r.sink.Open(r.boot) != nil {
		r.dropCaller()
	}
}

// dropCaller makes the relay continue without writing to the caller, who has disconnected.
func (r *Relay) dropCaller() {
	r.sink = nil
	r.onCallerDisconnected()
}

// handleToken records a token and writes it to the caller. It ignores a token that was received
// before and returns an error if one is missing.
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
	if last := r.progress.LastToken(); !last.IsZero() {
		gap = now.Sub(last)
	}
	r.progress.Advance(1, now, gap)
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

// checkFinal compares the token count of the final event e with the tokens received. start is the
// number of the token at which the relay began: if it is past the end, checkFinal returns
// EndPastEnd as an endError.
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
