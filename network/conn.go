package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// conn is one end of a connection in a Virtual network.
	conn struct {
		network       *Virtual
		local, remote netip.AddrPort
		in, out       *stream // this end reads from in and writes to out
		resetOnClose  atomic.Bool
	}

	// stream is one direction of a connection.
	stream struct {
		network  *Virtual
		from, to netip.Addr

		mu            sync.Mutex
		changed       chan struct{} // closed and replaced when a field below changes
		chunks        []chunk       // written and not yet read, in order
		unread        int           // total bytes in chunks
		writeClosed   bool          // writes fail with net.ErrClosed; reads return io.EOF after the chunks
		readClosed    bool          // reads fail with net.ErrClosed, writes with ECONNRESET
		reset         bool          // reads and writes fail with ECONNRESET
		blackholed    bool          // writes succeed; reads get neither bytes nor io.EOF
		resetOnWrite  bool          // the first write resets the connection
		readDeadline  time.Time
		writeDeadline time.Time
	}

	// chunk holds the unread rest of bytes that were sent at the same time.
	chunk struct {
		data    []byte
		arrival time.Time // from which the reader can read the data
	}
)

const receiveWindow = 256 << 10 // unread bytes of a stream at which writes to it block

// connect returns both ends of a new connection. The caller holds v.mu.
func (v *Virtual) connect(from, to netip.AddrPort) (client, server *conn) {
	forward, reverse := newStream(v, from.Addr(), to.Addr()), newStream(v, to.Addr(), from.Addr())
	client = &conn{network: v, local: from, remote: to, in: reverse, out: forward}
	server = &conn{network: v, local: to, remote: from, in: forward, out: reverse}
	v.conns[client], v.conns[server] = true, true
	return client, server
}

func newStream(v *Virtual, from, to netip.Addr) *stream {
	return &stream{network: v, from: from, to: to, changed: make(chan struct{})}
}

// Read blocks until bytes arrive, the connection is closed or reset, or the read deadline passes.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write sends bytes. It blocks while the receive window of the peer is full, at most until the
// write deadline.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	if c.out.resetOnWrite && n > 0 {
		c.reset()
	}
	return n, err
}

// SetLinger makes Close reset the connection if sec is 0, like SetLinger of net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	c.resetOnClose.Store(sec == 0)
	return nil
}

// CloseWrite ends the direction to the peer, like CloseWrite of net.TCPConn.
func (c *conn) CloseWrite() error {
	c.out.update(func(s *stream) { s.writeClosed = true })
	return nil
}

// Close closes both directions. The peer can still read the bytes written before Close, unless
// SetLinger was called with 0.
func (c *conn) Close() error {
	if c.resetOnClose.Load() {
		c.out.update(func(s *stream) { s.reset = true })
	}
	c.out.update(func(s *stream) { s.writeClosed = true })
	c.in.update(func(s *stream) { s.readClosed = true })
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// reset makes reads and writes at both ends fail with ECONNRESET.
func (c *conn) reset() {
	c.out.update(func(s *stream) { s.reset = true })
	c.in.update(func(s *stream) { s.reset = true })
}

// LocalAddr returns this end's address.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the peer's address.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets the read and the write deadline; the zero time means none.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.update(func(s *stream) { s.readDeadline = t })
	c.out.update(func(s *stream) { s.writeDeadline = t })
	return nil
}

// SetReadDeadline sets the deadline of current and later reads; the zero time means none.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func(s *stream) { s.readDeadline = t })
	return nil
}

// SetWriteDeadline sets the deadline of current and later writes; the zero time means none.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func(s *stream) { s.writeDeadline = t })
	return nil
}

// update applies f to the locked stream and wakes its blocked readers and writers.
func (s *stream) update(f func(*stream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	s.notify()
}

// notify wakes blocked readers and writers. The caller holds s.mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write appends b to the stream in chunks, and blocks while the receive window is full.
func (s *stream) write(b []byte) (int, error) {
	written := 0
	for {
		s.mu.Lock()
		switch {
		case s.reset || s.readClosed:
			s.mu.Unlock()
			return written, syscall.ECONNRESET
		case s.writeClosed:
			s.mu.Unlock()
			return written, net.ErrClosed
		case deadlinePassed(s.writeDeadline):
			s.mu.Unlock()
			return written, os.ErrDeadlineExceeded
		}
		if s.blackholed {
			s.mu.Unlock()
			return len(b), nil
		}
		if n := min(len(b)-written, receiveWindow-s.unread); n > 0 {
			data := append([]byte(nil), b[written:written+n]...)
			s.chunks = append(s.chunks, chunk{data, time.Now().Add(s.network.delay)})
			s.unread += n
			written += n
			s.notify()
		}
		if written == len(b) {
			s.mu.Unlock()
			return written, nil
		}
		changed, deadline := s.changed, s.writeDeadline
		s.mu.Unlock()
		waitForChange(changed, nil, deadline)
	}
}

// read blocks until bytes have arrived and the link is not partitioned, or until the read fails.
func (s *stream) read(b []byte) (int, error) {
	for {
		partitioned, partitionsChanged := s.network.isPartitioned(s.from, s.to)
		s.mu.Lock()
		switch {
		case s.readClosed:
			s.mu.Unlock()
			return 0, net.ErrClosed
		case s.reset:
			s.mu.Unlock()
			return 0, syscall.ECONNRESET
		case deadlinePassed(s.readDeadline):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(b) == 0:
			s.mu.Unlock()
			return 0, nil
		}
		until := s.readDeadline
		if !partitioned && !s.blackholed && len(s.chunks) > 0 {
			if arrival := s.chunks[0].arrival; time.Until(arrival) <= 0 {
				n := s.consume(b)
				s.mu.Unlock()
				return n, nil
			} else if until.IsZero() || arrival.Before(until) {
				until = arrival
			}
		}
		if !partitioned && !s.blackholed && len(s.chunks) == 0 && s.writeClosed {
			s.mu.Unlock()
			return 0, io.EOF
		}
		changed := s.changed
		s.mu.Unlock()
		waitForChange(changed, partitionsChanged, until)
	}
}

// consume moves bytes that have arrived from the stream to b and returns their number. The
// caller holds s.mu.
func (s *stream) consume(b []byte) int {
	n := 0
	for len(s.chunks) > 0 && n < len(b) && time.Until(s.chunks[0].arrival) <= 0 {
		first := &s.chunks[0]
		m := copy(b[n:], first.data)
		n += m
		first.data = first.data[m:]
		if len(first.data) == 0 {
			s.chunks = s.chunks[1:]
		}
	}
	s.unread -= n
	s.notify()
	return n
}

// deadlinePassed reports whether a deadline has passed; the zero time means none.
func deadlinePassed(t time.Time) bool { return !t.IsZero() && time.Until(t) <= 0 }

// waitForChange blocks until one of the channels is closed or a time is reached. A nil
// channel and the zero time are ignored.
func waitForChange(changed, partitionsChanged <-chan struct{}, until time.Time) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-changed:
	case <-partitionsChanged:
	case <-timeout:
	}
}
