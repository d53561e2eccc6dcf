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
	// A Result holds the measurements of one or more trials. Tokens, preemptions, service cost,
	// stall time and latencies exclude the warm-up; the other counts include it.
	Result struct {
		Events            int           // simulation events executed
		Submitted         int           // requests
		Completed         int           // requests whose generation is complete
		Refused           int           // requests
		Tokens            int           // output tokens delivered
		Preemptions       int           // of requests, on all engines
		Resumes           int           // dispatch.EffectResume effects of the reducers
		StallTime         time.Duration // sum of the times between tokens in excess of relay.StallThreshold
		TimeToFirstToken  latency.Histogram
		TimeBetweenTokens latency.Histogram
		Organisations     map[string]*OrganisationResult // by name
		Kinds             map[string]*KindResult         // by name of the kind
		Counts            []dispatch.Counts              // counters of the reducers, in the order of the hosts
		LengthCalibration length.Calibration             // accuracy of the length forecasts of the last host
	}

	// An OrganisationResult holds the measurements of one organisation. Its fields have the
	// meaning of those of Result, but cover only the requests of the organisation.
	OrganisationResult struct {
		Tokens            int
		Refused           int
		ServiceCost       float64       // sum over the output tokens of 1 + context length / 1024, with the context length in tokens
		StallTime         time.Duration // sum of the times between tokens in excess of relay.StallThreshold
		TimeToFirstToken  latency.Histogram
		TimeBetweenTokens latency.Histogram
	}
)

func newResult() Result {
	return Result{TimeToFirstToken: latency.NewHistogram(), TimeBetweenTokens: latency.NewHistogram(), Organisations: map[string]*OrganisationResult{}, Kinds: map[string]*KindResult{}}
}

// organisation returns the measurements of an organisation. It adds an empty entry if there is
// none.
func (r *Result) organisation(name string) *OrganisationResult {
	org := r.Organisations[name]
	if org == nil {
		org = &OrganisationResult{TimeToFirstToken: latency.NewHistogram(), TimeBetweenTokens: latency.NewHistogram()}
		r.Organisations[name] = org
	}
	return org
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// Add adds the measurements of another trial to r, except LengthCalibration.
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
		org.ServiceCost += part.ServiceCost
		org.StallTime += part.StallTime
		org.TimeToFirstToken.Merge(part.TimeToFirstToken)
		org.TimeBetweenTokens.Merge(part.TimeBetweenTokens)
	}
	r.Counts = append(r.Counts, o.Counts...)
}

// ShareError returns the largest relative error of an organisation's share: the difference
// between its fraction of the total service cost and its fraction of the total weight,
// divided by the latter. It returns 0 if the total service cost is 0.
func (r *Result) ShareError(organisations []Organisation) float64 {
	total, weight := 0.0, 0.0
	seen := map[string]bool{} // an organisation may have several request streams
	for i := range organisations {
		if o := &organisations[i]; !seen[o.Name] {
			seen[o.Name] = true
			total += r.organisation(o.Name).ServiceCost
			weight += o.Weight
		}
	}
	if total == 0 {
		return 0
	}
	worst := 0.0
	for i := range organisations {
		o := &organisations[i]
		worst = max(worst, math.Abs(r.organisation(o.Name).ServiceCost/total/(o.Weight/weight)-1))
	}
	return worst
}
