// Package network abstracts listening and dialing. System uses the operating system's
// network. Virtual is an in-memory network for tests, with delays, partitions, connection
// resets and blackholes. It runs in real time, or in virtual time within testing/synctest.
package network

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"
)

type (
	// A Network is the network access of one machine.
	Network interface {
		// Listen listens for connections at an address; port 0 selects a free port.
		Listen(at netip.AddrPort) (net.Listener, error)

		// ListenPacket listens for datagrams at an address; port 0 selects a free port.
		ListenPacket(at netip.AddrPort) (net.PacketConn, error)

		// Dial opens a connection.
		Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	}

	// System is the network of the operating system.
	System struct{}
)

// MaxResponseHead is the size limit of a response's status line and headers, in bytes. net/http's default of
// 10 MiB takes more than ten times as much memory when it is parsed, which no host has.
const MaxResponseHead = 32 << 10

// Listen listens for TCP connections at an address.
func (System) Listen(at netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", at.String())
	return l, eris.Wrap(err, "listen")
}

// ListenPacket listens for UDP datagrams at an address.
func (System) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	p, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return p, nil
}

// Dial opens a TCP connection. It returns the operating system's error unwrapped.
func (System) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

// EndsWithConnection reports whether only the end of its connection marks the end of a response, which
// has neither a length nor chunks. Its reader cannot distinguish a whole body from one that was cut off.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// IsFinalStatus reports whether a status is that of a final response. A target in trouble may answer with another, such as 000, which
// net/http accepts in responses that it reads and panics on in those that it writes.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the largest status that is defined by HTTP.
const maxStatus = 599

// CloseWithReset closes a connection so that its peer reads an error in place of the end, as after
// the failure of a process.
func CloseWithReset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close() // as above
}
