package host

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

// The set must arrive whole, and an update of an earlier build must not count as one with an empty set.
func TestEvacuationsOnTheWire(t *testing.T) {
	c := qt.New(t)
	got, _ := updateFromWire(updateToWire(registry.Update{Base: 1, Revision: 2, Evacuated: []string{"north"}}, 0))
	c.Check(got.Evacuated, qt.DeepEquals, []string{"north"})
	c.Check(got.OmitsEvacuations, qt.IsFalse)
	got, _ = updateFromWire(&wire.News{Base: 1, Revision: 2})
	c.Check(got.OmitsEvacuations, qt.IsTrue)
}

// A connection for a request of another host, which may not have received the evacuation, is refused; one for the copies of
// running streams is not.
func TestConnectionToEvacuatedDomainIsNotRelayed(t *testing.T) {
	c := qt.New(t)
	log := event.NewLog("host")
	h := NewHost(log, WithDetours(detour.NewNetwork(closedNetwork{}, log)))
	tab := table.NewTable(1)
	tab.Models["model"] = table.Model{Name: "model"}
	h.table.Store(tab)
	engine, plain := netip.MustParseAddrPort("10.2.0.1:1"), netip.MustParseAddrPort("10.2.0.2:1")
	h.listed.record(map[string]table.Target{
		"engine": {Address: engine, Domain: "north", Service: "model"}, "plain": {Address: plain, Domain: "north", Service: "desk"},
	}, time.Now())
	request := detour.WithNeeded(context.Background(), time.Second)
	_, err := h.connectForPeer(request, engine, false)
	c.Check(err, qt.Not(qt.ErrorIs), errEvacuated)
	go func() { <-h.inbox }() // the event for the reducer
	registryHandler{h}.ApplyEvacuations([]string{"north"}, "source")
	c.Check(h.MaySend(table.Target{Domain: "north"}), qt.IsFalse)
	c.Check(h.MaySend(table.Target{Domain: "south"}), qt.IsTrue)
	for _, a := range []netip.AddrPort{engine, plain} {
		_, err = h.connectForPeer(request, a, false)
		c.Check(err, qt.ErrorIs, errEvacuated)
	}
	_, err = h.connectForPeer(context.Background(), plain, false)
	c.Check(err, qt.ErrorIs, errEvacuated)
	_, err = h.connectForPeer(context.Background(), engine, false)
	c.Check(err, qt.Not(qt.ErrorIs), errEvacuated)
}

// Operators see at how many hosts the evacuation is in force: a host of an earlier build states none, and one that is silent
// does not count.
func TestHostsAtWhichEvacuationIsInForce(t *testing.T) {
	c := qt.New(t)
	var v evacuations
	now := time.Now()
	v.recordHeartbeat(&wire.Heartbeat{Host: "silent", Evacuations: true, Evacuated: []string{"north"}}, now)
	now = now.Add(peerEvacuationsTTL + time.Second)
	v.recordHeartbeat(&wire.Heartbeat{Host: "b", Evacuations: true, Evacuated: []string{"north"}}, now)
	v.recordHeartbeat(&wire.Heartbeat{Host: "earlier"}, now)
	c.Check(v.peers, qt.HasLen, 2)
	c.Check(v.peers["b"].domains, qt.DeepEquals, []string{"north"})
}
