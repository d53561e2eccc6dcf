package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/table"
)

var relayEpoch = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

// closedNetwork is a network on which no connection can be opened.
type closedNetwork struct{ network.System }

func (closedNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, net.ErrClosed
}

// systemRelay connects as another host would.
type systemRelay struct{ network.System }

func (s systemRelay) Connect(ctx context.Context, to netip.AddrPort, _ bool) (net.Conn, string, error) {
	c, err := s.Dial(ctx, to)
	return c, "other", err
}

// A host of the own interface that cannot connect to an engine reads its load through another host.
func TestEngineThroughAnotherHost(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	asked := make(chan struct{}, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	log := event.NewLog("host")
	d := detour.NewNetwork(closedNetwork{}, log)
	d.SetRelay(systemRelay{})
	h := NewHost(log, WithDetours(d))
	_, err = h.engines.get(l.Addr().(*net.TCPAddr).AddrPort()).Load(context.Background())
	c.Check(err, qt.IsNotNil) // the engine answers 503
	c.Check(asked, qt.HasLen, 1)
}

// contains reports whether a target with the address is listed, or was until recently.
func (l *listedAddresses) contains(address netip.AddrPort) bool {
	_, ok := l.at(address)
	return ok
}

// Connections are relayed to targets only, for a while after they have left the list, too.
func TestListedAddresses(t *testing.T) {
	c := qt.New(t)
	var l listedAddresses
	one, two := netip.MustParseAddrPort("10.2.0.1:1"), netip.MustParseAddrPort("10.2.0.2:1")
	c.Check(l.contains(one), qt.IsFalse)
	l.record(map[string]table.Target{"one": {Address: one}}, relayEpoch)
	l.record(map[string]table.Target{"two": {Address: two}}, relayEpoch.Add(unlistedTime))
	c.Check(l.contains(one) && l.contains(two), qt.IsTrue)
	l.record(map[string]table.Target{"two": {Address: two}}, relayEpoch.Add(2*unlistedTime))
	c.Check(l.contains(one), qt.IsFalse)
	c.Check(l.contains(two), qt.IsTrue)
}

// slowNetwork is a network on which a connection opens when it is received from open.
type slowNetwork struct {
	network.System
	dialling chan struct{}
	open     chan net.Conn
}

func (s slowNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	s.dialling <- struct{}{}
	return <-s.open, nil
}

// A host waits for a connection that it is opening for a peer before it ends, and opens none afterwards. It counted open
// connections only, so that it ended between the opening and the first request.
func TestStopCutsOffConnectionBeingOpenedForPeer(t *testing.T) {
	c := qt.New(t)
	n := slowNetwork{dialling: make(chan struct{}, 1), open: make(chan net.Conn)}
	log := event.NewLog("host")
	h := NewHost(log, WithDetours(detour.NewNetwork(n, log)))
	to := netip.MustParseAddrPort("10.2.0.1:1")
	h.listed.record(map[string]table.Target{"one": {Address: to}}, time.Now())
	released := make(chan func(), 1)
	go func() {
		_, release, err := peerHandler{h}.Connect(context.Background(), to, false)
		c.Check(err, qt.IsNil)
		released <- release
	}()
	<-n.dialling
	c.Check(h.InFlightCount(), qt.Equals, 1)
	until := time.Now().Add(time.Minute)
	h.drainUntil.Store(&until)
	ended := make(chan struct{})
	go func() { defer close(ended); h.EndRelays(context.Background()) }()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	n.open <- near
	release := <-released
	select {
	case <-ended:
		c.Error("the host has ended while it relays a connection")
	case <-time.After(50 * time.Millisecond):
	}
	release()
	<-ended
	_, _, err := peerHandler{h}.Connect(context.Background(), to, false)
	c.Check(err, qt.Equals, errNotRelaying)
	c.Check(h.InFlightCount(), qt.Equals, 0)
}
