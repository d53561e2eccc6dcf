package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// A Virtual is a network in memory. It uses the time package alone for its delays, so
	// in a testing/synctest bubble it runs in virtual time. Links keep the order of what
	// they carry and lose no bytes of connections: what a cut holds up arrives after it.
	// Datagrams sent into a cut are lost.
	Virtual struct {
		mu        sync.Mutex
		delay     time.Duration // one way
		changed   chan struct{} // closed when a cut begins or ends
		cut       map[path]bool
		listeners map[netip.AddrPort]*listener
		packets   map[netip.AddrPort]*packetConn
		conns     map[*conn]bool
		nextPort  uint16
	}

	// path is one direction between two machines.
	path struct{ from, to netip.Addr }

	// machine is the network as one machine sees it.
	machine struct {
		network *Virtual
		address netip.Addr
	}

	listener struct {
		network *Virtual
		address netip.AddrPort
		queue   chan *conn
		closed  chan struct{}
		once    sync.Once
	}
)

const (
	firstPort = 20_000
	backlog   = 1024 // connections that wait to be accepted
)

var errRefused = eris.New("connection refused")

// NewVirtual returns a network whose links have a delay one way.
func NewVirtual(delay time.Duration) *Virtual {
	return &Virtual{
		delay:     delay,
		changed:   make(chan struct{}),
		cut:       map[path]bool{},
		listeners: map[netip.AddrPort]*listener{},
		packets:   map[netip.AddrPort]*packetConn{},
		conns:     map[*conn]bool{},
		nextPort:  firstPort,
	}
}

// At returns the network as the machine at an address sees it.
func (v *Virtual) At(address netip.Addr) Network { return &machine{v, address} }

// Cut cuts or mends the way from one machine to another. Both hear nothing of it.
func (v *Virtual) Cut(from, to netip.Addr, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if cut {
		v.cut[path{from, to}] = true
	} else {
		delete(v.cut, path{from, to})
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// Reset breaks every connection of a machine. Both ends are told.
func (v *Virtual) Reset(address netip.Addr) {
	for _, c := range v.connsOf(address) {
		c.reset()
	}
}

// Silence lets the connections of a machine carry nothing more. Nobody is told, and new ones
// work.
func (v *Virtual) Silence(address netip.Addr) {
	for _, c := range v.connsOf(address) {
		c.out.update(func(s *stream) { s.silent = true })
		c.in.update(func(s *stream) { s.silent = true })
	}
}

// Close breaks every connection and closes every address.
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

// connsOf returns the connections with an end at an address, or all.
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

// isCut reports whether a way is cut, with a channel that is closed at the next change.
func (v *Virtual) isCut(from, to netip.Addr) (bool, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut[path{from, to}], v.changed
}

func (v *Virtual) port() uint16 {
	v.nextPort++
	if v.nextPort < firstPort {
		v.nextPort = firstPort
	}
	return v.nextPort
}

// Listen opens an address of the machine.
func (m *machine) Listen(at netip.AddrPort) (net.Listener, error) {
	v := m.network
	v.mu.Lock()
	defer v.mu.Unlock()
	at = m.own(at)
	if v.listeners[at] != nil {
		return nil, eris.Errorf("listen %s: address already in use", at)
	}
	l := &listener{network: v, address: at, queue: make(chan *conn, backlog), closed: make(chan struct{})}
	v.listeners[at] = l
	return l, nil
}

// own completes an address of the machine; the network is locked.
func (m *machine) own(at netip.AddrPort) netip.AddrPort {
	port := at.Port()
	if port == 0 {
		port = m.network.port()
	}
	return netip.AddrPortFrom(m.address, port)
}

// Dial opens a connection, which takes a round trip. It waits while the way is cut.
func (m *machine) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	v := m.network
	if err := wait(ctx, 2*v.delay); err != nil {
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	for {
		there, changed := v.isCut(m.address, to.Addr())
		back, _ := v.isCut(to.Addr(), m.address)
		if !there && !back {
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
	l := v.listeners[to]
	if l == nil {
		return nil, eris.Wrapf(errRefused, "dial %s", to)
	}
	near, far := v.connect(netip.AddrPortFrom(m.address, v.port()), to)
	select {
	case l.queue <- far:
		return near, nil
	default:
		return nil, eris.Wrapf(errRefused, "dial %s: queue full", to)
	}
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listening.
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

// Addr returns the address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
