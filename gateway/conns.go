package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns counts callers' connections with a request, and closes those that have been idle for the
// configured timeout. If the timeout changes while a connection is idle, the longer of the two values applies
// to it, because the caller may expect either.
type callerConns struct {
	mu      sync.Mutex
	active  map[net.Conn]bool        // connections from the head of a request to the last byte of its response
	timers  map[net.Conn]*time.Timer // by idle connection
	timeout func() time.Duration
}

func newCallerConns(timeout func() time.Duration) *callerConns {
	return &callerConns{active: map[net.Conn]bool{}, timers: map[net.Conn]*time.Timer{}, timeout: timeout}
}

// activeCount returns the number of connections with a request that is being read or answered.
func (s *callerConns) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// setState is called by the HTTP server when a connection changes its state. It starts the timer
// of a connection that is new or idle and stops the timer of any other. A connection is active from the
// moment on at which the head of a request has been read.
func (s *callerConns) setState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.timers[c]; t != nil {
		t.Stop()
		delete(s.timers, c)
	}
	delete(s.active, c)
	if state == http.StateActive {
		s.active[c] = true
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
func (s *callerConns) expire(c net.Conn, idleSince time.Time, initial time.Duration, fire func()) {
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
