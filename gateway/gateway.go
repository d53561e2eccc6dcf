package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// A Gateway is an http.Handler that forwards each request to a target of the pool that
	// the request's route selects.
	Gateway struct {
		host       *host.Host
		dialect    Dialect
		transport  http.RoundTripper
		copier     CacheCopier // nil disables moves of streams
		observer   Observer
		bodyMemory memoryBudget
		inHand     callsInHand
	}

	// An Observer is notified of each finished request, and of the requests in each phase that the end of a stop cuts
	// off, for instance to record metrics.
	Observer interface {
		RequestFinished(RequestStats)
		RequestsCut(phase string, count int)
	}

	// RequestStats holds the result, the durations and the counts of a finished request.
	RequestStats struct {
		Kind       string        // route kind; empty if no route matched
		Status     int           // HTTP status sent to the caller, or that of the error if no response was started
		Code       string        // error code; empty on success
		EndedBy    string        // how the request ended, or which side ended its connection
		FirstByte  time.Duration // from the request's start to the first response byte
		Duration   time.Duration // from the request's start to its end
		LongestGap time.Duration // longest time between two consecutive events of a stream
		EventCount int           // number of stream events forwarded
		MoveCount  int           // number of moves of the stream to another engine
	}

	// An Option configures a Gateway.
	Option interface{ apply(*Gateway) }

	withBodyMemory  int64
	withTransport   struct{ transport http.RoundTripper }
	withCacheCopier struct{ copier CacheCopier }

	withObserver struct{ observer Observer }

	noObserver struct{}
)

// Limits of the head of a caller's request.
const (
	// MaxHeaderLines is more than fit in a head of 16 KiB, as the shortest line has 4 bytes. How many lines a host accepts from all clients
	// together depends on its memory.
	MaxHeaderLines = 4096

	// MaxEmptyBytes is for the empty lines that some clients send after a body.
	MaxEmptyBytes = 64
)

const (
	defaultMaxBody          = 1 << 20 // largest request body in bytes
	defaultIdleTimeout      = 2 * time.Minute
	defaultTimeout          = time.Minute           // of a request whose caller set no timeout
	writeTimeout            = 10 * time.Second      // limit on one write to a caller
	minRetryAfter           = 50 * time.Millisecond // shortest Retry-After; sooner retries only add load
	retryAfterDivisor       = 4                     // Retry-After is at most the time until the deadline divided by this
	firstEventFraction      = 0.75                  // part of the caller's patience within which a stream must be dispatched; the rest is for its prompt
	dispatchDeadlineDivisor = 3                     // the request must be dispatched within the time until its deadline divided by this
	attemptTimeoutDivisor   = 3                     // an attempt of an idempotent request, except the last, gets the time until the deadline divided by this; see limitDuration
	minStreamPatience       = 2 * time.Second       // lower bound of the time that callers wait for an event, see streamPatience
	patienceFirstByteFactor = 4                     // callers wait for at least the route's first-byte objective times this
	patienceGapFactor       = 8                     // callers wait for at least the route's gap objective times this
	callerEndDelay          = time.Second           // time within which the end of a caller's connection reaches the host
	maxBufferedResponse     = 1 << 20               // bytes; a longer response is forwarded before it has been read to its end
	minCallerWait           = 20 * time.Millisecond // of all writes of a stream; less is that of a caller that reads at once
	readBufferSize          = 16 << 10              // bytes
	defaultBodyMemory       = 32 << 20              // bytes of all request bodies held at once
)

// WithBodyMemory limits the memory for request bodies, in bytes over all requests. A request
// above the limit is refused with KindBusy.
func WithBodyMemory(bytes int64) Option { return withBodyMemory(bytes) }

// WithTransport sets the transport for requests to targets. It must not retry requests on its own.
func WithTransport(t http.RoundTripper) Option { return withTransport{t} }

// WithCacheCopier enables moves of running streams to other engines; m copies their KV caches.
func WithCacheCopier(m CacheCopier) Option { return withCacheCopier{m} }

// WithObserver sets the observer of finished requests.
func WithObserver(o Observer) Option { return withObserver{o} }

func (noObserver) RequestFinished(RequestStats) {}
func (noObserver) RequestsCut(string, int)      {}

func (o withObserver) apply(g *Gateway)    { g.observer = o.observer }
func (o withCacheCopier) apply(g *Gateway) { g.copier = o.copier }
func (o withBodyMemory) apply(g *Gateway)  { g.bodyMemory.limit = int64(o) }
func (o withTransport) apply(g *Gateway)   { g.transport = o.transport }

// NewGateway returns the gateway of a host.
func NewGateway(h *host.Host, d Dialect, opts ...Option) *Gateway {
	g := &Gateway{host: h, dialect: d, transport: target.NewShortDialTransport(network.System{}), observer: noObserver{}}
	g.bodyMemory.limit = defaultBodyMemory
	for _, o := range opts {
		o.apply(g)
	}
	return g
}

// IdleTimeout returns how long a caller's connection may be idle, by the current configuration.
func (g *Gateway) IdleTimeout() time.Duration {
	if t := g.host.Table(); t != nil && t.CallerLimits.IdleTimeout > 0 {
		return t.CallerLimits.IdleTimeout
	}
	return defaultIdleTimeout
}

