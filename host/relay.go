package host

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// listedAddresses holds the addresses of targets, as they were last listed. The zero value is ready for use.
	listedAddresses struct {
		mu   sync.Mutex
		seen map[netip.AddrPort]listing
	}

	// listing is the latest entry of a target in the list, and the time at which it was listed.
	listing struct {
		at     time.Time
		target table.Target
	}
)

// unlistedTime is the time for which connections to a target are relayed that is no longer listed: streams may
// still run there.
const unlistedTime = 15 * time.Second

var (
	errNotTarget   = eris.New("the address is not that of a target")
	errEvacuated   = eris.New("the failure domain of the target is to be evacuated")
	errNotRelaying = eris.New("the host does not relay connections")
)

// record records the addresses of the listed targets.
func (l *listedAddresses) record(targets map[string]table.Target, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[netip.AddrPort]listing{}
	}
	for address, s := range l.seen {
		if now.Sub(s.at) > unlistedTime {
			delete(l.seen, address)
		}
	}
	for _, t := range targets {
		l.seen[t.Address] = listing{now, t}
	}
}

// at returns the target with the address, if it is listed or was until recently.
func (l *listedAddresses) at(address netip.AddrPort) (t table.Target, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.seen[address]
	return s.target, ok
}

// Connect opens a connection to a target for a peer that cannot. A stopping host waits for the end of such
// connections as for that of its own requests; see mayRelay.
func (h peerHandler) Connect(ctx context.Context, to netip.AddrPort, further bool) (net.Conn, func(), error) {
	h.inFlight.add() // before mayRelay, so that EndRelays refuses the connection or waits for it
	c, err := h.connectForPeer(ctx, to, further)
	if err != nil {
		h.inFlight.done()
		return nil, nil, err
	}
	return h.withEnd(c), h.inFlight.done, nil
}

// withEnd returns c as a connection that ends when this host stops, if it stops before the hosts through which c goes.
func (h *Host) withEnd(c net.Conn) net.Conn {
	end := h.drainUntil.Load()
	if other := detour.EndOf(c); end == nil || !other.IsZero() && other.Before(*end) {
		return c
	}
	return detour.WithEnd(c, *end)
}

func (h *Host) connectForPeer(ctx context.Context, to netip.AddrPort, further bool) (net.Conn, error) {
	t, listed := h.listed.at(to)
	switch {
	case h.detours == nil || !h.mayRelay(time.Now(), detour.Needed(ctx)):
		return nil, errNotRelaying
	case !listed:
		return nil, errNotTarget
	case !h.MaySend(t) && !h.copiesOnly(ctx, t):
		return nil, errEvacuated
	}
	return h.detours.DialForPeer(ctx, to, further)
}

// PathLost reports whether this host's own path to a target is lost.
func (h *Host) PathLost(t table.Target) bool { return h.detours != nil && h.detours.IsLost(t.Address) }

// copiesOnly reports whether a connection to a target is one for copies of running streams, not for requests: the use of a
// connection to an engine for a request has a usual time, see gateway.
func (h *Host) copiesOnly(ctx context.Context, t table.Target) bool {
	tab := h.Table()
	if tab == nil {
		return false
	}
	_, engine := tab.Models[t.Service]
	return engine && detour.Needed(ctx) == 0
}
