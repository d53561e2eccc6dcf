// Package wigeonlink runs an entry host. An entry host accepts requests from callers and
// dispatches them to model engines and other targets, under high load and without knowing
// the output length of a generation in advance. The package assembles the components of one
// host: the HTTP servers for callers and operators, the dispatch loop, the connections with
// peers, and the subscriptions to the configuration service.
package wigeonlink

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"

	"github.com/wigeonlink/wigeonlink/credential"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/peer"
)

type (
	// Settings holds the settings of an entry host.
	Settings struct {
		Name            string            // name of the host; empty means the address on which it listens for callers
		Domain          string            // failure domain of the host
		CallerAddress   netip.AddrPort    // listen address for callers; port 0 picks a free port
		OperatorAddress netip.AddrPort    // listen address for operators; port 0 picks a free port
		ConfigAddresses []netip.AddrPort  // addresses of the configuration service
		PeerAddress     netip.AddrPort    // listen address for peers; port 0 picks a free port
		Weight          int               // size of the host's machine, in any unit; larger ones coordinate their failure domain
		SeedPeers       []netip.AddrPort  // addresses of the peers that a starting host contacts to find all others
		SealKeys        []string          // keys, in hexadecimal, that seal tickets and cursors; the first seals new ones, all open existing ones
		Credential      credential.Source // source of the TLS certificates for connections with peers; nil means no peers
		DrainTimeout    time.Duration     // how long Stop waits for the requests in flight; 0 means DefaultDrainTimeout
		MaxBodyBytes    int64             // maximum request body in bytes, except on a forwarding host; 0 means the default of package api
		ReadyAddress    netip.AddrPort    // listen address of the readiness probe of a forwarding host
		ShutdownDelay   time.Duration     // how long a stopping forwarding host still accepts requests, while its readiness probe fails
		BodyMemory      int64             // maximum total size in bytes of the request bodies that a forwarding host without a limit of Memory buffers; 0 means no limit
		Memory          int64             // memory of the host's machine in bytes, which bounds what clients make a forwarding host hold; 0 means no limit
		Descriptors     int               // descriptors that a forwarding host may open; 0 means no limit
		LogRate         float64           // maximum log lines per second; 0 means no limit
	}

	// An Entry is one entry host of a deployment, with its listeners and components.
	Entry struct {
		app              *fx.App
		host             *host.Host
		callerListener   net.Listener
		operatorListener net.Listener
		readyListener    net.Listener // nil unless the host forwards requests
		cancel           context.CancelFunc
		mesh             *peer.Mesh // nil if the host has no peers
		settings         *Settings
	}

	// An Option configures an Entry.
	Option interface{ apply(*assembly) }

	withLogger    struct{ logger hclog.Logger }
	withHost      []host.Option
	withComponent Component
	withNetwork   struct{ network network.Network }

	// assembly holds the settings and components from which NewEntry builds an Entry.
	assembly struct {
		settings         Settings
		logger           hclog.Logger
		hostOptions      []host.Option
		components       []Component
		callerListener   net.Listener
		operatorListener net.Listener
		readyListener    net.Listener
		runCtx           context.Context // cancelled by Stop and Kill
		mesh             *peer.Mesh
		network          network.Network
		forward          *forwarding // nil for a host that serves the OpenAI-compatible API
	}
)

// DefaultDrainTimeout is the default of Settings.DrainTimeout.
const DefaultDrainTimeout = 2 * time.Minute

// Version is the version of the program.
const Version = "0.1.0"

// WithLogger sets the logger of the host. By default nothing is logged.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

// WithHost passes options to host.NewHost, after those that the Settings imply.
func WithHost(opts ...host.Option) Option { return withHost(opts) }

// WithComponent adds a component to the host, or replaces its component of the same name.
func WithComponent(c Component) Option { return withComponent(c) }

// WithNetwork replaces the operating system's network on all connections with callers,
// operators and peers, and with the targets of a forwarding host. It is meant for tests of
// network faults.
func WithNetwork(n network.Network) Option { return withNetwork{n} }

