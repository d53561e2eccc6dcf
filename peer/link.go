package peer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A link holds the connection with the peer at one address. Both hosts use the connection to
	// send, whichever of them dialled it.
	link struct {
		address       netip.AddrPort
		conn          atomic.Pointer[quic.Conn] // nil while not connected
		dialled       atomic.Pointer[quic.Conn] // the latest connection that this host dialled
		cancel        context.CancelFunc        // stops dialling; nil if this host does not dial
		seed          bool                      // never removed, however long it has no connection
		coordinator   bool                      // the peer was dialled as a coordinator in a large deployment
		unwantedSince time.Time                 // time since when the peer is no partner; zero if it is one
		lastHeartbeat atomic.Int64              // time of the last heartbeat sent, in nanoseconds since Mesh.started
	}
)

const (
	// fullMeshHosts is the number of live hosts up to which all are connected with each other.
	fullMeshHosts = 12

	// seedInterval is the time after which a host without a live peer dials another seed.
	seedInterval = 700 * time.Millisecond

	// unwantedTime is the time for which a connection to a host that is no longer a partner is
	// kept. Directories change several times while many hosts start.
	unwantedTime = 5 * time.Second
)

// Join creates links to the given addresses, such as seeds from changed settings. They are dialled
// for as long as this host has no coordinator, and by coordinators always.
func (m *Mesh) Join(ctx context.Context, addresses []netip.AddrPort) {
	m.mu.Lock()
	for _, a := range addresses {
		if !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
		}
	}
	m.mu.Unlock()
	// Each host dials another seed first, and the others only if it has no live peer then:
	// hundreds of hosts that start at once would keep the seeds busy with handshakes for seconds.
	first := int(table.HashName(m.settings.Host)) % max(len(addresses), 1)
	for i := range addresses {
		a := addresses[(first+i)%len(addresses)]
		if i == 0 {
			m.dial(ctx, a, true)
			continue
		}
		stop := time.AfterFunc(time.Duration(i)*seedInterval, func() {
			if ctx.Err() == nil && len(m.Live()) == 0 {
				m.dial(ctx, a, true)
			}
		})
		context.AfterFunc(ctx, func() { stop.Stop() })
	}
}

// dial makes this host dial an address, unless it does so already, the address is its own or the
// mesh has maxLinks. A link that is not one to a seed is removed after linkExpiry without a
// connection, because a failed host is replaced by one at another address. The address of a host
// that was only unreachable arrives again in the heartbeats of other peers.
func (m *Mesh) dial(ctx context.Context, a netip.AddrPort, seed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.dialLink(ctx, a); l != nil {
		l.seed = l.seed || seed
	}
}

// dialLink is dial without the mark of a seed. It returns the link, or nil if the address is not
// dialled. The caller holds m.mu.
func (m *Mesh) dialLink(ctx context.Context, a netip.AddrPort) *link {
	if a == m.address || !a.IsValid() {
		return nil
	}
	l := m.linkAt(a)
	if l == nil {
		return nil
	}
	l.unwantedSince = time.Time{}
	if l.cancel == nil {
		var linkCtx context.Context
		linkCtx, l.cancel = context.WithCancel(ctx)
		go m.maintainLink(ctx, linkCtx, l)
	}
	return l
}

// linkAt returns the link to an address. It creates the link if there is none, and returns nil if the
// mesh has maxLinks. The caller holds m.mu.
func (m *Mesh) linkAt(a netip.AddrPort) *link {
	l := m.links[a]
	if l == nil && len(m.links) < maxLinks {
		l = &link{address: a}
		m.links[a] = l
	}
	return l
}

// adopt uses a connection that the peer at an address has dialled, unless there is one with that
// peer.
func (m *Mesh) adopt(a netip.AddrPort, conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.linkAt(a)
	if l == nil || !l.conn.CompareAndSwap(nil, conn) {
		return
	}
	context.AfterFunc(conn.Context(), func() { m.dropConnection(l, conn) })
}

// dropConnection removes a closed connection from its link. It removes the link if this host does not
// dial.
func (m *Mesh) dropConnection(l *link, conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.conn.CompareAndSwap(conn, nil) && l.cancel == nil {
		delete(m.links, l.address)
	}
}

