package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for the configured timeout. If the
// timeout changes while a connection is idle, the longer of the two values applies to it, because
// the caller may expect either.
type idleConns struct {
	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer // by idle connection
	timeout func() time.Duration
}

func newIdleConns(timeout func() time.Duration) *idleConns {
	return &idleConns{timers: map[net.Conn]*time.Timer{}, timeout: timeout}
}

// setState is called by the HTTP server when a connection changes its state. It starts the timer
// of a connection that is new or idle and stops the timer of any other.
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

// expire runs when the timer of a connection fires. It closes the connection, or starts the timer
// again if the timeout has been raised since the connection became idle.
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