func (o withNetwork) apply(a *assembly) { a.network = o.network }
func (o withLogger) apply(a *assembly)  { a.logger = o.logger }
func (o withHost) apply(a *assembly)    { a.hostOptions = append(a.hostOptions, o...) }
func (o withComponent) apply(a *assembly) {
	a.components = replaceComponent(a.components, Component(o))
}

// NewEntry opens the listeners of an entry host and assembles its components. The host
// serves requests only after Start.
func NewEntry(s Settings, opts ...Option) (*Entry, error) {
	a := &assembly{settings: s, logger: hclog.NewNullLogger(), components: DefaultComponents(), network: network.System{}}
	for _, o := range opts {
		o.apply(a)
	}
	if a.settings.DrainTimeout == 0 {
		a.settings.DrainTimeout = DefaultDrainTimeout
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	if a.settings.Name == "" {
		a.settings.Name = a.callerListener.Addr().String()
	}
	e := &Entry{callerListener: a.callerListener, operatorListener: a.operatorListener, readyListener: a.readyListener, settings: &a.settings}
	a.runCtx, e.cancel = context.WithCancel(context.Background())
	e.app = fx.New(
		fx.NopLogger,
		fx.Supply(a),
		fx.StopTimeout(a.settings.DrainTimeout+stopMargin),
		fx.Options(fxOptions(a.components)...),
		fx.Populate(&e.host),
	)
	e.mesh = a.mesh
	if err := e.app.Err(); err != nil {
		e.Kill()
		return nil, eris.Wrap(err, "assemble")
	}
	return e, nil
}

const (
	stopMargin   = 10 * time.Second // added to Settings.DrainTimeout: time limit for stopping all components
	startTimeout = 15 * time.Second // time limit for starting all components
)

func (a *assembly) listen() error {
	var err error
	if a.callerListener, err = a.network.Listen(a.settings.CallerAddress); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if a.operatorListener, err = a.network.Listen(a.settings.OperatorAddress); err != nil {
		return errors.Join(eris.Wrap(err, "listen for operators"), a.callerListener.Close())
	}
	if a.forward == nil {
		return nil
	}
	if a.readyListener, err = a.network.Listen(a.settings.ReadyAddress); err != nil {
		return errors.Join(eris.Wrap(err, "listen for readiness probes"), a.callerListener.Close(), a.operatorListener.Close())
	}
	return nil
}

// Start starts the components of the host. It fails if they take longer than 15 seconds.
func (e *Entry) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return eris.Wrap(e.app.Start(ctx), "start")
}

// Stop drains the host and stops its components. It waits for the requests in flight, at
// most for Settings.DrainTimeout, and returns an error if requests are in flight after that.
func (e *Entry) Stop(ctx context.Context) error {
	defer e.cancel()
	return eris.Wrap(e.app.Stop(ctx), "stop")
}

// SetDrain replaces Settings.DrainTimeout and Settings.ShutdownDelay, for a host whose time to stop changes while it
// runs. It must not be called after Stop.
func (e *Entry) SetDrain(timeout, shutdownDelay time.Duration) {
	e.settings.DrainTimeout, e.settings.ShutdownDelay = timeout, shutdownDelay
}

// Kill stops the host at once, as a crash would, and closes its connections.
func (e *Entry) Kill() {
	e.cancel()
	e.callerListener.Close()
	e.operatorListener.Close()
	if e.readyListener != nil {
		e.readyListener.Close()
	}
}

// Host returns the host.Host that dispatches the requests of the entry host.
func (e *Entry) Host() *host.Host { return e.host }

// Mesh returns the connections of the host with its peers, or nil if the host has no
// credential for peers.
func (e *Entry) Mesh() *peer.Mesh { return e.mesh }

// CallerURL returns the base URL for callers.
func (e *Entry) CallerURL() string { return "http://" + e.callerListener.Addr().String() }

// ReadyURL returns the base URL of the readiness probe. It must be called only on a
// forwarding host.
func (e *Entry) ReadyURL() string { return "http://" + e.readyListener.Addr().String() }

// OperatorURL returns the base URL for operators.
func (e *Entry) OperatorURL() string { return "http://" + e.operatorListener.Addr().String() }
