package trial

import (
	"fmt"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

// A Policy is a named dispatch policy: the options of the reducers in a trial.
type Policy struct {
	Name    string
	Oracle  bool // the reducer receives the actual output length of each request
	Options []dispatch.Option
}

// promisedShares are the shares of DefaultOrganisations, in percent.
var promisedShares = [...]float64{30, 20, 15, 10, 5, 5, 5, 4, 3, 3}

// Policies returns the default policy ("forecast"), the same policy with known output
// lengths ("oracle"), and the baselines, which neither hold requests until an engine has
// capacity nor apply the organisations' weights of tail latency and stall time.
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

// DefaultOrganisations returns ten organisations of unequal shares. Each sends the fraction
// of the load that equals its share, and weighs tail latency and stall time as given.
func DefaultOrganisations(tail, stall float64) []Organisation {
	organisations := make([]Organisation, len(promisedShares))
	for i, w := range promisedShares {
		organisations[i] = Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: w, LoadFraction: w / 100, TailWeight: tail, StallWeight: stall}
	}
	return organisations
}
