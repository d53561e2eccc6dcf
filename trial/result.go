package trial

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/latency"
	"github.com/wigeonlink/wigeonlink/length"
)

type (
	// A Result is what a trial measured, after its warm-up.
	Result struct {
		Events        int // of the trial's queue
		Submitted     int
		Whole         int
		Refused       int
		Tokens        int
		Preemptions   int
		Resumes       int
		Stall         time.Duration
		First         latency.Histogram // time to first token
		Between       latency.Histogram // time between tokens
		Organisations map[string]*OrganisationResult
		Counts        []dispatch.Counts // by host
		Tally         length.Tally      // of the last host
	}

	// An OrganisationResult is one organisation's part.
	OrganisationResult struct {
		Tokens  int
		Refused int
		Service float64
		Stall   time.Duration
		First   latency.Histogram
		Between latency.Histogram
	}
)

func newResult() Result {
	return Result{First: latency.NewHistogram(), Between: latency.NewHistogram(), Organisations: map[string]*OrganisationResult{}}
}

func (r *Result) organisation(name string) *OrganisationResult {
	m := r.Organisations[name]
	if m == nil {
		m = &OrganisationResult{First: latency.NewHistogram(), Between: latency.NewHistogram()}
		r.Organisations[name] = m
	}
	return m
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
