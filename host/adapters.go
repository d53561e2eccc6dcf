package host

import (
	"net/netip"
	"sync"
)

// An adapterCache holds one adapter for each target address, created on first use by newAdapter. It
// is safe for concurrent use.
type adapterCache[T any] struct {
	mu         sync.Mutex
	newAdapter func(netip.AddrPort) T
	byAddress  map[netip.AddrPort]T
}

// get returns the adapter for the target at an address.
func (c *adapterCache[T]) get(a netip.AddrPort) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	adapter, ok := c.byAddress[a]
	if ok {
		return adapter
	}
	if c.byAddress == nil {
		c.byAddress = map[netip.AddrPort]T{}
	}
	adapter = c.newAdapter(a)
	c.byAddress[a] = adapter
	return adapter
}
