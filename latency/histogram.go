// Package latency records durations in histograms and computes their quantiles.
package latency

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// A Histogram counts durations of up to one hour. It resolves one microsecond or three
	// significant decimal digits, whichever is coarser.
	Histogram struct{ values *hdrhistogram.Histogram }

	// Quantiles holds the number of durations in a histogram and some of their quantiles.
	// P999 is the 0.999-quantile.
	Quantiles struct {
		Count int64         `json:"count"`
		P50   time.Duration `json:"p50"`
		P95   time.Duration `json:"p95"`
		P99   time.Duration `json:"p99"`
		P999  time.Duration `json:"p999"`
	}
)

const (
	maxMicros         = int64(time.Hour / time.Microsecond) // longest duration in microseconds
	significantDigits = 3                                   // decimal
)

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram { return Histogram{hdrhistogram.New(1, maxMicros, significantDigits)} }

// Record adds d to the histogram. A duration of more than one hour counts as one hour, one of
// less than a microsecond as a microsecond.
func (h Histogram) Record(d time.Duration) {
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Merge adds the durations in o to h.
func (h Histogram) Merge(o Histogram) { h.values.Merge(o.values) }

// Quantile returns the q-quantile of the recorded durations, with q from 0 to 1.
func (h Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.values.ValueAtQuantile(100*q)) * time.Microsecond
}

// Quantiles returns the number of recorded durations and their quantiles.
func (h Histogram) Quantiles() Quantiles {
	return Quantiles{h.values.TotalCount(), h.Quantile(0.5), h.Quantile(0.95), h.Quantile(0.99), h.Quantile(0.999)}
}

// MarshalJSON encodes the histogram as its Quantiles.
func (h Histogram) MarshalJSON() ([]byte, error) { return json.Marshal(h.Quantiles()) }
