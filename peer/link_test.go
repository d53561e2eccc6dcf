package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
)

// A link that is no longer needed is kept while connections are relayed on it, such as that with a coordinator that
// stops. The host closed it after 5 s, and the streams on it broke off.
func TestUnneededLinkCutsOffRelayedConnections(t *testing.T) {
	c := qt.New(t)
	p := testPeer("former", "domain", 1)
	m := &Mesh{
		settings: Settings{Host: "self", Domain: "domain"}, view: NewView(testPeer("self", "domain", 1)),
		address: netip.MustParseAddrPort("10.0.0.2:1"), directory: Directory{Hosts: fullMeshHosts + 1}, links: map[netip.AddrPort]*link{},
	}
	linkCtx, cancel := context.WithCancel(context.Background())
	l, conn := &link{address: p.Address, cancel: cancel}, new(quic.Conn)
	l.conn.Store(conn)
	l.dialled.Store(conn)
	m.links[p.Address] = l
	release := m.relayed.add(conn)
	now := time.Now()
	for range 4 {
		m.updateLinks(context.Background(), now)
		now = now.Add(unwantedTime)
	}
	c.Assert(linkCtx.Err(), qt.IsNil)
	release()
	release() // has no effect
	for range 2 {
		m.updateLinks(context.Background(), now)
		now = now.Add(unwantedTime)
	}
	c.Assert(linkCtx.Err(), qt.IsNotNil)
	c.Assert(m.links, qt.HasLen, 0)
}
