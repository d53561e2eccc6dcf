package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
)

// twoOrganisations adds a second organisation to the table.
func twoOrganisations(t *testing.T, targets ...string) *fleetTest {
	f := newPlainTest(t, targets...)
	tab := *f.reducer.Table()
	tab.Version++
	tab.AddOrganisation(table.Organisation{Name: "two"})
	f.reduce(0, TableChange{Table: &tab})
	return f
}

// A host whose attempts fail at all targets holds calls of an organisation that has had little. The calls of
// others are served by a host that reaches the targets.
func TestOthersWaitForCallsThatCannotBeSent(t *testing.T) {
	detached := twoOrganisations(t, "p1", "p2")
	for id := ID(1); id <= 2*breakerThreshold; id++ {
		detached.reduce(0, detached.call(id))
		detached.reduce(time.Millisecond, AttemptFailed{ID: id, Unsent: true})
	}
	held := detached.call(100)
	held.DispatchDeadline = detached.now.Add(3 * time.Second) // some targets are tried again before that
	detached.reduce(0, held)
	detached.requireNoEffect(EffectDispatch)

	f := twoOrganisations(t, "p1", "p2")
	report := detached.reducer.Report(detached.now)
	report.Origin, report.Sequence = "a/1", 1
	report.Accounts = []share.Entry{{Account: share.Account{Organisation: "two", Pool: "plain"}, Use: 300, Rate: 30}}
	f.reduce(0, report)
	call := f.call(1)
	call.Organisation = "two"
	f.reduce(time.Millisecond, call)
	f.requireEffect(EffectDispatch)
}

// A host whose calls wait for a place of a limited target is yielded to, as places are scarce for all.
func TestOthersYieldToCallsThatWaitForPlace(t *testing.T) {
	limited := twoOrganisations(t, "p1")
	limited.nameLimit("p1", 1)
	limited.reduce(0, limited.call(1))
	report := limited.reducer.Report(limited.now)
	limited.Check(report.HeldCounts, qt.HasLen, 1)
}
