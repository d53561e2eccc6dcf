// Package length learns how long outputs become. Lengths are unknown ahead and
// heavy-tailed, so it keeps whole distributions and answers conditional
// questions: given n tokens so far, how likely are h more.
package length

import "math"

type (
	// A Histogram is decayed counts of output lengths in logarithmic buckets.
	// Its zero value is empty and ready to use.
	Histogram struct {
		counts [Buckets]float32
		total  float32
		weight float32 // weight of the next observation; grows instead of decaying the rest
	}

	// A Curve is a survival function over the bucket edges: the chance that an
	// output is longer than the edge. It never rises.
	Curve [Buckets]float32
)

const (
	// Buckets is the number of buckets. The last is open.
	Buckets = 48

	perOctave = 3     // buckets that double the length
	halfLife  = 2000  // observations
	rescale   = 1e6   // weight at which counts are scaled back
	firstEdge = 1.0   // tokens
	tiny      = 1e-12 // survival that counts as none
)

var (
	edges  = makeEdges()
	growth = float32(math.Exp2(1.0 / halfLife))
)

func makeEdges() [Buckets]float64 {
	var e [Buckets]float64
	for i := range e {
		e[i] = firstEdge * math.Exp2(float64(i)/perOctave)
	}
	return e
}

// bucket returns the bucket of a length: the first whose edge is not below it.
func bucket(tokens float64) int {
	if tokens <= firstEdge {
		return 0
	}
	return min(int(math.Ceil(math.Log2(tokens/firstEdge)*perOctave-1e-9)), Buckets-1)
}

// Observe adds one finished output.
func (h *Histogram) Observe(tokens int) {
	if h.weight == 0 {
		h.weight = 1
	}
	h.counts[bucket(float64(tokens))] += h.weight
	h.total += h.weight
	h.weight *= growth
	if h.weight > rescale {
		h.scale(1 / h.weight)
	}
}

func (h *Histogram) scale(by float32) {
	for i := range h.counts {
		h.counts[i] *= by
	}
	h.total *= by
	h.weight *= by
}

// Count returns the decayed number of observations.
func (h *Histogram) Count() float64 {
	if h.weight == 0 {
		return 0
	}
	return float64(h.total / h.weight)
}

// Blend returns the survival function of h shrunk towards parent, as if parent
// had been observed strength times.
func (h *Histogram) Blend(parent *Curve, strength float64) Curve {
	var c Curve
	w := float64(max(h.weight, 1))
	above := float64(h.total)
	all := above + strength*w
	for i := range c {
		above -= float64(h.counts[i])
		c[i] = float32((max(above, 0) + strength*w*float64(parent[i])) / all)
	}
	return c
}

// Pareto returns the curve of a heavy-tailed guess with the given median.
func Pareto(median float64) Curve {
	var c Curve
	for i := range c {
		c[i] = float32(1 / (1 + edges[i]/median))
	}
	return c
}

// Survival returns the chance that an output is longer than n tokens.
func (c *Curve) Survival(n float64) float64 {
	if n <= 0 {
		return 1
	}
	if n <= edges[0] {
		return 1 - n/edges[0]*(1-float64(c[0]))
	}
	x := math.Log2(n/firstEdge) * perOctave
	i := int(x)
	if i >= Buckets-1 {
		return float64(c[Buckets-1]) * edges[Buckets-1] / n
	}
	f := x - float64(i)
	return float64(c[i])*(1-f) + float64(c[i+1])*f
}

// Alive returns the chance that an output of more than n tokens has more than
// n+h.
func (c *Curve) Alive(n, h float64) float64 {
	s := c.Survival(n)
	if s < tiny {
		return n / (n + h)
	}
	return min(c.Survival(n+h)/s, 1)
}

// Quantile returns the length that a share q of outputs longer than n does not
// exceed.
func (c *Curve) Quantile(n, q float64) float64 {
	want := c.Survival(n) * (1 - q)
	low, high := n, edges[Buckets-1]
	if c.Survival(high) > want || high < n {
		return max(high, n)
	}
	for high-low > 0.5 {
		mid := (low + high) / 2
		if c.Survival(mid) > want {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// Mean returns the expected number of further tokens after n, counting at most
// limit of them.
func (c *Curve) Mean(n, limit float64) float64 {
	const steps = 8
	sum, at, last := 0.0, 0.0, 1.0
	for i := 1; i <= steps; i++ {
		next := limit * math.Exp2(float64(i-steps))
		alive := c.Alive(n, next)
		sum += (next - at) * (last + alive) / 2
		at, last = next, alive
	}
	return sum
}
