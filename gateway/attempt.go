package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/budget"
	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// attempt is one attempt of a call at a target, with all that its response leaves behind. The next
	// attempt begins with a new one; what the caller has already been sent belongs to the call.
	attempt struct {
		*call
		cancel          context.CancelCauseFunc // aborts the attempt
		cancelRedundant context.CancelCauseFunc // aborts the attempt in favour of another one; see claim
		number          int                     // among the attempts of the call, from 1
		took            time.Duration           // from the sending of the request to the complete response; 0 if that was not read before it was forwarded
		failed          *bufferedResponse       // 5xx response, which is not forwarded if another target succeeds
		target          string                  // name of the target, after a move that of the engine which serves the stream
		via             string                  // host through which the target was connected; empty if directly
		framing         framing                 // of the latest response
		limit           *limit.Reading          // of the latest response; nil if that says nothing
		events          eventSplitter           // of the stream
		lastEvent       atomic.Int64            // identifier of the last event forwarded to the caller
		lastArrival     time.Time               // arrival of the last event
		longestGap      time.Duration           // longest time between two consecutive events
		longestMove     time.Duration           // longest time between two consecutive events across a move
		gapMoves        int                     // value of moveCount at the latest event
		callerWait      time.Duration           // time in writes to the caller
		moveCount       int                     // completed moves of the stream to another engine
		deferred        deferredStart           // of the stream
		undeliverable   bool                    // an event is missing, or a write to the caller failed
		placement       placement
	}

	// bufferedResponse is a target's response held in memory: the whole response, or its first
	// maxBufferedResponse+1 bytes if it is longer.
	bufferedResponse struct {
		status int
		header http.Header
		data   []byte // body
	}

	// delivered writes the body of the response to a call's caller.
	delivered struct{ *call }
)

var (
	errRequestIDMismatch = eris.New("the response carries the identifier of another request")
	errRequestURI        = eris.New("the request line has no path that can be forwarded unchanged")
	errStatus            = eris.New("the response has a status that is not that of a final response")
	errUnprovenRefusal   = eris.New("the response has a status of requests that were not executed, and no mark that this one was not")
	errNoProof           = eris.New("the response carries no proof of its target")
	errContentEncoding   = eris.New("the response has a Content-Encoding that was not requested")
	errStreamTimeout     = eris.New("the target sent no event within the stream timeout")
	errAttemptTimeout    = eris.New("the target did not respond within the timeout of the attempt")
)

// newAttempt returns the next attempt of the call, at the named target.
func (c *call) newAttempt(name string) *attempt {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.phase, c.state.dispatched = phaseRunning, time.Now()
	c.attemptCount++
	c.latest = &attempt{call: c, target: name, number: c.attemptCount}
	return c.latest
}

// run makes the attempt, and reports whether a failed one was made over a path that is lost.
func (a *attempt) run(ctx context.Context, decision dispatch.Effect) relay.Result {
	r := a.send(ctx, decision)
	r.PathLost = r.Ending == relay.EndFailed && !r.Unsent && !r.TargetFailed && a.via == "" && a.gateway.host.PathLost(decision.To)
	return r
}

// send sends the request to the target that the reducer chose in decision and forwards the
// target's response to the caller.
func (a *attempt) send(ctx context.Context, decision dispatch.Effect) relay.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.cancel = cancel
	a.deferred.limit = decision.Stop // no other goroutine has the attempt yet
	ctx = traceRelay(ctx, a.setPath)
	stop := a.limitDuration()
	sent := time.Now()
	if err := a.withhold(decision.To); err != nil {
		stop()
		return relay.Result{Ending: relay.EndFailed, Certainty: target.CertaintyNotRun, Unsent: true, Cause: err}
	}
	resp, err := a.gateway.transport.RoundTrip(a.newRequest(ctx, decision, nil))
	stop()
	if err != nil {
		return failedResult(ctx, err)
	}
	defer resp.Body.Close()
	a.framing = framingOf(resp)
	if !network.IsFinalStatus(resp.StatusCode) {
		return failedResult(ctx, eris.Wrap(errStatus, resp.Status))
	}
	reply := a.parseResponse(resp, decision, sent, a.via)
	switch {
	case reply.NotExecuted:
		return relay.Result{
			Ending: relay.EndFailed, Certainty: target.CertaintyNotRun, TargetFailed: true, RetryAfter: reply.RetryAfter,
			Cause: eris.Errorf("the target refused the request without executing it: status %d", resp.StatusCode),
		}
	case reply.ID != "" && reply.ID != a.info.ID:
		return failedResult(ctx, errRequestIDMismatch)
	case reply.MeansNotRun:
		// The caller would take it as a promise, and send again what must not be executed twice.
		return relay.Result{Ending: relay.EndFailed, TargetFailed: true, Cause: eris.Wrap(errUnprovenRefusal, resp.Status)}
	case resp.StatusCode < 300 && !reply.HasProof:
		return failedResult(ctx, errNoProof)
	case isEncoded(resp):
		return failedResult(ctx, errContentEncoding)
	}
	if isEventStream(resp) && resp.StatusCode < 300 {
		if !a.claim() {
			return redundantResult()
		}
		return a.stream(ctx, decision, resp)
	}
	return a.forwardBuffered(ctx, resp, sent)
}

