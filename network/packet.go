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
	// packetConn is an address for datagrams of a Virtual.
	packetConn struct {
		network *Virtual
		address netip.AddrPort

		mu      sync.Mutex
		changed chan struct{}
		queue   []datagram
		readBy  time.Time
		closed  bool
	}

	datagram struct {
		data []byte
		from netip.AddrPort
		at   time.Time // of arrival
	}
)

const mostQueued = 4096 // datagrams that wait at an address before more are lost

// ListenPacket opens an address of the machine for datagrams.
func (m *machine) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	v := m.network
	v.mu.Lock()
	defer v.mu.Unlock()
	at = m.own(at)
	if v.packets[at] != nil {
		return nil, eris.Errorf("listen %s: address already in use", at)
	}
	p := &packetConn{network: v, address: at, changed: make(chan struct{})}
	v.packets[at] = p
	return p, nil
}

// ReadFrom waits for a datagram.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		p.mu.Lock()
		switch {
		case p.closed:
			p.mu.Unlock()
			return 0, nil, net.ErrClosed
		case expired(p.readBy):
			p.mu.Unlock()
			return 0, nil, os.ErrDeadlineExceeded
		}
		until := p.readBy
		if len(p.queue) > 0 {
			d := p.queue[0]
			if time.Until(d.at) <= 0 {
				p.queue = p.queue[1:]
				p.mu.Unlock()
				return copy(b, d.data), net.UDPAddrFromAddrPort(d.from), nil
			}
			if until.IsZero() || d.at.Before(until) {
				until = d.at
			}
		}
		changed := p.changed
		p.mu.Unlock()
		await(changed, nil, until)
	}
}

// WriteTo sends a datagram. It is lost if the way is cut or nobody listens.
func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, eris.Errorf("send to %s: not a UDP address", to)
	}
	there := u.AddrPort()
	there = netip.AddrPortFrom(there.Addr().Unmap(), there.Port())
	v := p.network
	if cut, _ := v.isCut(p.address.Addr(), there.Addr()); cut {
		return len(b), nil
	}
	v.mu.Lock()
	other := v.packets[there]
	v.mu.Unlock()
	if other == nil {
		return len(b), nil
	}
	d := datagram{append([]byte(nil), b...), p.address, time.Now().Add(v.delay)}
	other.mu.Lock()
	defer other.mu.Unlock()
	if len(other.queue) < mostQueued {
		other.queue = append(other.queue, d)
		other.tell()
	}
	return len(b), nil
}

func (p *packetConn) tell() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close ends the receiving.
func (p *packetConn) Close() error {
	p.mu.Lock()
	p.closed = true
	p.tell()
	p.mu.Unlock()
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.packets[p.address] == p {
		delete(p.network.packets, p.address)
	}
	return nil
}

// LocalAddr returns the address.
func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// SetDeadline sets the deadline of reads; writes do not wait.
func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline ends waiting reads at a time.
func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readBy = t
	p.tell()
	return nil
}

// SetWriteDeadline does nothing: writes do not wait.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing; quic-go asks for it.
func (p *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing; quic-go asks for it.
func (p *packetConn) SetWriteBuffer(int) error { return nil }
