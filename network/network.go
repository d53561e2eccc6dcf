// Package network opens and dials addresses: those of the system, or in tests those of
// a network in memory that can be cut, slowed and run in virtual time.
package network

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

type (
	// A Network is a machine's way to others.
	Network interface {
		// Listen accepts connections at an address; port 0 picks a free one.
		Listen(at netip.AddrPort) (net.Listener, error)

		// ListenPacket receives datagrams at an address; port 0 picks a free one.
		ListenPacket(at netip.AddrPort) (net.PacketConn, error)

		// Dial opens a connection.
		Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	}

	// System is the network of the operating system.
	System struct{}
)

// Listen accepts TCP connections.
func (System) Listen(at netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", at.String())
	return l, eris.Wrap(err, "listen")
}

// ListenPacket receives UDP datagrams.
func (System) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	p, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return p, nil
}

// Dial opens a TCP connection. The error is the system's own.
func (System) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}
