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

// listedAddresses holds the addresses of targets with the time at which they were last listed. The zero value is
// ready for use.
type listedAddresses struct {
	mu   sync.Mutex
	seen map[netip.AddrPort]time.Time
}

// unlistedTime is the time for which connections to a target are relayed that is no longer listed: streams may
// still run there.
const unlistedTime = 15 * time.Second

var (
	errNotTarget   = eris.New("the address is not that of a target")
	errNotRelaying = eris.New("the host does not relay connections")
)

// record records the addresses of the listed targets.
func (l *listedAddresses) record(targets map[string]table.Target, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[netip.AddrPort]time.Time{}
	}
	for address, at := range l.seen {
		if now.Sub(at) > unlistedTime {
			delete(l.seen, address)
		}
	}
	for _, t := range targets {
		l.seen[t.Address] = now
	}
}

// contains reports whether a target with the address is listed, or was until recently.
func (l *listedAddresses) contains(address netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.seen[address]
	return ok
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
	return c, h.inFlight.done, nil
}

func (h *Host) connectForPeer(ctx context.Context, to netip.AddrPort, further bool) (net.Conn, error) {
	switch {
	case h.detours == nil || !h.mayRelay(time.Now(), detour.Needed(ctx)):
		return nil, errNotRelaying
	case !h.listed.contains(to):
		return nil, errNotTarget
	}
	return h.detours.DialForPeer(ctx, to, further)
}
