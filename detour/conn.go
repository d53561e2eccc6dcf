package detour

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// ownConn is a connection of this host's own to a target. It reports to its Network whether an answer arrives on it:
// something on a lost path may open connections and then reset or ignore them. Only the first answer counts, since
// targets close connections that have been idle.
type ownConn struct {
	net.Conn
	network *Network
	to      netip.AddrPort

	mu       sync.Mutex
	sentAt   time.Time   // when the first bytes were sent; zero before
	timer    *time.Timer // of answerDelay, from sentAt on
	waiting  bool        // answerDelay has passed without an answer
	finished bool        // an answer has begun, or the connection has ended
}

// Read reads from the target.
func (c *ownConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case n > 0:
		c.network.lastBytes.Store(time.Now().UnixNano())
		if c.finish() {
			c.network.recordAnswer(c.to)
		}
	case err != nil && endedByOther(err):
		c.unanswered()
	}
	return n, err
}

// Write writes to the target.
func (c *ownConn) Write(b []byte) (int, error) {
	c.begin()
	n, err := c.Conn.Write(b)
	if err != nil && endedByOther(err) {
		c.unanswered()
	}
	return n, err
}

// Close closes the connection. If the host has waited in vain for an answer, the path is checked.
func (c *ownConn) Close() error {
	c.mu.Lock()
	late := c.waiting
	c.mu.Unlock()
	if late {
		c.unanswered()
	}
	c.finish()
	return c.Conn.Close()
}

// begin records that bytes are about to be sent.
func (c *ownConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAt.IsZero() && !c.finished {
		c.sentAt = time.Now()
		c.timer = time.AfterFunc(answerDelay, c.wait)
	}
}

// wait records that there has been no answer for answerDelay.
func (c *ownConn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.waiting = true
	c.network.wait(c.to, c.sentAt)
}

// finish records that an answer has begun or the connection has ended. It reports whether that is the first time.
func (c *ownConn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return false
	}
	c.finished = true
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.waiting {
		c.network.endWait(c.to)
	}
	return true
}

// unanswered has the path checked if the connection has ended after bytes were sent, and before an answer.
func (c *ownConn) unanswered() {
	c.mu.Lock()
	sentAt := c.sentAt
	c.mu.Unlock()
	if c.finish() && !sentAt.IsZero() {
		c.network.suspect(c.to, sentAt)
	}
}

// endedByOther reports whether an error of a connection shows that the other end, or something on the way, has ended it.
func endedByOther(err error) bool {
	return !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}
