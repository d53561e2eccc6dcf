package detour

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	epoch = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	one   = netip.MustParseAddrPort("10.2.0.1:8000")
	two   = netip.MustParseAddrPort("10.2.0.2:8000")
	three = netip.MustParseAddrPort("10.2.0.3:8000")
)

// A lost path is avoided, and tried once in probeInterval. Two lost paths without a connection since make the host
// avoid all; the first connection of its own ends that.
func TestLostPathsAreAvoided(t *testing.T) {
	c := qt.New(t)
	var p paths
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	check := func(to netip.AddrPort, ms int, avoid, probe bool) {
		c.Helper()
		gotAvoid, gotProbe := p.avoid(to, at(ms))
		c.Check([]bool{gotAvoid, gotProbe}, qt.DeepEquals, []bool{avoid, probe})
	}
	check(one, 0, false, false)
	c.Check(p.connected(one, at(1)), qt.IsFalse)

	c.Check(p.lose(one, false, at(10)), qt.IsTrue)
	c.Check(p.lose(one, false, at(11)), qt.IsFalse)
	check(one, 12, true, false)
	check(two, 12, false, false)
	check(one, 600, true, true)
	check(one, 700, true, false)

	c.Check(p.lose(two, false, at(800)), qt.IsTrue)
	c.Check(p.detached(), qt.IsTrue)
	check(three, 801, true, true)
	check(three, 802, true, false)
	c.Check(p.connected(three, at(810)), qt.IsFalse) // its path had not been lost
	c.Check(p.detached(), qt.IsFalse)
	check(three, 811, false, false)
	check(one, 812, true, false)

	c.Check(p.connected(one, at(900)), qt.IsTrue)
	check(one, 901, false, false)
}

// Paths that are no longer used do not count as lost for ever.
func TestUnusedPathsAreDeleted(t *testing.T) {
	c := qt.New(t)
	var p paths
	p.lose(one, false, epoch)
	p.lose(two, false, epoch)
	p.expire(epoch.Add(pathExpiry))
	c.Check(p.lostCount, qt.Equals, 0)
	c.Check(p.targets, qt.HasLen, 0)
	c.Check(p.detached(), qt.IsFalse)
}
