// Package wigeonlink is a serving system for generations of unknown length on
// crowded engines. It assembles the parts of one entry host: the callers' desk, the
// operators' pages, the loop that decides, and the feeds from the platform.
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
	// Settings are what a process is told about itself.
	Settings struct {
		Name       string            // of the host; empty means its callers' address
		Domain     string            // failure domain
		Caller     netip.AddrPort    // callers' address; port 0 picks a free one
		Operator   netip.AddrPort    // operators' address; port 0 picks a free one
		Platform   []netip.AddrPort  // addresses of the configuration service
		Peer       netip.AddrPort    // address for peers; port 0 picks a free one
		Peers      []netip.AddrPort  // addresses of peers to begin with
		Keys       []string          // sealing keys in hexadecimal, the current one first
		Credential credential.Source // certificates between hosts; nil means no peers
		Drain      time.Duration     // how long a stop waits for open requests; 0 means DefaultDrain
		Body       int64             // largest request body in bytes; 0 means the desk's default
		Ready      netip.AddrPort    // where a forwarding host answers whether it takes requests
		Linger     time.Duration     // how long a stopping forwarding host still takes requests
		Memory     int64             // bytes of bodies that a forwarding host holds; 0 means any number
		Lines      float64           // log lines a second; 0 means any number
	}

	// An Entry is one entry host.
	Entry struct {
		app      *fx.App
		host     *host.Host
		caller   net.Listener
		operator net.Listener
		ready    net.Listener // nil but for a forwarding host
		cancel   context.CancelFunc
		mesh     *peer.Mesh
	}

	// An Option changes an Entry.
	Option interface{ apply(*assembly) }

	withLogger  struct{ logger hclog.Logger }
	withHost    []host.Option
	withPart    Part
	withNetwork struct{ network network.Network }

	// assembly is what an Entry is made from.
	assembly struct {
		settings Settings
		logger   hclog.Logger
		host     []host.Option
		parts    []Part
		caller   net.Listener
		operator net.Listener
		ready    net.Listener
		runCtx   context.Context
		mesh     *peer.Mesh
		network  network.Network
		forward  *forwarding // nil for a host with the product's own interface
	}
)

// DefaultDrain is how long a stop waits for open requests.
const DefaultDrain = 2 * time.Minute

// Version is the version of the program.
const Version = "0.1.0"

// WithLogger sets where the host logs. The default logs nowhere.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

// WithHost passes options to the host.
func WithHost(opts ...host.Option) Option { return withHost(opts) }

// WithPart adds a part, or replaces the stock part of the same name.
func WithPart(p Part) Option { return withPart(p) }

// WithNetwork replaces the network of the system for callers, operators and peers, and
// for a forwarding host's targets. It is meant for tests of faulty links.
func WithNetwork(n network.Network) Option { return withNetwork{n} }

func (o withNetwork) apply(a *assembly) { a.network = o.network }
func (o withLogger) apply(a *assembly)  { a.logger = o.logger }
func (o withHost) apply(a *assembly)    { a.host = append(a.host, o...) }
func (o withPart) apply(a *assembly)    { a.parts = replacePart(a.parts, Part(o)) }

// NewEntry opens the addresses of an entry host and assembles its parts. Start
// makes it serve.
func NewEntry(s Settings, opts ...Option) (*Entry, error) {
	a := &assembly{settings: s, logger: hclog.NewNullLogger(), parts: DefaultParts(), network: network.System{}}
	for _, o := range opts {
		o.apply(a)
	}
	if a.settings.Drain == 0 {
		a.settings.Drain = DefaultDrain
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
		fx.StopTimeout(a.settings.Drain+stopMargin),
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
	stopMargin   = 10 * time.Second // that a stop may take beyond its drain
	startTimeout = 15 * time.Second // for all parts to start
)

func (a *assembly) listen() error {
	var err error
	if a.caller, err = a.network.Listen(a.settings.Caller); err != nil {
		return eris.Wrap(err, "callers' address")
	}
	if a.operator, err = a.network.Listen(a.settings.Operator); err != nil {
		return errors.Join(eris.Wrap(err, "operators' address"), a.caller.Close())
	}
	if a.forward == nil {
		return nil
	}
	if a.ready, err = a.network.Listen(a.settings.Ready); err != nil {
		return errors.Join(eris.Wrap(err, "readiness address"), a.caller.Close(), a.operator.Close())
	}
	return nil
}

// Start makes the host serve.
func (e *Entry) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return eris.Wrap(e.app.Start(ctx), "start")
}

// Stop takes no new requests, waits for the open ones, and ends the host.
func (e *Entry) Stop(ctx context.Context) error {
	defer e.cancel()
	return eris.Wrap(e.app.Stop(ctx), "stop")
}

// Kill ends the host at once, as a crash would: open connections break.
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

// Mesh returns the host's end of the connections with its peers, nil if it has none.
func (e *Entry) Mesh() *peer.Mesh { return e.mesh }

// CallerURL returns where callers reach the host.
func (e *Entry) CallerURL() string { return "http://" + e.caller.Addr().String() }

// ReadyURL returns where a forwarding host answers whether it takes requests.
func (e *Entry) ReadyURL() string { return "http://" + e.ready.Addr().String() }

// OperatorURL returns where operators reach the host.
func (e *Entry) OperatorURL() string { return "http://" + e.operator.Addr().String() }
