package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/latency"
)

type (
	// A Report is what a run measured and checked.
	Report struct {
		Duration      time.Duration     `json:"took"`
		Generations   int               `json:"generations"`
		Complete      int               `json:"whole"`
		Partial       int               `json:"partial"` // ended by an error after tokens
		Reconnects    int               `json:"reconnects"`
		Errors        map[string]int    `json:"errors"` // by code
		Tokens        int               `json:"tokens"`
		Lost          int               `json:"lost"`
		Duplicated    int               `json:"duplicated"`
		Reordered     int               `json:"reordered"`
		Mismatches    []string          `json:"wrong,omitempty"`
		StallTime     time.Duration     `json:"stall"`
		Preemptions   int               `json:"preemptions"`
		FirstToken    latency.Histogram `json:"first"`   // time to first token
		BetweenTokens latency.Histogram `json:"between"` // time between tokens
		Charges       int               `json:"charges"`
		Ran           int               `json:"ran"`
		NotRun        int               `json:"not_run"`
		Unknown       int               `json:"unknown"`
		RanTwice      int               `json:"twice"`
		FalseNotRun   int               `json:"false_not_run"`
		FalseRan      int               `json:"false_ran"`
		Unaudited     int               `json:"unaudited"`
	}
)

func newReport() Report {
	return Report{Errors: map[string]int{}, FirstToken: latency.NewHistogram(), BetweenTokens: latency.NewHistogram()}
}

// Faults counts what must never happen.
func (r Report) Faults() int {
	return r.Lost + r.Duplicated + r.Reordered + len(r.Mismatches) + r.RanTwice + r.FalseNotRun + r.FalseRan
}

// Line sums a report up in one line.
func (r Report) Line() string {
	return fmt.Sprintf("%d begun, %d whole, %d tokens, %d reconnects, %d charges, %d faults",
		r.Generations, r.Complete, r.Tokens, r.Reconnects, r.Charges, r.Faults())
}

// Print writes a report for people.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "took                 %s\n", r.Duration.Round(time.Millisecond))
	fmt.Fprintf(w, "generations          %d begun, %d whole, %d partial, %d reconnects\n", r.Generations, r.Complete, r.Partial, r.Reconnects)
	for _, code := range slices.Sorted(maps.Keys(r.Errors)) {
		fmt.Fprintf(w, "  error %-14s %d\n", code, r.Errors[code])
	}
	fmt.Fprintf(w, "tokens               %d (%.0f a second)\n", r.Tokens, float64(r.Tokens)/r.Duration.Seconds())
	fmt.Fprintf(w, "lost                 %d\nduplicated           %d\nreordered            %d\n", r.Lost, r.Duplicated, r.Reordered)
	fmt.Fprintf(w, "stall time           %s\npreemptions          %d\n", r.StallTime.Round(time.Millisecond), r.Preemptions)
	printQuantiles(w, "time to first token ", r.FirstToken.Quantiles())
	printQuantiles(w, "time between tokens ", r.BetweenTokens.Quantiles())
	fmt.Fprintf(w, "charges              %d: %d ran, %d not run, %d unknown\n", r.Charges, r.Ran, r.NotRun, r.Unknown)
	fmt.Fprintf(w, "run twice            %d\nfalse \"not run\"      %d\nfalse \"ran\"          %d\nnot audited          %d\n", r.RanTwice, r.FalseNotRun, r.FalseRan, r.Unaudited)
	for _, text := range r.Mismatches {
		fmt.Fprintf(w, "wrong: %s\n", text)
	}
}

func printQuantiles(w io.Writer, name string, q latency.Quantiles) {
	fmt.Fprintf(w, "%s p50 %s  p95 %s  p99 %s  p99.9 %s\n", name, q.P50, q.P95, q.P99, q.P999)
}
