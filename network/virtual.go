package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// A Virtual is an in-memory network of machines. Its delays use only the time package,
	// so that it runs in virtual time within a testing/synctest bubble. Links preserve
	// order. A connection loses no bytes in a partition: bytes sent during the partition
	// arrive when it ends. Datagrams sent during a partition are dropped.
	Virtual struct {
		mu                sync.Mutex
		delay             time.Duration // of every link, in one direction
		partitionsChanged chan struct{} // closed and replaced when a partition starts or ends
		partitioned       map[link]bool // links with a partition
		cuts              map[netip.Addr]cutMachines
		listeners         map[netip.AddrPort]*listener
		packets           map[netip.AddrPort]*packetConn
		conns             map[*conn]bool // connection ends that are not closed
		lastPort          uint16         // last ephemeral port allocated
	}

	// link is the path from one machine to another; the reverse direction is another link.
	link struct{ from, to netip.Addr }

	// machine is the network access of the machine at an address. It implements Network.
	machine struct {
		network *Virtual
		address netip.Addr
	}

	// listener accepts connections at one address of a machine.
	listener struct {
		network *Virtual
		address netip.AddrPort
		queue   chan *conn // server ends of connections that are dialed and not yet accepted
		closed  chan struct{}
		once    sync.Once
	}
)

const (
	firstEphemeralPort = 20_000 // lower ports are never allocated
	backlog            = 1024   // connections per listener that are not yet accepted; further dials are refused
)

// NewVirtual returns a network in which every link has the given one-way delay.
func NewVirtual(delay time.Duration) *Virtual {
	return &Virtual{
		delay:             delay,
		partitionsChanged: make(chan struct{}),
		partitioned:       map[link]bool{},
		cuts:              map[netip.Addr]cutMachines{},
		listeners:         map[netip.AddrPort]*listener{},
		packets:           map[netip.AddrPort]*packetConn{},
		conns:             map[*conn]bool{},
		lastPort:          firstEphemeralPort,
	}
}

// At returns the network access of the machine at an address. Every address is a machine.
func (v *Virtual) At(address netip.Addr) Network { return &machine{v, address} }

// SetPartitioned starts or ends a partition of the link from one machine to another. During the
// partition neither machine gets an error: reads and dials block, and datagrams are dropped.
func (v *Virtual) SetPartitioned(from, to netip.Addr, partitioned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if partitioned {
		v.partitioned[link{from, to}] = true
	} else {
		delete(v.partitioned, link{from, to})
	}
	close(v.partitionsChanged)
	v.partitionsChanged = make(chan struct{})
}

// Reset resets every current connection of a machine. Reads and writes then fail with ECONNRESET
// at both ends.
func (v *Virtual) Reset(address netip.Addr) {
	for _, c := range v.connsOf(address) {
		c.reset()
	}
}

// Blackhole drops all further traffic on the current connections of a machine. Neither end
// gets an error. Connections opened later work.
func (v *Virtual) Blackhole(address netip.Addr) {
	for _, c := range v.connsOf(address) {
		c.out.update(func(s *stream) { s.blackholed = true })
		c.in.update(func(s *stream) { s.blackholed = true })
	}
}

// Close closes all listeners and sockets and resets all connections.
func (v *Virtual) Close() {
	v.mu.Lock()
	listeners, packets := make([]*listener, 0, len(v.listeners)), make([]*packetConn, 0, len(v.packets))
	for _, l := range v.listeners {
		listeners = append(listeners, l)
	}
	for _, p := range v.packets {
		packets = append(packets, p)
	}
	v.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, p := range packets {
		p.Close()
	}
	for _, c := range v.connsOf(netip.Addr{}) {
		c.reset()
	}
}

// connsOf returns the connections that have an end at an address, or all connections for
// the invalid address.
func (v *Virtual) connsOf(address netip.Addr) []*conn {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*conn
	for c := range v.conns {
		if !address.IsValid() || c.local.Addr() == address || c.remote.Addr() == address {
			out = append(out, c)
		}
	}
	return out
}

// isPartitioned reports whether a link is partitioned. The channel is closed when any
// partition next starts or ends.
func (v *Virtual) isPartitioned(from, to netip.Addr) (bool, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partitioned[link{from, to}] || v.cutBetween(from, to).hangs(), v.partitionsChanged
}

// allocatePort returns the next ephemeral port. The caller holds v.mu.
func (v *Virtual) allocatePort() uint16 {
	v.lastPort++
	if v.lastPort < firstEphemeralPort {
		v.lastPort = firstEphemeralPort
	}
	return v.lastPort
}

// Listen listens for connections at the port of at. The IP address is always the machine's.
func (m *machine) Listen(at netip.AddrPort) (net.Listener, error) {
	v := m.network
	v.mu.Lock()
	defer v.mu.Unlock()
	at = m.localAddress(at)
	if v.listeners[at] != nil {
		return nil, eris.Errorf("listen %s: address already in use", at)
	}
	l := &listener{network: v, address: at, queue: make(chan *conn, backlog), closed: make(chan struct{})}
	v.listeners[at] = l
	return l, nil
}

// localAddress returns the machine's address with the port of at, or with an ephemeral port
// if that is 0. The caller holds m.network.mu.
func (m *machine) localAddress(at netip.AddrPort) netip.AddrPort {
	port := at.Port()
	if port == 0 {
		port = m.network.allocatePort()
	}
	return netip.AddrPortFrom(m.address, port)
}

// Dial opens a connection, which takes one round trip. It blocks while either direction is
// partitioned, at most until ctx is done.
func (m *machine) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	v := m.network
	if err := sleep(ctx, 2*v.delay); err != nil {
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	for {
		forward, changed := v.isPartitioned(m.address, to.Addr())
		reverse, _ := v.isPartitioned(to.Addr(), m.address)
		if !forward && !reverse || v.opensWhileCut(m.address, to.Addr()) {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, eris.Wrapf(ctx.Err(), "dial %s", to)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.dialError(m.address, to.Addr()); err != nil {
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	if c := v.openedByCut(netip.AddrPortFrom(m.address, v.allocatePort()), to); c != nil {
		return c, nil
	}
	l := v.listeners[to]
	if l == nil {
		return nil, eris.Wrapf(syscall.ECONNREFUSED, "dial %s", to)
	}
	client, server := v.connect(netip.AddrPortFrom(m.address, v.allocatePort()), to)
	select {
	case l.queue <- server:
		return client, nil
	default:
		return nil, eris.Wrapf(syscall.ECONNREFUSED, "dial %s: accept queue full", to)
	}
}

// sleep blocks for a duration. It returns the error of ctx if ctx is done before that.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept blocks until there is a new connection or the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. It does not close connections that have been accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
