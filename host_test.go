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

// A lossyConn is a host's packets, some of which a test drops.
type lossyConn struct {
	net.PacketConn
	mu  sync.Mutex
	cut map[string]bool // addresses to which nothing is sent
}

// lossyNetwork hands out a link for every host that is made, and keeps them in order.
type lossyNetwork struct {
	network.System
	mu    sync.Mutex
	conns []*lossyConn
}

// ListenPacket opens the system's address behind a link.
func (ls *lossyNetwork) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	p, err := ls.System.ListenPacket(at)
	if err != nil {
		return nil, err
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := &lossyConn{PacketConn: p, cut: map[string]bool{}}
	ls.conns = append(ls.conns, l)
	return l, nil
}

// WriteTo drops the packets to addresses that are cut off.
func (l *lossyConn) WriteTo(data []byte, to net.Addr) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[to.String()] {
		return len(data), nil
	}
	return l.PacketConn.WriteTo(data, to)
}

// setCut cuts or joins the way from one host to another.
func (ls *lossyNetwork) setCut(from, to int, cut bool) {
	l := ls.conns[from]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[ls.conns[to].LocalAddr().String()] = cut
}

func startWithLossyNetwork(c *qt.C) (*demo.Consortium, *lossyNetwork) {
	ls := &lossyNetwork{}
	return startConnected(c, demo.WithEntry(wigeonlink.WithNetwork(ls))), ls
}

func livePeers(d *demo.Consortium, at int) int { return len(d.Entry(at).Mesh().Live()) }

// Two domains that are cut off from each other go on serving, and see each other
// again on healing.
func TestPartitionedDomainsServeAndReconnect(t *testing.T) {
	c := newC(t)
	deployment, ls := startWithLossyNetwork(c)
	cut := func(on bool) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				ls.setCut(a, b, on)
				ls.setCut(b, a, on)
			}
		}
	}
	cut(true)
	waitUntil(c, "each domain sees itself only", func() bool { return livePeers(deployment, 0) == 1 && livePeers(deployment, 3) == 1 })
	for at := range 4 {
		var s stream
		s.read(c, postChat(c, &s, deployment.Entry(at).CallerURL(), deployment.Organisations[0].Key, promptFor(20)), 0)
		s.checkComplete(c, 20)
	}
	c.Assert(deployment.Publish(nil), qt.IsNil)
	waitUntil(c, "both domains have the next table", func() bool { return allHaveTable(deployment, 2) })
	cut(false)
	waitUntil(c, "all see each other again", func() bool { return livePeers(deployment, 0) == 3 && livePeers(deployment, 3) == 3 })
}

func allHaveTable(deployment *demo.Consortium, version uint64) bool {
	for i := range deployment.Entries() {
		if t := deployment.Entry(i).Host().Table(); t == nil || t.Version < version {
			return false
		}
	}
	return true
}

// A way that is cut in one direction only: the end that hears nothing drops the
// peer, and a ticket is never run twice over it.
func TestOneWayPartitionDropsPeerAndRunsTicketOnce(t *testing.T) {
	c := newC(t)
	deployment, ls := startWithLossyNetwork(c)
	ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	ls.setCut(0, 1, true)
	waitUntil(c, "the deaf end drops the peer", func() bool { return livePeers(deployment, 1) == 2 })
	for at := range 4 {
		_, err := chargeWithTicket(c, deployment, at, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
	}
	c.Assert(deployment.Service.RunCount("x") <= 1, qt.IsTrue)
	ls.setCut(0, 1, false)
	waitUntil(c, "the peer is back", func() bool { return livePeers(deployment, 1) == 3 })
	c.Assert(callTicketAPI(c, deployment, 1, http.MethodGet, "/"+ticket).State, qt.Equals, "ran")
}

// A table that is in force never gives way to an older one: not while the service is
// stale, nor on a host that starts then.
func TestStaleConfigServiceDoesNotRevertTable(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	deployment.ConfigService.SetStale(true)
	stale := deployment.Entry(0).Host().Table().Version
	c.Assert(deployment.Publish(func(_ *table.Sheet) {}), qt.IsNil)
	// One host learns of the newer table, as from a fresh replica of the service.
	deployment.ConfigService.SetStale(false)
	waitUntil(c, "the newer table is in force", func() bool { return allHaveTable(deployment, stale+1) })
	deployment.ConfigService.SetDown(true)
	c.Assert(deployment.Restart(context.Background(), 2), qt.IsNil)
	waitUntil(c, "a host that starts while the service is down has the table of its peers", func() bool { return allHaveTable(deployment, stale+1) })
	c.Assert(deployment.Entry(2).Host().Ready(), qt.IsTrue)
}

// An invalid table is refused whole; the last good one stays in force.
func TestInvalidTableIsRejected(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c, demo.WithSizes(2, 1))
	c.Assert(deployment.Publish(func(s *table.Sheet) {
		s.Rows = append(s.Rows, table.Line{Cells: map[table.Column]string{table.ColumnKind: "nonsense"}})
	}), qt.IsNil)
	c.Assert(deployment.Publish(func(s *table.Sheet) { s.Rows = s.Rows[:len(s.Rows)-1] }), qt.IsNil)
	waitUntil(c, "the good table is in force", func() bool { return allHaveTable(deployment, 3) })
}

// All hosts are restarted one after the other under load: nothing is cut off, lost,
// doubled or falsely called not run.
func TestRollingRestartUnderLoad(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	keys := make([]string, len(deployment.Organisations))
	for i, m := range deployment.Organisations {
		keys[i] = m.Key
	}
	ended := make(chan load.Report, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r, err := load.Run(ctx, load.Config{
			URLs: deployment.CallerURLs(), Keys: keys, Model: demo.Model, Service: demo.Service,
			Rate: 40, Duration: 6 * time.Second, Seed: 5, Short: 4, Long: 3, Plain: 3,
		})
		c.Check(err, qt.IsNil)
		ended <- r
	}()
	for i := range deployment.Entries() {
		c.Assert(deployment.Restart(context.Background(), i), qt.IsNil)
	}
	r := <-ended
	c.Assert(r.Faults(), qt.Equals, 0, qt.Commentf("%+v", r))
	c.Assert(r.Complete, qt.Equals, r.Generations, qt.Commentf("%v", r.Errors))
	c.Assert(r.Partial, qt.Equals, 0)
	c.Assert(r.Unknown, qt.Equals, 0)
	c.Assert(deployment.Service.Twice(), qt.HasLen, 0)
	checkStartedAtMostOnce(c, deployment)
}

// Two faults at a time, drawn by seed, while callers stream: every answer is whole,
// or its error is honest.
func TestTwoConcurrentFaults(t *testing.T) {
	c := newC(t)
	faults := []standin.FaultKind{standin.FaultSilent, standin.FaultDisconnect, standin.FaultStall, standin.FaultReboot, standin.FaultSlow}
	for seed := range 6 {
		deployment := startConnected(c)
		var s stream
		key := deployment.Organisations[seed%3].Key
		resp := postChat(c, &s, deployment.Entry(seed%4).CallerURL(), key, promptFor(300))
		first, second := faults[seed%len(faults)], faults[(seed*3+1)%len(faults)]
		injectFault(c, deployment, standin.Fault{Kind: first, Duration: 200 * time.Millisecond, Factor: 3})
		injectFault(c, deployment, standin.Fault{Kind: second, Duration: 200 * time.Millisecond, Factor: 3})
		s.read(c, resp, 0)
		s.checkTokens(c)
		if s.err == nil {
			s.checkComplete(c, 300)
		}
		checkStartedAtMostOnce(c, deployment)
	}
}
