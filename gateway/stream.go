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

// stream forwards complete events as they arrive. When the stream is moved, it continues with
// the response of the other engine.
func (c *call) stream(ctx context.Context, decision dispatch.Effect, resp *http.Response) relay.Result {
	timeout := c.streamTimeout()
	watchdog := time.AfterFunc(timeout, func() { c.cancelAttempt(errStreamTimeout) })
	defer watchdog.Stop()
	c.placement.target, c.placement.response = decision.To, resp
	c.placement.finished = make(chan *move, 1)
	if c.gateway.copier != nil {
		moving, stop := context.WithCancel(ctx)
		defer stop()
		go c.runMoves(moving, ctx)
	}
	defer c.close()
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
		c.placement.mu.Lock()
		c.placement.response = resp
		c.placement.mu.Unlock()
		watchdog.Reset(timeout)
	}
}

// close marks the stream as ended and closes the response of a move that the reader has not
// used.
func (c *call) close() {
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	c.placement.ended = true
	if m := c.placement.current; m != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.next != nil {
			m.next.Body.Close()
		}
	}
}

// streamResult returns the result of a stream that no other response continues.
func (c *call) streamResult(resp *http.Response, res relay.Result, clean bool) relay.Result {
	if clean {
		return c.endStream(resp)
	}
	return res
}

// forwardEvents forwards the events of one response and resets watchdog after each read. clean
// reports whether the response ended without an error.
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

// streamTimeout returns the longest wait for the next event of a stream.
func (c *call) streamTimeout() time.Duration {
	return max(minStreamTimeout, streamTimeoutAims*c.route.FirstByteObjective, streamTimeoutGaps*c.route.GapObjective)
}

// writeEvents sends the events that data completes to the caller. It reports false if an event
// is missing or the write fails.
func (c *call) writeEvents(resp *http.Response, control *http.ResponseController, data []byte) bool {
	before := c.events.count
	whole := c.events.feed(data)
	if c.events.gap {
		return false // a resumed stream must have no missing and no repeated event
	}
	if whole == nil {
		return true
	}
	c.recordProgress(c.events.count - before)
	c.lastEvent.Store(int64(c.events.last))
	if !c.written {
		c.copyHeader(resp.Header)
		c.writeHeader(resp.StatusCode)
	}
	// Writers without write deadlines, such as those of tests, return an error, which is ignored.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.w.Write(whole)
	c.bytes += int64(n)
	return err == nil && control.Flush() == nil
}

// recordProgress updates the progress of the stream with the number of new events.
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
	c.booking.Track.Advance(count*c.tokensPerEvent, now, gap)
}

// endStream completes the response of a stream that its target has ended.
func (c *call) endStream(resp *http.Response) relay.Result {
	if !c.written {
		c.copyHeader(resp.Header)
		c.writeHeader(resp.StatusCode)
	}
	// Bytes after the last complete event are forwarded unchanged.
	n, _ := c.w.Write(c.events.partial)
	c.bytes += int64(n)
	return c.completeResult()
}

// brokenResult returns the result of a stream that failed with err.
func (c *call) brokenResult(ctx context.Context, err error) relay.Result {
	r := failedResult(ctx, err)
	r.Delivered = c.events.count * c.tokensPerEvent
	if c.written && r.Delivered == 0 {
		r.Delivered = 1
	}
	r.Certainty = target.CertaintyUnknown
	return r
}
