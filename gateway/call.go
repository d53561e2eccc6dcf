package gateway

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math/bits"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/table"
)

// call is one caller's request on its way through the gateway.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	began   time.Time

	envelope     Envelope
	route        *route.Route
	organisation string
	version      uint64 // of the table that the request is handled by
	pool         string
	plain        bool
	stride       int // tokens of an event
	body         *body
	deadline     time.Time
	booking      *host.Booking
	failure      *failure // a target's own failure, passed on if there is no better answer

	target   string
	attempts int
	status   int           // that the caller got
	first    time.Duration // until the first byte for the caller
	bytes    int64
	written  bool // whether the caller has got a part of the answer
	events   events
	arrived  time.Time     // when the last event came
	longest  time.Duration // between two events
	moves    int
	refused  bool                    // the caller no longer takes the stream
	abandon  context.CancelCauseFunc // ends the present attempt

	placement placement
	lastEvent atomic.Int64 // identifier of the last event that the caller has
}

// serve answers the request, or returns why it cannot.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	var err error
	c.body, err = readBody(c.r, &c.gateway.bodies, c.gateway.mostBody())
	defer c.body.release()
	if err != nil {
		return err
	}
	c.booking = c.gateway.host.SubmitAs(c.envelope.ID, c.submission())
	defer c.booking.Release()
	return c.run(ctx)
}

// admit finds the route and the organisation, and reads the envelope.
func (c *call) admit() error {
	t := c.gateway.host.Table()
	if t == nil || !c.gateway.host.Listed() {
		return answer.New(answer.KindNotReady, "")
	}
	c.version = t.Version
	var err error
	c.envelope, err = c.gateway.dialect.Request(c.r.Header)
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = t.Routes.Find(c.r.Host, path); c.route == nil {
		return answer.New(answer.KindUnknownRoute, "")
	}
	c.organisation = table.Anonymous
	if !c.route.Open {
		o, ok := t.OrganisationByKey(c.envelope.Key)
		if c.envelope.Key == "" || !ok {
			return answer.New(answer.KindBadKey, "")
		}
		c.organisation = o.Name
	}
	if err != nil {
		return answer.Wrap(answer.KindBadRequest, err, "")
	}
	c.setDeadline()
	c.pool = c.route.Pool(xxhash.Sum64String(c.envelope.ID))
	if _, c.plain = t.Services[c.pool]; !c.plain {
		c.stride = max(t.Models[c.pool].Engine.Stride, 1)
	}
	return nil
}

// setDeadline bounds the request by the caller's patience and the route's timeout.
func (c *call) setDeadline() {
	within := c.envelope.Within
	if within <= 0 {
		within = defaultWithin
	}
	if c.route.Timeout > 0 {
		within = min(within, c.route.Timeout)
	}
	c.deadline = c.began.Add(within)
}

func (g *Gateway) mostBody() int64 {
	if t := g.host.Table(); t != nil && t.Callers.Body > 0 {
		return int64(t.Callers.Body)
	}
	return defaultBody
}

// submission describes the request to the reducer.
func (c *call) submission() dispatch.Submit {
	s := dispatch.Submit{
		Organisation: c.organisation,
		Pool:         c.pool,
		Plain:        c.plain,
		Once:         c.route.Kind != route.Idempotent,
		Route:        c.kind(),
		Prompt:       c.envelope.Prompt,
		Limit:        c.envelope.Limit,
		Attempts:     max(c.route.Attempts, 1),
		Deadline:     c.began.Add(time.Until(c.deadline) / startPart),
		End:          c.deadline,
	}
	if n := len(c.envelope.Parts); n > 1 {
		h := fnv.New64a()
		for _, p := range c.envelope.Parts[:n-1] {
			s.Shared += p.Tokens
			_, _ = h.Write(strconv.AppendUint(nil, p.ID, 16)) // a hash takes everything
		}
		s.Prefix = h.Sum64()
	}
	return s
}

// kind names the requests that are taken to have like lengths: those of a route whose
// callers expect about the same.
func (c *call) kind() string {
	if c.envelope.Hint <= 0 {
		return c.route.Name
	}
	return c.route.Name + "/" + strconv.Itoa(bits.Len(uint(c.envelope.Hint)))
}

// run tries targets until the caller has its answer or an error is final.
func (c *call) run(ctx context.Context) error {
	for {
		verdict, err := c.booking.Wait(c.r.Context())
		if err != nil {
			return c.final(err)
		}
		c.attempts++
		c.target = verdict.Target
		res := c.attempt(ctx, verdict)
		if c.r.Context().Err() != nil {
			c.booking.Drop()
			return answer.New(answer.KindCallerGone, "")
		}
		if !c.booking.Ended(res) {
			return nil
		}
	}
}

// final returns the answer to a request that no target has served.
func (c *call) final(err error) error {
	e := answer.From(err)
	if c.failure != nil && !c.written && e.Kind != answer.KindCallerGone {
		c.failure.pass(c)
		return nil
	}
	if !time.Now().Before(c.deadline) && e.Kind == answer.KindUnknownOutcome {
		return answer.New(answer.KindTimeout, "")
	}
	return e
}

// refuse writes an answer of the host's own.
func (c *call) refuse(e *answer.Error) {
	row := e.Kind.Row()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(answer.HeaderOutcome, row.Outcome.String())
	if row.Outcome == answer.NotRun && e.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatFloat(c.retry(e).Seconds(), 'f', 3, 64))
	}
	c.status = row.Status
	c.w.WriteHeader(row.Status)
	// The caller may be gone; the line about the request says what it was told.
	_ = json.NewEncoder(c.w).Encode(answer.BodyOf(e))
}

// retry returns when the caller may come back: within a part of the time that it has.
func (c *call) retry(e *answer.Error) time.Duration {
	d := max(e.RetryAfter(), leastRetry)
	if c.deadline.IsZero() {
		return d
	}
	return max(min(d, time.Until(c.deadline)/retryPart), leastRetry)
}

// ended describes a whole answer to the reducer.
func (c *call) ended() relay.Result {
	r := relay.Result{Ending: relay.EndWhole, Delivered: c.events.whole * c.stride}
	r.Usage.Prompt, r.Usage.Output = c.envelope.Prompt, c.events.whole*c.stride
	return r
}
