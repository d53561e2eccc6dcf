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
	// A Result holds the measurements of one or more trials. Tokens, preemptions, stall time
	// and latencies exclude the warm-up; the other counts include it.
	Result struct {
		Events            int // simulation events executed
		Submitted         int
		Completed         int
		Refused           int
		Tokens            int
		Preemptions       int
		Resumes           int
		StallTime         time.Duration
		TimeToFirstToken  latency.Histogram
		TimeBetweenTokens latency.Histogram
		Organisations     map[string]*OrganisationResult
		Counts            []dispatch.Counts  // counts of the reducers, by host
		LengthTally       length.Calibration // accuracy of the length forecasts of the last host
	}

	// An OrganisationResult holds the measurements of one organisation.
	OrganisationResult struct {
		Tokens            int
		Refused           int
		Service           float64 // cost of the generated tokens: 1 + context length / 1024 for each
		StallTime         time.Duration
		TimeToFirstToken  latency.Histogram
		TimeBetweenTokens latency.Histogram
	}
)

func newResult() Result {
	return Result{TimeToFirstToken: latency.NewHistogram(), TimeBetweenTokens: latency.NewHistogram(), Organisations: map[string]*OrganisationResult{}}
}

// organisation returns the entry of an organisation and adds it if it is missing.
func (r *Result) organisation(name string) *OrganisationResult {
	org := r.Organisations[name]
	if org == nil {
		org = &OrganisationResult{TimeToFirstToken: latency.NewHistogram(), TimeBetweenTokens: latency.NewHistogram()}
		r.Organisations[name] = org
	}
	return org
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// Add adds the measurements of another trial. LengthTally stays that of r.
func (r *Result) Add(o *Result) {
	r.Events += o.Events
	r.Submitted += o.Submitted
	r.Completed += o.Completed
	r.Refused += o.Refused
	r.Tokens += o.Tokens
	r.Preemptions += o.Preemptions
	r.Resumes += o.Resumes
	r.StallTime += o.StallTime
	r.TimeToFirstToken.Merge(o.TimeToFirstToken)
	r.TimeBetweenTokens.Merge(o.TimeBetweenTokens)
	for name, part := range o.Organisations {
		org := r.organisation(name)
		org.Tokens += part.Tokens
		org.Refused += part.Refused
		org.Service += part.Service
		org.StallTime += part.StallTime
		org.TimeToFirstToken.Merge(part.TimeToFirstToken)
		org.TimeBetweenTokens.Merge(part.TimeBetweenTokens)
	}
	r.Counts = append(r.Counts, o.Counts...)
}

// ShareError returns the largest relative difference between the fraction of the service
// that an organisation received and its share, or 0 without any service.
func (r *Result) ShareError(organisations []Organisation) float64 {
	total, weight := 0.0, 0.0
	seen := map[string]bool{} // an organisation may have several request streams
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
