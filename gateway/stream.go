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

var errNotTaken = eris.New("the caller does not accept the stream, or an event is missing from it")

// stream passes events on as they come, whole ones only, from wherever moves bring them.
func (c *call) stream(ctx context.Context, v dispatch.Effect, resp *http.Response) relay.Result {
	silence := c.silence()
	watch := time.AfterFunc(silence, func() { c.abandon(errSilent) })
	defer watch.Stop()
	c.placement.at, c.placement.source = v.To, resp
	c.placement.ended = make(chan *move, 1)
	if c.gateway.mover != nil {
		following, stop := context.WithCancel(ctx)
		defer stop()
		go c.follow(following, ctx)
	}
	defer c.finishStream()
	for {
		res, clean := c.read(ctx, resp, watch, silence)
		resp.Body.Close()
		if ctx.Err() != nil || c.refused {
			return res
		}
		watch.Reset(silence)
		next := c.nextSource(ctx, clean)
		if next == nil {
			return c.close(resp, res, clean)
		}
		resp = next
		c.placement.mu.Lock()
		c.placement.source = resp
		c.placement.mu.Unlock()
		watch.Reset(silence)
	}
}

// finishStream notes that the stream has ended, and lets go of what was opened for it since.
func (c *call) finishStream() {
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	c.placement.over = true
	if m := c.placement.present; m != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.next != nil {
			m.next.Body.Close()
		}
	}
}

// close ends a stream that nothing continues.
func (c *call) close(resp *http.Response, res relay.Result, clean bool) relay.Result {
	if clean {
		return c.endStream(resp)
	}
	return res
}

// read passes on one connection's events. clean reports whether the target ended it.
func (c *call) read(ctx context.Context, resp *http.Response, watch *time.Timer, silence time.Duration) (res relay.Result, clean bool) {
	control := http.NewResponseController(c.w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		watch.Reset(silence)
		if n > 0 && !c.forward(resp, control, buffer[:n]) {
			c.refused = true
			return c.broken(ctx, errNotTaken), false
		}
		if errors.Is(err, io.EOF) {
			return relay.Result{}, true
		}
		if err != nil {
			return c.broken(ctx, eris.Wrap(err, "stream")), false
		}
	}
}

// silence returns for how long callers wait for a stream's next event.
func (c *call) silence() time.Duration {
	return max(leastSilence, silenceAims*c.route.Aim, silenceGaps*c.route.Gap)
}

// forward writes the whole events among what came. It reports false if the caller does
// not accept them.
func (c *call) forward(resp *http.Response, control *http.ResponseController, data []byte) bool {
	before := c.events.whole
	whole := c.events.feed(data)
	if c.events.gap {
		return false // two runs must not be joined with something missing or twice
	}
	if whole == nil {
		return true
	}
	c.progress(c.events.whole - before)
	c.lastEvent.Store(int64(c.events.last))
	if !c.written {
		c.head(resp.Header)
		c.begin(resp.StatusCode)
	}
	// Writers that have no deadlines, as in tests, are never slow.
	_ = control.SetWriteDeadline(time.Now().Add(slowestCaller))
	n, err := c.w.Write(whole)
	c.bytes += int64(n)
	return err == nil && control.Flush() == nil
}

// progress counts events, for the forecasts and the log.
func (c *call) progress(fresh int) {
	if fresh == 0 {
		return
	}
	now := time.Now()
	gap := time.Duration(0)
	if !c.arrived.IsZero() {
		gap = now.Sub(c.arrived)
	}
	c.longest = max(c.longest, gap)
	c.arrived = now
	c.booking.Track.Advance(fresh*c.stride, now, gap)
}

// endStream ends a stream that its target has ended.
func (c *call) endStream(resp *http.Response) relay.Result {
	if !c.written {
		c.head(resp.Header)
		c.begin(resp.StatusCode)
	}
	// What follows the last event is the target's own and passed on as it is.
	n, _ := c.w.Write(c.events.rest)
	c.bytes += int64(n)
	return c.ended()
}

// broken describes a stream that broke off.
func (c *call) broken(ctx context.Context, err error) relay.Result {
	r := failed(ctx, err)
	r.Delivered = c.events.whole * c.stride
	if c.written && r.Delivered == 0 {
		r.Delivered = 1
	}
	r.Certainty = target.CertainNothing
	return r
}
