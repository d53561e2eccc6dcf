package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/target"
)

// failure is a target's own failure, kept while another target is tried.
type failure struct {
	status int
	header http.Header
	data   []byte
}

var (
	errOtherAnswer = eris.New("the answer belongs to another request")
	errUnproved    = eris.New("the answer bears no proof of its target")
	errEncoded     = eris.New("the answer is encoded, which nobody asked for")
	errSilent      = eris.New("the target is silent for longer than callers wait")
	errSlow        = eris.New("the target has not answered in its part of the time")
)

// attempt sends the request to a target and passes its answer on.
func (c *call) attempt(ctx context.Context, v dispatch.Effect) relay.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.abandon = cancel
	stop := c.boundTry(cancel)
	resp, err := c.gateway.send.RoundTrip(c.order(ctx, v, nil))
	stop()
	if err != nil {
		return failed(ctx, err)
	}
	defer resp.Body.Close()
	reply := c.gateway.dialect.Reply(resp.StatusCode, resp.Header)
	switch {
	case reply.NotRun:
		return relay.Result{
			Ending: relay.EndFailed, Certainty: target.CertainNotRun, Answered: true,
			Cause: eris.Errorf("the target says that it did not run: %d", resp.StatusCode),
		}
	case reply.ID != "" && reply.ID != c.envelope.ID:
		return failed(ctx, errOtherAnswer)
	case resp.StatusCode < 300 && !reply.Proved:
		return failed(ctx, errUnproved)
	case resp.Header.Get("Content-Encoding") != "":
		return failed(ctx, errEncoded)
	}
	if isEvents(resp) && resp.StatusCode < 300 {
		return c.stream(ctx, v, resp)
	}
	return c.whole(ctx, resp)
}

// boundTry gives an idempotent request's target a part of the time, if another could be
// tried after it. The result ends the bound.
func (c *call) boundTry(cancel context.CancelCauseFunc) func() {
	if c.route.Kind != route.Idempotent || c.attempts >= c.route.Attempts {
		return func() {}
	}
	part := max(2*c.route.Aim, time.Until(c.deadline)/firstTryPart)
	t := time.AfterFunc(part, func() { cancel(errSlow) })
	return func() { t.Stop() }
}

// failed describes a failed attempt to the reducer.
func failed(ctx context.Context, err error) relay.Result {
	r := relay.Result{Ending: relay.EndFailed, Cause: err}
	if target.Unsent(err) {
		r.Certainty, r.Unsent = target.CertainNotRun, true
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		r.Cause = cause
	}
	return r
}

// order returns the request for a target, the caller's own bytes but for what concerns
// one connection and what the dialect sets.
func (c *call) order(ctx context.Context, v dispatch.Effect, from *Copy) *http.Request {
	header := target.PassHeader(c.r.Header)
	header.Del("Expect")
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	o := Order{
		Within:       max(time.Until(c.deadline), time.Millisecond),
		Target:       v.Target,
		Organisation: c.organisation,
		Priority:     v.Priority,
		Copy:         from,
	}
	if v.Backup.Name != "" {
		o.Backup = v.Backup.Address
	}
	if c.route.Open {
		o.Organisation = ""
	}
	c.gateway.dialect.Order(header, o)
	req := (&http.Request{
		Method: c.r.Method,
		URL:    &url.URL{Scheme: "http", Host: v.To.Address.String(), Opaque: opaque(c.r)},
		Host:   c.r.Host,
		Header: header,
	}).WithContext(ctx)
	if n := len(c.body.data); n > 0 {
		// The reader is not one that net/http knows to rewind: it sends nothing twice.
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(c.body.data)})
		req.ContentLength = int64(n)
	}
	return req
}

// opaque returns the path and query as they came.
func opaque(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the absolute form
}

func isEvents(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// whole passes an answer on once it has ended, so that one that breaks off is not
// mistaken for whole. A very long one is passed on as it comes.
func (c *call) whole(ctx context.Context, resp *http.Response) relay.Result {
	data, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer+1))
	if err != nil {
		return failed(ctx, eris.Wrap(err, "answer"))
	}
	f := &failure{resp.StatusCode, resp.Header, data}
	if len(data) > wholeAnswer {
		return c.rest(ctx, resp, f)
	}
	if resp.StatusCode >= 500 && c.route.Kind == route.Idempotent {
		c.failure = f
		return relay.Result{Ending: relay.EndFailed, Answered: true, Cause: eris.Errorf("the target answered %d", resp.StatusCode)}
	}
	f.pass(c)
	return c.ended()
}

// pass writes a target's answer as it is.
func (f *failure) pass(c *call) {
	c.head(f.header)
	if c.r.Method != http.MethodHead && bodyAllowed(f.status) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(f.data)))
	}
	c.begin(f.status)
	n, _ := c.w.Write(f.data) // a caller that is gone cannot be told
	c.bytes += int64(n)
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// rest passes on an answer too long to be held.
func (c *call) rest(ctx context.Context, resp *http.Response, f *failure) relay.Result {
	c.head(f.header)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.begin(f.status)
	n, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(f.data), resp.Body))
	c.bytes += n
	if err != nil {
		r := failed(ctx, eris.Wrap(err, "answer"))
		r.Delivered = 1
		return r
	}
	return c.ended()
}

// head copies the headers of a target's answer, and keeps net/http from adding any.
func (c *call) head(header http.Header) {
	h := c.w.Header()
	for name, values := range target.PassHeader(header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, named := header[name]; !named {
			h[name] = nil
		}
	}
	h.Del("Content-Length")
}

// begin sends the head.
func (c *call) begin(status int) {
	c.written, c.status = true, status
	c.first = time.Since(c.began)
	c.w.WriteHeader(status)
}
