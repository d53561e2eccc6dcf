// Package wigeonlink is a serving system for generations of unknown length on engines
// under high load. It assembles the parts of one entry host: the servers for callers and
// operators, the dispatch loop, the connections with peers, and the subscriptions to the
// configuration service.
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
		Name            string            // of the host; empty means its address for callers
		Domain          string            // failure domain
		CallerAddress   netip.AddrPort    // listen address for callers; port 0 picks a free port
		OperatorAddress netip.AddrPort    // listen address for operators; port 0 picks a free port
		ConfigAddresses []netip.AddrPort  // addresses of the configuration service
		PeerAddress     netip.AddrPort    // listen address for peers; port 0 picks a free port
		SeedPeers       []netip.AddrPort  // addresses of the peers to contact first
		SealKeys        []string          // sealing keys of tickets and cursors in hexadecimal; new ones are sealed with the first
		Credential      credential.Source // certificates for connections between hosts; nil means no peers
		DrainTimeout    time.Duration     // time limit for requests in flight during a stop; 0 means DefaultDrain
		MaxBodyBytes    int64             // maximum request body in bytes; 0 means the default of the server for callers
		ReadyAddress    netip.AddrPort    // listen address of the readiness probe of a forwarding host
		ShutdownDelay   time.Duration     // how long a stopping forwarding host still accepts requests
		BodyMemory      int64             // maximum bytes of request bodies that a forwarding host buffers; 0 means no limit
		LogRate         float64           // maximum log lines per second; 0 means no limit
	}

	// An Entry is one entry host.
	Entry struct {
		app      *fx.App
		host     *host.Host
		caller   net.Listener
		operator net.Listener
		ready    net.Listener // nil unless the host forwards requests
		cancel   context.CancelFunc
		mesh     *peer.Mesh // nil if the host has no peers
	}

	// An Option configures an Entry.
	Option interface{ apply(*assembly) }

	withLogger  struct{ logger hclog.Logger }
	withHost    []host.Option
	withPart    Part
	withNetwork struct{ network network.Network }

	// assembly holds the settings and components from which NewEntry builds an Entry.
	assembly struct {
		settings Settings
		logger   hclog.Logger
		host     []host.Option
		parts    []Part
		caller   net.Listener
		operator net.Listener
		ready    net.Listener
		runCtx   context.Context // cancelled by Stop and Kill
		mesh     *peer.Mesh
		network  network.Network
		forward  *forwarding // nil for a host that serves the OpenAI-compatible API
	}
)

// DefaultDrain is the default of Settings.DrainTimeout.
const DefaultDrain = 2 * time.Minute

// Version is the version of the program.
const Version = "0.1.0"

// WithLogger sets the logger of the host. By default nothing is logged.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

// WithHost passes options to the host.
func WithHost(opts ...host.Option) Option { return withHost(opts) }

// WithPart adds a part, or replaces the part of the same name.
func WithPart(p Part) Option { return withPart(p) }

// WithNetwork replaces the operating system's network on all connections with callers,
// operators and peers, and with the targets of a forwarding host. It is meant for tests of
// network faults.
func WithNetwork(n network.Network) Option { return withNetwork{n} }

func (o withNetwork) apply(a *assembly) { a.network = o.network }
func (o withLogger) apply(a *assembly)  { a.logger = o.logger }
func (o withHost) apply(a *assembly)    { a.host = append(a.host, o...) }
func (o withPart) apply(a *assembly)    { a.parts = replacePart(a.parts, Part(o)) }

// NewEntry opens the listeners of an entry host and assembles its parts. The host serves
// after Start.
func NewEntry(s Settings, opts ...Option) (*Entry, error) {
	a := &assembly{settings: s, logger: hclog.NewNullLogger(), parts: DefaultParts(), network: network.System{}}
	for _, o := range opts {
		o.apply(a)
	}
	if a.settings.DrainTimeout == 0 {
		a.settings.DrainTimeout = DefaultDrain
	}
	if err := a.listen(); err != nil {
		return nil, err
	}
	if a.settings.Name == "" {
		a.settings.Name = a.caller.Addr().String()
	}
	e := &Entry{caller: a.caller, operator: a.operator, ready: a.ready}
	a.runCtx, e.cancel = context.WithCancel(context.Background())
	e.app = fx.New(
		fx.NopLogger,
		fx.Supply(a),
		fx.StopTimeout(a.settings.DrainTimeout+stopMargin),
		fx.Options(fxOptions(a.parts)...),
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
	stopMargin   = 10 * time.Second // added to Settings.DrainTimeout for the stop of all parts
	startTimeout = 15 * time.Second // for the start of all parts
)

func (a *assembly) listen() error {
	var err error
	if a.caller, err = a.network.Listen(a.settings.CallerAddress); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if a.operator, err = a.network.Listen(a.settings.OperatorAddress); err != nil {
		return errors.Join(eris.Wrap(err, "listen for operators"), a.caller.Close())
	}
	if a.forward == nil {
		return nil
	}
	if a.ready, err = a.network.Listen(a.settings.ReadyAddress); err != nil {
		return errors.Join(eris.Wrap(err, "listen for readiness probes"), a.caller.Close(), a.operator.Close())
	}
	return nil
}

// Start starts the parts of the host. It fails if that takes longer than 15 seconds.
func (e *Entry) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return eris.Wrap(e.app.Start(ctx), "start")
}

// Stop drains the host and stops its parts. It waits for the requests in flight, at most
// for Settings.DrainTimeout, and returns an error if some are left then.
func (e *Entry) Stop(ctx context.Context) error {
	defer e.cancel()
	return eris.Wrap(e.app.Stop(ctx), "stop")
}

// Kill stops the host at once, as a crash would, and closes its connections.
func (e *Entry) Kill() {
	e.cancel()
	e.caller.Close()
	e.operator.Close()
	if e.ready != nil {
		e.ready.Close()
	}
}

// Host returns the host.
func (e *Entry) Host() *host.Host { return e.host }

// Mesh returns the connections of the host with its peers, or nil if it has none.
func (e *Entry) Mesh() *peer.Mesh { return e.mesh }

// CallerURL returns the base URL for callers.
func (e *Entry) CallerURL() string { return "http://" + e.caller.Addr().String() }

// ReadyURL returns the base URL of the readiness probe of a forwarding host.
func (e *Entry) ReadyURL() string { return "http://" + e.ready.Addr().String() }

// OperatorURL returns the base URL for operators.
func (e *Entry) OperatorURL() string { return "http://" + e.operator.Addr().String() }
