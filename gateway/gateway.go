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
	// A Gateway is the HTTP side of a host that forwards requests by route.
	Gateway struct {
		host      *host.Host
		dialect   Dialect
		send      http.RoundTripper
		mover     Mover // nil if streams are not moved
		observe   Observer
		bodies    memory
		idleConns *idleConns
	}

	// An Observer is told how requests ended, for metrics.
	Observer interface{ Answered(Report) }

	// A Report is how a request ended.
	Report struct {
		Kind    string        // of the route; empty if there is none
		Status  int           // that the caller got; 0 if it got none
		Code    string        // of the error; empty if there is none
		First   time.Duration // until the first byte for the caller
		Whole   time.Duration
		Longest time.Duration // pause between two events of a stream
		Events  int
		Moves   int
	}

	// An Option changes a Gateway.
	Option interface{ apply(*Gateway) }

	withMemory int64
	withSend   struct{ send http.RoundTripper }
	withMover  struct{ mover Mover }

	withObserver struct{ observer Observer }

	noObserver struct{}
)

const (
	defaultBody    = 1 << 20 // bytes, where the configuration says nothing
	defaultIdle    = 2 * time.Minute
	defaultWithin  = time.Minute           // for a caller that does not say how long it waits
	slowestCaller  = 10 * time.Second      // that a caller may take to accept what is sent
	leastRetry     = 50 * time.Millisecond // advice below this only makes load
	retryPart      = 4                     // part of the caller's time left that advice may take up
	startPart      = 3                     // part of the caller's time in which a request must be sent
	firstTryPart   = 3                     // part of the time left that an idempotent request's first target gets
	leastSilence   = 2 * time.Second       // of a stream that callers put up with
	silenceAims    = 4                     // latency objectives of silence that callers put up with
	silenceGaps    = 8                     // allowed pauses of silence that callers put up with
	wholeAnswer    = 1 << 20               // bytes of an answer that are held to see it end before it is passed on
	copyBuffer     = 16 << 10              // bytes
	defaultBodyRAM = 32 << 20              // bytes of bodies held at once
)

// WithMemory bounds the bytes of requests' bodies that are held at once.
func WithMemory(bytes int64) Option { return withMemory(bytes) }

// WithSend replaces how requests go out. It must not send anything twice by itself.
func WithSend(t http.RoundTripper) Option { return withSend{t} }

// WithMover lets streams be moved between engines.
func WithMover(m Mover) Option { return withMover{m} }

// WithObserver sets who is told how requests ended.
func WithObserver(o Observer) Option { return withObserver{o} }

func (noObserver) Answered(Report) {}

func (o withObserver) apply(g *Gateway) { g.observe = o.observer }
func (o withMover) apply(g *Gateway)    { g.mover = o.mover }
func (o withMemory) apply(g *Gateway)   { g.bodies.most = int64(o) }
func (o withSend) apply(g *Gateway)     { g.send = o.send }

// NewGateway returns the gateway of a host.
func NewGateway(h *host.Host, d Dialect, opts ...Option) *Gateway {
	g := &Gateway{host: h, dialect: d, send: target.NewPromptTransport(network.System{}), observe: noObserver{}}
	g.bodies.most = defaultBodyRAM
	g.idleConns = newIdleConns(g.idle)
	for _, o := range opts {
		o.apply(g)
	}
	return g
}

// ConnState follows the connections of the server that serves the gateway.
func (g *Gateway) ConnState(c net.Conn, s http.ConnState) { g.idleConns.change(c, s) }

func (g *Gateway) idle() time.Duration {
	if t := g.host.Table(); t != nil && t.Callers.Idle > 0 {
		return t.Callers.Idle
	}
	return defaultIdle
}

// Ready answers whether the host takes requests.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	if !g.host.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP forwards a request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, began: time.Now()}
	err := c.serve()
	if err == nil {
		c.note(nil)
		return
	}
	e := answer.From(err)
	c.note(e)
	switch {
	case c.written:
		// The caller has a part: only a cut connection says that it is not whole.
		panic(http.ErrAbortHandler)
	case context.Cause(r.Context()) != nil:
		// The caller is gone.
	default:
		c.refuse(e)
	}
}

// report describes a request's end for metrics.
func (c *call) report(e *answer.Error) Report {
	r := Report{
		Status: c.status, First: c.first, Whole: time.Since(c.began),
		Longest: c.longest, Events: c.events.whole, Moves: c.moves,
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

// note writes the line about a request's end.
func (c *call) note(e *answer.Error) {
	c.gateway.observe.Answered(c.report(e))
	fields := event.Fields{Request: c.envelope.ID, Organisation: c.organisation, Target: c.target, Table: c.version}
	fields.Values = []any{
		"status", c.status, "ms", time.Since(c.began).Milliseconds(), "first_ms", c.first.Milliseconds(),
		"attempts", c.attempts, "bytes", c.bytes,
	}
	if c.route != nil {
		fields.Values = append(fields.Values, "route", c.route.Name, "kind", c.route.Kind.String())
	}
	if c.events.whole > 0 {
		fields.Values = append(fields.Values, "events", c.events.whole, "longest_gap_ms", c.longest.Milliseconds())
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
