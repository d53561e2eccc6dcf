package peer

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
)

// Requests were lost at peers that had just started, or just lost their connections to all targets, and had not detected that: they were asked
// for connections no later than peers that targets had answered (TestRandomWorlds, seed 771043).
func TestRelaysWithoutConnectionsLoseRequests(t *testing.T) {
	for _, test := range []struct {
		peers []Peer
		want  []string
	}{
		{[]Peer{{Host: "started", Domain: "domain", Unanswered: true}, {Host: "answered", Domain: "other"}}, []string{"answered", "started"}},
		{[]Peer{{Host: "started", Domain: "domain", Unanswered: true}, {Host: "answered", Domain: "domain", Stopping: true}}, []string{"answered", "started"}},
		{[]Peer{{Host: "detached", Domain: "domain", Detached: true}, {Host: "started", Domain: "other", Unanswered: true}}, []string{"started", "detached"}},
		{[]Peer{{Host: "far", Domain: "other", Unanswered: true}, {Host: "near", Domain: "domain", Unanswered: true}}, []string{"near", "far"}},
	} {
		c := qt.New(t)
		m := &Mesh{settings: Settings{Host: "self", Domain: "domain"}, view: NewView(testPeer("self", "domain", 1)), links: map[netip.AddrPort]*link{}}
		for i, p := range test.peers {
			p.Address = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
			l := &link{address: p.Address}
			l.conn.Store(new(quic.Conn))
			m.links[p.Address] = l
			m.view.ApplyHeartbeat(p, 1, time.Now())
		}
		for range test.peers { // each would be the first once among equal ones
			c.Check(hostNames(m.relayCandidates(false)), qt.DeepEquals, test.want)
		}
	}
}