// maintainLink dials the address of a link whenever it has no connection, until linkCtx is done as
// the link is removed or the mesh stops. If the peer is unreachable, the idle timeout closes the
// connection. Messages are received until ctx is done, which is the context of the mesh: the peer may
// use a connection that this host no longer needs.
func (m *Mesh) maintainLink(ctx, linkCtx context.Context, l *link) {
	for lastConnected := time.Now(); linkCtx.Err() == nil && !m.removeIfExpired(l, lastConnected); {
		if conn := m.connectionOf(ctx, linkCtx, l); conn != nil {
			m.sendHeartbeat(l)
			select {
			case <-conn.Context().Done():
				m.log.Emit(event.PeerReplaced, event.Fields{Peer: l.address.String()})
			case <-linkCtx.Done():
				if conn == l.dialled.Load() {
					_ = conn.CloseWithError(0, "not needed")
				}
				return
			}
			l.conn.CompareAndSwap(conn, nil)
			lastConnected = time.Now()
		}
		pause.For(linkCtx, redialDelay)
	}
}

// connectionOf returns the link's connection, and dials if there is none. It returns nil if
// dialling failed.
func (m *Mesh) connectionOf(ctx, linkCtx context.Context, l *link) *quic.Conn {
	if conn := l.conn.Load(); conn != nil {
		return conn
	}
	dialCtx, cancel := context.WithTimeout(linkCtx, dialTimeout)
	defer cancel()
	conn, err := m.transport.Dial(dialCtx, net.UDPAddrFromAddrPort(l.address), m.config, quicConfig)
	if err != nil {
		return nil
	}
	l.dialled.Store(conn)
	m.serve(ctx, conn)
	if !l.conn.CompareAndSwap(nil, conn) {
		// The peer has dialled at the same time. Its connection is used by this host, and the
		// one dialled here by the peer.
		return l.conn.Load()
	}
	return conn
}

// removeIfExpired removes a link that is not one to a seed and had its last connection at least
// linkExpiry ago. It reports whether it removed the link.
func (m *Mesh) removeIfExpired(l *link, lastConnected time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.seed || time.Since(lastConnected) < linkExpiry {
		return false
	}
	m.remove(l)
	return true
}

// remove stops dialling a link and deletes it. The caller holds m.mu.
func (m *Mesh) remove(l *link) {
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	delete(m.links, l.address)
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

// linkTo returns the link with a peer, or nil.
func (m *Mesh) linkTo(p Peer) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[p.Address]
}

// updateLinks dials the partners of this host and removes the links to hosts that have not been
// partners for unwantedTime, unless connections are relayed on them. A coordinator that has become
// unreachable is dialled until linkExpiry, as the network may be partitioned.
func (m *Mesh) updateLinks(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	partners := m.partners()
	for a := range partners {
		if l := m.dialLink(ctx, a); l != nil && m.directory.Hosts > fullMeshHosts {
			l.coordinator = true
		}
	}
	for a, l := range m.links {
		switch {
		case partners[a]:
		case l.cancel == nil:
			// The peer dialled, and keeps the connection for as long as it needs it.
		case l.unwantedSince.IsZero(), m.relayed.inUse(l.dialled.Load()):
			l.unwantedSince = now
		case now.Sub(l.unwantedSince) >= unwantedTime && (l.conn.Load() != nil || !l.coordinator && !l.seed):
			m.remove(l)
		}
	}
}

// partners returns the addresses that this host dials. Up to fullMeshHosts hosts dial all
// others. In a larger deployment a host dials the coordinators of its failure domain and, if it is one
// itself, those of the other domains. Seeds are dialled by coordinators, through which the parts of
// a partitioned deployment join again, and by hosts without a live coordinator of their domain. The
// caller holds m.mu.
func (m *Mesh) partners() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	if m.directory.Hosts <= fullMeshHosts {
		for a := range m.links {
			out[a] = true
		}
		return out
	}
	_, coordinates := m.directory.Position(m.settings.Domain, m.settings.Host)
	heard := coordinates
	for domain, coordinators := range m.directory.Domains {
		for _, p := range coordinators {
			if domain == m.settings.Domain || coordinates {
				out[p.Address] = true
			}
			if domain == m.settings.Domain && m.view.isUp(p.Host) {
				heard = true
			}
		}
	}
	delete(out, m.address)
	if coordinates || !heard {
		for _, a := range m.seeds {
			out[a] = true
		}
	}
	return out
}
