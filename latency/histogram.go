// Package latency counts durations and tells their quantiles.
package latency

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// A Histogram holds durations of up to an hour, to a microsecond or three digits.
	Histogram struct{ values *hdrhistogram.Histogram }

	// Quantiles are the usual ones.
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
	digits    = 3
)

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram { return Histogram{hdrhistogram.New(1, maxMicros, digits)} }

// Record adds a duration. One beyond the range counts as the largest.
func (h Histogram) Record(d time.Duration) {
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Merge adds the durations of o.
func (h Histogram) Merge(o Histogram) { h.values.Merge(o.values) }

// Quantile returns the duration that a share q of the values does not exceed.
func (h Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.values.ValueAtQuantile(100*q)) * time.Microsecond
}

// Quantiles returns the usual quantiles.
func (h Histogram) Quantiles() Quantiles {
	return Quantiles{h.values.TotalCount(), h.Quantile(0.5), h.Quantile(0.95), h.Quantile(0.99), h.Quantile(0.999)}
}

// MarshalJSON writes the usual quantiles.
func (h Histogram) MarshalJSON() ([]byte, error) { return json.Marshal(h.Quantiles()) }
