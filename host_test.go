package wigeonlink_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/load"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/table"
)

// A link is a host's packets, some of which a test drops.
type link struct {
	net.PacketConn
	mu  sync.Mutex
	cut map[string]bool // addresses to which nothing is sent
}

// links hands out a link for every host that is made, and keeps them in order.
type links struct {
	network.System
	mu  sync.Mutex
	all []*link
}

// ListenPacket opens the system's address behind a link.
func (ls *links) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	p, err := ls.System.ListenPacket(at)
	if err != nil {
		return nil, err
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := &link{PacketConn: p, cut: map[string]bool{}}
	ls.all = append(ls.all, l)
	return l, nil
}

// WriteTo drops the packets to addresses that are cut off.
func (l *link) WriteTo(data []byte, to net.Addr) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[to.String()] {
		return len(data), nil
	}
	return l.PacketConn.WriteTo(data, to)
}

// set cuts or joins the way from one host to another.
func (ls *links) set(from, to int, cut bool) {
	l := ls.all[from]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[ls.all[to].LocalAddr().String()] = cut
}

func startLinked(c *qt.C) (*demo.Consortium, *links) {
	ls := &links{}
	return startPeers(c, demo.WithEntry(wigeonlink.WithNetwork(ls))), ls
}

func lives(consortium *demo.Consortium, at int) int { return len(consortium.Entry(at).Mesh().Live()) }

// Two domains that are cut off from each other go on serving, and see each other
// again on healing.
func TestDomainsCutOffFromEachOtherServeAndHeal(t *testing.T) {
	c := newC(t)
	consortium, ls := startLinked(c)
	cut := func(on bool) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				ls.set(a, b, on)
				ls.set(b, a, on)
			}
		}
	}
	cut(true)
	waitUntil(c, "each domain sees itself only", func() bool { return lives(consortium, 0) == 1 && lives(consortium, 3) == 1 })
	for at := range 4 {
		var s stream
		s.read(c, ask(c, &s, consortium.Entry(at).CallerURL(), consortium.Organisations[0].Key, prompt(20)), 0)
		s.checkWhole(c, 20)
	}
	c.Assert(consortium.Publish(nil), qt.IsNil)
	waitUntil(c, "both domains have the next table", func() bool { return allHave(consortium, 2) })
	cut(false)
	waitUntil(c, "all see each other again", func() bool { return lives(consortium, 0) == 3 && lives(consortium, 3) == 3 })
}

func allHave(consortium *demo.Consortium, version uint64) bool {
	for i := range consortium.Entries() {
		if t := consortium.Entry(i).Host().Table(); t == nil || t.Version < version {
			return false
		}
	}
	return true
}

// A way that is cut in one direction only: the end that hears nothing drops the
// peer, and a ticket is never run twice over it.
func TestOneWayCut(t *testing.T) {
	c := newC(t)
	consortium, ls := startLinked(c)
	ticket := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	ls.set(0, 1, true)
	waitUntil(c, "the deaf end drops the peer", func() bool { return lives(consortium, 1) == 2 })
	for at := range 4 {
		_, err := chargeWith(c, consortium, at, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
	}
	c.Assert(consortium.Service.Ran("x") <= 1, qt.IsTrue)
	ls.set(0, 1, false)
	waitUntil(c, "the peer is back", func() bool { return lives(consortium, 1) == 3 })
	c.Assert(doTicket(c, consortium, 1, http.MethodGet, "/"+ticket).State, qt.Equals, "ran")
}

// A table that is in force never gives way to an older one: not while the service is
// stale, nor on a host that starts then.
func TestStaleServiceDoesNotRevertTheTable(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	consortium.Platform.SetStale(true)
	stale := consortium.Entry(0).Host().Table().Version
	c.Assert(consortium.Publish(func(_ *table.Sheet) {}), qt.IsNil)
	// One host learns of the newer table, as from a fresh replica of the service.
	consortium.Platform.SetStale(false)
	waitUntil(c, "the newer table is in force", func() bool { return allHave(consortium, stale+1) })
	consortium.Platform.SetDown(true)
	c.Assert(consortium.Restart(context.Background(), 2), qt.IsNil)
	waitUntil(c, "a host that starts while the service is down has the table of its peers", func() bool { return allHave(consortium, stale+1) })
	c.Assert(consortium.Entry(2).Host().Ready(), qt.IsTrue)
}

// An invalid table is refused whole; the last good one stays in force.
func TestInvalidTableIsRefusedWhole(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c, demo.WithSizes(2, 1))
	c.Assert(consortium.Publish(func(s *table.Sheet) {
		s.Rows = append(s.Rows, table.Line{Cells: map[table.Column]string{table.ColumnKind: "nonsense"}})
	}), qt.IsNil)
	c.Assert(consortium.Publish(func(s *table.Sheet) { s.Rows = s.Rows[:len(s.Rows)-1] }), qt.IsNil)
	waitUntil(c, "the good table is in force", func() bool { return allHave(consortium, 3) })
}

// All hosts are restarted one after the other under load: nothing is cut off, lost,
// doubled or falsely called not run.
func TestRollingRestartUnderLoad(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	keys := make([]string, len(consortium.Organisations))
	for i, m := range consortium.Organisations {
		keys[i] = m.Key
	}
	ended := make(chan load.Report, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r, err := load.Run(ctx, load.Config{
			URLs: consortium.CallerURLs(), Keys: keys, Model: demo.Model, Service: demo.Service,
			Rate: 40, Duration: 6 * time.Second, Seed: 5, Short: 4, Long: 3, Plain: 3,
		})
		c.Check(err, qt.IsNil)
		ended <- r
	}()
	for i := range consortium.Entries() {
		c.Assert(consortium.Restart(context.Background(), i), qt.IsNil)
	}
	r := <-ended
	c.Assert(r.Faults(), qt.Equals, 0, qt.Commentf("%+v", r))
	c.Assert(r.Whole, qt.Equals, r.Generations, qt.Commentf("%v", r.Errors))
	c.Assert(r.Partial, qt.Equals, 0)
	c.Assert(r.Unknown, qt.Equals, 0)
	c.Assert(consortium.Service.Twice(), qt.HasLen, 0)
	onlyOnce(c, consortium)
}

// Two faults at a time, drawn by seed, while callers stream: every answer is whole,
// or its error is honest.
func TestTwoFaultsTogether(t *testing.T) {
	c := newC(t)
	faults := []standin.FaultKind{standin.FaultSilent, standin.FaultCut, standin.FaultStall, standin.FaultReboot, standin.FaultSlow}
	for seed := range 6 {
		consortium := startPeers(c)
		var s stream
		key := consortium.Organisations[seed%3].Key
		resp := ask(c, &s, consortium.Entry(seed%4).CallerURL(), key, prompt(300))
		first, second := faults[seed%len(faults)], faults[(seed*3+1)%len(faults)]
		throw(c, consortium, standin.Fault{Kind: first, Duration: 200 * time.Millisecond, Factor: 3})
		throw(c, consortium, standin.Fault{Kind: second, Duration: 200 * time.Millisecond, Factor: 3})
		s.read(c, resp, 0)
		s.checkTokens(c)
		if s.err == nil {
			s.checkWhole(c, 300)
		}
		onlyOnce(c, consortium)
	}
}
