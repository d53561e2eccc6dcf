package trial

import (
	"fmt"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

// A Policy is a way to place requests.
type Policy struct {
	Name    string
	Oracle  bool // it knows the lengths of outputs ahead
	Options []dispatch.Option
}

// weights are the promised shares of Consortium, in percent.
var weights = [...]float64{30, 20, 15, 10, 5, 5, 5, 4, 3, 3}

// Policies returns the product's policy, the same knowing all lengths, and the baselines.
func Policies() []Policy {
	plain := func(c dispatch.Chooser) []dispatch.Option {
		return []dispatch.Option{dispatch.WithHold(false), dispatch.WithChooser(c), dispatch.WithObjective(false)}
	}
	return []Policy{
		{Name: "forecast"},
		{Name: "oracle", Oracle: true},
		{Name: "least-requests", Options: plain(dispatch.NewLeastRequests())},
		{Name: "least-reported", Options: plain(dispatch.NewLeastReported())},
		{Name: "round-robin", Options: plain(dispatch.NewRoundRobin())},
	}
}

// Consortium returns ten organisations, a few of them large, that send what they are
// promised and weigh tail and stalls as given.
func Consortium(tail, stall float64) []Organisation {
	ms := make([]Organisation, len(weights))
	for i, w := range weights {
		ms[i] = Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: w, Part: w / 100, Tail: tail, Stall: stall}
	}
	return ms
}
