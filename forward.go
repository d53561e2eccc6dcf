package wigeonlink

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/gateway"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/meter"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/target"
)

// forwarding holds the dependencies of a forwarding host: a host that forwards each request
// to a target of the service that the request's route selects.
type forwarding struct {
	source    registry.Source
	dialect   gateway.Dialect
	newCopier func(network.Network) gateway.CacheCopier // nil disables moves of streams
	options   []gateway.Option
}

const (
	// drainPollInterval is how often a stopping host counts its requests in flight.
	drainPollInterval = 50 * time.Millisecond

	// connectionCloseTimeout is how long a stopping host without requests waits for the first byte on new
	// connections.
	connectionCloseTimeout = 1500 * time.Millisecond

	// refusalTime is the least time that a stopping host has for a request on a connection that it accepted last.
	refusalTime = 500 * time.Millisecond

	// unansweredTime is the time that a stopping host has for errors in place of responses that have not begun: before its
	// end, and after it for streams of which it has received a part that it has not sent.
	unansweredTime = 100 * time.Millisecond

	// gatewayHeaderTimeout is the time limit for receiving the headers of a request. The
	// configuration of the gateway may set a shorter limit.
	gatewayHeaderTimeout = 10 * time.Second
)

// WithForwarding makes the host forward callers' requests by the routes that the
// configuration source s publishes, instead of serving the OpenAI-compatible API. newCopier returns the
// client that copies KV caches of streams, which reaches targets on the given network; if newCopier is nil,
// streams are not moved between targets. If the client also implements host.StatusQuerier, the
// host uses it to query whether a target is draining.
func WithForwarding(s registry.Source, d gateway.Dialect, newCopier func(network.Network) gateway.CacheCopier, opts ...gateway.Option) Option {
	return &forwarding{s, d, newCopier, opts}
}

func (f *forwarding) apply(a *assembly) {
	a.forward = f
	a.components = ForwardingComponents()
	a.hostOptions = append([]host.Option{host.WithDispatch(
		dispatch.WithCrossDomain(true),
		// The platform charges for reading the load reports of targets, so a forwarding
		// host uses the reports of its peers instead. An age limit of 0 keeps targets
		// without load reports from being treated as stale.
		dispatch.WithMaxLoadAge(0),
		dispatch.WithMoves(f.newCopier != nil),
	)}, a.hostOptions...)
}

// ForwardingComponents returns the default components of a forwarding host.
func ForwardingComponents() []Component {
	return []Component{
		{"log", 100, fx.Provide(newLog)},
		{"meter", 200, fx.Provide(newMeter)},
		{"detours", 250, fx.Provide(newDetours, newCacheCopier)},
		{"host", 300, fx.Options(fx.Provide(newForwardingHost), fx.Invoke(setConfigSource), fx.Invoke(runHost))},
		{"mesh", 350, fx.Invoke(runMesh)},
		{"registry", 400, fx.Invoke(runRegistry)},
		{"operator", 500, fx.Invoke(serveOperator)},
		{"gateway", 600, fx.Invoke(serveGateway)},
	}
}

// newCacheCopier returns the client that copies KV caches, or nil if streams are not moved.
func newCacheCopier(a *assembly, d *detour.Network) gateway.CacheCopier {
	if a.forward.newCopier == nil {
		return nil
	}
	return a.forward.newCopier(d)
}

// newForwardingHost is newHost for a host that asks targets whether they are draining, if c can do so.
func newForwardingHost(a *assembly, log *event.Log, m *meter.Meter, d *detour.Network, c gateway.CacheCopier) (*host.Host, error) {
	if querier, ok := c.(host.StatusQuerier); ok {
		a.hostOptions = append([]host.Option{host.WithStatusQuerier(querier)}, a.hostOptions...)
	}
	return newHost(a, log, m, d)
}

func setConfigSource(a *assembly, h *host.Host) { h.SyncFrom(a.forward.source) }

func runRegistry(a *assembly, l fx.Lifecycle, h *host.Host) { runInBackground(a, l, h.Syncer().Run) }

