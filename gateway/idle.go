package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections after the configured idle timeout. If the timeout
// changes while a connection is idle, the longer value applies, because the caller may rely on
// either.
type idleConns struct {
	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer // by idle connection
	timeout func() time.Duration
}

func newIdleConns(timeout func() time.Duration) *idleConns {
	return &idleConns{timers: map[net.Conn]*time.Timer{}, timeout: timeout}
}

// setState implements http.Server.ConnState: it restarts or stops the connection's timer.
func (s *idleConns) setState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.timers[c]; t != nil {
		t.Stop()
		delete(s.timers, c)
	}
	if state != http.StateIdle && state != http.StateNew {
		return
	}
	idleSince, initial := time.Now(), s.timeout()
	var fire func()
	fire = func() { s.expire(c, idleSince, initial, fire) }
	s.timers[c] = time.AfterFunc(initial, fire)
}

// expire closes a connection, or sets its timer again if the timeout was raised meanwhile.
func (s *idleConns) expire(c net.Conn, idleSince time.Time, initial time.Duration, fire func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timers[c] == nil {
		return
	}
	if left := max(initial, s.timeout()) - time.Since(idleSince); left > 0 {
		s.timers[c] = time.AfterFunc(left, fire)
		return
	}
	delete(s.timers, c)
	c.Close()
}
