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
	// A Mesh is a host's end of the connections with the others.
	Mesh struct {
		settings       Settings
		handler        Handler
		log            *event.Log
		config         *tls.Config
		transport      *quic.Transport
		listener       *quic.Listener
		address        netip.AddrPort
		sequence       atomic.Uint64
		traffic        Traffic
		reportInterval atomic.Int64 // nanoseconds between two reports, as the budget allows

		mu    sync.Mutex
		view  *View
		links map[netip.AddrPort]*link
	}

	// Settings are what a mesh is told about its host.
	Settings struct {
		Host         string
		Incarnation  string
		Domain       string
		Listen       netip.AddrPort
		Seeds        []netip.AddrPort // of hosts to begin with; others are learnt
		Credential   credential.Source
		ReportBudget int             // bytes of reports a second; 0 means DefaultBudget
		Network      network.Network // must be set
	}

	// A Handler is the host behind a mesh.
	Handler interface {
		// FillHeartbeat fills in what a heartbeat says of the host.
		FillHeartbeat(*wire.Heartbeat)

		// Report returns the host's soft state.
		Report() *wire.Report

		// HandleReport takes in a peer's soft state.
		HandleReport(*wire.Report)

		// HandlePeerChange is told when peers came or went, or a peer's table is newer.
		HandlePeerChange()

		// HandleHeartbeat is told what a peer's heartbeat says of what is published.
		HandleHeartbeat(p Peer, hb *wire.Heartbeat)

		// Answer answers a peer's question. nil closes the stream without one.
		Answer(ctx context.Context, q *wire.Question) *wire.Answer
	}

	// Traffic counts what a mesh has sent and received. All fields grow.
	Traffic struct {
		Sent, Received atomic.Int64 // bytes of messages
		Messages       atomic.Int64
	}

	// link is the outgoing connection to one address.
	link struct {
		address   netip.AddrPort
		conn      atomic.Pointer[quic.Conn]
		cancel    context.CancelFunc
		permanent bool // it is dialled for ever
	}
)

const (
	// DefaultReportBudget is the bytes of reports that a host sends in a second.
	DefaultReportBudget = 10_500

	// MaxMessageBytes is the largest message between hosts, in bytes.
	MaxMessageBytes = 4 << 20

	wireVersion       = 1
	idleTimeout       = 2 * time.Second
	dialTimeout       = 2 * time.Second
	redialDelay       = 300 * time.Millisecond
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = time.Second
	reportTimeout     = 500 * time.Millisecond
	maxLinks          = 1024
	linkExpiry        = 2 * time.Minute // without a connection, until a host is taken to be gone for good
	maxStreams        = 256
)

// Heartbeats keep the connections open; one that carries none is dead.
var quicConfig = &quic.Config{
	EnableDatagrams:       true,
	MaxIdleTimeout:        idleTimeout,
	HandshakeIdleTimeout:  dialTimeout,
	MaxIncomingStreams:    maxStreams,
	MaxIncomingUniStreams: maxStreams,
}

// NewMesh opens a host's address for its peers. Run makes it work.
func NewMesh(s Settings, h Handler, log *event.Log) (*Mesh, error) {
	config, err := credential.Config(s.Credential)
	if err != nil {
		return nil, err
	}
	packets, err := s.Network.ListenPacket(s.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "peers' address")
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
		return nil, eris.Wrap(err, "peers' address")
	}
	return m, nil
}

// Address returns where peers reach the host.
func (m *Mesh) Address() netip.AddrPort { return m.address }

// Traffic returns the counters of the mesh.
func (m *Mesh) Traffic() *Traffic { return &m.traffic }

// Live returns the live peers by name.
func (m *Mesh) Live() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Live()
}

// CapSplit returns how many hosts of this domain share its caps and this one's place.
func (m *Mesh) CapSplit() (count, place int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.CapSplit(m.settings.Domain)
}

// Rank returns this host's place in an order of all live hosts in which the first ones
// of each failure domain come first, and the number of live hosts.
func (m *Mesh) Rank() (rank, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Rank(m.settings.Domain)
}

// NewestTable returns the live peer with the highest table version above have.
func (m *Mesh) NewestTable(have uint64) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.NewestTable(have)
}

// Run works until ctx ends, then closes the address.
func (m *Mesh) Run(ctx context.Context) {
	var ended sync.WaitGroup
	ended.Go(func() { m.accept(ctx) })
	ended.Go(func() { m.heartbeatLoop(ctx) })
	ended.Go(func() { m.reportLoop(ctx) })
	m.Join(ctx, m.settings.Seeds)
	<-ctx.Done()
	m.listener.Close()
	ended.Wait()
	m.transport.Close()
	m.transport.Conn.Close()
}