// HeadLimits returns the limits of the heads of callers' requests, by the current configuration.
func (g *Gateway) HeadLimits() network.HeadLimits {
	l := network.HeadLimits{Lines: MaxHeaderLines, Empty: MaxEmptyBytes}
	if t := g.host.Table(); t != nil {
		l.Timeout, l.Bytes = t.CallerLimits.HeaderTimeout, t.CallerLimits.MaxHeaderBytes
	}
	return l
}

// Ready serves the readiness probe: 200 if the host accepts requests, 503 otherwise.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	if !g.host.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP forwards the request to a target and the target's response to the caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, started: time.Now(), latest: &attempt{}}
	c.latest.call = c
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		c.account = network.Account(conn)
	}
	g.inHand.add(c)
	defer g.inHand.remove(c)
	err := c.serve()
	if err == nil {
		c.recordEnd(nil)
		return
	}
	e := answer.From(err)
	c.recordEnd(e)
	switch {
	case c.written.Load():
		c.abortResponse()
	case context.Cause(r.Context()) != nil:
		// The caller has disconnected.
	default:
		c.writeError(e)
	}
}

// abortResponse ends a response of which a part has been sent, so that only the end of its connection
// can show the caller that it is incomplete. A response of HTTP/1.0 has no chunks: a connection that is
// closed would complete it, so the connection is reset.
func (c *call) abortResponse() {
	if !c.r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.w).Hijack(); err == nil {
			network.CloseWithReset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// stats returns the RequestStats of the finished request. e is the error that ended it, or nil if
// its response is complete.
func (c *call) stats(e *answer.Error) RequestStats {
	r := RequestStats{
		Status: c.status, FirstByte: c.firstByte, Duration: time.Since(c.started),
		LongestGap: c.latest.longestGap, EventCount: c.latest.events.eventCount, MoveCount: c.latest.moveCount,
	}
	if c.route != nil {
		r.Kind = c.route.Kind.String()
	}
	if e != nil {
		r.Code = e.Kind.String()
		if !c.written.Load() {
			r.Status = e.Kind.Properties().Status
		}
	}
	return r
}

// recordEnd reports the finished request to the observer and logs it. e is the error that ended
// it, or nil if its response is complete.
func (c *call) recordEnd(e *answer.Error) {
	by := c.endedBy(e)
	stats := c.stats(e)
	stats.EndedBy = by.String()
	c.gateway.observer.RequestFinished(stats)
	c.recordConnEnd(by, e)
	fields := event.Fields{Request: c.info.ID, Organisation: c.organisation, Target: c.latest.target, TableVersion: c.tableVersion}
	fields.Values = []any{
		"status", c.status, "ms", time.Since(c.started).Milliseconds(), "first_ms", c.firstByte.Milliseconds(),
		"attempts", c.attemptCount, "bytes", c.bodyBytes.Load(), "ended_by", by.String(),
	}
	if c.route != nil {
		fields.Values = append(fields.Values, "route", c.route.Name, "kind", c.route.Kind.String())
	}
	if c.latest.framing != framingNone {
		// partial counts the bytes after the last complete event.
		fields.Values = append(fields.Values, "framing", c.latest.framing.String(), "partial", len(c.latest.events.partial))
	}
	if c.latest.via != "" {
		fields.Values = append(fields.Values, "via", c.latest.via)
	}
	if c.latest.limit != nil && c.latest.limit.Named {
		fields.Values = append(fields.Values, "limit", c.latest.limit.Rate)
	}
	if c.latest.events.eventCount > 0 {
		fields.Values = append(fields.Values, "events", c.latest.events.eventCount, "longest_gap_ms", c.latest.longestGap.Milliseconds())
	}
	if wait := c.latest.deferred.duration; wait > 0 {
		fields.Values = append(fields.Values, "deferred_ms", wait.Milliseconds())
	}
	if c.latest.callerWait >= minCallerWait {
		fields.Values = append(fields.Values, "caller_wait_ms", c.latest.callerWait.Milliseconds())
	}
	if len(c.info.PromptParts) > 0 {
		fields.Values = append(fields.Values, "parts", formatParts(c.info.PromptParts))
	}
	if c.info.OmittedParts > 0 {
		fields.Values = append(fields.Values, "omitted_parts", c.info.OmittedParts)
	}
	if c.digest != 0 {
		fields.Values = append(fields.Values, "digest", strconv.FormatUint(c.digest, 16))
	}
	if c.latest.moveCount > 0 {
		fields.Values = append(fields.Values, "moves", c.latest.moveCount, "longest_move_gap_ms", c.latest.longestMove.Milliseconds())
	}
	if e != nil {
		fields.Detail = e.Error()
		fields.Values = append(fields.Values, "outcome", e.Kind.Properties().Outcome.String())
		if !c.written.Load() {
			fields.Values = append(fields.Values, "answered", e.Kind.Properties().Status)
		}
	}
	c.gateway.host.Log().Emit(event.RequestAnswered, fields)
}
