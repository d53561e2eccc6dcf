package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/credential"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// A Mesh is one host's part of the mesh: its listener, its links to all peers and its
	// membership list.
	Mesh struct {
		settings       Settings
		handler        Handler
		log            *event.Log
		config         *tls.Config
		transport      *quic.Transport
		listener       *quic.Listener
		address        netip.AddrPort // address of the listener
		sequence       atomic.Uint64  // last sequence number of a heartbeat or report
		traffic        Traffic
		reportInterval atomic.Int64 // time between two reports, in nanoseconds; see Settings.ReportBudget
		started        time.Time
		kick           chan struct{} // makes streamLoop report early
		relays         atomic.Int64  // connections that this host relays now
		relayTurn      atomic.Uint64 // counts the choices of a peer that relays
		relayed        connUse

		mu        sync.Mutex
		view      *View                    // membership list
		links     map[netip.AddrPort]*link // by address of the peer
		seeds     []netip.AddrPort
		directory Directory // of view, as of the latest heartbeat interval
		share     Share
	}

	// Settings configure a Mesh.
	Settings struct {
		Host         string // name of this host
		Incarnation  string // identifier of this run of the host: its start time as a number in text form
		Domain       string // failure domain of this host
		Weight       int    // size of this host's machine, in any unit; larger ones coordinate
		Listen       netip.AddrPort
		Seeds        []netip.AddrPort // addresses of initial peers; heartbeats carry the addresses of the others
		Credential   credential.Source
		ReportBudget int             // limit on the periodic reports sent, in bytes per second, summed over all peers; 0 means DefaultReportBudget
		Network      network.Network // required
	}

	// A Handler supplies a mesh with the host's state and handles messages from peers. Its
	// methods are called concurrently.
	Handler interface {
		// FillHeartbeat sets those fields of a heartbeat that the mesh does not set itself:
		// stopping, and the versions of the table and of the published state.
		FillHeartbeat(*wire.Heartbeat)

		// Report returns the host's soft state for the next periodic report.
		Report() *wire.Report

		// Streams returns the host's running streams, for its coordinators. It returns nil if
		// there are none to report.
		Streams() *wire.Streams

		// HandleReport handles a report from a peer, periodic or sent by Broadcast.
		HandleReport(*wire.Report)

		// HandlePeerChange is called when a peer comes up, restarts or goes down, when the
		// directory changes, and for each heartbeat with the version of a table.
		HandlePeerChange()

		// HandleHeartbeat is called for each heartbeat, after HandlePeerChange.
		HandleHeartbeat(p Peer, hb *wire.Heartbeat)

		// Answer answers a peer's query. If it returns nil, the stream is reset.
		Answer(ctx context.Context, q *wire.Question) *wire.Answer

		// Connect opens a connection to a target for a peer, through another peer if further is
		// set and it must. release is called when the connection has ended.
		Connect(ctx context.Context, to netip.AddrPort, further bool) (c net.Conn, release func(), err error)
	}

	// Traffic counts the messages between a mesh and its peers since the mesh was created.
	Traffic struct {
		BytesSent, BytesReceived atomic.Int64
		MessageCount             atomic.Int64 // sent and received
	}

	// A Share is a host's part of the limits that hosts divide among themselves.
	Share struct {
		Hosts, Index int // hosts of the failure domain, and this host's position among them from 0
		AllHosts     int // hosts of all failure domains
	}
)

const (
	// DefaultReportBudget is the default limit on the reports that a host sends, in bytes
	// per second.
	DefaultReportBudget = 10_500

	// MaxMessageBytes is the largest accepted size of a message between hosts.
	MaxMessageBytes = 4 << 20

	wireVersion       = 1                      // version of the messages between hosts
	idleTimeout       = 2 * time.Second        // time without a packet after which a connection is closed
	dialTimeout       = 2 * time.Second        // timeout of a connection attempt
	redialDelay       = 300 * time.Millisecond // delay between two attempts to connect a link
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = time.Second
	reportTimeout     = 500 * time.Millisecond // timeout for sending or receiving a report
	maxLinks          = 1024                   // largest number of links of a mesh
	linkExpiry        = 2 * time.Minute        // time without a connection after which a link that is not permanent is removed
	maxStreams        = 256                    // largest number of open incoming unidirectional streams, and of queries, on a connection
)

// quicConfig has no keep-alive period because heartbeats keep the connections open: a connection
// that carries none for MaxIdleTimeout is closed.
var quicConfig = &quic.Config{
	EnableDatagrams:       true,
	MaxIdleTimeout:        idleTimeout,
	HandshakeIdleTimeout:  dialTimeout,
	MaxIncomingStreams:    maxStreams + maxRelays,
	MaxIncomingUniStreams: maxStreams,

	EnableStreamResetPartialDelivery: true, // of relayed connections
}

