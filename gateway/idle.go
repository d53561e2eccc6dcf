package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for as long as the
// configuration allows. The allowance may change while a connection is idle; the longer
// of the two counts, since its caller may know either.
type idleConns struct {
	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer
	allowed func() time.Duration
}

func newIdleConns(allowed func() time.Duration) *idleConns {
	return &idleConns{timers: map[net.Conn]*time.Timer{}, allowed: allowed}
}

// change is the ConnState of a server.
func (s *idleConns) change(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.timers[c]; t != nil {
		t.Stop()
		delete(s.timers, c)
	}
	if state != http.StateIdle && state != http.StateNew {
		return
	}
	began, first := time.Now(), s.allowed()
	var fire func()
	fire = func() { s.expire(c, began, first, fire) }
	s.timers[c] = time.AfterFunc(first, fire)
}

// expire closes a connection, or waits on if the allowance has grown.
func (s *idleConns) expire(c net.Conn, began time.Time, first time.Duration, again func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timers[c] == nil {
		return
	}
	if left := max(first, s.allowed()) - time.Since(began); left > 0 {
		s.timers[c] = time.AfterFunc(left, again)
		return
	}
	delete(s.timers, c)
	c.Close()
}
