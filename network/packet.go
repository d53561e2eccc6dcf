package network

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// packetConn is a datagram socket in a Virtual network.
	packetConn struct {
		network *Virtual
		address netip.AddrPort

		mu           sync.Mutex
		changed      chan struct{} // closed and replaced when a field below changes
		queue        []datagram    // sent and not yet read, in order
		readDeadline time.Time
		closed       bool
	}

	// datagram is the payload and the sender of a packet that was sent and not yet read.
	datagram struct {
		data    []byte
		from    netip.AddrPort
		arrival time.Time // from which the receiver can read the datagram
	}
)

const maxQueuedDatagrams = 4096 // datagrams per socket; further ones are dropped until the receiver reads

// ListenPacket listens for datagrams at the port of at. The IP address is always the machine's.
func (m *machine) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	v := m.network
	v.mu.Lock()
	defer v.mu.Unlock()
	at = m.localAddress(at)
	if v.packets[at] != nil {
		return nil, eris.Errorf("listen %s: address already in use", at)
	}
	p := &packetConn{network: v, address: at, changed: make(chan struct{})}
	v.packets[at] = p
	return p, nil
}

// ReadFrom blocks until a datagram arrives or the read deadline passes.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		p.mu.Lock()
		switch {
		case p.closed:
			p.mu.Unlock()
			return 0, nil, net.ErrClosed
		case deadlinePassed(p.readDeadline):
			p.mu.Unlock()
			return 0, nil, os.ErrDeadlineExceeded
		}
		until := p.readDeadline
		if len(p.queue) > 0 {
			d := p.queue[0]
			if time.Until(d.arrival) <= 0 {
				p.queue = p.queue[1:]
				p.mu.Unlock()
				return copy(b, d.data), net.UDPAddrFromAddrPort(d.from), nil
			}
			if until.IsZero() || d.arrival.Before(until) {
				until = d.arrival
			}
		}
		changed := p.changed
		p.mu.Unlock()
		waitForChange(changed, nil, until)
	}
}

// WriteTo sends a datagram. It is dropped without an error if the link is partitioned, if
// nothing listens at the address or if the receiver's queue is full.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, eris.Errorf("send to %s: not a UDP address", to)
	}
	destination := udp.AddrPort()
	destination = netip.AddrPortFrom(destination.Addr().Unmap(), destination.Port())
	v := p.network
	if partitioned, _ := v.isPartitioned(p.address.Addr(), destination.Addr()); partitioned {
		return len(b), nil
	}
	v.mu.Lock()
	receiver := v.packets[destination]
	v.mu.Unlock()
	if receiver == nil {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), p.address, time.Now().Add(v.delay)}
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	if len(receiver.queue) < maxQueuedDatagrams {
		receiver.queue = append(receiver.queue, d)
		receiver.notify()
	}
	return len(b), nil
}

// notify wakes blocked calls of ReadFrom. The caller holds p.mu.
func (p *packetConn) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close closes the socket. Current and later reads fail with net.ErrClosed.
func (p *packetConn) Close() error {
	p.mu.Lock()
	p.closed = true
	p.notify()
	p.mu.Unlock()
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.packets[p.address] == p {
		delete(p.network.packets, p.address)
	}
	return nil
}

// LocalAddr returns the socket's address.
func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// SetDeadline sets the read deadline; writes never block.
func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline sets the deadline of current and later reads; the zero time means none.
func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	p.notify()
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing. quic-go calls it on every socket.
func (p *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing. quic-go calls it on every socket.
func (p *packetConn) SetWriteBuffer(int) error { return nil }
