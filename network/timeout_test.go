package network_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
)

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux

// A user timeout of a connection would decide when its keep-alive probes give up. Connections have none: silent ones
// end by the timeouts of their users.
func TestConnectionsHaveNoUserTimeout(t *testing.T) {
	c := qt.New(t)
	l, err := network.System{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	defer l.Close()
	conn, err := network.System{}.Dial(context.Background(), l.Addr().(*net.TCPAddr).AddrPort())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer accepted.Close()
	for _, end := range []net.Conn{conn, accepted} {
		raw, err := end.(*net.TCPConn).SyscallConn()
		c.Assert(err, qt.IsNil)
		c.Check(raw.Control(func(fd uintptr) {
			timeout, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			c.Check(err, qt.IsNil)
			c.Check(timeout, qt.Equals, 0)
		}), qt.IsNil)
	}
}
