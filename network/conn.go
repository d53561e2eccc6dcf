package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

type (
	// conn is one end of a connection of a Virtual.
	conn struct {
		network       *Virtual
		local, remote netip.AddrPort
		in, out       *stream
	}

	// stream is one direction of a connection.
	stream struct {
		network  *Virtual
		from, to netip.Addr

		mu       sync.Mutex
		changed  chan struct{} // closed when anything below changes
		chunks   []chunk
		unread   int
		finished bool // the writer closed its end, after the chunks
		closed   bool // the reader closed its end
		broken   bool // reset
		silent   bool // what is written is lost, and the end as well
		readBy   time.Time
		writeBy  time.Time
	}

	// chunk is bytes on their way.
	chunk struct {
		data []byte
		at   time.Time // of arrival
	}
)

const window = 256 << 10 // bytes that a reader leaves unread before its writer waits

// connect returns both ends of a new connection; the network is locked.
func (v *Virtual) connect(from, to netip.AddrPort) (near, far *conn) {
	there, back := newStream(v, from.Addr(), to.Addr()), newStream(v, to.Addr(), from.Addr())
	near = &conn{network: v, local: from, remote: to, in: back, out: there}
	far = &conn{network: v, local: to, remote: from, in: there, out: back}
	v.conns[near], v.conns[far] = true, true
	return near, far
}

func newStream(v *Virtual, from, to netip.Addr) *stream {
	return &stream{network: v, from: from, to: to, changed: make(chan struct{})}
}

// Read waits for bytes, the end or the deadline.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write hands bytes to the link, and waits while the reader's window is full.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close ends both directions.
func (c *conn) Close() error {
	c.out.update(func(s *stream) { s.finished = true })
	c.in.update(func(s *stream) { s.closed = true })
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

func (c *conn) reset() {
	c.out.update(func(s *stream) { s.broken = true })
	c.in.update(func(s *stream) { s.broken = true })
}

// LocalAddr returns this end's address.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the other end's address.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.update(func(s *stream) { s.readBy = t })
	c.out.update(func(s *stream) { s.writeBy = t })
	return nil
}

// SetReadDeadline ends waiting reads at a time; the zero time means never.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func(s *stream) { s.readBy = t })
	return nil
}

// SetWriteDeadline ends waiting writes at a time; the zero time means never.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func(s *stream) { s.writeBy = t })
	return nil
}

// update changes a stream and wakes who waits on it.
func (s *stream) update(f func(*stream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	s.tell()
}

func (s *stream) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) write(b []byte) (int, error) {
	written := 0
	for {
		s.mu.Lock()
		switch {
		case s.broken || s.closed:
			s.mu.Unlock()
			return written, syscall.ECONNRESET
		case s.finished:
			s.mu.Unlock()
			return written, net.ErrClosed
		case expired(s.writeBy):
			s.mu.Unlock()
			return written, os.ErrDeadlineExceeded
		}
		if s.silent {
			s.mu.Unlock()
			return len(b), nil
		}
		if n := min(len(b)-written, window-s.unread); n > 0 {
			data := append([]byte(nil), b[written:written+n]...)
			s.chunks = append(s.chunks, chunk{data, time.Now().Add(s.network.delay)})
			s.unread += n
			written += n
			s.tell()
		}
		if written == len(b) {
			s.mu.Unlock()
			return written, nil
		}
		changed, by := s.changed, s.writeBy
		s.mu.Unlock()
		await(changed, nil, by)
	}
}

func (s *stream) read(b []byte) (int, error) {
	for {
		cut, mended := s.network.isCut(s.from, s.to)
		s.mu.Lock()
		switch {
		case s.closed:
			s.mu.Unlock()
			return 0, net.ErrClosed
		case s.broken:
			s.mu.Unlock()
			return 0, syscall.ECONNRESET
		case expired(s.readBy):
			s.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(b) == 0:
			s.mu.Unlock()
			return 0, nil
		}
		until := s.readBy
		if !cut && !s.silent && len(s.chunks) > 0 {
			if at := s.chunks[0].at; time.Until(at) <= 0 {
				n := s.take(b)
				s.mu.Unlock()
				return n, nil
			} else if until.IsZero() || at.Before(until) {
				until = at
			}
		}
		if !cut && !s.silent && len(s.chunks) == 0 && s.finished {
			s.mu.Unlock()
			return 0, io.EOF
		}
		changed := s.changed
		s.mu.Unlock()
		await(changed, mended, until)
	}
}

// take copies what has arrived; the stream is locked.
func (s *stream) take(b []byte) int {
	n := 0
	for len(s.chunks) > 0 && n < len(b) && time.Until(s.chunks[0].at) <= 0 {
		first := &s.chunks[0]
		m := copy(b[n:], first.data)
		n += m
		first.data = first.data[m:]
		if len(first.data) == 0 {
			s.chunks = s.chunks[1:]
		}
	}
	s.unread -= n
	s.tell()
	return n
}

func expired(t time.Time) bool { return !t.IsZero() && time.Until(t) <= 0 }

// await waits for a change, a mended cut or a time; the zero time is never.
func await(changed, mended <-chan struct{}, until time.Time) {
	var fire <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		fire = t.C
	}
	select {
	case <-changed:
	case <-mended:
	case <-fire:
	}
}