// connect makes sure that there is a link to an address. One that does not stay is given up
// when it has had no connection for long: hosts are replaced, and the seeds, or peers that
// know it, lead to a host that is only cut off.
func (m *Mesh) connect(ctx context.Context, a netip.AddrPort, stays bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[a]; l != nil {
		l.permanent = l.permanent || stays
		return
	}
	if a == m.address || !a.IsValid() || len(m.links) >= maxLinks {
		return
	}
	sub, cancel := context.WithCancel(ctx)
	l := &link{address: a, cancel: cancel, permanent: stays}
	m.links[a] = l
	go m.maintainLink(sub, l)
}

// maintainLink dials a link over and over. A connection that has fallen silent ends by its
// idle timeout and is replaced.
func (m *Mesh) maintainLink(ctx context.Context, l *link) {
	for seen := time.Now(); ctx.Err() == nil && !m.removeIfExpired(l, seen); {
		dialing, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := m.transport.Dial(dialing, net.UDPAddrFromAddrPort(l.address), m.config, quicConfig)
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
			seen = time.Now()
		}
		pause.For(ctx, redialDelay)
	}
}

// removeIfExpired drops a link that has had no connection since a time long ago.
func (m *Mesh) removeIfExpired(l *link, seen time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.permanent || time.Since(seen) < linkExpiry {
		return false
	}
	l.cancel()
	delete(m.links, l.address)
	return true
}

// Links returns the number of addresses that the mesh is connected to or dials.
func (m *Mesh) Links() int {
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

// heartbeatLoop sends heartbeats and watches for silence.
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

func (m *Mesh) expirePeers(now time.Time) {
	m.mu.Lock()
	gone := m.view.Expire(now)
	m.mu.Unlock()
	for _, c := range gone {
		m.log.Emit(event.PeerDown, event.Fields{Peer: c.Peer.Host, Detail: c.Peer.Incarnation})
	}
	if len(gone) > 0 {
		m.handler.HandlePeerChange()
	}
}

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
		m.count(&m.traffic.Sent, len(data))
	}
}

// SendHeartbeats sends a heartbeat ahead of its time.
func (m *Mesh) SendHeartbeats() {
	for _, l := range m.connectedLinks() {
		m.sendHeartbeat(l)
	}
}

// Broadcast sends something other than the regular report to all peers.
func (m *Mesh) Broadcast(ctx context.Context, r *wire.Report) {
	r.Version, r.Host, r.Incarnation = wireVersion, m.settings.Host, m.settings.Incarnation
	data, err := proto.Marshal(r)
	if err != nil {
		m.log.Emit(event.HostFault, event.Fields{Detail: "push: " + err.Error()})
		return
	}
	for _, l := range m.connectedLinks() {
		m.sendReport(ctx, l, data)
	}
}

// Join makes sure that there are links to some addresses, as when the settings change.
func (m *Mesh) Join(ctx context.Context, addresses []netip.AddrPort) {
	for _, a := range addresses {
		m.connect(ctx, a, true)
	}
}

// addressSample is how many addresses a heartbeat passes on.
const addressSample = 3

// sampleAddresses returns addresses of live peers, others with each heartbeat.
func (m *Mesh) sampleAddresses() []string {
	live := m.Live()
	out := make([]string, 0, addressSample)
	for i := range min(addressSample, len(live)) {
		at := (int(m.sequence.Load()) + i*len(live)/addressSample) % len(live)
		out = append(out, live[at].Address.String())
	}
	return out
}

func (m *Mesh) count(counter *atomic.Int64, bytes int) {
	counter.Add(int64(bytes))
	m.traffic.Messages.Add(1)
}

// reportLoop sends soft state as often as the budget allows.
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
		spend := time.Duration(len(data)*len(links)) * time.Second / time.Duration(m.settings.ReportBudget)
		m.reportInterval.Store(int64(min(max(spend, minReportInterval), maxReportInterval)))
	}
}

// ReportInterval returns the present time between two reports.
func (m *Mesh) ReportInterval() time.Duration { return time.Duration(m.reportInterval.Load()) }

// sendReport sends a report on a stream of its own. One that cannot be sent at once
// is dropped; the next replaces it anyway.
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
		m.count(&m.traffic.Sent, len(data))
	}
}
