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
	"google.golang.org/protobuf/proto"

	"github.com/wigeonlink/wigeonlink/credential"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/pause"
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

		mu    sync.Mutex
		view  *View                    // membership list
		links map[netip.AddrPort]*link // by address of the peer
	}

	// Settings configure a Mesh.
	Settings struct {
		Host         string // name of this host
		Incarnation  string // identifier of this run of the host: its start time as a number in text form
		Domain       string // failure domain of this host
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

		// HandleReport handles a report from a peer, periodic or sent by Broadcast.
		HandleReport(*wire.Report)

		// HandlePeerChange is called when a peer comes up, restarts or goes down, and for
		// each heartbeat with the version of a table.
		HandlePeerChange()

		// HandleHeartbeat is called for each heartbeat, after HandlePeerChange.
		HandleHeartbeat(p Peer, hb *wire.Heartbeat)

		// Answer answers a peer's query. If it returns nil, the stream is reset.
		Answer(ctx context.Context, q *wire.Question) *wire.Answer
	}

	// Traffic counts the messages between a mesh and its peers since the mesh was created.
	Traffic struct {
		BytesSent, BytesReceived atomic.Int64
		MessageCount             atomic.Int64 // sent and received
	}

	// A link keeps an outgoing connection to the peer at one address and redials it.
	link struct {
		address   netip.AddrPort
		conn      atomic.Pointer[quic.Conn] // nil while not connected
		cancel    context.CancelFunc
		permanent bool // never removed, however long it has no connection; for seeds
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
	maxStreams        = 256                    // largest number of open incoming streams of one type (unidirectional, bidirectional) on a connection
)

// quicConfig has no keep-alive period because heartbeats keep the connections open: a connection
// that carries none for MaxIdleTimeout is closed.
var quicConfig = &quic.Config{
	EnableDatagrams:       true,
	MaxIdleTimeout:        idleTimeout,
	HandshakeIdleTimeout:  dialTimeout,
	MaxIncomingStreams:    maxStreams,
	MaxIncomingUniStreams: maxStreams,
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
		view:     NewView(s.Host),
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

// CapSplit returns the number of hosts that share the caps of this host's failure domain, and
// this host's position among them, from 0. See View.CapSplit.
func (m *Mesh) CapSplit() (count, position int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.CapSplit(m.settings.Domain)
}

// Rank returns this host's position among the live hosts in the order of View.Rank, from 0, and
// the number of live hosts.
func (m *Mesh) Rank() (rank, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Rank(m.settings.Domain)
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
	m.Join(ctx, m.settings.Seeds)
	<-ctx.Done()
	m.listener.Close()
	loops.Wait()
	m.transport.Close()
	m.transport.Conn.Close()
}

// connect creates a link to an address, unless there is one, the address is this host's own or
// the mesh has maxLinks. A link that is not permanent is removed after linkExpiry without a
// connection, because a failed host is replaced by one at another address. The address of a host
// that was only unreachable arrives again in the heartbeats of seeds or other peers.
func (m *Mesh) connect(ctx context.Context, a netip.AddrPort, permanent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[a]; l != nil {
		l.permanent = l.permanent || permanent
		return
	}
	if a == m.address || !a.IsValid() || len(m.links) >= maxLinks {
		return
	}
	linkCtx, cancel := context.WithCancel(ctx)
	l := &link{address: a, cancel: cancel, permanent: permanent}
	m.links[a] = l
	go m.maintainLink(linkCtx, l)
}

// maintainLink dials the address of a link, and redials it whenever the connection is closed,
// until the link is removed or ctx is done. If the peer is unreachable, the idle timeout closes
// the connection.
func (m *Mesh) maintainLink(ctx context.Context, l *link) {
	for lastConnected := time.Now(); ctx.Err() == nil && !m.removeIfExpired(l, lastConnected); {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := m.transport.Dial(dialCtx, net.UDPAddrFromAddrPort(l.address), m.config, quicConfig)
		cancel()
		if err == nil {
			l.conn.Store(conn)
			m.sendHeartbeat(l)
			select {
			case <-conn.Context().Done():
				m.log.Emit(event.PeerReplaced, event.Fields{Peer: l.address.String()})
			case <-ctx.Done():
				_ = conn.CloseWithError(0, "stopping")
			}
			l.conn.Store(nil)
			lastConnected = time.Now()
		}
		pause.For(ctx, redialDelay)
	}
}

// removeIfExpired removes a link that is not permanent and had its last connection at least
// linkExpiry ago. It reports whether it removed the link.
func (m *Mesh) removeIfExpired(l *link, lastConnected time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.permanent || time.Since(lastConnected) < linkExpiry {
		return false
	}
	l.cancel()
	delete(m.links, l.address)
	return true
}

// LinkCount returns the number of links, connected or not.
func (m *Mesh) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// connectedLinks returns the links that have a connection.
func (m *Mesh) connectedLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		if l.conn.Load() != nil {
			out = append(out, l)
		}
	}
	return out
}

