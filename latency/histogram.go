// Package latency records durations in histograms and computes their quantiles.
package latency

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// A Histogram holds durations of up to one hour with a resolution of one microsecond or
	// three significant digits, whichever is coarser.
	Histogram struct{ values *hdrhistogram.Histogram }

	// Quantiles holds the number of durations and the quantiles that reports contain.
	Quantiles struct {
		Count int64         `json:"count"`
		P50   time.Duration `json:"p50"`
		P95   time.Duration `json:"p95"`
		P99   time.Duration `json:"p99"`
		P999  time.Duration `json:"p999"`
	}
)

const (
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 3 // significant decimal digits
)

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram { return Histogram{hdrhistogram.New(1, maxMicros, digits)} }

// Record adds a duration. A duration above the maximum is recorded as the maximum, one below a
// microsecond as a microsecond.
func (h Histogram) Record(d time.Duration) {
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Merge adds the durations of o.
func (h Histogram) Merge(o Histogram) { h.values.Merge(o.values) }

// Quantile returns the q-quantile of the durations, with q from 0 to 1.
func (h Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.values.ValueAtQuantile(100*q)) * time.Microsecond
}

// Quantiles returns the count and the quantiles of the durations.
func (h Histogram) Quantiles() Quantiles {
	return Quantiles{h.values.TotalCount(), h.Quantile(0.5), h.Quantile(0.95), h.Quantile(0.99), h.Quantile(0.999)}
}

// MarshalJSON encodes the histogram as its Quantiles.
func (h Histogram) MarshalJSON() ([]byte, error) { return json.Marshal(h.Quantiles()) }
