package trial

import (
	"math"
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

// Add adds what another trial measured.
func (r *Result) Add(o *Result) {
	r.Events += o.Events
	r.Submitted += o.Submitted
	r.Whole += o.Whole
	r.Refused += o.Refused
	r.Tokens += o.Tokens
	r.Preemptions += o.Preemptions
	r.Resumes += o.Resumes
	r.Stall += o.Stall
	r.First.Merge(o.First)
	r.Between.Merge(o.Between)
	for name, part := range o.Organisations {
		m := r.organisation(name)
		m.Tokens += part.Tokens
		m.Refused += part.Refused
		m.Service += part.Service
		m.Stall += part.Stall
		m.First.Merge(part.First)
		m.Between.Merge(part.Between)
	}
	r.Counts = append(r.Counts, o.Counts...)
}

// ShareError returns the largest relative difference between an organisation's part of the
// service and its promise; 0 if there was no service.
func (r *Result) ShareError(organisations []Organisation) float64 {
	total, weight := 0.0, 0.0
	seen := map[string]bool{} // an organisation may have several streams of calls
	for i := range organisations {
		if o := &organisations[i]; !seen[o.Name] {
			seen[o.Name] = true
			total += r.organisation(o.Name).Service
			weight += o.Weight
		}
	}
	if total == 0 {
		return 0
	}
	worst := 0.0
	for i := range organisations {
		o := &organisations[i]
		worst = max(worst, math.Abs(r.organisation(o.Name).Service/total/(o.Weight/weight)-1))
	}
	return worst
}
