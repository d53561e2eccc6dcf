package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/target"
)

// bufferedResponse is a target's response held in memory: the whole response, or its first
// maxBufferedResponse+1 bytes if it is longer.
type bufferedResponse struct {
	status int
	header http.Header
	data   []byte // body
}

var (
	errRequestIDMismatch = eris.New("the response carries the identifier of another request")
	errNoProof           = eris.New("the response carries no proof of its target")
	errContentEncoding   = eris.New("the response has a Content-Encoding that was not requested")
	errStreamTimeout     = eris.New("the target sent no event within the stream timeout")
	errAttemptTimeout    = eris.New("the target did not respond within the timeout of the attempt")
)

// attempt sends the request to the target that the reducer chose in decision and forwards the
// target's response to the caller.
func (c *call) attempt(ctx context.Context, decision dispatch.Effect) relay.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.cancelAttempt = cancel
	c.via = ""
	ctx = traceRelay(ctx, &c.via)
	stop := c.limitAttempt(cancel)
	sent := time.Now()
	resp, err := c.gateway.transport.RoundTrip(c.newRequest(ctx, decision, nil))
	stop()
	if err != nil {
		return failedResult(ctx, err)
	}
	defer resp.Body.Close()
	c.framing = framingOf(resp)
	reply := c.parseResponse(resp, decision, sent, c.via)
	switch {
	case reply.NotExecuted:
		return relay.Result{
			Ending: relay.EndFailed, Certainty: target.CertaintyNotRun, TargetFailed: true, RetryAfter: reply.RetryAfter,
			Cause: eris.Errorf("the target refused the request without executing it: status %d", resp.StatusCode),
		}
	case reply.ID != "" && reply.ID != c.info.ID:
		return failedResult(ctx, errRequestIDMismatch)
	case resp.StatusCode < 300 && !reply.HasProof:
		return failedResult(ctx, errNoProof)
	case resp.Header.Get("Content-Encoding") != "":
		return failedResult(ctx, errContentEncoding)
	}
	if isEventStream(resp) && resp.StatusCode < 300 {
		return c.stream(ctx, decision, resp)
	}
	return c.forwardBuffered(ctx, resp)
}

// traceRelay returns a context for one request that sets via to the host through which its connection goes, if not
// directly.
func traceRelay(ctx context.Context, via *string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if d, ok := info.Conn.(*detour.Conn); ok {
			*via = d.Via
		}
	}})
}

// parseResponse parses the status and headers of a target's response to a request that was sent at the
// given time, through the host via if not directly, and passes on what the response says about the target: that it
// leaves or asks for rest, and its limit.
func (c *call) parseResponse(resp *http.Response, decision dispatch.Effect, sent time.Time, via string) ResponseInfo {
	reply := c.gateway.dialect.ParseResponse(resp.StatusCode, resp.Header)
	c.limit = reply.Limit
	if reply.StatusError != nil {
		c.gateway.host.Log().Emit(event.TargetLimited, event.Fields{Request: c.info.ID, Target: decision.Target, Detail: reply.StatusError.Error()})
	}
	if reply.Leaving && (reply.ID == "" || reply.ID == c.info.ID) {
		c.hostRequest.LeavingRead(decision.Target)
	}
	if reply.NotExecuted && reply.RetryAfter > 0 {
		c.hostRequest.RestAsked(decision.To, reply.RetryAfter, via)
	}
	if reply.Brittle != nil && (reply.Brittle.Named || decision.Brittle) && (reply.ID == "" || reply.ID == c.info.ID) {
		c.hostRequest.BrittleRead(dispatch.BrittleRead{Target: decision.Target, Reading: *reply.Brittle, Sent: sent, Received: time.Now()})
	}
	if reply.Limit == nil || reply.ID != "" && reply.ID != c.info.ID {
		return reply
	}
	// Without a limit before, a response without one is no news.
	if reply.Limit.Named || decision.Limit.Record.Named {
		c.hostRequest.LimitRead(dispatch.LimitRead{Target: decision.Target, Reading: *reply.Limit, Sent: sent, Received: time.Now()})
	}
	return reply
}

// limitAttempt sets a timer that cancels an attempt of an idempotent request if the target
// sends no response headers within a fraction of the time until the deadline, or within twice
// the route's first-byte objective if that is longer. The rest of the time is left for an
// attempt at another target. The last attempt that the route allows has no such limit.
// The returned function stops the timer.
func (c *call) limitAttempt(cancel context.CancelCauseFunc) func() {
	if c.route.Kind != route.Idempotent || c.attemptCount >= c.route.MaxAttempts {
		return func() {}
	}
	limit := max(2*c.route.FirstByteObjective, time.Until(c.deadline)/attemptTimeoutDivisor)
	t := time.AfterFunc(limit, func() { cancel(errAttemptTimeout) })
	return func() { t.Stop() }
}

