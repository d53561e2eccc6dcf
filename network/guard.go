package network

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/budget"
)

// A Guard limits what the clients of a RetiringListener make the host hold. The zero value has no limits.
type Guard struct {
	Budget       *budget.Budget    // nil means no budget
	HeadLimits   func() HeadLimits // nil means none but RetiringListener.HeaderTimeout
	WriteTimeout time.Duration     // after which a write is given up of which the client has taken nothing; 0 means no limit
	Limited      func(Limit)       // called when a request is refused or a connection is closed for a limit; may be nil
}

const (
	// sendBuffer limits the bytes that the operating system holds of a response. With its default of some MB, a write to a client that reads
	// a few kB a second makes no progress for minutes.
	sendBuffer = 64 << 10

	// writeGoal is the part of a response after which the time limit of a write is extended.
	writeGoal = 64 << 10
)

// ErrEnded is the error of operations on a connection that the budget of the host has ended.
var ErrEnded = eris.New("the connection was closed, as it held the most memory for the longest time")

// Account returns the account of a caller's connection, nil if it has none.
func Account(c net.Conn) *budget.Account {
	if r, ok := c.(*retiringConn); ok {
		return r.account
	}
	return nil
}

func (g *Guard) headLimits() HeadLimits {
	if g.HeadLimits == nil {
		return HeadLimits{}
	}
	return g.HeadLimits()
}

func (g *Guard) note(l Limit) {
	if g.Limited != nil {
		g.Limited(l)
	}
}

// admit opens the account of a new connection. If there is no room, it refuses the request that may be on its way, and closes the connection.
func (l *RetiringListener) admit(c *retiringConn) bool {
	if l.Guard.Budget == nil {
		return true
	}
	if b, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = b.SetWriteBuffer(sendBuffer) // fails only if the connection is closed
	}
	account, ok := l.Guard.Budget.Open(time.Now(), c.evict)
	if !ok {
		l.Guard.note(LimitConnections)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(retireWriteTimeout)) // fails only if the connection is closed
		_, _ = c.Conn.Write(refusedBusy)                                // a caller that has left needs no response
		_ = c.Conn.Close()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account = account
	return true
}

// inspect counts bytes that have been read, and returns the limit that the head of the request exceeds. The caller holds c.mu.
func (c *retiringConn) inspect(data []byte) Limit {
	if !c.waiting() {
		c.head.after = 0
		if len(data) <= connBufferSize {
			c.head.after = bytes.Count(data, []byte{'\n'})
		}
		return LimitNone
	}
	c.head.add(data)
	if l := c.head.exceeded(c.listener.Guard.headLimits()); l != LimitNone {
		return l
	}
	if !c.account.Hold(budget.Head, c.head.cost(), time.Now()) {
		return LimitMemory
	}
	return LimitNone
}

// refuse refuses the request whose head is being read, of which the server has not received the end. The caller holds c.mu.
func (c *retiringConn) refuse(l Limit) {
	c.listener.Guard.note(l)
	c.retire(l.refusal())
}

// changeAccount settles or frees what the connection holds, as the server has changed its state. The caller holds c.mu.
func (c *retiringConn) changeAccount(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.account.Settle()
	case http.StateIdle:
		c.headSince = time.Time{}
		c.head = headCounter{blank: true, carried: c.head.after}
		c.account.Wait(time.Now())
	}
}

// evict ends the connection for its cost. If the server waits for the rest of a head, the request is refused as not executed.
func (c *retiringConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.retired:
		_ = c.Conn.Close() // it only waits for its caller
		return
	case c.waiting() && c.reading:
		c.refuse(LimitMemory)
		return
	}
	c.listener.Guard.note(LimitMemory)
	c.evicted = true
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // what waits to be sent is dropped
	}
	_ = c.Conn.Close() // the server reads and writes errors from now on
}

// write writes b. While the server has set no deadline, the write is given up when the caller takes nothing for Guard.WriteTimeout.
func (c *retiringConn) write(b []byte) (int, error) {
	written := 0
	for {
		limited := c.extendWrite()
		part := b[written:]
		if limited {
			part = part[:min(len(part), writeGoal)]
		}
		n, err := c.Conn.Write(part)
		written += n
		if limited && n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			c.renewWrite()
			err = nil
		}
		if err != nil || written >= len(b) {
			return written, c.endError(err, limited)
		}
	}
}

// extendWrite reports whether Guard.WriteTimeout applies, and extends the deadline of writes if less than half of it is left.
func (c *retiringConn) extendWrite() bool {
	limit := c.listener.Guard.WriteTimeout
	c.mu.Lock()
	own, until := c.ownWriteDeadline, c.writeUntil
	c.mu.Unlock()
	if limit <= 0 || own {
		return false
	}
	if time.Until(until) < limit/2 {
		c.renewWrite()
	}
	return true
}

// renewWrite sets the deadline of writes to Guard.WriteTimeout from now on.
func (c *retiringConn) renewWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil = time.Now().Add(c.listener.Guard.WriteTimeout)
	_ = c.Conn.SetWriteDeadline(c.writeUntil) // fails only if the connection is closed
}

// endError returns the error of a write, and records that a caller has taken nothing for too long.
func (c *retiringConn) endError(err error, limited bool) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	evicted := c.evicted
	c.mu.Unlock()
	switch {
	case evicted:
		return ErrEnded
	case limited && errors.Is(err, os.ErrDeadlineExceeded):
		c.listener.Guard.note(LimitProgress)
	}
	return err
}

// SetWriteDeadline sets the deadline of writes, in place of Guard.WriteTimeout until the response ends.
func (c *retiringConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return ErrEnded
	}
	// http.Server clears the deadline after each response, before it changes the state of the connection.
	c.responded = t.IsZero() && c.state == http.StateActive
	c.ownWriteDeadline, c.writeUntil = !t.IsZero(), time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// closeConn closes the connection and its account.
func (c *retiringConn) closeConn() error {
	c.account.Close()
	return c.Conn.Close()
}
