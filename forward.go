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

// forwarding is what a host needs that forwards callers' requests by route.
type forwarding struct {
	source  registry.Source
	dialect gateway.Dialect
	copier  gateway.Mover
	options []gateway.Option
}

const (
	// drainPollInterval is how often a stopping host looks whether it is done.
	drainPollInterval = 50 * time.Millisecond

	// gatewayHeaderTimeout bounds the head of a request; the configuration may ask for less.
	gatewayHeaderTimeout = 10 * time.Second
)

// WithForwarding makes the host forward callers' requests by the routes that a source
// publishes, instead of serving the product's own interface. Without a mover streams
// stay where they began; one that is a host.Asker, too, lets the host ask targets whether
// they are leaving.
func WithForwarding(s registry.Source, d gateway.Dialect, m gateway.Mover, opts ...gateway.Option) Option {
	return &forwarding{s, d, m, opts}
}

func (f *forwarding) apply(a *assembly) {
	a.forward = f
	a.parts = ForwardingParts()
	if asker, ok := f.copier.(host.Asker); ok {
		a.host = append([]host.Option{host.WithAsker(asker)}, a.host...)
	}
	a.host = append([]host.Option{host.WithDispatch(
		dispatch.WithReach(true),
		// Load reports are priced; what hosts tell each other takes their place.
		dispatch.WithFresh(0),
		dispatch.WithMoves(f.copier != nil),
	)}, a.host...)
}

// ForwardingParts returns the stock parts of a host that forwards requests.
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

func setConfigSource(a *assembly, h *host.Host) { h.Keep(a.forward.source) }

func runRegistry(a *assembly, l fx.Lifecycle, h *host.Host) { runInBackground(a, l, h.Keeper().Run) }

func serveGateway(a *assembly, l fx.Lifecycle, h *host.Host, m *meter.Meter) {
	opts := append([]gateway.Option{
		gateway.WithSend(target.NewPromptTransport(a.network)),
		gateway.WithMemory(a.settings.Memory),
		gateway.WithMover(a.forward.copier),
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

// stopGateway lets the callers' side go on until the balancer has noticed that the host
// is no longer ready, then waits for what is still open.
func stopGateway(ctx context.Context, a *assembly, h *host.Host, s *http.Server) error {
	began := time.Now()
	h.Drain(began.Add(a.settings.Drain))
	ctx, cancel := context.WithTimeout(ctx, a.settings.Drain)
	defer cancel()
	pause.For(ctx, a.settings.Linger)
	for h.Active() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
	left := h.Active()
	h.Log().Emit(event.HostStopped, event.Fields{Values: []any{"open", left, "after_ms", time.Since(began).Milliseconds()}})
	if left > 0 {
		s.Close()
		return eris.Errorf("%d requests were still open after %s", left, a.settings.Drain)
	}
	// What is idle closes now; nothing is open.
	return s.Close()
}
