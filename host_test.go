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

// A lossyConn is the packet connection of a host. It drops packets to the addresses that a
// test cuts off.
type lossyConn struct {
	net.PacketConn
	mu  sync.Mutex
	cut map[string]bool // destination addresses whose packets are dropped
}

// lossyNetwork is the operating system's network, with every packet connection wrapped in a
// lossyConn.
type lossyNetwork struct {
	network.System
	mu    sync.Mutex
	conns []*lossyConn // in the order of ListenPacket calls, which is the order of host indexes
}

// ListenPacket listens on an address of the system and wraps the connection in a lossyConn.
func (lossy *lossyNetwork) ListenPacket(at netip.AddrPort) (net.PacketConn, error) {
	p, err := lossy.System.ListenPacket(at)
	if err != nil {
		return nil, err
	}
	lossy.mu.Lock()
	defer lossy.mu.Unlock()
	conn := &lossyConn{PacketConn: p, cut: map[string]bool{}}
	lossy.conns = append(lossy.conns, conn)
	return conn, nil
}

// WriteTo sends a packet, or drops it and reports success if its destination is cut off.
func (conn *lossyConn) WriteTo(data []byte, to net.Addr) (int, error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.cut[to.String()] {
		return len(data), nil
	}
	return conn.PacketConn.WriteTo(data, to)
}

// setCut sets whether packets from one host to another are dropped. Hosts are given by
// index.
func (lossy *lossyNetwork) setCut(from, to int, cut bool) {
	conn := lossy.conns[from]
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.cut[lossy.conns[to].LocalAddr().String()] = cut
}

func startWithLossyNetwork(c *qt.C) (*demo.Deployment, *lossyNetwork) {
	lossy := &lossyNetwork{}
	return startConnected(c, demo.WithEntryOptions(wigeonlink.WithNetwork(lossy))), lossy
}

// livePeerCount returns the number of peers to which a host is connected.
func livePeerCount(d *demo.Deployment, index int) int { return len(d.Entry(index).Mesh().Live()) }

// A network partition separates two failure domains. The hosts of both still serve requests
// and apply a new table, and they connect again when the partition ends.
func TestPartitionedDomainsServeAndReconnect(t *testing.T) {
	c := newC(t)
	deployment, lossy := startWithLossyNetwork(c)
	setPartitioned := func(on bool) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				lossy.setCut(a, b, on)
				lossy.setCut(b, a, on)
			}
		}
	}
	setPartitioned(true)
	waitUntil(c, "each domain is connected only within itself", func() bool { return livePeerCount(deployment, 0) == 1 && livePeerCount(deployment, 3) == 1 })
	for index := range 4 {
		var s stream
		s.read(c, postChat(c, &s, deployment.Entry(index).CallerURL(), deployment.Organisations[0].Key, promptFor(20)), 0)
		s.checkComplete(c, 20)
	}
	c.Assert(deployment.Publish(nil), qt.IsNil)
	waitUntil(c, "all hosts have applied table version 2", func() bool { return allHaveTable(deployment, 2) })
	setPartitioned(false)
	waitUntil(c, "all hosts are connected again", func() bool { return livePeerCount(deployment, 0) == 3 && livePeerCount(deployment, 3) == 3 })
}

func allHaveTable(deployment *demo.Deployment, version uint64) bool {
	for i := range deployment.EntryCount() {
		if t := deployment.Entry(i).Host().Table(); t == nil || t.Version < version {
			return false
		}
	}
	return true
}

