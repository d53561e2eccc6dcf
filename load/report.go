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
	// A Report holds the measurements of a load run and the violations found in it.
	Report struct {
		Duration        time.Duration     `json:"took"`            // from the start of the run until the last call has ended
		Generations     int               `json:"generations"`     // generations started
		Complete        int               `json:"whole"`           // generations that ended with [DONE]
		Partial         int               `json:"partial"`         // generations that ended with an error after the first token
		Reconnects      int               `json:"reconnects"`      // connections of generations, except the first of each
		Errors          map[string]int    `json:"errors"`          // generations that did not complete, by error code, and charges with an unknown outcome, by cause
		Tokens          int               `json:"tokens"`          // tokens received
		Lost            int               `json:"lost"`            // tokens that were skipped in a stream or missing at its end
		Duplicated      int               `json:"duplicated"`      // tokens received more than once
		Reordered       int               `json:"reordered"`       // unexpected tokens that are neither lost nor duplicated ones; see classifyMismatch
		Mismatches      []string          `json:"wrong,omitempty"` // descriptions of other violations, prefixed by the generation identifier
		StallTime       time.Duration     `json:"stall"`           // sum of the times between tokens in excess of relay.StallThreshold
		Preemptions     int               `json:"preemptions"`     // preemptions on the engines; Run leaves it 0, its caller may set it
		FirstToken      latency.Histogram `json:"first"`           // times to first token
		BetweenTokens   latency.Histogram `json:"between"`         // times between tokens
		Charges         int               `json:"charges"`         // charges started
		Ran             int               `json:"ran"`             // charges reported as run
		NotRun          int               `json:"not_run"`         // charges reported as not run
		Unknown         int               `json:"unknown"`         // charges with an unknown outcome or no response
		RepeatedCharges int               `json:"twice"`           // charges that ran more than once
		FalseNotRun     int               `json:"false_not_run"`   // charges that ran although reported as not run
		FalseRan        int               `json:"false_ran"`       // charges that did not run although reported as run
		Unaudited       int               `json:"unaudited"`       // charges whose run count could not be read
	}
)

func newReport() Report {
	return Report{Errors: map[string]int{}, FirstToken: latency.NewHistogram(), BetweenTokens: latency.NewHistogram()}
}

// Violations returns the number of violations: lost, duplicated and reordered tokens, entries
// of Mismatches, charges that ran more than once, and falsely reported outcomes.
func (r Report) Violations() int {
	return r.Lost + r.Duplicated + r.Reordered + len(r.Mismatches) + r.RepeatedCharges + r.FalseNotRun + r.FalseRan
}

// Summary returns the main counts of the report in one line.
func (r Report) Summary() string {
	return fmt.Sprintf("%d begun, %d whole, %d tokens, %d reconnects, %d charges, %d faults",
		r.Generations, r.Complete, r.Tokens, r.Reconnects, r.Charges, r.Violations())
}

// Print writes the report as plain text.
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
	fmt.Fprintf(w, "run twice            %d\nfalse \"not run\"      %d\nfalse \"ran\"          %d\nnot audited          %d\n", r.RepeatedCharges, r.FalseNotRun, r.FalseRan, r.Unaudited)
	for _, text := range r.Mismatches {
		fmt.Fprintf(w, "wrong: %s\n", text)
	}
}

func printQuantiles(w io.Writer, name string, q latency.Quantiles) {
	fmt.Fprintf(w, "%s p50 %s  p95 %s  p99 %s  p99.9 %s\n", name, q.P50, q.P95, q.P99, q.P999)
}

// countError counts a generation or a charge in Errors.
func (r *Report) countError(code string) {
	if r.Errors == nil {
		r.Errors = map[string]int{}
	}
	r.Errors[code]++
}
