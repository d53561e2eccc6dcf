package trial

import (
	"fmt"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

// A Policy is a dispatch policy that a trial can run, with its name in reports.
type Policy struct {
	Name    string
	Oracle  bool              // see Config.Oracle
	Options []dispatch.Option // of every reducer
}

// promisedShares holds the shares of the capacity, in percent, of DefaultOrganisations.
var promisedShares = [...]float64{30, 20, 15, 10, 5, 5, 5, 4, 3, 3}

// Policies returns the policies to compare: the default policy of the reducers ("forecast"),
// the same policy with known output lengths ("oracle"), and three baselines, each with a
// simpler choice of the engine. The baselines don't hold requests until an engine has
// capacity, and ignore the organisations' weights of tail latency and stall time.
func Policies() []Policy {
	baseline := func(c dispatch.Chooser) []dispatch.Option {
		return []dispatch.Option{dispatch.WithHold(false), dispatch.WithChooser(c), dispatch.WithLatencyWeights(false)}
	}
	return []Policy{
		{Name: "forecast"},
		{Name: "oracle", Oracle: true},
		{Name: "least-requests", Options: baseline(dispatch.NewLeastRequests())},
		{Name: "least-reported", Options: baseline(dispatch.NewLeastReported())},
		{Name: "round-robin", Options: baseline(dispatch.NewRoundRobin())},
	}
}

// DefaultOrganisations returns ten organisations of unequal shares of the capacity. Each
// offers a fraction of the load that equals its share. tail and stall are the TailWeight and
// the StallWeight of each.
func DefaultOrganisations(tail, stall float64) []Organisation {
	organisations := make([]Organisation, len(promisedShares))
	for i, w := range promisedShares {
		organisations[i] = Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: w, LoadFraction: w / 100, TailWeight: tail, StallWeight: stall}
	}
	return organisations
}
