package host

import "sync"

// A gate counts what is open and tells when nothing is left. The zero value counts
// nothing.
type gate struct {
	mu      sync.Mutex
	open    int
	waiting []chan struct{}
}

func (g *gate) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.tell()
}

func (g *gate) tell() {
	if g.open > 0 {
		return
	}
	for _, c := range g.waiting {
		close(c)
	}
	g.waiting = nil
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// empty returns a channel that is closed as soon as nothing is open.
func (g *gate) empty() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := make(chan struct{})
	g.waiting = append(g.waiting, c)
	g.tell()
	return c
}
