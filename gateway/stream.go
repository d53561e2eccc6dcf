package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
)

// stream passes events on as they come, whole ones only.
func (c *call) stream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response) relay.Result {
	silence := c.silence()
	watch := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watch.Stop()
	control := http.NewResponseController(c.w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buffer)
		watch.Reset(silence)
		if n > 0 && !c.forward(resp, control, buffer[:n]) {
			return c.broken(ctx, eris.New("the caller does not accept the stream"))
		}
		if errors.Is(err, io.EOF) {
			return c.endStream(resp)
		}
		if err != nil {
			return c.broken(ctx, eris.Wrap(err, "stream"))
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
	if whole == nil {
		return true
	}
	c.progress(c.events.whole - before)
	if !c.written {
		c.head(resp.StatusCode, resp.Header)
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
		c.head(resp.StatusCode, resp.Header)
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
