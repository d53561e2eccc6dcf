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
	"github.com/wigeonlink/wigeonlink/budget"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/table"
)

// call is the state of one caller's request while the gateway forwards it.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	account *budget.Account // of the caller's connection

	info           RequestInfo
	uri            string // path and query of the request, as the caller sent them
	route          *route.Route
	organisation   string
	tableVersion   uint64 // version of the table that routed the request
	pool           string // pool of targets that serves the request
	plainService   bool   // the pool is a plain service, not a model
	tokensPerEvent int    // tokens in one stream event of the model; 0 for a plain service
	body           *body
	digest         uint64    // see requestDigest; 0 until the body has been read
	deadline       time.Time // the caller waits for the response until then
	hostRequest    *host.Request
	failedResponse *bufferedResponse // last 5xx response, forwarded if no other target succeeds

	attemptCount int                     // attempts started
	latest       *attempt                // latest attempt; one without a target before the first
	status       int                     // HTTP status sent to the caller
	firstByte    time.Duration           // from started to the first response byte
	bodyBytes    atomic.Int64            // body bytes sent to the caller
	written      atomic.Bool             // the response headers are being sent, or have been
	failedWrite  error                   // of the first failed write to the caller
	endAttempts  context.CancelCauseFunc // ends the attempts in flight
	state        callPhase
	concurrent   concurrentAttempts
}

// serve admits the request, reads its body and forwards it to a target. It returns an error if
// the response to the caller is incomplete or was not sent.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		return err
	}
	c.enter(phaseBody)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	ctx, c.endAttempts = context.WithCancelCause(ctx)
	defer c.endAttempts(nil)
	var err error
	c.body, err = c.readBody()
	defer c.body.release()
	if err != nil {
		return err
	}
	c.account.Settle()
	if !c.account.Begin(time.Now()) {
		return answer.New(answer.KindBusy, "")
	}
	defer c.account.End()
	c.digest = requestDigest(c.r.Method, c.uri, c.body.data)
	c.hostRequest = c.gateway.host.SubmitAs(c.info.ID, c.submission())
	defer c.hostRequest.Release()
	c.enter(phaseHeld)
	return c.run(ctx)
}

// admit parses the headers of the request, finds its route, authenticates the caller's
// organisation and determines the deadline and the pool. It returns an error if the host has no
// table or no targets yet, or if the request is invalid.
func (c *call) admit() error {
	t := c.gateway.host.Table()
	if t == nil || !c.gateway.host.HasTargets() {
		return answer.New(answer.KindNotReady, "")
	}
	c.tableVersion = t.Version
	var err error
	c.info, err = c.gateway.dialect.ParseRequest(c.r.Header)
	var forwardable bool
	c.uri, forwardable = requestURI(c.r)
	path, _, _ := strings.Cut(c.uri, "?")
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
	if !forwardable {
		return answer.Wrap(answer.KindBadRequest, errRequestURI, "")
	}
	c.setDeadline()
	c.pool = c.route.PickPool(xxhash.Sum64String(c.info.ID))
	if _, c.plainService = t.Services[c.pool]; !c.plainService {
		c.tokensPerEvent = max(t.Models[c.pool].Engine.TokensPerEvent, 1)
	}
	return nil
}

// setDeadline sets the deadline from the shorter of the caller's and the route's timeout. A
// caller that set no timeout gets defaultTimeout.
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

// maxBody returns the largest accepted request body in bytes.
func (g *Gateway) maxBody() int64 {
	if t := g.host.Table(); t != nil && t.CallerLimits.MaxBodyBytes > 0 {
		return int64(t.CallerLimits.MaxBodyBytes)
	}
	return defaultMaxBody
}

