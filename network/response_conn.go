package network

import (
	"net"
	"sync/atomic"
)

// responseConn is a connection on which a client reads responses. Its reads fail at a head that is malformed, and at the end of a
// connection that has failed.
type responseConn struct {
	resetConn
	kept    bool
	request atomic.Bool // a request has been written since the last read
	head    headChecker
}

// NewResponseConn returns c as a connection for a client of HTTP/1.1: Read returns an error at a malformed head of a response, and the failures of c
// like the one of NewResetConn. If kept is set, the connection carries several responses, each after its request, and the requests
// have no bodies; otherwise it carries one.
func NewResponseConn(c net.Conn, kept bool) net.Conn {
	return &responseConn{resetConn: resetConn{Conn: c}, kept: kept}
}

// Read reads from the connection. It returns none of the bytes that end a malformed line of a head.
func (c *responseConn) Read(b []byte) (int, error) {
	n, err := c.resetConn.Read(b)
	if n > 0 {
		if c.request.Swap(false) {
			c.head.next()
		}
		if malformed := c.head.add(b[:n]); malformed != nil {
			return 0, malformed
		}
	}
	return n, err
}

// Write writes to the connection.
func (c *responseConn) Write(b []byte) (int, error) {
	if c.kept {
		c.request.Store(true)
	}
	return c.resetConn.Write(b)
}
