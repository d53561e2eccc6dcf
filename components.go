package wigeonlink

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/api"
	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/meter"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/operator"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/publication"
	"github.com/wigeonlink/wigeonlink/ticket"
)

// A Component is a part of an entry host that can be replaced, such as its event log or its
// server for operators. Components start in ascending order of Priority and stop in the
// reverse order.
type Component struct {
	Name     string
	Priority int
	Options  fx.Option
}

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	idleCloseDelay = 500 * time.Millisecond // time for callers of a stopping host to close their idle connections
)

// DefaultComponents returns the default components of an entry host that serves the
// OpenAI-compatible API.
func DefaultComponents() []Component {
	return []Component{
		{"log", 100, fx.Provide(newLog)},
		{"meter", 200, fx.Provide(newMeter)},
		{"keys", 200, fx.Provide(newKeyring)},
		{"detours", 250, fx.Provide(newDetours)},
		{"host", 300, fx.Options(fx.Provide(newHost), fx.Invoke(runHost))},
		{"mesh", 350, fx.Invoke(runMesh)},
		{"feeds", 400, fx.Invoke(runFeeds)},
		{"operator", 500, fx.Invoke(serveOperator)},
		{"desk", 600, fx.Options(fx.Provide(newAPIServer), fx.Invoke(serveAPI))},
	}
}

func replaceComponent(components []Component, c Component) []Component {
	components = slices.DeleteFunc(components, func(o Component) bool { return o.Name == c.Name })
	return append(components, c)
}

func fxOptions(components []Component) []fx.Option {
	slices.SortStableFunc(components, func(a, b Component) int { return a.Priority - b.Priority })
	options := make([]fx.Option, len(components))
	for i, c := range components {
		options[i] = c.Options
	}
	return options
}

func newLog(a *assembly) *event.Log {
	return event.NewLog(a.settings.Name, event.WithLogger(a.logger), event.WithRateLimit(a.settings.LogRate))
}

func newMeter(l fx.Lifecycle) (*meter.Meter, error) {
	m, err := meter.NewMeter()
	if err != nil {
		return nil, err
	}
	l.Append(fx.Hook{OnStop: m.Shutdown})
	return m, nil
}

func newKeyring(a *assembly) (*ticket.Keyring, error) { return ticket.ParseKeys(a.settings.SealKeys) }

func newDetours(a *assembly, log *event.Log) *detour.Network {
	return detour.NewNetwork(a.network, log)
}

func newHost(a *assembly, log *event.Log, m *meter.Meter, d *detour.Network) (*host.Host, error) {
	opts := append([]host.Option{
		host.WithObserver(m),
		host.WithDomain(a.settings.Domain),
		host.WithDetours(d),
	}, a.hostOptions...)
	h := host.NewHost(log, opts...)
	return h, m.ObserveHost(h)
}

// runInBackground calls f in a goroutine when the host starts. When the host stops, it
// cancels the context of f and does not wait for f to return.
func runInBackground(a *assembly, l fx.Lifecycle, f func(context.Context)) {
	ctx, cancel := context.WithCancel(a.runCtx)
	l.Append(fx.Hook{
		OnStart: func(context.Context) error { go f(ctx); return nil },
		OnStop:  func(context.Context) error { cancel(); return nil },
	})
}

func runHost(a *assembly, l fx.Lifecycle, h *host.Host) { runInBackground(a, l, h.Run) }

// runMesh connects the host with its peers, unless Settings.Credential is nil. When the host
// stops, it waits for what it relays for them, and until the mesh has closed its connections.
func runMesh(a *assembly, l fx.Lifecycle, h *host.Host) error {
	if a.settings.Credential == nil {
		return nil
	}
	m, err := h.Join(peer.Settings{
		Domain:     a.settings.Domain,
		Listen:     a.settings.PeerAddress,
		Weight:     a.settings.Weight,
		Seeds:      a.settings.SeedPeers,
		Credential: a.settings.Credential,
		Network:    a.network,
	})
	if err != nil {
		return err
	}
	a.mesh = m
	ctx, cancel := context.WithCancel(a.runCtx)
	ended := make(chan struct{})
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(ended); m.Run(ctx) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			h.EndRelays(ctx)
			cancel()
			<-ended
			return nil
		},
	})
	return nil
}

func runFeeds(a *assembly, l fx.Lifecycle, h *host.Host) {
	for _, address := range a.settings.ConfigAddresses {
		runInBackground(a, l, func(ctx context.Context) { h.RunFeeds(ctx, publication.NewSource(address)) })
	}
}

func serveOperator(a *assembly, l fx.Lifecycle, h *host.Host, m *meter.Meter) {
	s := newServer(a, operator.NewHandler(h, m))
	l.Append(fx.Hook{
		OnStart: func(context.Context) error { serve(h, s, a.operatorListener); return nil },
		OnStop:  s.Shutdown,
	})
}

func newAPIServer(a *assembly, h *host.Host, keys *ticket.Keyring) *api.Server {
	var opts []api.Option
	if a.settings.MaxBodyBytes > 0 {
		opts = append(opts, api.WithMaxBody(a.settings.MaxBodyBytes))
	}
	return api.NewServer(h, keys, opts...)
}

func serveAPI(a *assembly, l fx.Lifecycle, h *host.Host, d *api.Server) {
	s, listener := newServer(a, closeWhenDraining(h, d.Handler())), network.NewRetiringListener(a.callerListener)
	s.ConnState = listener.ConnState
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.Log().Emit(event.HostStarted, event.Fields{Detail: a.callerListener.Addr().String()})
			serve(h, s, listener)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			drain, cancel := context.WithTimeout(ctx, a.settings.DrainTimeout)
			defer cancel()
			if !h.Stop(drain) {
				s.Close()
				return eris.Errorf("%d requests still in flight after the drain timeout of %s", h.InFlightCount(), a.settings.DrainTimeout)
			}
			// During the delay, a caller can still send a request: its response has
			// "Connection: close". A request that is sent as its connection is retired gets a
			// response that says so.
			pause.For(drain, idleCloseDelay)
			listener.RetireIdle(answer.LastResponse())
			defer listener.Wait()
			return s.Shutdown(ctx)
		},
	})
}

// closeWhenDraining sets "Connection: close" on the responses of a draining host. Callers
// then don't reuse their connections, so that few idle ones are open when the host stops.
func closeWhenDraining(h *host.Host, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func newServer(a *assembly, handler http.Handler) *http.Server {
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          a.logger.StandardLogger(nil),
	}
	context.AfterFunc(a.runCtx, func() { s.Close() })
	return s
}

func serve(h *host.Host, s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			h.Log().Emit(event.HostFault, event.Fields{Detail: err.Error()})
		}
	}()
}