// submission returns the reducer event that submits the request. The shareable prefix of the
// prompt is all its parts but the last.
func (c *call) submission() dispatch.Submit {
	s := dispatch.Submit{
		Organisation:        c.organisation,
		Pool:                c.pool,
		Plain:               c.plainService,
		NonIdempotent:       c.route.Kind != route.Idempotent,
		Route:               c.lengthClass(),
		PromptTokens:        c.info.PromptTokens,
		MaxOutputTokens:     c.info.MaxOutputTokens,
		MaxAttempts:         max(c.route.MaxAttempts, 1),
		FirstTokenObjective: c.route.FirstByteObjective,
		PauseObjective:      c.route.GapObjective,
		DispatchDeadline:    c.dispatchDeadline(),
		CallerDeadline:      c.deadline,
	}
	if n := len(c.info.PromptParts); n > 0 {
		s.Subject = c.info.PromptParts[n-1].ID
	}
	if n := len(c.info.PromptParts); n > 1 {
		h := fnv.New64a()
		s.Parts = make([]quarantine.Part, 0, n+1)
		for _, p := range c.info.PromptParts[:n-1] {
			s.Parts = append(s.Parts, quarantine.Part{Pool: c.pool, ID: p.ID})
			s.PrefixTokens += p.Tokens
			_, _ = h.Write(strconv.AppendUint(nil, p.ID, 16)) // a hash returns no error
		}
		s.PrefixHash = h.Sum64()
	}
	whole := quarantine.Part{Pool: c.pool, ID: c.digest, Organisation: c.organisation}
	s.Parts = append(s.Parts, whole)
	if len(c.info.PromptParts) > 0 {
		whole.ID = promptDigest(c.digest, c.info.PromptParts)
		s.Parts = append(s.Parts, whole)
	}
	return s
}

// dispatchDeadline returns the time by which the request, whose body has arrived, must be dispatched: a
// fraction of the time that is left until its deadline. The caller of a stream leaves earlier if no event
// arrives, so that a later dispatch would be in vain.
func (c *call) dispatchDeadline() time.Time {
	now := time.Now()
	limit := c.deadline.Sub(now) / dispatchDeadlineDivisor
	if !c.plainService {
		limit = min(limit, time.Duration(firstEventFraction*float64(c.streamPatience())))
	}
	return now.Add(limit)
}

// lengthClass returns the key under which the output length of the request is forecast. Requests
// share a key if they have the same route and the output lengths that their callers expect lie
// between the same two powers of two.
func (c *call) lengthClass() string {
	if c.info.ExpectedOutputTokens <= 0 {
		return c.route.Name
	}
	return c.route.Name + "/" + strconv.Itoa(bits.Len(uint(c.info.ExpectedOutputTokens)))
}

// run makes attempts, each at the target that the reducer chooses, until one completes the
// response, the reducer refuses another or the caller disconnects.
func (c *call) run(ctx context.Context) error {
	for {
		decision, err := c.hostRequest.WaitDecision(c.r.Context())
		if err != nil {
			return c.finalError(err)
		}
		if ended, err := c.makeAttempts(ctx, decision); ended {
			return err
		}
		c.enter(phaseHeld)
	}
}

// finalError handles a request that the reducer has refused with err. If a target responded with
// a 5xx status and nothing has been sent to the caller, it forwards that response and returns
// nil. Otherwise it returns the error for the caller: KindTimeout in place of
// KindUnknownOutcome if the deadline has passed.
func (c *call) finalError(err error) error {
	e := answer.From(err)
	if c.failedResponse != nil && !c.written.Load() && e.Kind != answer.KindCallerGone {
		c.failedResponse.writeTo(c)
		return nil
	}
	if !time.Now().Before(c.deadline) && e.Kind == answer.KindUnknownOutcome {
		return answer.New(answer.KindTimeout, "")
	}
	return e
}

// writeError sends e to the caller as the response. Retry-After is set only if the request did
// not run.
func (c *call) writeError(e *answer.Error) {
	row := e.Kind.Properties()
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(answer.HeaderOutcome, row.Outcome.String())
	if row.Outcome == answer.OutcomeNotRun && e.RetryAfter() > 0 {
		h.Set("Retry-After", strconv.FormatFloat(c.retryAfter(e).Seconds(), 'f', 3, 64))
	}
	c.status = row.Status
	c.w.WriteHeader(row.Status)
	// A failed write means that the caller has disconnected; recordEnd has logged the error.
	_ = json.NewEncoder(c.w).Encode(answer.BodyOf(e))
}

// retryAfter returns the delay for the Retry-After header: the delay of e, at most a fraction of
// the time until the deadline and at least minRetryAfter. While the request or a part of its prompt is
// quarantined, an earlier retry is in vain.
func (c *call) retryAfter(e *answer.Error) time.Duration {
	d := max(e.RetryAfter(), minRetryAfter)
	if c.deadline.IsZero() || e.Kind == answer.KindQuarantined || e.Kind == answer.KindRequestQuarantined {
		return d
	}
	return max(min(d, time.Until(c.deadline)/retryAfterDivisor), minRetryAfter)
}