// heartbeatLoop sends a heartbeat to all peers and detects peers that are down, every
// HeartbeatInterval.
func (m *Mesh) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, l := range m.connectedLinks() {
				m.sendHeartbeat(l)
			}
			m.expirePeers(now)
		}
	}
}

// expirePeers marks the peers without recent heartbeats as down, logs them and calls
// HandlePeerChange if there are any.
func (m *Mesh) expirePeers(now time.Time) {
	m.mu.Lock()
	down := m.view.Expire(now)
	m.mu.Unlock()
	for _, c := range down {
		m.log.Emit(event.PeerDown, event.Fields{Peer: c.Peer.Host, Detail: c.Peer.Incarnation})
	}
	if len(down) > 0 {
		m.handler.HandlePeerChange()
	}
}

// sendHeartbeat sends a heartbeat as a datagram, which may be lost. It does nothing while the
// link has no connection.
func (m *Mesh) sendHeartbeat(l *link) {
	conn := l.conn.Load()
	if conn == nil {
		return
	}
	hb := &wire.Heartbeat{
		Version:     wireVersion,
		Host:        m.settings.Host,
		Incarnation: m.settings.Incarnation,
		Sequence:    m.sequence.Add(1),
		Stamp:       StampToWire(m.log.Clock().Next()),
		Domain:      m.settings.Domain,
		Address:     m.address.String(),
	}
	hb.Known = m.sampleAddresses()
	m.handler.FillHeartbeat(hb)
	data, err := proto.Marshal(hb)
	if err != nil {
		return
	}
	if conn.SendDatagram(data) == nil {
		m.count(&m.traffic.BytesSent, len(data))
	}
}

// SendHeartbeats sends a heartbeat to all connected peers immediately, in addition to the
// periodic ones.
func (m *Mesh) SendHeartbeats() {
	for _, l := range m.connectedLinks() {
		m.sendHeartbeat(l)
	}
}

// Broadcast sends a report to all connected peers, in addition to the periodic ones. It does not
// count towards the report budget.
func (m *Mesh) Broadcast(ctx context.Context, r *wire.Report) {
	r.Version, r.Host, r.Incarnation = wireVersion, m.settings.Host, m.settings.Incarnation
	data, err := proto.Marshal(r)
	if err != nil {
		m.log.Emit(event.HostFault, event.Fields{Detail: "encode a broadcast report: " + err.Error()})
		return
	}
	for _, l := range m.connectedLinks() {
		m.sendReport(ctx, l, data)
	}
}

// Join creates permanent links to the given addresses, such as seeds from changed settings.
func (m *Mesh) Join(ctx context.Context, addresses []netip.AddrPort) {
	for _, a := range addresses {
		m.connect(ctx, a, true)
	}
}

// addressesPerHeartbeat is the number of peer addresses in a heartbeat.
const addressesPerHeartbeat = 3

// sampleAddresses returns the addresses of up to addressesPerHeartbeat live peers, in text form.
// The selection varies with the sequence number.
func (m *Mesh) sampleAddresses() []string {
	live := m.Live()
	out := make([]string, 0, addressesPerHeartbeat)
	for i := range min(addressesPerHeartbeat, len(live)) {
		index := (int(m.sequence.Load()) + i*len(live)/addressesPerHeartbeat) % len(live)
		out = append(out, live[index].Address.String())
	}
	return out
}

// count adds a message of the given size to the counter of bytes and to the number of messages.
func (m *Mesh) count(counter *atomic.Int64, bytes int) {
	counter.Add(int64(bytes))
	m.traffic.MessageCount.Add(1)
}

// reportLoop periodically sends a report of soft state to all connected peers. After each report
// it sets the interval so that reports of this size to this number of peers stay within the
// budget, but no shorter than minReportInterval and no longer than maxReportInterval.
func (m *Mesh) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(m.reportInterval.Load()))
		links := m.connectedLinks()
		if len(links) == 0 {
			continue
		}
		r := m.handler.Report()
		r.Version, r.Host, r.Incarnation = wireVersion, m.settings.Host, m.settings.Incarnation
		r.Sequence = m.sequence.Add(1)
		data, err := proto.Marshal(r)
		if err != nil {
			continue
		}
		for _, l := range links {
			m.sendReport(ctx, l, data)
		}
		interval := time.Duration(len(data)*len(links)) * time.Second / time.Duration(m.settings.ReportBudget)
		m.reportInterval.Store(int64(min(max(interval, minReportInterval), maxReportInterval)))
	}
}

// ReportInterval returns the current time between two reports.
func (m *Mesh) ReportInterval() time.Duration { return time.Duration(m.reportInterval.Load()) }

// sendReport sends an encoded report on a new unidirectional stream. A report that cannot be
// sent within reportTimeout is dropped, because the next one replaces it.
func (m *Mesh) sendReport(ctx context.Context, l *link, data []byte) {
	conn := l.conn.Load()
	if conn == nil {
		return
	}
	s, err := conn.OpenUniStream()
	if err != nil {
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(reportTimeout))
	if _, err := s.Write(data); err != nil || ctx.Err() != nil {
		s.CancelWrite(0)
		return
	}
	if s.Close() == nil {
		m.count(&m.traffic.BytesSent, len(data))
	}
}
