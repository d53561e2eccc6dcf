package dispatch

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// pathAddress is the address of the only target of newPathTest.
var pathAddress = netip.MustParseAddrPort("10.2.0.1:8000")

// newPathTest returns a reducer with one target, and sends it calls that fail without an answer.
func newPathTest(t *testing.T, failures int, pathLost bool) *fleetTest {
	f := newFleetTest(t, 0)
	f.fleet["plain-0"] = table.Target{Name: "plain-0", Kind: table.TargetService, Service: "plain", Domain: "north", Slots: 24, Address: pathAddress}
	f.announceFleet(0)
	for n := range failures {
		f.callOnce(ID(1 + n))
		f.Check(f.requireEffect(EffectDispatch).Target, qt.Equals, "plain-0")
		f.reduce(0, AttemptFailed{ID: ID(1 + n), Certainty: target.CertaintyUnknown, Ended: true, PathLost: pathLost})
	}
	return f
}

// callOnce submits a call that may not be repeated.
func (f *fleetTest) callOnce(id ID) {
	f.reduce(0, Submit{ID: id, Organisation: "one", Pool: "plain", Plain: true, NonIdempotent: true, CallerDeadline: f.now.Add(time.Second), DispatchDeadline: f.now.Add(300 * time.Millisecond)})
}

// A host whose path to its targets was lost refused all requests for as long as the breakers that had opened meanwhile, although
// another host connected to the targets (review/10).
func TestLostPathOpensBreakers(t *testing.T) {
	f := newPathTest(t, breakerThreshold, false)
	f.callOnce(100)
	f.requireEffect(EffectRefuse)
	f.reduce(0, PathLost{Address: pathAddress})
	f.callOnce(101)
	f.requireEffect(EffectDispatch)

	newPathTest(t, 3*breakerThreshold, true) // checks that each is dispatched
}