func serveGateway(a *assembly, l fx.Lifecycle, h *host.Host, m *meter.Meter, d *detour.Network, c gateway.CacheCopier) {
	bodyMemory := a.settings.BodyMemory
	if a.settings.Memory > 0 {
		bodyMemory = 0 // bodies are a part of the budget
	}
	opts := append([]gateway.Option{
		gateway.WithTransport(target.NewShortDialTransport(d)),
		gateway.WithBodyMemory(bodyMemory),
		gateway.WithCacheCopier(c),
		gateway.WithObserver(m),
	}, a.forward.options...)
	g := gateway.NewGateway(h, a.forward.dialect, opts...)
	s, callers := newServer(a, closeWhenDraining(h, g)), network.NewRetiringListener(a.callerListener)
	callers.IdleTimeout, callers.HeaderTimeout = g.IdleTimeout, gatewayHeaderTimeout
	callers.Guard = newGuard(a, h, m)
	callers.Guard.HeadLimits = g.HeadLimits
	s.ReadHeaderTimeout, s.IdleTimeout, s.ConnState = gatewayHeaderTimeout, 0, callers.ConnState
	s.ConnContext = g.ConnContext
	ready := newServer(a, http.HandlerFunc(g.Ready))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.Log().Emit(event.HostStarted, event.Fields{
				Detail: a.callerListener.Addr().String(),
				Values: []any{"version", Version, "domain", a.settings.Domain},
			})
			serve(h, ready, a.readyListener)
			serve(h, s, callers)
			return nil
		},
		OnStop: func(ctx context.Context) error { return stopGateway(ctx, a, h, s, g, callers) },
	})
}

// stopGateway makes the readiness probe fail and still accepts requests for
// Settings.ShutdownDelay, in which the load balancer stops sending them, and then until it has none in flight.
// It then closes the connections on which no request has begun, and waits until all others are closed, within
// Settings.DrainTimeout, of which connectionCloseTimeout and refusalTime are left for requests that arrive last, and
// unansweredTime for those that the targets have not begun to answer. Streams whose responses are deferred have all of
// Settings.DrainTimeout to end.
func stopGateway(ctx context.Context, a *assembly, h *host.Host, s *http.Server, g *gateway.Gateway, callers *network.RetiringListener) error {
	startedAt, stopped := time.Now(), ctx
	h.Drain(startedAt.Add(a.settings.DrainTimeout))
	ctx, cancel := context.WithTimeout(ctx, a.settings.DrainTimeout)
	defer cancel()
	pause.For(ctx, a.settings.ShutdownDelay)
	accepting, endAccepting := context.WithDeadline(ctx, startedAt.Add(a.settings.DrainTimeout-connectionCloseTimeout-refusalTime))
	defer endAccepting()
	waitUntilZero(accepting, func() int { return h.InFlightCount() + callers.ActiveCount() })
	// http.Server.Shutdown would drop the requests whose heads it reads from now on.
	listenErr := callers.Close()
	callers.CloseIdle(connectionCloseTimeout)
	open := func() int { return h.InFlightCount() + callers.OpenCount() }
	answering, endAnswering := context.WithDeadline(ctx, startedAt.Add(a.settings.DrainTimeout-unansweredTime))
	defer endAnswering()
	waitUntilZero(answering, open)
	g.EndUnanswered()
	waitUntilZero(ctx, open)
	if g.EndDeferred() > 0 {
		ending, end := context.WithTimeout(stopped, unansweredTime)
		defer end()
		waitUntilZero(ending, open)
	}
	begun := callers.BegunCount()
	remaining := max(h.InFlightCount(), begun)
	h.Log().Emit(event.HostStopped, event.Fields{Values: append([]any{"open", remaining, "after_ms", time.Since(startedAt).Milliseconds()}, g.CutRequests(begun)...)})
	err := errors.Join(listenErr, s.Close())
	callers.Wait()
	if remaining > 0 {
		return eris.Errorf("%d requests still in flight after the drain timeout of %s", remaining, a.settings.DrainTimeout)
	}
	return err
}

// waitUntilZero waits until count returns 0 or ctx is done.
func waitUntilZero(ctx context.Context, count func() int) {
	for count() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
}
