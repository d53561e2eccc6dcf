package host

import (
	"net/netip"
	"sync"
)

// adapterCache keeps one adapter for each address. make is set before the first use.
type adapterCache[T any] struct {
	mu         sync.Mutex
	newAdapter func(netip.AddrPort) T
	byAddress  map[netip.AddrPort]T
}

// get returns the adapter to an address.
func (s *adapterCache[T]) get(a netip.AddrPort) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byAddress[a]
	if ok {
		return e
	}
	if s.byAddress == nil {
		s.byAddress = map[netip.AddrPort]T{}
	}
	e = s.newAdapter(a)
	s.byAddress[a] = e
	return e
}
