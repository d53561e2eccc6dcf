package host

import "sync"

// An inFlightCounter counts requests in flight and notifies waiters when it is zero. The zero
// value is ready to use.
type inFlightCounter struct {
	mu      sync.Mutex
	n       int
	waiters []chan struct{}
}

func (c *inFlightCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *inFlightCounter) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	c.notifyIfZero()
}

func (c *inFlightCounter) notifyIfZero() {
	if c.n > 0 {
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
	return c.n
}

// drained returns a channel that is closed as soon as no request is in flight.
func (c *inFlightCounter) drained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	c.waiters = append(c.waiters, ch)
	c.notifyIfZero()
	return ch
}