// traceRelay returns a context for one request that calls setPath with the connection to its target, if that goes through another
// host.
func traceRelay(ctx context.Context, setPath func(*detour.Conn)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := info.Conn
		if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = inner.NetConn()
		}
		if d, ok := c.(*detour.Conn); ok {
			setPath(d)
		}
	}})
}

// parseResponse parses the status and headers of a target's response to a request that was sent at the
// given time, through the host via if not directly, and passes on what the response says about the target: that it
// leaves or asks for rest, and its limit.
func (a *attempt) parseResponse(resp *http.Response, decision dispatch.Effect, sent time.Time, via string) ResponseInfo {
	reply := a.gateway.dialect.ParseResponse(resp.StatusCode, resp.Header)
	if reply.ID != "" && reply.ID != a.info.ID {
		reply.NotExecuted = false // the mark is that of another request
	}
	a.limit = reply.Limit
	if reply.StatusError != nil {
		a.gateway.host.Log().Emit(event.TargetLimited, event.Fields{Request: a.info.ID, Target: decision.Target, Detail: reply.StatusError.Error()})
	}
	if reply.Leaving && (reply.ID == "" || reply.ID == a.info.ID) {
		a.hostRequest.LeavingRead(decision.Target)
	}
	if reply.NotExecuted && reply.RetryAfter > 0 {
		a.hostRequest.RestAsked(decision.To, reply.RetryAfter, via)
	}
	if reply.Brittle != nil && (reply.Brittle.Named || decision.Brittle) && (reply.ID == "" || reply.ID == a.info.ID) {
		a.hostRequest.BrittleRead(dispatch.BrittleRead{Target: decision.Target, Reading: *reply.Brittle, Sent: sent, Received: time.Now()})
	}
	if reply.Limit == nil || reply.ID != "" && reply.ID != a.info.ID {
		return reply
	}
	// Without a limit before, a response without one is no news.
	if reply.Limit.Named || decision.Limit.Record.Named {
		a.hostRequest.LimitRead(dispatch.LimitRead{Target: decision.Target, Reading: *reply.Limit, Sent: sent, Received: time.Now()})
	}
	return reply
}

// limitDuration sets a timer that cancels the attempt of an idempotent request if the target
// sends no response headers within a fraction of the time until the deadline, or within twice
// the route's first-byte objective if that is longer. The rest of the time is left for an
// attempt at another target. The last attempt that the route allows has no such limit.
// The returned function stops the timer.
func (a *attempt) limitDuration() func() {
	if a.route.Kind != route.Idempotent || a.number >= a.route.MaxAttempts {
		return func() {}
	}
	limit := max(2*a.route.FirstByteObjective, time.Until(a.deadline)/attemptTimeoutDivisor)
	t := time.AfterFunc(limit, func() { a.cancel(errAttemptTimeout) })
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
	to := urlOf(c.uri)
	to.Scheme, to.Host = "http", decision.To.Address.String()
	req := (&http.Request{
		Method: c.r.Method,
		URL:    to,
		Host:   c.r.Host,
		Header: header,
	}).WithContext(detour.WithNeeded(ctx, c.needed(decision)))
	if n := len(c.body.data); n > 0 {
		// The wrapper hides the reader's type, so that net/http cannot rewind the body and
		// resend the request on its own.
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(c.body.data)})
		req.ContentLength = int64(n)
	}
	return req
}

// needed returns the time for which the connection of an attempt may be in use, or 0 if nothing is known of it: for a
// call or a stream until its usual end, or until the deadline if its output has no limit. For a stream it is never 0, which stands for a
// connection to an engine that carries no request.
func (c *call) needed(decision dispatch.Effect) time.Duration {
	left := max(time.Until(c.deadline), time.Millisecond)
	switch {
	case decision.Run > 0:
		return min(left, decision.Run)
	case !c.plainService && c.info.MaxOutputTokens == 0:
		return left
	case !c.plainService:
		return time.Millisecond // a resumed stream that is to go on through any host
	}
	return 0
}

