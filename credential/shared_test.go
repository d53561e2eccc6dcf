package credential

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// patience bounds a handshake on loopback.
const patience = 5 * time.Second

// shake connects two hosts and returns what each end says.
func shake(c *qt.C, a, b Source) (client, server error) {
	c.Helper()
	ca, err := Config(a)
	c.Assert(err, qt.IsNil)
	cb, err := Config(b)
	c.Assert(err, qt.IsNil)
	l, err := tls.Listen("tcp", "127.0.0.1:0", cb)
	c.Assert(err, qt.IsNil)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(patience))
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		done <- err
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: patience}, "tcp", l.Addr().String(), ca)
	if err == nil {
		// A server refuses a client's certificate only after the client is done.
		_ = conn.SetDeadline(time.Now().Add(patience))
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
	}
	return err, <-done
}

func TestHostsWithOneSecretTrustEachOther(t *testing.T) {
	c := qt.New(t)
	a, err := NewShared("a secret of many bytes", "a")
	c.Assert(err, qt.IsNil)
	b, err := NewShared("a secret of many bytes", "b")
	c.Assert(err, qt.IsNil)
	client, server := shake(c, a, b)
	c.Assert(client, qt.IsNil)
	c.Assert(server, qt.IsNil)
}

func TestHostWithoutTheSecretIsRefused(t *testing.T) {
	c := qt.New(t)
	a, err := NewShared("a secret of many bytes", "a")
	c.Assert(err, qt.IsNil)
	stranger, err := NewShared("another secret of many bytes", "b")
	c.Assert(err, qt.IsNil)
	client, server := shake(c, a, stranger)
	c.Assert(client != nil || server != nil, qt.IsTrue)
	_, err = NewShared("short", "a")
	c.Assert(err, qt.ErrorMatches, ".*at least 16 are wanted")
}
