package network

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetConn is a connection whose reads report its failure. The operating system reports a failure such as a reset once only: if
// a write gets the error, the next read returns io.EOF, as after the orderly end of the peer's bytes. So a read at that end returns the
// error of the write. The write itself succeeds, and its bytes are lost as on their way: a response that arrived before the
// failure can be read.
type resetConn struct {
	net.Conn
	mu      sync.Mutex
	writes  int           // in progress
	idle    chan struct{} // closed when no write is in progress any more; nil unless a read waits for that
	dropped bool          // writes are dropped, as one has failed or the peer's bytes have ended
	failure error         // of the first write that has failed
}

// NewResetConn returns c as a connection whose Read returns io.EOF only if the peer has ended its bytes in order. Otherwise it returns the
// failure of c, also if a write got that.
func NewResetConn(c net.Conn) net.Conn { return &resetConn{Conn: c} }

// NetConn returns the connection whose failures are reported.
func (c *resetConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. At its end it returns the error of a write in place of io.EOF, if there was one.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endOfRead(err)
	}
	return n, err
}

// endOfRead returns the error of a write that has failed, or end. A write in progress may have got the error and not returned yet, so
// it is interrupted and waited for.
func (c *resetConn) endOfRead(end error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = true
	if c.writes > 0 {
		idle := make(chan struct{})
		c.idle = idle
		c.mu.Unlock()
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write, too
		<-idle
		c.mu.Lock()
	}
	return cmp.Or(c.failure, end)
}

// Write writes to the connection. It drops b if the connection has failed, or if its peer has ended its bytes meanwhile.
func (c *resetConn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if c.endWrite(err) {
		return len(b), nil
	}
	return n, err
}

// beginWrite reports whether a write is to be made.
func (c *resetConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped {
		return false
	}
	c.writes++
	return true
}

// endWrite records the end of a write, and reports whether the rest of its bytes is dropped.
func (c *resetConn) endWrite(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if c.writes == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
	switch {
	case err == nil, errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.dropped // interrupted by a read
	}
	c.failure = cmp.Or(c.failure, err)
	c.dropped = true
	return true
}
