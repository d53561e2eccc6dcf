package network

import (
	"io"
	"net/http"
	"time"
)

// effectiveDeadline returns the deadline of reads: that of the server, or that of the head if it is earlier. The caller holds c.mu.
func (c *retiringConn) effectiveDeadline() time.Time {
	if !c.waiting() || !c.begun {
		return c.readDeadline
	}
	limit := c.listener.Guard.headLimits().Timeout
	if limit <= 0 && c.readDeadline.IsZero() {
		limit = c.listener.HeaderTimeout
	}
	if limit <= 0 {
		return c.readDeadline
	}
	if c.headSince.IsZero() {
		c.headSince = time.Now()
	}
	until := c.headSince.Add(limit + headTimeSlack)
	if c.readDeadline.IsZero() || until.Before(c.readDeadline) {
		return until
	}
	return c.readDeadline
}

// endHead restores the server's deadline of reads after a head. The caller holds c.mu.
func (c *retiringConn) endHead() {
	if !c.headSince.IsZero() && !c.ending {
		c.headSince = time.Time{}
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
}

// retire writes the last response and closes the connection in the background. The returned channel is closed then. The caller holds c.mu.
func (c *retiringConn) retire(last []byte) <-chan struct{} {
	c.retired = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(retireWriteTimeout))
	_, _ = c.Conn.Write(last) // a caller that has left needs no response
	c.closeWrite()
	return c.listener.linger(c)
}

// closeWrite ends the direction to the caller, if the connection can be closed in halves. It reports whether
// it can.
func (c *retiringConn) closeWrite() bool {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok {
		_ = half.CloseWrite() // fails only if the connection is closed
	}
	return ok
}

// addLingering counts the connection as one that is to be closed, and returns the channel to be closed then.
func (l *RetiringListener) addLingering(c *retiringConn) chan struct{} {
	closed := make(chan struct{})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering[c] = closed
	return closed
}

// closeAfterState closes the connection in the background when the server has changed its state after a complete response. http.Server.Shutdown closes
// idle connections before ConnState is called: the state shows whether the caller may have sent another request, which then gets the last response. The
// caller holds c.mu.
func (c *retiringConn) closeAfterState(last []byte) {
	decided := make(chan struct{})
	c.retired, c.decided = true, decided
	closed := c.listener.addLingering(c)
	go func() {
		defer close(closed)
		select {
		case <-decided:
		case <-time.After(lingerTime):
		}
		c.mu.Lock()
		var lingering <-chan struct{}
		if c.idleAfterClose {
			lingering = c.retire(last)
		} else {
			c.closeWrite()
			lingering = c.listener.linger(c)
		}
		c.mu.Unlock()
		<-lingering
	}()
}

// decideClose lets closeAfterState proceed, as the server has changed the state. The caller holds c.mu.
func (c *retiringConn) decideClose() {
	if c.decided != nil {
		c.idleAfterClose = c.state == http.StateIdle
		close(c.decided)
		c.decided = nil
	}
}

// linger waits in the background until the caller closes the connection, for lingerTime at most, and closes it. The returned channel is closed
// then.
func (l *RetiringListener) linger(c *retiringConn) <-chan struct{} {
	closed := l.addLingering(c)
	wait := lingerTime
	if l.Guard.Budget.Crowded() {
		wait = 0 // descriptors are short
	}
	c.account.Linger()
	go func() {
		defer close(closed)
		_ = c.Conn.SetReadDeadline(time.Now().Add(wait))
		_, _ = io.Copy(io.Discard, c.Conn) // what arrives is not read as a request
		_ = c.closeConn()                  // nothing is left to be sent
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.lingering, c)
	}()
	return closed
}
