package host

import (
	"net/netip"
	"sync"
)

// adapters keeps one adapter for each address. make is set before the first use.
type adapters[T any] struct {
	mu   sync.Mutex
	make func(netip.AddrPort) T
	set  map[netip.AddrPort]T
}

// at returns the adapter to an address.
func (s *adapters[T]) at(a netip.AddrPort) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.set[a]
	if ok {
		return e
	}
	if s.set == nil {
		s.set = map[netip.AddrPort]T{}
	}
	e = s.make(a)
	s.set[a] = e
	return e
}
