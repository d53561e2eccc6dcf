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

var errNotForwarded = eris.New("writing to the caller failed, or an event is missing from the stream")

// stream forwards the events of resp to the caller, each when it is complete. When the stream is
// moved, it continues with the response of the other engine.
func (c *call) stream(ctx context.Context, decision dispatch.Effect, resp *http.Response) relay.Result {
	timeout := c.streamTimeout()
	watchdog := time.AfterFunc(timeout, func() { c.cancelAttempt(errStreamTimeout) })
	defer watchdog.Stop()
	c.placement.target, c.placement.response = decision.To, resp
	c.placement.finishedMoves = make(chan *move, 1)
	if c.gateway.copier != nil {
		moving, stop := context.WithCancel(ctx)
		defer stop()
		go c.runMoves(moving, ctx)
	}
	defer c.closeStream()
	for {
		res, clean := c.forwardEvents(ctx, resp, watchdog, timeout)
		resp.Body.Close()
		if ctx.Err() != nil || c.undeliverable {
			return res
		}
		watchdog.Reset(timeout)
		next := c.nextResponse(ctx, clean)
		if next == nil {
			return c.streamResult(resp, res, clean)
		}
		resp = next
		c.framing = framingOf(resp)
		c.placement.mu.Lock()
		c.placement.response = resp
		c.placement.mu.Unlock()
		watchdog.Reset(timeout)
	}
}

// closeStream marks the stream as ended, so that no move opens another response, and closes a
// response that a move has opened but the reader has not used.
func (c *call) closeStream() {
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	c.placement.ended = true
	if m := c.placement.currentMove; m != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.backupResponse != nil {
			m.backupResponse.Body.Close()
		}
	}
}

// streamResult returns the result of the attempt when no other engine continues the stream: that
// of a complete stream if the last response ended cleanly, res otherwise.
func (c *call) streamResult(resp *http.Response, res relay.Result, clean bool) relay.Result {
	if clean {
		return c.endStream(resp)
	}
	return res
}

// forwardEvents forwards the events of one response until it ends, and restarts watchdog with
// timeout after each read. clean reports whether the response ended without an error; if it did
// not, res is the result of the failed attempt.
func (c *call) forwardEvents(ctx context.Context, resp *http.Response, watchdog *time.Timer, timeout time.Duration) (res relay.Result, clean bool) {
	control := http.NewResponseController(c.w)
	buffer := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		watchdog.Reset(timeout)
		if n > 0 && !c.writeEvents(resp, control, buffer[:n]) {
			c.undeliverable = true
			return c.brokenResult(ctx, errNotForwarded), false
		}
		if errors.Is(err, io.EOF) {
			return relay.Result{}, true
		}
		if err != nil {
			return c.brokenResult(ctx, eris.Wrap(err, "stream")), false
		}
	}
}

// streamTimeout returns how long the gateway waits for the next bytes of a stream before it
// cancels the attempt.
func (c *call) streamTimeout() time.Duration {
	return max(minStreamTimeout, streamTimeoutFirstByteFactor*c.route.FirstByteObjective, streamTimeoutGapFactor*c.route.GapObjective)
}

// writeEvents adds data to the stream and sends the events that are now complete to the caller.
// It reports false if an event is missing or the write fails.
func (c *call) writeEvents(resp *http.Response, control *http.ResponseController, data []byte) bool {
	before := c.events.eventCount
	complete := c.events.feed(data)
	if c.events.missingEvent {
		return false // nothing after a missing event may reach the caller
	}
	if complete == nil {
		return true
	}
	c.recordProgress(c.events.eventCount - before)
	c.lastEvent.Store(int64(c.events.last))
	if !c.written {
		c.copyHeader(resp.Header)
		c.writeHeader(resp.StatusCode)
	}
	// Response writers that support no write deadline, such as those of tests, return an error,
	// which is ignored.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.w.Write(complete)
	c.bodyBytes += int64(n)
	return err == nil && control.Flush() == nil
}

// recordProgress adds count new events, which have just arrived, to the progress of the stream.
func (c *call) recordProgress(count int) {
	if count == 0 {
		return
	}
	now := time.Now()
	gap := time.Duration(0)
	if !c.lastArrival.IsZero() {
		gap = now.Sub(c.lastArrival)
	}
	c.longestGap = max(c.longestGap, gap)
	c.lastArrival = now
	c.hostRequest.Progress.Advance(count*c.tokensPerEvent, now, gap)
}

// endStream completes the caller's response after the target has ended the stream without an
// error.
func (c *call) endStream(resp *http.Response) relay.Result {
	if !c.written {
		c.copyHeader(resp.Header)
		c.writeHeader(resp.StatusCode)
	}
	// Bytes after the last complete event are forwarded unchanged.
	n, _ := c.w.Write(c.events.partial)
	c.bodyBytes += int64(n)
	return c.completeResult()
}

// brokenResult returns the result of a stream that failed with err. The target may have executed
// the request.
func (c *call) brokenResult(ctx context.Context, err error) relay.Result {
	r := failedResult(ctx, err)
	r.DeliveredTokens = c.events.eventCount * c.tokensPerEvent
	if c.written && r.DeliveredTokens == 0 {
		r.DeliveredTokens = 1
	}
	r.Certainty = target.CertaintyUnknown
	return r
}
