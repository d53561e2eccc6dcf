package network_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
)

const delay = 10 * time.Millisecond

var (
	clientAddr = netip.MustParseAddr("10.0.0.1")
	serverAddr = netip.MustParseAddr("10.0.0.2")
	serverPort = netip.AddrPortFrom(serverAddr, 80)
)

// runVirtual runs a test with a Virtual network in virtual time.
func runVirtual(t *testing.T, f func(c *qt.C, v *network.Virtual)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := network.NewVirtual(delay)
		defer v.Close()
		f(qt.New(t), v)
	})
}

// connect returns both ends of a new connection from clientAddr to serverPort.
func connect(c *qt.C, v *network.Virtual) (client, server net.Conn) {
	l, err := v.At(serverAddr).Listen(serverPort)
	c.Assert(err, qt.IsNil)
	client, err = v.At(clientAddr).Dial(context.Background(), serverPort)
	c.Assert(err, qt.IsNil)
	server, err = l.Accept()
	c.Assert(err, qt.IsNil)
	return client, server
}

// read reads exactly n bytes from a connection.
func read(c *qt.C, from net.Conn, n int) string {
	b := make([]byte, n)
	_, err := io.ReadFull(from, b)
	c.Assert(err, qt.IsNil)
	return string(b)
}

// Bytes arrive after the one-way delay. Bytes sent during a partition arrive when it ends, and
// the reverse direction is unaffected.
func TestPartitionDelaysBytes(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		client, server := connect(c, v)
		start := time.Now()
		_, err := client.Write([]byte("one"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(c, server, 3), qt.Equals, "one")
		c.Assert(time.Since(start), qt.Equals, delay)

		v.SetPartitioned(clientAddr, serverAddr, true)
		_, err = client.Write([]byte("two"))
		c.Assert(err, qt.IsNil)
		_, err = server.Write([]byte("back"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(c, client, 4), qt.Equals, "back") // the reverse direction is not partitioned
		c.Assert(server.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err = server.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		v.SetPartitioned(clientAddr, serverAddr, false)
		c.Assert(server.SetReadDeadline(time.Time{}), qt.IsNil)
		c.Assert(read(c, server, 3), qt.Equals, "two")
		c.Assert(client.Close(), qt.IsNil)
		_, err = server.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
	})
}

// Write blocks until its deadline if the peer does not read and the receive window is full.
func TestWriteBlocksOnFullWindow(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		client, server := connect(c, v)
		c.Assert(client.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
		n, err := client.Write(make([]byte, 1<<20))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		c.Assert(n < 1<<20 && n > 0, qt.IsTrue)
		c.Assert(len(read(c, server, n)), qt.Equals, n)
	})
}

func TestDialErrors(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		_, err := v.At(clientAddr).Dial(context.Background(), serverPort)
		c.Assert(err, qt.ErrorMatches, "dial 10.0.0.2:80: connection refused")
		v.SetPartitioned(serverAddr, clientAddr, true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = v.At(clientAddr).Dial(ctx, serverPort)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	})
}

// A blackholed connection accepts writes and delivers nothing; a new connection works.
func TestBlackholedConnection(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		client, server := connect(c, v)
		v.Blackhole(serverAddr)
		_, err := client.Write([]byte("lost"))
		c.Assert(err, qt.IsNil)
		c.Assert(server.SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
		_, err = server.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		second, err := v.At(clientAddr).Dial(context.Background(), serverPort)
		c.Assert(err, qt.IsNil)
		c.Assert(second.Close(), qt.IsNil)
	})
}

// Without half-closed connections, hosts in a Virtual network did not wait for callers to read the end of a response.
func TestHalfClosedConnectionIsRead(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		client, server := connect(c, v)
		_, err := server.Write([]byte("last"))
		c.Assert(err, qt.IsNil)
		c.Assert(server.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
		got, err := io.ReadAll(client)
		c.Assert(err, qt.IsNil)
		c.Assert(string(got), qt.Equals, "last")
		_, err = client.Write([]byte("more"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(c, server, 4), qt.Equals, "more")
		_, err = server.Write([]byte("late"))
		c.Assert(err, qt.ErrorIs, net.ErrClosed)
	})
}

func TestResetBreaksBothEnds(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		client, server := connect(c, v)
		v.Reset(serverAddr)
		for _, end := range []net.Conn{client, server} {
			_, err := end.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorMatches, "connection reset by peer")
		}
	})
}

// Datagrams sent during a partition are dropped and do not arrive when it ends.
func TestPartitionDropsDatagrams(t *testing.T) {
	runVirtual(t, func(c *qt.C, v *network.Virtual) {
		sender, err := v.At(clientAddr).ListenPacket(netip.AddrPortFrom(clientAddr, 0))
		c.Assert(err, qt.IsNil)
		receiver, err := v.At(serverAddr).ListenPacket(serverPort)
		c.Assert(err, qt.IsNil)
		send := func(text string) {
			_, err := sender.WriteTo([]byte(text), receiver.LocalAddr())
			c.Assert(err, qt.IsNil)
		}
		v.SetPartitioned(clientAddr, serverAddr, true)
		send("lost")
		v.SetPartitioned(clientAddr, serverAddr, false)
		send("found")
		buffer := make([]byte, 10)
		n, from, err := receiver.ReadFrom(buffer)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buffer[:n]), qt.Equals, "found")
		c.Assert(from.String(), qt.Equals, sender.LocalAddr().String())
	})
}
