package wigeonlink

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/gateway"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/meter"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/target"
)

// forwarding configures a host that forwards callers' requests by route.
type forwarding struct {
	source  registry.Source
	dialect gateway.Dialect
	copier  gateway.CacheCopier // nil means that streams are not moved
	options []gateway.Option
}

const (
	// drainPollInterval is how often a stopping host counts its requests in flight.
	drainPollInterval = 50 * time.Millisecond

	// gatewayHeaderTimeout is the time limit for receiving the header of a request. The
	// configuration may set a shorter one.
	gatewayHeaderTimeout = 10 * time.Second
)

// WithForwarding makes the host forward callers' requests by the routes that the
// configuration source s publishes, instead of serving the OpenAI-compatible API. If m is
// nil, streams are not moved between targets. If m can also query targets whether they are
// draining, the host uses it for that.
func WithForwarding(s registry.Source, d gateway.Dialect, m gateway.CacheCopier, opts ...gateway.Option) Option {
	return &forwarding{s, d, m, opts}
}

func (f *forwarding) apply(a *assembly) {
	a.forward = f
	a.parts = ForwardingParts()
	if asker, ok := f.copier.(host.StatusQuerier); ok {
		a.host = append([]host.Option{host.WithStatusQuerier(asker)}, a.host...)
	}
	a.host = append([]host.Option{host.WithDispatch(
		dispatch.WithCrossDomain(true),
		// Reading load reports of targets has a price on the platform. The reports that
		// hosts exchange replace them, so missing load reports don't make a target stale.
		dispatch.WithMaxLoadAge(0),
		dispatch.WithMoves(f.copier != nil),
	)}, a.host...)
}

// ForwardingParts returns the default parts of a forwarding host.
func ForwardingParts() []Part {
	return []Part{
		{"log", 100, fx.Provide(newLog)},
		{"meter", 200, fx.Provide(newMeter)},
		{"host", 300, fx.Options(fx.Provide(newHost), fx.Invoke(setConfigSource), fx.Invoke(runHost))},
		{"mesh", 350, fx.Invoke(runMesh)},
		{"registry", 400, fx.Invoke(runRegistry)},
		{"operator", 500, fx.Invoke(serveOperator)},
		{"gateway", 600, fx.Invoke(serveGateway)},
	}
}

func setConfigSource(a *assembly, h *host.Host) { h.SyncFrom(a.forward.source) }

func runRegistry(a *assembly, l fx.Lifecycle, h *host.Host) { runInBackground(a, l, h.Syncer().Run) }

func serveGateway(a *assembly, l fx.Lifecycle, h *host.Host, m *meter.Meter) {
	opts := append([]gateway.Option{
		gateway.WithTransport(target.NewShortDialTransport(a.network)),
		gateway.WithBodyMemory(a.settings.BodyMemory),
		gateway.WithCacheCopier(a.forward.copier),
		gateway.WithObserver(m),
	}, a.forward.options...)
	g := gateway.NewGateway(h, a.forward.dialect, opts...)
	s := newServer(a, closeWhenDraining(h, g))
	s.ReadHeaderTimeout, s.IdleTimeout, s.ConnState = gatewayHeaderTimeout, 0, g.ConnState
	ready := newServer(a, http.HandlerFunc(g.Ready))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.Log().Emit(event.HostStarted, event.Fields{
				Detail: a.caller.Addr().String(),
				Values: []any{"version", Version, "domain", a.settings.Domain},
			})
			serve(h, ready, a.ready)
			serve(h, s, a.caller)
			return nil
		},
		OnStop: func(ctx context.Context) error { return stopGateway(ctx, a, h, s) },
	})
}

// stopGateway reports the host as not ready and serves callers until the load balancer has
// had time to notice, then waits for the requests in flight.
func stopGateway(ctx context.Context, a *assembly, h *host.Host, s *http.Server) error {
	began := time.Now()
	h.Drain(began.Add(a.settings.DrainTimeout))
	ctx, cancel := context.WithTimeout(ctx, a.settings.DrainTimeout)
	defer cancel()
	pause.For(ctx, a.settings.ShutdownDelay)
	for h.InFlight() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
	left := h.InFlight()
	h.Log().Emit(event.HostStopped, event.Fields{Values: []any{"open", left, "after_ms", time.Since(began).Milliseconds()}})
	if left > 0 {
		s.Close()
		return eris.Errorf("%d requests still in flight after the drain timeout of %s", left, a.settings.DrainTimeout)
	}
	// No request is in flight: only idle connections are closed.
	return s.Close()
}
