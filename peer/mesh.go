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
		settings  Settings
		handler   Handler
		log       *event.Log
		config    *tls.Config
		transport *quic.Transport
		listener  *quic.Listener
		address   netip.AddrPort
		sequence  atomic.Uint64
		cost      Cost
		limit     atomic.Int64 // nanoseconds between two reports, as the budget allows

		mu    sync.Mutex
		view  *View
		links map[netip.AddrPort]*link
	}

	// Settings are what a mesh is told about its host.
	Settings struct {
		Host        string
		Incarnation string
		Domain      string
		Listen      netip.AddrPort
		Seeds       []netip.AddrPort // of hosts to begin with; others are learnt
		Credential  credential.Source
		Budget      int             // bytes of reports a second; 0 means DefaultBudget
		Network     network.Network // must be set
	}

	// A Handler is the host behind a mesh.
	Handler interface {
		// Beat fills in what a heartbeat says of the host.
		Beat(*wire.Heartbeat)

		// Report returns the host's soft state.
		Report() *wire.Report

		// Heard takes in a peer's soft state.
		Heard(*wire.Report)

		// Changed is told when peers came or went, or a peer's table is newer.
		Changed()

		// Published is told what a peer's heartbeat says of what is published.
		Published(p Peer, hb *wire.Heartbeat)

		// Answer answers a peer's question. nil closes the stream without one.
		Answer(ctx context.Context, q *wire.Question) *wire.Answer
	}

	// Cost counts what a mesh has sent and received. All fields grow.
	Cost struct {
		Sent, Received atomic.Int64 // bytes of messages
		Messages       atomic.Int64
	}

	// link is the outgoing connection to one address.
	link struct {
		address netip.AddrPort
		conn    atomic.Pointer[quic.Conn]
		cancel  context.CancelFunc
		stays   bool // it is dialled for ever
	}
)

const (
	// DefaultBudget is the bytes of reports that a host sends in a second.
	DefaultBudget = 10_500

	// MostMessage is the largest message between hosts, in bytes.
	MostMessage = 4 << 20

	wireVersion   = 1
	idleTimeout   = 2 * time.Second
	dialTimeout   = 2 * time.Second
	redialPause   = 300 * time.Millisecond
	leastReport   = 100 * time.Millisecond
	mostReport    = time.Second
	reportTimeout = 500 * time.Millisecond
	mostLinks     = 1024
	linkLife      = 2 * time.Minute // without a connection, until a host is taken to be gone for good
	mostStreams   = 256
)

// Heartbeats keep the connections open; one that carries none is dead.
var quicConfig = &quic.Config{
	EnableDatagrams:       true,
	MaxIdleTimeout:        idleTimeout,
	HandshakeIdleTimeout:  dialTimeout,
	MaxIncomingStreams:    mostStreams,
	MaxIncomingUniStreams: mostStreams,
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
	if s.Budget == 0 {
		s.Budget = DefaultBudget
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
	m.limit.Store(int64(leastReport))
	m.transport = &quic.Transport{Conn: packets}
	if m.listener, err = m.transport.Listen(config, quicConfig); err != nil {
		packets.Close()
		return nil, eris.Wrap(err, "peers' address")
	}
	return m, nil
}

// Address returns where peers reach the host.
func (m *Mesh) Address() netip.AddrPort { return m.address }

// Cost returns the counters of the mesh.
func (m *Mesh) Cost() *Cost { return &m.cost }

// Live returns the live peers by name.
func (m *Mesh) Live() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Live()
}

// Split returns how many hosts of this domain share its caps and this one's place.
func (m *Mesh) Split() (count, place int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Split(m.settings.Domain)
}

// Rank returns this host's place in an order of all live hosts in which the first ones
// of each failure domain come first, and the number of live hosts.
func (m *Mesh) Rank() (rank, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Rank(m.settings.Domain)
}

// Newest returns the live peer with the highest table version above have.
func (m *Mesh) Newest(have uint64) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Newest(have)
}

// Run works until ctx ends, then closes the address.
func (m *Mesh) Run(ctx context.Context) {
	var ended sync.WaitGroup
	ended.Go(func() { m.accept(ctx) })
	ended.Go(func() { m.beat(ctx) })
	ended.Go(func() { m.report(ctx) })
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
		l.stays = l.stays || stays
		return
	}
	if a == m.address || !a.IsValid() || len(m.links) >= mostLinks {
		return
	}
	sub, cancel := context.WithCancel(ctx)
	l := &link{address: a, cancel: cancel, stays: stays}
	m.links[a] = l
	go m.keep(sub, l)
}

