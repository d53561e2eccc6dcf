package network

import (
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/budget"
)

type (
	// A RetiringListener accepts connections of an HTTP server and closes those that are idle. It decides, per
	// connection, whether a byte of a request has been read since the last response: only if none has, the
	// connection is closed as idle, and nothing is read from it after that. So a caller whose request arrives
	// at that moment gets a response, or its request was not read.
	//
	// RetireIdle ends idle connections with a last response instead. A caller that sends a request at that
	// moment receives the response, which says that the request was not executed. Callers that send none
	// ignore it if its status is 408.
	//
	// ConnState must be set as http.Server.ConnState.
	RetiringListener struct {
		net.Listener

		// IdleTimeout, if not nil, returns how long a connection may be new or idle. If the value changes
		// meanwhile, the longer one applies, because the caller may expect either.
		IdleTimeout func() time.Duration

		// HeaderTimeout limits the time from the first byte of a request on an idle connection until the
		// server sets its own limit, which http.Server does only after several bytes. 0 means no limit.
		HeaderTimeout time.Duration

		// Guard limits what clients make the host hold. It must be set before Accept is called.
		Guard Guard

		mu        sync.Mutex
		conns     map[*retiringConn]bool
		closed    bool                            // no further connection is accepted
		lingering map[*retiringConn]chan struct{} // closed by the server and not yet closed; each channel is closed then

		draining   bool          // connections are closed as soon as they are idle
		newTimeout time.Duration // while draining, limit for the first byte on a new connection
		last       []byte        // response to connections that are retired; nil before RetireIdle
	}

	// retiringConn is a connection of a RetiringListener.
	retiringConn struct {
		net.Conn
		listener *RetiringListener

		mu           sync.Mutex
		state        http.ConnState
		begun        bool        // bytes were read since the server last wrote
		reading      bool        // a Read is in progress
		ending       bool        // to be closed as idle, unless the Read in progress has read bytes
		ended        bool        // closed as idle: nothing more is read
		left         bool        // the caller has closed the connection, or it has failed
		resetOnClose bool        // see SetLinger
		retired      bool        // the last response has been written
		closed       bool        // the server has closed the connection
		readDeadline time.Time   // set by the server
		idleTimer    *time.Timer // nil unless the connection is new or idle

		account          *budget.Account // nil without a budget
		head             headCounter     // of the request that is being read
		headSince        time.Time       // time of the head's first byte; zero before
		evicted          bool            // ended by the budget
		responded        bool            // the response to the request is complete
		idleAfterClose   bool            // the server has made the connection idle after Close
		decided          chan struct{}   // closed when the server has changed the state after Close; nil unless Close waits for that
		ownWriteDeadline bool            // the server has set a deadline of writes
		writeUntil       time.Time       // deadline of writes that the connection has set itself
	}
)

const (
	retireWriteTimeout = 100 * time.Millisecond // of the last response

	// lingerTime is how long a closed connection reads and discards what its caller sends, so that the
	// operating system does not reset it before the caller has read the last response.
	lingerTime = 250 * time.Millisecond
)

// NewRetiringListener returns a RetiringListener that accepts the connections of l.
func NewRetiringListener(l net.Listener) *RetiringListener {
	return &RetiringListener{Listener: l, conns: map[*retiringConn]bool{}, lingering: map[*retiringConn]chan struct{}{}}
}

// Accept waits for the next connection.
func (l *RetiringListener) Accept() (net.Conn, error) {
	var r *retiringConn
	for admitted := false; !admitted; admitted = l.admit(r) {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		r = &retiringConn{Conn: c, listener: l, head: headCounter{blank: true}}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = r.closeConn() // nothing has been read or written
		return nil, net.ErrClosed
	}
	l.conns[r] = true
	return r, nil
}

// Close closes the listener, unless it is closed. Accept returns no connection after that.
func (l *RetiringListener) Close() error {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return nil
	}
	return l.Listener.Close()
}

// ConnState records whether the server waits for a request on a connection.
func (l *RetiringListener) ConnState(c net.Conn, s http.ConnState) {
	r, ok := c.(*retiringConn)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	r.changeAccount(s)
	r.decideClose()
	r.stopIdleTimer()
	if r.waiting() {
		if !r.closed {
			r.limitWait()
		}
	} else {
		r.cancelEnd()
		r.endHead()
	}
}

// CloseIdle closes idle connections, now and as soon as they are idle, and new ones on which nothing arrives
// within newTimeout. It does not wait until they are closed: Wait does, so that the process does not end before the last
// response has reached its caller.
func (l *RetiringListener) CloseIdle(newTimeout time.Duration) {
	l.mu.Lock()
	l.draining, l.newTimeout = true, newTimeout
	l.mu.Unlock()
	for _, c := range l.openConns() {
		c.mu.Lock()
		if c.waiting() {
			c.limitWait()
		}
		c.mu.Unlock()
	}
}

// OpenCount returns the number of connections that the server has not closed.
func (l *RetiringListener) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ActiveCount returns the number of connections with a request, from its head to the last byte of its response.
func (l *RetiringListener) ActiveCount() int {
	return l.count(func(c *retiringConn) bool { return !c.waiting() })
}

// BegunCount returns the number of connections with a request, from its first byte to the last byte of its
// response.
func (l *RetiringListener) BegunCount() int {
	return l.count(func(c *retiringConn) bool { return !c.waiting() || c.begun })
}

