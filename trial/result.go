package trial

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/length"
)

type (
	// A Result is what a trial measured, after its warm-up.
	Result struct {
		Events      int // of the trial's queue
		Submitted   int
		Whole       int
		Refused     int
		Tokens      int
		Preemptions int
		Resumes     int
		Stall       time.Duration
		First       Histogram // time to first token
		Between     Histogram // time between tokens
		Members     map[string]*MemberResult
		Counts      []dispatch.Counts // by host
		Tally       length.Tally      // of the last host
	}

	// A MemberResult is one member's part.
	MemberResult struct {
		Tokens  int
		Refused int
		Service float64
		Stall   time.Duration
		First   Histogram
		Between Histogram
	}

	// A Histogram holds durations.
	Histogram struct{ values *hdrhistogram.Histogram }
)

const (
	mostMicros = int64(time.Hour / time.Microsecond)
	digits     = 3
)

func newHistogram() Histogram { return Histogram{hdrhistogram.New(1, mostMicros, digits)} }

func newResult() Result {
	return Result{First: newHistogram(), Between: newHistogram(), Members: map[string]*MemberResult{}}
}

func (r *Result) member(name string) *MemberResult {
	m := r.Members[name]
	if m == nil {
		m = &MemberResult{First: newHistogram(), Between: newHistogram()}
		r.Members[name] = m
	}
	return m
}

func (h Histogram) record(d time.Duration) {
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), mostMicros))
}

// Quantile returns the duration that a share q of the values does not exceed.
func (h Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.values.ValueAtQuantile(100*q)) * time.Microsecond
}

// Merge adds the values of o.
func (h Histogram) Merge(o Histogram) { h.values.Merge(o.values) }

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