// NewMesh creates a mesh and opens its listener for peers. Connections are accepted only while
// Run is running.
func NewMesh(s Settings, h Handler, log *event.Log) (*Mesh, error) {
	config, err := credential.TLSConfig(s.Credential)
	if err != nil {
		return nil, err
	}
	packets, err := s.Network.ListenPacket(s.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "listen on the peer address")
	}
	if s.ReportBudget == 0 {
		s.ReportBudget = DefaultReportBudget
	}
	m := &Mesh{
		settings: s,
		handler:  h,
		log:      log,
		config:   config,
		address:  packets.LocalAddr().(*net.UDPAddr).AddrPort(),
		view:     NewView(Peer{Host: s.Host, Incarnation: s.Incarnation, Domain: s.Domain, Weight: s.Weight, Young: true, Members: 1}),
		started:  time.Now(),
		kick:     make(chan struct{}, 1),
		share:    Share{Hosts: 1, AllHosts: 1},
		links:    map[netip.AddrPort]*link{},
	}
	m.reportInterval.Store(int64(minReportInterval))
	m.transport = &quic.Transport{Conn: packets}
	if m.listener, err = m.transport.Listen(config, quicConfig); err != nil {
		packets.Close()
		return nil, eris.Wrap(err, "listen on the peer address")
	}
	return m, nil
}

// Address returns the address of the listener, at which peers connect to the host.
func (m *Mesh) Address() netip.AddrPort { return m.address }

// Traffic returns the message counters of the mesh.
func (m *Mesh) Traffic() *Traffic { return &m.traffic }

// Live returns the live peers, sorted by host name.
func (m *Mesh) Live() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Live()
}

// Directory returns the coordinators of all failure domains.
func (m *Mesh) Directory() Directory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.directory
}

// Share returns this host's part of the divided limits. A host that is not connected with all hosts of
// its failure domain takes the figures from its coordinator.
func (m *Mesh) Share() Share {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.share
}

// Coordinators returns the live coordinators of this host's failure domain, in order of precedence,
// up to this host if it is one of them. Their requests are placed by the first one.
func (m *Mesh) Coordinators() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.directory.Domains[m.settings.Domain]
	if i, ok := m.directory.Position(m.settings.Domain, m.settings.Host); ok {
		own = own[:i]
	}
	return own
}

// Coordinates reports whether this host is one of the coordinators of its failure domain.
func (m *Mesh) Coordinates() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.directory.Position(m.settings.Domain, m.settings.Host)
	return ok
}

// Arbiter returns the host that decides for all hosts what concerns the targets of a failure domain as a
// whole: the first coordinator of the domain or, if the domain is empty or has no live host, that of
// another one on which all hosts agree. If local is set it is this host. Otherwise p is the arbiter or, if
// this host is not linked with it, a coordinator that passes questions on. Arbiter returns an error if
// there is neither, and for a host that has just started and has found no peer.
func (m *Mesh) Arbiter(domain string) (p Peer, local bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, coordinates := m.directory.Position(m.settings.Domain, m.settings.Host)
	if m.directory.Hosts <= 1 && len(m.seeds) > 0 && m.sinceStart(time.Now()) < youngTime {
		return Peer{}, false, eris.New("no peer has been found yet")
	}
	first, found := m.directory.First(domain)
	if !found && (coordinates || m.directory.Hosts <= fullMeshHosts) {
		first, found = m.directory.First(m.directory.lowestDomain())
	}
	if found && first.Host == m.settings.Host {
		return first, true, nil
	}
	if l := m.links[first.Address]; found && l != nil && l.conn.Load() != nil {
		return first, false, nil
	}
	if relay, ok := m.directory.First(m.settings.Domain); ok && relay.Host != m.settings.Host {
		return relay, false, nil
	}
	return Peer{}, false, eris.Errorf("no connection to the coordinators of %s", domain)
}

// LivePart returns the live part of the hosts of a failure domain from which this host has received
// heartbeats within CapShareTTL, from 0 to 1. The others may be on the other side of a partition. It is 1
// if there are none.
func (m *Mesh) LivePart(domain string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.LivePart(domain)
}

// NewestTable returns the live peer with the highest table version above the given one, if
// any.
func (m *Mesh) NewestTable(above uint64) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.NewestTable(above)
}

// Run connects to the seeds and exchanges messages with the peers until ctx is done. Then it
// closes the listener and all connections.
func (m *Mesh) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.accept(ctx) })
	loops.Go(func() { m.heartbeatLoop(ctx) })
	loops.Go(func() { m.reportLoop(ctx) })
	loops.Go(func() { m.streamLoop(ctx) })
	m.Join(ctx, m.settings.Seeds)
	<-ctx.Done()
	m.listener.Close()
	loops.Wait()
	m.transport.Close()
	m.transport.Conn.Close()
}