// Packets from host 0 to host 1 are dropped, those in the other direction arrive. Host 1
// drops host 0 from its live peers, and a charge with one ticket, sent to every host, runs at
// most once.
func TestOneWayPartitionDropsPeerAndRunsTicketOnce(t *testing.T) {
	c := newC(t)
	deployment, lossy := startWithLossyNetwork(c)
	ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	lossy.setCut(0, 1, true)
	waitUntil(c, "the host that receives nothing drops the peer", func() bool { return livePeerCount(deployment, 1) == 2 })
	for index := range 4 {
		_, err := chargeWithTicket(c, deployment, index, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
	}
	c.Assert(deployment.Service.RunCount("x") <= 1, qt.IsTrue)
	lossy.setCut(0, 1, false)
	waitUntil(c, "the peer is connected again", func() bool { return livePeerCount(deployment, 1) == 3 })
	c.Assert(callTicketAPI(c, deployment, 1, http.MethodGet, "/"+ticket).State, qt.Equals, "ran")
}

// Hosts must not replace their table by an older one. The configuration service first serves
// an old table although a newer one is published, then the newer one, and then fails. All
// hosts apply the newer table, and a host that restarts while the service is down gets it
// from its peers.
func TestStaleConfigServiceDoesNotRevertTable(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	deployment.ConfigService.SetStale(true)
	stale := deployment.Entry(0).Host().Table().Version
	c.Assert(deployment.Publish(func(_ *table.Sheet) {}), qt.IsNil)
	// From here on the service serves the newer table.
	deployment.ConfigService.SetStale(false)
	waitUntil(c, "all hosts have applied the newer table", func() bool { return allHaveTable(deployment, stale+1) })
	deployment.ConfigService.SetDown(true)
	c.Assert(deployment.Restart(context.Background(), 2), qt.IsNil)
	waitUntil(c, "the host that started while the service is down has the table of its peers", func() bool { return allHaveTable(deployment, stale+1) })
	c.Assert(deployment.Entry(2).Host().Ready(), qt.IsTrue)
}

// Every host rejects a table with an invalid row as a whole, and applies the next valid
// table.
func TestInvalidTableIsRejected(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c, demo.WithDeploymentSize(2, 1))
	c.Assert(deployment.Publish(func(s *table.Sheet) {
		s.Rows = append(s.Rows, table.Row{Cells: map[table.Column]string{table.ColumnKind: "nonsense"}})
	}), qt.IsNil)
	c.Assert(deployment.Publish(func(s *table.Sheet) { s.Rows = s.Rows[:len(s.Rows)-1] }), qt.IsNil)
	waitUntil(c, "all hosts have applied the valid table", func() bool { return allHaveTable(deployment, 3) })
}

// All hosts are restarted in turn while they serve requests. Every generation completes
// without lost or duplicated tokens. No charge runs twice, and none is reported with an
// unknown outcome or with one that contradicts its run count.
func TestRollingRestartUnderLoad(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	keys := make([]string, len(deployment.Organisations))
	for i, m := range deployment.Organisations {
		keys[i] = m.Key
	}
	reports := make(chan load.Report, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		r, err := load.Run(ctx, load.Config{
			URLs: deployment.CallerURLs(), Keys: keys, Model: demo.Model, Service: demo.Service,
			Rate: 40, Duration: 6 * time.Second, Seed: 5, ShortWeight: 4, LongWeight: 3, ChargeWeight: 3,
		})
		c.Check(err, qt.IsNil)
		reports <- r
	}()
	for i := range deployment.EntryCount() {
		c.Assert(deployment.Restart(context.Background(), i), qt.IsNil)
	}
	r := <-reports
	c.Assert(r.Violations(), qt.Equals, 0, qt.Commentf("%+v", r))
	c.Assert(r.Complete, qt.Equals, r.Generations, qt.Commentf("%v", r.Errors))
	c.Assert(r.Partial, qt.Equals, 0)
	c.Assert(r.Unknown, qt.Equals, 0, qt.Commentf("%v", r.Errors))
	c.Assert(deployment.Service.RepeatedReferences(), qt.HasLen, 0)
	checkStartedAtMostOnce(c, deployment)
}

// Two faults are injected into every engine, one directly after the other, while a stream is in
// progress. The stream must complete, or end with an error after correct tokens only, and no
// engine may start a generation twice.
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
