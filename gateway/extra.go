package gateway

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// concurrentAttempts are the attempts of a call that are in flight at the same time. They are guarded by callPhase.mu.
	concurrentAttempts struct {
		attempts []*attempt
		winner   *attempt // attempt that has responded, and alone writes to the caller; nil before
	}

	// attemptResult is the result of an attempt that runs beside another one.
	attemptResult struct {
		attempt *attempt
		number  int // Basis.Attempt of its decision
		relay.Result
	}
)

// maxConcurrentAttempts is the largest number of attempts of a call in flight.
const maxConcurrentAttempts = 2

// errRedundant is the cause of the end of an attempt that was cancelled because the other one has responded.
var errRedundant = eris.New("another attempt has responded first")

// claim reports whether the attempt may write its response to the caller. The first attempt of a call that calls it may;
// the others are cancelled at once.
func (a *attempt) claim() bool {
	c := a.call
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.concurrent.winner != nil {
		return c.concurrent.winner == a
	}
	c.concurrent.winner, c.latest = a, a
	for _, other := range c.concurrent.attempts {
		if other != a {
			other.cancelRedundant(errRedundant)
		}
	}
	return true
}

// redundantResult returns the result of an attempt whose claim was refused.
func redundantResult() relay.Result {
	return relay.Result{Ending: relay.EndFailed, Cause: errRedundant}
}

// winner returns the attempt that has responded, or nil.
func (c *call) winner() *attempt {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.concurrent.winner
}

// resetConcurrent prepares the call for its next attempts.
func (c *call) resetConcurrent() {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.concurrent = concurrentAttempts{}
}

// makeAttempts makes the attempt of a decision and, if the reducer asks for it, a second one while the first is in flight. It
// reports true if the call has ended, with the error for the caller or nil, and false if another decision is to be waited for.
func (c *call) makeAttempts(ctx context.Context, decision dispatch.Effect) (ended bool, err error) {
	c.resetConcurrent()
	if decision.ExtraAfter <= 0 {
		a := c.newAttempt(decision.Target)
		r := a.run(ctx, decision)
		return c.finishAttempt(a, host.Attempt{Number: decision.Basis.Attempt, Took: a.took}, r)
	}
	results := make(chan attemptResult, maxConcurrentAttempts)
	c.startAttempt(ctx, decision, results)
	slow := time.NewTimer(decision.ExtraAfter)
	defer slow.Stop()
	var last attemptResult
	for inFlight := 1; inFlight > 0; {
		select {
		case <-slow.C:
			if c.winner() == nil {
				c.hostRequest.AttemptSlow(decision.Basis.Attempt)
			}
		case f := <-c.hostRequest.Decisions():
			if f.Kind != dispatch.EffectExtra {
				continue // the event loop has ended, which WaitDecision reports, too
			}
			if c.winner() != nil {
				c.hostRequest.AttemptCancelled(host.Attempt{Number: f.Basis.Attempt, Target: f.Target})
				continue
			}
			c.startAttempt(ctx, f, results)
			inFlight++
		case r := <-results:
			inFlight--
			if r.attempt == c.winner() || last.attempt == nil && inFlight == 0 {
				last = r
			} else {
				c.reportOther(r)
			}
		}
	}
	return c.finishAttempt(last.attempt, last.identity(), last.Result)
}

// startAttempt starts an attempt that may run beside another one.
func (c *call) startAttempt(ctx context.Context, decision dispatch.Effect, results chan<- attemptResult) {
	a := c.newAttempt(decision.Target)
	ctx, a.cancelRedundant = context.WithCancelCause(ctx)
	c.state.mu.Lock()
	c.concurrent.attempts = append(c.concurrent.attempts, a)
	redundant := c.concurrent.winner != nil
	if redundant {
		c.latest = c.concurrent.winner
	}
	c.state.mu.Unlock()
	if redundant {
		a.cancelRedundant(errRedundant)
	}
	go func() {
		r := relay.Result{Ending: relay.EndFailed}
		defer func() {
			if p := recover(); p != nil { // on the goroutine of the call, net/http would recover it
				r.Cause = panicError(p)
			}
			a.cancelRedundant(nil)
			results <- attemptResult{a, decision.Basis.Attempt, r}
		}()
		r = a.run(ctx, decision)
	}()
}

// panicError returns the error of a recovered panic, with the stack of its goroutine.
func panicError(p any) error { return eris.Errorf("panic: %v\n%s", p, debug.Stack()) }

// identity returns the attempt in the form of the host's reports.
func (r *attemptResult) identity() host.Attempt {
	return host.Attempt{Number: r.number, Target: r.attempt.target, Took: r.attempt.took}
}

// reportOther reports the end of an attempt that has not won while another one is in flight or has won.
func (c *call) reportOther(r attemptResult) {
	switch {
	case c.r.Context().Err() != nil:
		// Abandon ends both attempts.
	case errors.Is(r.Cause, errRedundant):
		c.hostRequest.AttemptCancelled(r.identity())
	default:
		c.keepFailedResponse(r.attempt)
		c.hostRequest.ReportAttempt(r.identity(), r.Result)
	}
}

// finishAttempt reports the result of the only attempt of the call that is left. Its results are those of makeAttempts.
func (c *call) finishAttempt(a *attempt, identity host.Attempt, r relay.Result) (ended bool, err error) {
	c.keepFailedResponse(a)
	switch {
	case c.r.Context().Err() != nil:
		c.hostRequest.Abandon()
		return true, answer.New(answer.KindCallerGone, "")
	case errors.Is(r.Cause, errHostStopped) && r.Certainty != target.CertaintyNotRun && !c.written.Load():
		// Not a failure of the target. Another attempt would not end before the host stops.
		c.hostRequest.EndEarly(r.Cause)
		return true, c.finalError(answer.Wrap(answer.KindUnknownOutcome, r.Cause, ""))
	}
	return !c.hostRequest.ReportAttempt(identity, r), nil
}

// keepFailedResponse keeps a 5xx response of the attempt for the case that no other target succeeds.
func (c *call) keepFailedResponse(a *attempt) {
	if a.failed != nil {
		c.failedResponse = a.failed
	}
}