// count returns the number of open connections for which f returns true. f is called with c.mu held.
func (l *RetiringListener) count(f func(*retiringConn) bool) int {
	n := 0
	for _, c := range l.openConns() {
		c.mu.Lock()
		if f(c) {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// RetireIdle writes the last response to all idle connections and closes them, and to those that the server
// closes later while it waits for a request. It returns when the idle ones are closed, after at most some
// hundred milliseconds. The server must execute no request any more.
func (l *RetiringListener) RetireIdle(last []byte) {
	l.mu.Lock()
	l.last = last
	l.mu.Unlock()
	for _, c := range l.openConns() {
		c.mu.Lock()
		if c.state == http.StateIdle && !c.begun && !c.retired && !c.closed {
			c.retire(last)
		}
		c.mu.Unlock()
	}
	l.Wait()
}

// Wait waits until the connections that the server has closed so far are closed.
func (l *RetiringListener) Wait() {
	l.mu.Lock()
	lingering := slices.Collect(maps.Values(l.lingering))
	l.mu.Unlock()
	for _, closed := range lingering {
		<-closed
	}
}

func (l *RetiringListener) openConns() []*retiringConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// waiting reports whether the server waits for a request. The caller holds c.mu.
func (c *retiringConn) waiting() bool {
	return c.state == http.StateNew || c.state == http.StateIdle
}

// limitWait limits how long the connection waits for a request. The caller holds c.mu.
func (c *retiringConn) limitWait() {
	c.listener.mu.Lock()
	draining, timeout := c.listener.draining, c.listener.IdleTimeout
	newTimeout := c.listener.newTimeout
	c.listener.mu.Unlock()
	switch {
	case draining && c.state == http.StateIdle:
		c.end()
	case draining:
		c.startIdleTimer(func() time.Duration { return newTimeout })
	case timeout != nil:
		c.startIdleTimer(timeout)
	}
}

// startIdleTimer closes the connection when it has been idle for timeout, from now on. The caller holds c.mu.
func (c *retiringConn) startIdleTimer(timeout func() time.Duration) {
	c.stopIdleTimer()
	idleSince, initial := time.Now(), timeout()
	var t *time.Timer
	t = time.AfterFunc(initial, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.idleTimer != t {
			return
		}
		if rest := max(initial, timeout()) - time.Since(idleSince); rest > 0 {
			t.Reset(rest)
			return
		}
		c.end()
	})
	c.idleTimer = t
}

// stopIdleTimer stops the idle timer. The caller holds c.mu.
func (c *retiringConn) stopIdleTimer() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
}

// end closes the connection as idle, unless bytes of a request have been read. A Read in progress is
// interrupted and decides by whether it has read any. The caller holds c.mu.
func (c *retiringConn) end() {
	if !c.waiting() || c.begun || c.ending || c.retired || c.closed {
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// cancelEnd lets the server read again, as a request has arrived. The caller holds c.mu.
func (c *retiringConn) cancelEnd() {
	if c.ending && !c.ended {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.effectiveDeadline()) // fails only if the connection is closed
	}
}

// begin records that bytes have been read. The caller holds c.mu.
func (c *retiringConn) begin() {
	first := !c.begun
	c.begun = true
	c.cancelEnd()
	if first && c.waiting() {
		_ = c.Conn.SetReadDeadline(c.effectiveDeadline()) // fails only if the connection is closed
	}
}

// Read reads from the connection. From one that is retired or closed as idle it reads nothing more.
func (c *retiringConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.ending && !c.begun {
		c.ended = true
	}
	if c.retired || c.ended {
		c.mu.Unlock()
		return 0, io.EOF
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	switch {
	case c.retired:
		return 0, io.EOF
	case n > 0:
		if exceeded := c.inspect(b[:n]); exceeded != LimitNone {
			c.refuse(exceeded)
			return 0, io.EOF
		}
		c.begin()
	case c.ending:
		c.ended = true
		return 0, io.EOF
	}
	if err != nil && c.evicted {
		return n, ErrEnded
	}
	c.left = c.left || (err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// SetReadDeadline sets the deadline of reads.
func (c *retiringConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(c.effectiveDeadline())
}

// Write writes to the connection.
func (c *retiringConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.begun = false
	retired := c.retired
	c.mu.Unlock()
	if retired {
		return 0, net.ErrClosed
	}
	return c.write(b)
}

// SetLinger makes Close reset the connection if sec is 0, like SetLinger of net.TCPConn.
func (c *retiringConn) SetLinger(sec int) error {
	c.mu.Lock()
	c.resetOnClose = sec == 0
	c.mu.Unlock()
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// CloseWrite ends the direction to the caller.
func (c *retiringConn) CloseWrite() error {
	c.closeWrite()
	return nil
}

// Close closes the connection. After a response, it is closed in the background once the caller has had time
// to read the response. After RetireIdle, Close retires a connection on which the server waits for a
// request, as that may be on its way, or has read one without a response.
func (c *retiringConn) Close() error {
	c.listener.mu.Lock()
	last, draining := c.listener.last, c.listener.draining
	c.listener.mu.Unlock()
	// The connection counts as open until its end in the background is counted.
	defer c.listener.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if (c.state == http.StateIdle || c.begun) && last != nil && !c.retired && !c.ended {
		c.retire(last)
	}
	c.closed = true
	c.stopIdleTimer()
	switch {
	case c.retired:
		return nil
	case c.responded && c.state == http.StateActive && last != nil && !c.resetOnClose:
		c.closeAfterState(last)
		return nil
	case c.mayBeRead(draining) && c.closeWrite():
		c.listener.linger(c)
		return nil
	}
	return c.closeConn()
}

// mayBeRead reports whether the caller may not have read yet what was last written. Only a connection that is closed as idle
// while the listener drains has just become idle. The caller holds c.mu.
func (c *retiringConn) mayBeRead(draining bool) bool {
	if c.reading || c.left || c.resetOnClose {
		return false
	}
	return !c.waiting() || c.ended && draining && c.state == http.StateIdle
}

func (l *RetiringListener) remove(c *retiringConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
