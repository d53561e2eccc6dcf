package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// A Gateway is an http.Handler that forwards requests to targets by route.
	Gateway struct {
		host       *host.Host
		dialect    Dialect
		transport  http.RoundTripper
		copier     CacheCopier // nil disables moves of streams
		observer   Observer
		bodyMemory memoryBudget
		idleConns  *idleConns
	}

	// An Observer records finished requests as metrics.
	Observer interface{ RequestFinished(RequestStats) }

	// RequestStats describes a finished request.
	RequestStats struct {
		Kind       string        // route kind; empty if no route matched
		Status     int           // HTTP status sent to the caller; 0 if none was sent
		Code       string        // error code; empty on success
		FirstByte  time.Duration // from the request's start to the first response byte
		Duration   time.Duration // from the request's start to its end
		LongestGap time.Duration // longest time between two events of a stream
		Events     int           // events forwarded
		Moves      int           // moves of the stream between engines
	}

	// An Option configures a Gateway.
	Option interface{ apply(*Gateway) }

	withBodyMemory  int64
	withTransport   struct{ transport http.RoundTripper }
	withCacheCopier struct{ copier CacheCopier }

	withObserver struct{ observer Observer }

	noObserver struct{}
)

const (
	defaultMaxBody       = 1 << 20 // bytes of a request body
	defaultIdleTimeout   = 2 * time.Minute
	defaultTimeout       = time.Minute           // of a request without a timeout of its own
	writeTimeout         = 10 * time.Second      // of one write to a caller
	minRetryAfter        = 50 * time.Millisecond // sooner retries only add load
	retryAfterDivisor    = 4                     // Retry-After is at most the remaining time divided by this
	startDeadlineDivisor = 3                     // a request must be dispatched within its timeout divided by this
	attemptDivisor       = 3                     // an attempt of an idempotent request, except the last, gets the remaining time divided by this
	minStreamTimeout     = 2 * time.Second       // shortest timeout between two events of a stream
	streamTimeoutAims    = 4                     // timeout between two events, in latency objectives of the route
	streamTimeoutGaps    = 8                     // timeout between two events, in accepted gaps of the route
	maxBufferedResponse  = 1 << 20               // bytes of a response that are read to its end before it is forwarded
	readBufferSize       = 16 << 10              // bytes
	defaultBodyMemory    = 32 << 20              // bytes of request bodies held at once
)

// WithBodyMemory sets the maximum bytes of request bodies held in memory at once.
func WithBodyMemory(bytes int64) Option { return withBodyMemory(bytes) }

// WithTransport sets the transport for requests to targets. It must not retry requests on its own.
func WithTransport(t http.RoundTripper) Option { return withTransport{t} }

// WithCacheCopier enables moves of streams between engines.
func WithCacheCopier(m CacheCopier) Option { return withCacheCopier{m} }

// WithObserver sets the observer of finished requests.
func WithObserver(o Observer) Option { return withObserver{o} }

func (noObserver) RequestFinished(RequestStats) {}

func (o withObserver) apply(g *Gateway)    { g.observer = o.observer }
func (o withCacheCopier) apply(g *Gateway) { g.copier = o.copier }
func (o withBodyMemory) apply(g *Gateway)  { g.bodyMemory.limit = int64(o) }
func (o withTransport) apply(g *Gateway)   { g.transport = o.transport }

// NewGateway returns the gateway of a host.
func NewGateway(h *host.Host, d Dialect, opts ...Option) *Gateway {
	g := &Gateway{host: h, dialect: d, transport: target.NewShortDialTransport(network.System{}), observer: noObserver{}}
	g.bodyMemory.limit = defaultBodyMemory
	g.idleConns = newIdleConns(g.idleTimeout)
	for _, o := range opts {
		o.apply(g)
	}
	return g
}

// ConnState is the http.Server.ConnState hook that closes idle connections.
func (g *Gateway) ConnState(c net.Conn, s http.ConnState) { g.idleConns.setState(c, s) }

func (g *Gateway) idleTimeout() time.Duration {
	if t := g.host.Table(); t != nil && t.CallerLimits.IdleLimit > 0 {
		return t.CallerLimits.IdleLimit
	}
	return defaultIdleTimeout
}

// Ready serves the readiness probe: 200 if the host accepts requests, 503 otherwise.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	if !g.host.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP forwards a request to a target and its response to the caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, started: time.Now()}
	err := c.serve()
	if err == nil {
		c.recordEnd(nil)
		return
	}
	e := answer.From(err)
	c.recordEnd(e)
	switch {
	case c.written:
		// Part of the response is sent: only an aborted connection shows that it is incomplete.
		panic(http.ErrAbortHandler)
	case context.Cause(r.Context()) != nil:
		// The caller has disconnected.
	default:
		c.writeError(e)
	}
}

// stats returns the metrics of the finished request; e is nil on success.
func (c *call) stats(e *answer.Error) RequestStats {
	r := RequestStats{
		Status: c.status, FirstByte: c.firstByte, Duration: time.Since(c.started),
		LongestGap: c.longestGap, Events: c.events.count, Moves: c.moves,
	}
	if c.route != nil {
		r.Kind = c.route.Kind.String()
	}
	if e != nil {
		r.Code = e.Kind.String()
		if !c.written {
			r.Status = e.Kind.Row().Status
		}
	}
	return r
}

// recordEnd reports the finished request to the observer and the log; e is nil on success.
func (c *call) recordEnd(e *answer.Error) {
	c.gateway.observer.RequestFinished(c.stats(e))
	fields := event.Fields{Request: c.info.ID, Organisation: c.organisation, Target: c.target, Table: c.tableVersion}
	fields.Values = []any{
		"status", c.status, "ms", time.Since(c.started).Milliseconds(), "first_ms", c.firstByte.Milliseconds(),
		"attempts", c.attempts, "bytes", c.bytes,
	}
	if c.route != nil {
		fields.Values = append(fields.Values, "route", c.route.Name, "kind", c.route.Kind.String())
	}
	if c.events.count > 0 {
		fields.Values = append(fields.Values, "events", c.events.count, "longest_gap_ms", c.longestGap.Milliseconds())
	}
	if c.moves > 0 {
		fields.Values = append(fields.Values, "moves", c.moves)
	}
	if e != nil {
		fields.Detail = e.Error()
		fields.Values = append(fields.Values, "outcome", e.Kind.Row().Outcome.String())
		if !c.written {
			fields.Values = append(fields.Values, "answered", e.Kind.Row().Status)
		}
	}
	c.gateway.host.Log().Emit(event.RequestAnswered, fields)
}