// failedResult returns the result of an attempt that failed with err. If the attempt's context
// was cancelled with a cause other than context.Canceled, the result carries that cause instead
// of err.
func failedResult(ctx context.Context, err error) relay.Result {
	r := relay.Result{Ending: relay.EndFailed, Cause: err}
	if target.Unsent(err) {
		r.Certainty, r.Unsent = target.CertaintyNotRun, true
	} else {
		r.TargetEnded = endedByTarget(err)
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		r.Cause = cause
	}
	return r
}

// endedByTarget reports whether err shows that the target ended the connection.
func endedByTarget(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errCutOff} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// newRequest returns the request to the target that the reducer chose in decision. The request
// is the caller's, byte for byte, except for hop-by-hop headers, Expect and the headers that
// the dialect sets. If point is not nil, the target resumes a generation there.
func (c *call) newRequest(ctx context.Context, decision dispatch.Effect, point *ResumePoint) *http.Request {
	header := target.EndToEndHeader(c.r.Header)
	header.Del("Expect")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // stops net/http from adding its default
	}
	o := ForwardInfo{
		Timeout:      max(time.Until(c.deadline), time.Millisecond),
		Target:       decision.Target,
		Organisation: c.organisation,
		Priority:     decision.Priority,
		ResumePoint:  point,
	}
	if decision.Backup.Name != "" {
		o.Backup = decision.Backup.Address
	}
	if c.route.AllowAnonymous {
		o.Organisation = ""
	}
	c.gateway.dialect.SetHeaders(header, o)
	req := (&http.Request{
		Method: c.r.Method,
		URL:    &url.URL{Scheme: "http", Host: decision.To.Address.String(), Opaque: requestURI(c.r)},
		Host:   c.r.Host,
		Header: header,
	}).WithContext(ctx)
	if n := len(c.body.data); n > 0 {
		// The wrapper hides the reader's type, so that net/http cannot rewind the body and
		// resend the request on its own.
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(c.body.data)})
		req.ContentLength = int64(n)
	}
	return req
}

// requestURI returns the path and query of the request, escaped as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the request line has an absolute URI
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// forwardBuffered reads a response to its end before it forwards it, so that a truncated
// response fails the attempt instead of reaching the caller. A response longer than
// maxBufferedResponse is forwarded as it arrives.
func (c *call) forwardBuffered(ctx context.Context, resp *http.Response) relay.Result {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	if err != nil {
		return failedResult(ctx, eris.Wrap(err, "answer"))
	}
	f := &bufferedResponse{resp.StatusCode, resp.Header, data}
	if len(data) > maxBufferedResponse {
		return c.forwardLong(ctx, resp, f)
	}
	if resp.StatusCode >= 500 && c.route.Kind == route.Idempotent {
		c.failedResponse = f
		return relay.Result{Ending: relay.EndFailed, TargetFailed: true, Cause: eris.Errorf("the target failed with status %d", resp.StatusCode)}
	}
	f.writeTo(c)
	return c.completeResult()
}

// writeTo sends the buffered response to the caller of c with the target's status and body.
func (f *bufferedResponse) writeTo(c *call) {
	c.copyHeader(f.header)
	if c.r.Method != http.MethodHead && bodyAllowed(f.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(f.data)))
	}
	c.writeHeader(f.status)
	n, _ := c.w.Write(f.data) // an error means that the caller has disconnected
	c.bodyBytes += int64(n)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// forwardLong forwards a response that is longer than maxBufferedResponse: first the bytes in f,
// then the rest of the body as it arrives.
func (c *call) forwardLong(ctx context.Context, resp *http.Response, f *bufferedResponse) relay.Result {
	c.copyHeader(f.header)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.writeHeader(f.status)
	n, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(f.data), resp.Body))
	c.bodyBytes += n
	if err != nil {
		r := failedResult(ctx, eris.Wrap(err, "answer"))
		r.DeliveredTokens = 1 // the caller has received part of the response
		return r
	}
	return c.completeResult()
}

// copyHeader copies the end-to-end headers of a target's response to the response for the
// caller, except Content-Length. If the target sent no Date or Content-Type, copyHeader stops
// net/http from adding one.
func (c *call) copyHeader(header http.Header) {
	h := c.w.Header()
	for name, values := range target.EndToEndHeader(header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			h[name] = nil
		}
	}
	h.Del("Content-Length")
}

// writeHeader sends the status and headers to the caller and records the status and the time to
// the first byte.
func (c *call) writeHeader(status int) {
	c.written, c.status = true, status
	c.firstByte = time.Since(c.started)
	c.w.WriteHeader(status)
}
