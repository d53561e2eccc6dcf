package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
)

var (
	errNotForwarded = eris.New("writing to the caller failed, or an event is missing from the stream")
	errCutOff       = eris.New("the target ended the response before the end of its stream")
	errLongEvent    = eris.Errorf("an event of the stream is longer than %d bytes", maxEventLength)
	errNotResumed   = eris.New("the generation was stopped for a move and not resumed")
)

// stream forwards the events of resp to the caller, each when it is complete. When the stream is
// moved, it continues with the response of the other engine.
func (a *attempt) stream(ctx context.Context, decision dispatch.Effect, resp *http.Response) relay.Result {
	timeout := a.streamTimeout()
	watchdog := time.AfterFunc(timeout, func() { a.cancel(errStreamTimeout) })
	defer watchdog.Stop()
	a.placement.target, a.placement.response = decision.To, resp
	a.placement.finishedMoves = make(chan *move, 1)
	if a.gateway.copier != nil {
		moving, stop := context.WithCancel(ctx)
		defer stop()
		go a.runMoves(moving, ctx)
	}
	defer a.closeStream()
	for {
		end, err := a.forwardEvents(resp, watchdog, timeout)
		resp.Body.Close()
		if ctx.Err() != nil || a.undeliverable {
			return a.brokenResult(ctx, err)
		}
		watchdog.Reset(timeout)
		next, stopped := a.nextResponse(ctx, end)
		if next == nil {
			return a.streamResult(ctx, resp, end, stopped, err)
		}
		resp = next
		a.framing = framingOf(resp)
		a.placement.mu.Lock()
		a.placement.response = resp
		a.placement.mu.Unlock()
		watchdog.Reset(timeout)
	}
}

// closeStream marks the stream as ended, so that no move opens another response, and closes a
// response that a move has opened but the reader has not used.
func (a *attempt) closeStream() {
	a.placement.mu.Lock()
	defer a.placement.mu.Unlock()
	a.placement.ended = true
	if m := a.placement.currentMove; m != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.backupResponse != nil {
			m.backupResponse.Body.Close()
		}
	}
}

// streamResult returns the result of the attempt when no other engine continues the stream, whose
// last response ended with end and err. stopped means that the target was asked to stop the generation,
// so that a closed connection does not show that it was complete.
func (a *attempt) streamResult(ctx context.Context, resp *http.Response, end streamEnd, stopped bool, err error) relay.Result {
	switch {
	case end == streamBroken:
		return a.brokenResult(ctx, err)
	case end == streamClosed && stopped:
		return a.brokenResult(ctx, errNotResumed)
	}
	return a.endStream(resp)
}

// forwardEvents forwards the events of one response until it ends, and restarts watchdog with
// timeout after each read. It returns what the end proves about the stream, with the reason if the
// stream is broken.
func (a *attempt) forwardEvents(resp *http.Response, watchdog *time.Timer, timeout time.Duration) (streamEnd, error) {
	control := http.NewResponseController(a.w)
	buffer := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		watchdog.Stop() // the target is not waited for while the caller is
		if n > 0 && !a.writeEvents(resp, control, buffer[:n]) {
			a.undeliverable = true
			return streamBroken, errNotForwarded
		}
		watchdog.Reset(timeout)
		if a.events.tooLong {
			return streamBroken, errLongEvent
		}
		if errors.Is(err, io.EOF) {
			end := a.events.end(framingOf(resp))
			if end == streamBroken {
				return end, errCutOff
			}
			return end, nil
		}
		if err != nil {
			return streamBroken, eris.Wrap(err, "stream")
		}
	}
}

// streamPatience returns how long callers wait for the next event of a stream before they leave.
func (c *call) streamPatience() time.Duration {
	return max(minStreamPatience, patienceFirstByteFactor*c.route.FirstByteObjective, patienceGapFactor*c.route.GapObjective)
}

// streamTimeout returns how long the gateway waits for the next bytes of a stream before it
// cancels the attempt. The caller leaves first: a stream that the gateway ends is one that it has cut off.
func (c *call) streamTimeout() time.Duration { return c.streamPatience() + callerEndDelay }

// writeEvents adds data to the stream and sends the events that are now complete to the caller.
// It reports false if an event is missing or the write fails.
func (a *attempt) writeEvents(resp *http.Response, control *http.ResponseController, data []byte) bool {
	before := a.events.eventCount
	complete := a.events.feed(data)
	if a.events.missingEvent {
		return false // nothing after a missing event may reach the caller
	}
	if complete == nil {
		return true
	}
	a.recordProgress(a.events.eventCount - before)
	a.lastEvent.Store(int64(a.events.last))
	if a.mustDefer() {
		a.deferred.add(resp, complete)
		return true
	}
	if !a.written.Load() {
		complete = a.beginStream(resp, complete)
	}
	limitWrite(control)
	defer a.recordCallerWait(time.Now())
	if _, err := (delivered{a.call}).Write(complete); err != nil {
		return false
	}
	if err := control.Flush(); err != nil {
		a.recordWriteError(err)
		return false
	}
	return true
}

// recordCallerWait attributes the time of a write, which has begun at the given time, to the caller: it is no part of the pause until the target's next
// event, of which nothing is read meanwhile.
func (a *attempt) recordCallerWait(begun time.Time) {
	wait := time.Since(begun)
	a.callerWait += wait
	if !a.lastArrival.IsZero() {
		a.lastArrival = a.lastArrival.Add(wait)
	}
}

// limitWrite sets the time limit of the next write to the caller.
func limitWrite(control *http.ResponseController) {
	// Response writers that support no write deadline, such as those of tests, return an error,
	// which is ignored.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// recordProgress adds count new events, which have just arrived, to the progress of the stream.
func (a *attempt) recordProgress(count int) {
	if count == 0 {
		return
	}
	now := time.Now()
	gap := time.Duration(0)
	if !a.lastArrival.IsZero() {
		gap = now.Sub(a.lastArrival)
	}
	a.longestGap = max(a.longestGap, gap)
	if a.moveCount > a.gapMoves {
		a.longestMove, a.gapMoves = max(a.longestMove, gap), a.moveCount
	}
	a.lastArrival = now
	a.hostRequest.Progress.Advance(count*a.tokensPerEvent, now, gap)
}

// endStream completes the caller's response after the target has completed the stream.
func (a *attempt) endStream(resp *http.Response) relay.Result {
	last := a.events.partial
	if !a.written.Load() {
		last = a.beginStream(resp, last)
	}
	// The limit of the last event may have passed, and applies to the end of the response as well.
	limitWrite(http.NewResponseController(a.w))
	// Blank lines and comments after the last event are forwarded unchanged.
	_, _ = delivered{a.call}.Write(last) // which records an error
	return a.completeResult()
}

// brokenResult returns the result of a stream that failed with err. The target may have executed
// the request.
func (a *attempt) brokenResult(ctx context.Context, err error) relay.Result {
	r, tokens := failedResult(ctx, err), a.events.eventCount*a.tokensPerEvent
	if a.written.Load() {
		r.DeliveredTokens = max(tokens, 1)
	} else {
		r.WithheldTokens = tokens
	}
	r.Certainty = target.CertaintyUnknown
	return r
}
