package hedge

import (
	"math"
	"time"
)

// distribution is a decayed histogram of durations in logarithmic buckets. The zero value is empty.
type distribution struct {
	weights [buckets]float64
	total   float64 // sum of the weights
	unit    float64 // weight of the next value; grows instead of a decay of all buckets
	count   int     // values observed, up to minimumValues
}

const (
	buckets          = 136                    // from shortest to shortest x 2^17
	bucketsPerOctave = 8                      // a bucket is 9% wide
	shortest         = 500 * time.Microsecond // upper edge of the first bucket
	memory           = 400                    // values after which a value's weight has decayed to 1/e
	minimumValues    = 20                     // values below which nothing is known
	largestUnit      = 1e9                    // unit at which all weights are scaled back
)

// bucketOf returns the bucket whose upper edge is the least that is not below d.
func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	return min(int(math.Ceil(bucketsPerOctave*math.Log2(float64(d)/float64(shortest)))), buckets-1)
}

func upperEdge(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

// observe adds a value.
func (d *distribution) observe(v time.Duration) {
	if d.unit == 0 {
		d.unit = 1
	}
	d.weights[bucketOf(v)] += d.unit
	d.total += d.unit
	d.count = min(d.count+1, minimumValues)
	d.unit *= 1 + 1.0/memory
	if d.unit < largestUnit {
		return
	}
	d.total = 0
	for i := range d.weights {
		d.weights[i] /= d.unit
		d.total += d.weights[i]
	}
	d.unit = 1
}

// known reports whether enough values were observed.
func (d *distribution) known() bool { return d.count >= minimumValues }

// quantile returns the upper edge of the bucket that holds the quantile.
func (d *distribution) quantile(q float64) time.Duration {
	left := q * d.total
	for i, w := range d.weights {
		if left -= w; left <= 0 && w > 0 {
			return upperEdge(i)
		}
	}
	return upperEdge(buckets - 1)
}
