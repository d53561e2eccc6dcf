package host

import "sync"

// An inFlightCounter counts the requests in flight and closes the channels returned by drained when
// the count becomes zero. It is safe for concurrent use. The zero value is ready to use.
type inFlightCounter struct {
	mu       sync.Mutex
	inFlight int             // number of requests in flight
	waiters  []chan struct{} // channels that drained has returned and that are still open
}

func (c *inFlightCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
}

func (c *inFlightCounter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.notifyIfZero()
}

// notifyIfZero closes the channels of the waiters if no request is in flight. The caller holds the
// lock.
func (c *inFlightCounter) notifyIfZero() {
	if c.inFlight > 0 {
		return
	}
	for _, ch := range c.waiters {
		close(ch)
	}
	c.waiters = nil
}

func (c *inFlightCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// drained returns a channel that is closed as soon as no request is in flight, which may be
// immediately.
func (c *inFlightCounter) drained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	c.waiters = append(c.waiters, ch)
	c.notifyIfZero()
	return ch
}
