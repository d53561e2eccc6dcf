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
	here  = netip.MustParseAddr("10.0.0.1")
	there = netip.MustParseAddr("10.0.0.2")
	port  = netip.AddrPortFrom(there, 80)
)

// inVirtual runs a test on a network in virtual time.
func inVirtual(t *testing.T, f func(c *qt.C, v *network.Virtual)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := network.NewVirtual(delay)
		defer v.Close()
		f(qt.New(t), v)
	})
}

// connect returns both ends of a connection.
func connect(c *qt.C, v *network.Virtual) (near, far net.Conn) {
	l, err := v.At(there).Listen(port)
	c.Assert(err, qt.IsNil)
	near, err = v.At(here).Dial(context.Background(), port)
	c.Assert(err, qt.IsNil)
	far, err = l.Accept()
	c.Assert(err, qt.IsNil)
	return near, far
}

func read(c *qt.C, from net.Conn, n int) string {
	b := make([]byte, n)
	_, err := io.ReadFull(from, b)
	c.Assert(err, qt.IsNil)
	return string(b)
}

// Bytes take the delay, and those sent into a cut come after it.
func TestCutHoldsBytesUp(t *testing.T) {
	inVirtual(t, func(c *qt.C, v *network.Virtual) {
		near, far := connect(c, v)
		began := time.Now()
		_, err := near.Write([]byte("one"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(c, far, 3), qt.Equals, "one")
		c.Assert(time.Since(began), qt.Equals, delay)

		v.Cut(here, there, true)
		_, err = near.Write([]byte("two"))
		c.Assert(err, qt.IsNil)
		_, err = far.Write([]byte("back"))
		c.Assert(err, qt.IsNil)
		c.Assert(read(c, near, 4), qt.Equals, "back") // the other way is open
		c.Assert(far.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err = far.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		v.Cut(here, there, false)
		c.Assert(far.SetReadDeadline(time.Time{}), qt.IsNil)
		c.Assert(read(c, far, 3), qt.Equals, "two")
		c.Assert(near.Close(), qt.IsNil)
		_, err = far.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
	})
}

// A writer waits for a reader that does not read.
func TestWriterWaits(t *testing.T) {
	inVirtual(t, func(c *qt.C, v *network.Virtual) {
		near, far := connect(c, v)
		c.Assert(near.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
		n, err := near.Write(make([]byte, 1<<20))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		c.Assert(n < 1<<20 && n > 0, qt.IsTrue)
		c.Assert(len(read(c, far, n)), qt.Equals, n)
	})
}

func TestDial(t *testing.T) {
	inVirtual(t, func(c *qt.C, v *network.Virtual) {
		_, err := v.At(here).Dial(context.Background(), port)
		c.Assert(err, qt.ErrorMatches, "dial 10.0.0.2:80: connection refused")
		v.Cut(there, here, true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = v.At(here).Dial(ctx, port)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	})
}

// A silent connection swallows what is written; a new one works.
func TestSilence(t *testing.T) {
	inVirtual(t, func(c *qt.C, v *network.Virtual) {
		near, far := connect(c, v)
		v.Silence(there)
		_, err := near.Write([]byte("lost"))
		c.Assert(err, qt.IsNil)
		c.Assert(far.SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
		_, err = far.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		fresh, err := v.At(here).Dial(context.Background(), port)
		c.Assert(err, qt.IsNil)
		c.Assert(fresh.Close(), qt.IsNil)
	})
}

func TestReset(t *testing.T) {
	inVirtual(t, func(c *qt.C, v *network.Virtual) {
		near, far := connect(c, v)
		v.Reset(there)
		for _, end := range []net.Conn{near, far} {
			_, err := end.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorMatches, "connection reset by peer")
		}
	})
}

// Datagrams sent into a cut are lost.
func TestDatagrams(t *testing.T) {
	inVirtual(t, func(c *qt.C, v *network.Virtual) {
		a, err := v.At(here).ListenPacket(netip.AddrPortFrom(here, 0))
		c.Assert(err, qt.IsNil)
		b, err := v.At(there).ListenPacket(port)
		c.Assert(err, qt.IsNil)
		send := func(text string) {
			_, err := a.WriteTo([]byte(text), b.LocalAddr())
			c.Assert(err, qt.IsNil)
		}
		v.Cut(here, there, true)
		send("lost")
		v.Cut(here, there, false)
		send("found")
		buffer := make([]byte, 10)
		n, from, err := b.ReadFrom(buffer)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buffer[:n]), qt.Equals, "found")
		c.Assert(from.String(), qt.Equals, a.LocalAddr().String())
	})
}
