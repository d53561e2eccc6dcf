package credential

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// handshakeTimeout is the time limit for a handshake over loopback.
const handshakeTimeout = 5 * time.Second

// handshake connects host a as the client to host b as the server, and returns the error of the
// TLS handshake at each end.
func handshake(c *qt.C, a, b Source) (client, server error) {
	c.Helper()
	ca, err := TLSConfig(a)
	c.Assert(err, qt.IsNil)
	cb, err := TLSConfig(b)
	c.Assert(err, qt.IsNil)
	l, err := tls.Listen("tcp", "127.0.0.1:0", cb)
	c.Assert(err, qt.IsNil)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		done <- err
	}()
	conn, err := tls.DialWithDialer(&net.Dialer{Timeout: handshakeTimeout}, "tcp", l.Addr().String(), ca)
	if err == nil {
		// In TLS 1.3 the server verifies the client's certificate after the
		// client has finished its handshake. The read waits for the result.
		_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
	}
	return err, <-done
}

func TestHostsWithSameSecretConnect(t *testing.T) {
	c := qt.New(t)
	a, err := NewSharedSecretSource("a secret of many bytes", "a")
	c.Assert(err, qt.IsNil)
	b, err := NewSharedSecretSource("a secret of many bytes", "b")
	c.Assert(err, qt.IsNil)
	client, server := handshake(c, a, b)
	c.Assert(client, qt.IsNil)
	c.Assert(server, qt.IsNil)
}

func TestHostWithOtherSecretIsRefused(t *testing.T) {
	c := qt.New(t)
	a, err := NewSharedSecretSource("a secret of many bytes", "a")
	c.Assert(err, qt.IsNil)
	other, err := NewSharedSecretSource("another secret of many bytes", "b")
	c.Assert(err, qt.IsNil)
	client, server := handshake(c, a, other)
	c.Assert(client != nil || server != nil, qt.IsTrue)
	_, err = NewSharedSecretSource("short", "a")
	c.Assert(err, qt.ErrorMatches, ".*at least 16 are required")
}
