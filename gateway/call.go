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

// call is the state of one request that the gateway forwards.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	info           RequestInfo
	route          *route.Route
	organisation   string
	tableVersion   uint64 // version of the table that routed the request
	pool           string
	plainService   bool // the pool is a plain service, not a model
	tokensPerEvent int
	body           *body
	deadline       time.Time
	booking        *host.Request
	targetFailure  *bufferedResponse // last 5xx response, forwarded if no other target succeeds

	target        string
	attempts      int
	status        int           // HTTP status sent to the caller
	firstByte     time.Duration // from started to the first response byte
	bytes         int64
	written       bool // part of the response has been sent
	events        events
	lastArrival   time.Time     // arrival of the last event
	longestGap    time.Duration // longest time between two events
	moves         int
	undeliverable bool                    // the stream cannot be forwarded any further
	cancelAttempt context.CancelCauseFunc // aborts the current attempt

	placement placement
	lastEvent atomic.Int64 // identifier of the last event forwarded
}

// serve forwards the request. It returns an error if the response is incomplete or was not
// sent.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	var err error
	c.body, err = readBody(c.r, &c.gateway.bodyMemory, c.gateway.maxBody())
	defer c.body.release()
	if err != nil {
		return err
	}
	c.booking = c.gateway.host.SubmitAs(c.info.ID, c.submission())
	defer c.booking.Release()
	return c.run(ctx)
}

// admit parses the request's headers, finds its route, authenticates its organisation and sets
// its deadline and pool.
func (c *call) admit() error {
	t := c.gateway.host.Table()
	if t == nil || !c.gateway.host.HasTargets() {
		return answer.New(answer.KindNotReady, "")
	}
	c.tableVersion = t.Version
	var err error
	c.info, err = c.gateway.dialect.ParseRequest(c.r.Header)
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = t.Routes.Find(c.r.Host, path); c.route == nil {
		return answer.New(answer.KindUnknownRoute, "")
	}
	c.organisation = table.Anonymous
	if !c.route.AllowAnonymous {
		o, ok := t.OrganisationByKey(c.info.Key)
		if c.info.Key == "" || !ok {
			return answer.New(answer.KindBadKey, "")
		}
		c.organisation = o.Name
	}
	if err != nil {
		return answer.Wrap(answer.KindBadRequest, err, "")
	}
	c.setDeadline()
	c.pool = c.route.PickPool(xxhash.Sum64String(c.info.ID))
	if _, c.plainService = t.Services[c.pool]; !c.plainService {
		c.tokensPerEvent = max(t.Models[c.pool].Engine.TokensPerEvent, 1)
	}
	return nil
}

// setDeadline sets the deadline from the shorter of the caller's and the route's timeout.
func (c *call) setDeadline() {
	timeout := c.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.started.Add(timeout)
}

func (g *Gateway) maxBody() int64 {
	if t := g.host.Table(); t != nil && t.CallerLimits.BodyBytes > 0 {
		return int64(t.CallerLimits.BodyBytes)
	}
	return defaultMaxBody
}

// submission returns the event that submits the request to the reducer.
func (c *call) submission() dispatch.Submit {
	s := dispatch.Submit{
		Organisation:     c.organisation,
		Pool:             c.pool,
		Plain:            c.plainService,
		NonIdempotent:    c.route.Kind != route.Idempotent,
		Route:            c.lengthClass(),
		PromptTokens:     c.info.PromptTokens,
		MaxOutputTokens:  c.info.MaxOutputTokens,
		MaxAttempts:      max(c.route.MaxAttempts, 1),
		DispatchDeadline: c.started.Add(time.Until(c.deadline) / startDeadlineDivisor),
		CallerDeadline:   c.deadline,
	}
	if n := len(c.info.PromptParts); n > 1 {
		h := fnv.New64a()
		for _, p := range c.info.PromptParts[:n-1] {
			s.PrefixTokens += p.Tokens
			_, _ = h.Write(strconv.AppendUint(nil, p.ID, 16)) // a hash returns no error
		}
		s.PrefixHash = h.Sum64()
	}
	return s
}

// lengthClass returns the class of requests whose output lengths are forecast together:
// requests of one route with expected lengths in the same power-of-two range.
func (c *call) lengthClass() string {
	if c.info.ExpectedOutputTokens <= 0 {
		return c.route.Name
	}
	return c.route.Name + "/" + strconv.Itoa(bits.Len(uint(c.info.ExpectedOutputTokens)))
}

// run dispatches attempts until one succeeds or an error is final.
func (c *call) run(ctx context.Context) error {
	for {
		decision, err := c.booking.Wait(c.r.Context())
		if err != nil {
			return c.finalError(err)
		}
		c.attempts++
		c.target = decision.Target
		res := c.attempt(ctx, decision)
		if c.r.Context().Err() != nil {
			c.booking.Abandon()
			return answer.New(answer.KindCallerGone, "")
		}
		if !c.booking.ReportResult(res) {
			return nil
		}
	}
}

// finalError handles a request that no target has served: it forwards the last 5xx response
// and returns nil, or returns the error for the caller.
func (c *call) finalError(err error) error {
	e := answer.From(err)
	if c.targetFailure != nil && !c.written && e.Kind != answer.KindCallerGone {
		c.targetFailure.writeTo(c)
		return nil
	}
	if !time.Now().Before(c.deadline) && e.Kind == answer.KindUnknownOutcome {
		return answer.New(answer.KindTimeout, "")
	}
	return e
}

// writeError sends an error response of the host itself.
func (c *call) writeError(e *answer.Error) {
	row := e.Kind.Row()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(answer.HeaderOutcome, row.Outcome.String())
	if row.Outcome == answer.NotRun && e.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatFloat(c.retryAfter(e).Seconds(), 'f', 3, 64))
	}
	c.status = row.Status
	c.w.WriteHeader(row.Status)
	// A failed write means that the caller has disconnected; the log has the status.
	_ = json.NewEncoder(c.w).Encode(answer.BodyOf(e))
}

// retryAfter returns the delay for Retry-After, limited to a part of the time until the
// deadline.
func (c *call) retryAfter(e *answer.Error) time.Duration {
	d := max(e.RetryAfter(), minRetryAfter)
	if c.deadline.IsZero() {
		return d
	}
	return max(min(d, time.Until(c.deadline)/retryAfterDivisor), minRetryAfter)
}

// completeResult returns the result of an attempt whose response is complete.
func (c *call) completeResult() relay.Result {
	r := relay.Result{Ending: relay.EndComplete, Delivered: c.events.count * c.tokensPerEvent}
	r.Usage.Prompt, r.Usage.Output = c.info.PromptTokens, c.events.count*c.tokensPerEvent
	return r
}
