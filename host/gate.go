package host

import "sync"

// A inFlightCounter counts what is open and tells when nothing is left. The zero value counts
// nothing.
type inFlightCounter struct {
	mu      sync.Mutex
	n       int
	waiters []chan struct{}
}

func (g *inFlightCounter) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

func (g *inFlightCounter) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	g.notify()
}

func (g *inFlightCounter) notify() {
	if g.n > 0 {
		return
	}
	for _, c := range g.waiters {
		close(c)
	}
	g.waiters = nil
}

func (g *inFlightCounter) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

// drained returns a channel that is closed as soon as nothing is open.
func (g *inFlightCounter) drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := make(chan struct{})
	g.waiters = append(g.waiters, c)
	g.notify()
	return c
}