// requestURI returns the path and query of the request, escaped as the caller sent them, from a request
// line with a path or an absolute URI. It reports false if the request cannot be forwarded with them.
func requestURI(r *http.Request) (string, bool) {
	text := r.RequestURI
	if !strings.HasPrefix(text, "/") {
		_, rest, absolute := strings.Cut(text, "://")
		if !absolute {
			return "", false // an asterisk, or the authority of a tunnel
		}
		text = rest[min(len(rest), strings.IndexAny(rest+"/", "/?")):]
		if !strings.HasPrefix(text, "/") {
			text = "/" + text
		}
	}
	return text, urlOf(text).RequestURI() == text
}

// urlOf returns a URL without scheme and host for a path and query. net/http sends the opaque part of a URL
// unchanged, but takes one that begins with two slashes for a host and a path.
func urlOf(text string) *url.URL {
	if !strings.HasPrefix(text, "//") {
		return &url.URL{Opaque: text}
	}
	raw, query, hasQuery := strings.Cut(text, "?")
	// A path that cannot be decoded differs from its raw form, which requestURI reports.
	path, _ := url.PathUnescape(raw)
	return &url.URL{Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery && query == ""}
}

// isEncoded reports whether a response has an encoded body, which no request asks for.
func isEncoded(resp *http.Response) bool { return resp.Header.Get("Content-Encoding") != "" }

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// forwardBuffered reads a response to its end before it forwards it, so that a truncated
// response fails the attempt instead of reaching the caller. A response longer than
// maxBufferedResponse, or than the host's memory budget allows, is forwarded as its caller takes it. The request was sent at the given
// time.
func (a *attempt) forwardBuffered(ctx context.Context, resp *http.Response, sent time.Time) relay.Result {
	data, whole, err := a.readBuffered(resp)
	if err != nil {
		return failedResult(ctx, err)
	}
	f := &bufferedResponse{resp.StatusCode, resp.Header, data}
	if !whole {
		return a.forwardLong(ctx, resp, f)
	}
	if resp.StatusCode >= 500 && a.route.Kind == route.Idempotent {
		a.failed = f
		return relay.Result{Ending: relay.EndFailed, TargetFailed: true, Cause: eris.Errorf("the target failed with status %d", resp.StatusCode)}
	}
	a.took = time.Since(sent)
	if !a.claim() {
		return redundantResult()
	}
	f.writeTo(a.call)
	return a.completeResult()
}

// writeTo sends the buffered response to the caller of c with the target's status and body.
func (f *bufferedResponse) writeTo(c *call) {
	c.copyHeader(f.header)
	if c.r.Method != http.MethodHead && bodyAllowed(f.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(f.data)))
	}
	c.writeHeader(f.status)
	c.account.Unsettle(budget.Answer, int64(cap(f.data)), time.Now())
	_, _ = delivered{c}.Write(f.data) // which records an error
}

// Write sends a part of the body to the caller, counts its bytes and records an error.
func (d delivered) Write(b []byte) (int, error) {
	n, err := d.w.Write(b)
	d.bodyBytes.Add(int64(n))
	if err != nil {
		d.recordWriteError(err)
	}
	return n, err
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// forwardLong forwards a response that is longer than maxBufferedResponse: first the bytes in f,
// then the rest of the body as it arrives.
func (a *attempt) forwardLong(ctx context.Context, resp *http.Response, f *bufferedResponse) relay.Result {
	if !a.claim() {
		return redundantResult()
	}
	a.copyHeader(f.header)
	if resp.ContentLength >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	a.writeHeader(f.status)
	if err := a.copyRest(f, resp.Body); err != nil {
		r := failedResult(ctx, eris.Wrap(err, "answer"))
		r.DeliveredTokens = 1 // the caller has received part of the response
		return r
	}
	return a.completeResult()
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
	c.written.Store(true)
	c.status = status
	c.firstByte = time.Since(c.started)
	c.w.WriteHeader(status)
}

// completeResult returns the result of an attempt whose response is complete.
func (a *attempt) completeResult() relay.Result {
	r := relay.Result{Ending: relay.EndComplete, DeliveredTokens: a.events.eventCount * a.tokensPerEvent}
	r.Usage.Prompt, r.Usage.Output = a.info.PromptTokens, a.events.eventCount*a.tokensPerEvent
	r.LongestPause = a.longestGap
	return r
}
