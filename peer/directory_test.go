package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var viewStart = time.Unix(1_700_000_000, 0)

// testPeer returns a live host of a failure domain whose machine has the given weight.
func testPeer(name, domain string, weight int) Peer {
	return Peer{Host: name, Incarnation: "1", Domain: domain, Weight: weight, Address: netip.MustParseAddrPort("10.0.0.1:1")}
}

func hostNames(ps []Peer) []string {
	out := make([]string, 0, len(ps))
	for _, p := range ps {
		out = append(out, p.Host)
	}
	return out
}

// applyHeartbeats applies a heartbeat of each peer to a view.
func applyHeartbeats(v *View, now time.Time, sequence uint64, ps ...Peer) {
	for _, p := range ps {
		v.ApplyHeartbeat(p, sequence, now)
	}
}

// The largest machines of a failure domain coordinate it, and all hosts choose the same ones.
func TestLargestHostsCoordinate(t *testing.T) {
	c := qt.New(t)
	hosts := []Peer{testPeer("a", "d", 200), testPeer("b", "d", 800), testPeer("c", "d", 400), testPeer("e", "d", 800)}
	var want []string
	for i, self := range hosts {
		v := NewView(self)
		for j, p := range hosts {
			if i != j {
				applyHeartbeats(v, viewStart, 1, p)
			}
		}
		d := v.Directory()
		c.Assert(d.Hosts, qt.Equals, len(hosts))
		if want == nil {
			want = hostNames(d.Domains["d"])
		}
		c.Assert(hostNames(d.Domains["d"]), qt.DeepEquals, want)
	}
	c.Assert(want, qt.HasLen, coordinatorsPerDomain)
	c.Assert(want, qt.Contains, "b")
	c.Assert(want, qt.Contains, "e")
}

// A host that stops, or has started recently, must not coordinate while others can. One that will
// take precedence once it is no longer young is listed, so that it gets the reports before.
func TestYoungAndStoppingHostsDoNotCoordinate(t *testing.T) {
	c := qt.New(t)
	v := NewView(testPeer("self", "d", 100))
	stopping, young := testPeer("stopping", "d", 900), testPeer("young", "d", 800)
	stopping.Stopping, young.Young = true, true
	applyHeartbeats(v, viewStart, 1, stopping, young, testPeer("small", "d", 200))
	d := v.Directory()
	c.Assert(hostNames(d.Domains["d"]), qt.DeepEquals, []string{"small", "self", "young"})
	young.Young = false
	applyHeartbeats(v, viewStart, 2, young)
	d = v.Directory()
	c.Assert(hostNames(d.Domains["d"]), qt.DeepEquals, []string{"young", "small"})
}

// Coordinators that are listed only by other hosts must be dropped when the heartbeats no
// longer renew them, and must not let an old entry replace a newer incarnation.
func TestListedCoordinatorsExpire(t *testing.T) {
	c := qt.New(t)
	v := NewView(testPeer("self", "d", 100))
	p := testPeer("far", "other", 300)
	p.Members = 40
	v.MergeDirectory([]Peer{p}, []time.Duration{time.Second}, viewStart)
	d := v.Directory()
	c.Assert(hostNames(d.Domains["other"]), qt.DeepEquals, []string{"far"})
	c.Assert(d.Hosts, qt.Equals, 41)

	newer := p
	newer.Incarnation = "2"
	v.MergeDirectory([]Peer{newer}, []time.Duration{500 * time.Millisecond}, viewStart)
	v.MergeDirectory([]Peer{p}, []time.Duration{0}, viewStart)
	c.Assert(v.Directory().Domains["other"][0].Incarnation, qt.Equals, "2")

	v.expireListed(viewStart.Add(directoryExpiry))
	c.Assert(v.Directory().Domains["other"], qt.HasLen, 0)
}

// Each host has another position in the order of the readers if it is a coordinator, and the
// coordinators of all domains come before the other hosts.
func TestReaderRank(t *testing.T) {
	c := qt.New(t)
	d := Directory{Domains: map[string][]Peer{
		"a": {testPeer("a0", "a", 1), testPeer("a1", "a", 1)},
		"b": {testPeer("b0", "b", 1), testPeer("b1", "b", 1)},
		"c": {testPeer("c0", "c", 1)},
	}}
	for want, name := range []string{"a0", "b0", "c0", "a1", "b1"} {
		c.Assert(d.ReaderRank(name[:1], name), qt.Equals, want, qt.Commentf("%s", name))
	}
	c.Assert(d.ReaderRank("c", "c9"), qt.Equals, 5)
}

// The number of partners of a host must not depend on the number of hosts.
func TestPartnersAreBounded(t *testing.T) {
	c := qt.New(t)
	const domains, perDomain = 6, 50
	hosts := make([]Peer, 0, domains*perDomain)
	for i := range domains * perDomain {
		p := testPeer(fmt.Sprint("host-", i), fmt.Sprint("domain-", i%domains), 100+i)
		p.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		hosts = append(hosts, p)
	}
	for i, self := range hosts {
		m := &Mesh{settings: Settings{Host: self.Host, Domain: self.Domain}, view: NewView(self), address: self.Address}
		for j, p := range hosts {
			if i != j {
				applyHeartbeats(m.view, viewStart, 1, p)
			}
		}
		m.directory = m.view.Directory()
		_, coordinates := m.directory.Position(self.Domain, self.Host)
		limit := coordinatorsPerDomain
		if coordinates {
			limit = coordinatorsPerDomain * domains
		}
		c.Assert(len(m.partners()) <= limit, qt.IsTrue, qt.Commentf("%d partners of %s", len(m.partners()), self.Host))
	}
}