// keep dials a link over and over. A connection that has fallen silent ends by its
// idle timeout and is replaced.
func (m *Mesh) keep(ctx context.Context, l *link) {
	for seen := time.Now(); ctx.Err() == nil && !m.giveUp(l, seen); {
		dialing, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := m.transport.Dial(dialing, net.UDPAddrFromAddrPort(l.address), m.config, quicConfig)
		cancel()
		if err == nil {
			l.conn.Store(conn)
			m.beatTo(l)
			select {
			case <-conn.Context().Done():
				m.log.Emit(event.PeerReplaced, event.Fields{Peer: l.address.String()})
			case <-ctx.Done():
				_ = conn.CloseWithError(0, "stopping")
			}
			l.conn.Store(nil)
			seen = time.Now()
		}
		pause.For(ctx, redialPause)
	}
}

// giveUp drops a link that has had no connection since a time long ago.
func (m *Mesh) giveUp(l *link, seen time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.stays || time.Since(seen) < linkLife {
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

// open returns the links that have a connection.
func (m *Mesh) open() []*link {
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

// beat sends heartbeats and watches for silence.
func (m *Mesh) beat(ctx context.Context) {
	ticker := time.NewTicker(BeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, l := range m.open() {
				m.beatTo(l)
			}
			m.expire(now)
		}
	}
}

func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	gone := m.view.Expire(now)
	m.mu.Unlock()
	for _, c := range gone {
		m.log.Emit(event.PeerDown, event.Fields{Peer: c.Peer.Host, Detail: c.Peer.Incarnation})
	}
	if len(gone) > 0 {
		m.handler.Changed()
	}
}

func (m *Mesh) beatTo(l *link) {
	conn := l.conn.Load()
	if conn == nil {
		return
	}
	hb := &wire.Heartbeat{
		Version:     wireVersion,
		Host:        m.settings.Host,
		Incarnation: m.settings.Incarnation,
		Sequence:    m.sequence.Add(1),
		Stamp:       StampOf(m.log.Clock().Next()),
		Domain:      m.settings.Domain,
		Address:     m.address.String(),
	}
	hb.Known = m.sample()
	m.handler.Beat(hb)
	data, err := proto.Marshal(hb)
	if err != nil {
		return
	}
	if conn.SendDatagram(data) == nil {
		m.count(&m.cost.Sent, len(data))
	}
}

// BeatNow sends a heartbeat ahead of its time.
func (m *Mesh) BeatNow() {
	for _, l := range m.open() {
		m.beatTo(l)
	}
}

// Push sends something other than the regular report to all peers.
func (m *Mesh) Push(ctx context.Context, r *wire.Report) {
	r.Version, r.Host, r.Incarnation = wireVersion, m.settings.Host, m.settings.Incarnation
	data, err := proto.Marshal(r)
	if err != nil {
		m.log.Emit(event.HostFault, event.Fields{Detail: "push: " + err.Error()})
		return
	}
	for _, l := range m.open() {
		m.sendReport(ctx, l, data)
	}
}

// Join makes sure that there are links to some addresses, as when the settings change.
func (m *Mesh) Join(ctx context.Context, addresses []netip.AddrPort) {
	for _, a := range addresses {
		m.connect(ctx, a, true)
	}
}

// knownSample is how many addresses a heartbeat passes on.
const knownSample = 3

// sample returns addresses of live peers, others with each heartbeat.
func (m *Mesh) sample() []string {
	live := m.Live()
	out := make([]string, 0, knownSample)
	for i := range min(knownSample, len(live)) {
		at := (int(m.sequence.Load()) + i*len(live)/knownSample) % len(live)
		out = append(out, live[at].Address.String())
	}
	return out
}

func (m *Mesh) count(counter *atomic.Int64, bytes int) {
	counter.Add(int64(bytes))
	m.cost.Messages.Add(1)
}

// report sends soft state as often as the budget allows.
func (m *Mesh) report(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(m.limit.Load()))
		links := m.open()
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
		spend := time.Duration(len(data)*len(links)) * time.Second / time.Duration(m.settings.Budget)
		m.limit.Store(int64(min(max(spend, leastReport), mostReport)))
	}
}

// ReportEvery returns the present time between two reports.
func (m *Mesh) ReportEvery() time.Duration { return time.Duration(m.limit.Load()) }

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
		m.count(&m.cost.Sent, len(data))
	}
}
