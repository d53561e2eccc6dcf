// Package length predicts the output lengths of generations, in tokens. They are heavy-tailed and
// not known in advance; the package therefore keeps whole distributions and computes conditional
// probabilities, such as that of more than h further tokens after n.
package length

import "math"

type (
	// A Histogram holds decayed counts of output lengths in logarithmic buckets.
	// Its zero value is empty and ready to use.
	Histogram struct {
		counts     [Buckets]float32
		total      float32 // sum of counts
		nextWeight float32 // weight of the next observation; its growth with each one amounts to a decay of the earlier ones
	}

	// A SurvivalCurve holds a survival function of the output length: for each bucket, the
	// probability that an output is longer than the bucket's upper edge. It is non-increasing.
	SurvivalCurve [Buckets]float32
)

const (
	// Buckets is the number of buckets of a Histogram. The last one also counts the lengths above
	// its upper edge.
	Buckets = 48

	bucketsPerOctave     = 3     // buckets for each doubling of the length
	halfLifeObservations = 2000  // observations after which the weight of an earlier one has halved
	maxWeight            = 1e6   // weight of an observation above which all counts are rescaled
	firstEdgeTokens      = 1.0   // upper edge of the first bucket, in tokens
	minSurvival          = 1e-12 // survival probability below which ConditionalSurvival does not use the curve
)

var (
	edges        = makeEdges() // upper edges of the buckets, in tokens
	weightGrowth = float32(math.Exp2(1.0 / halfLifeObservations))
)

func makeEdges() [Buckets]float64 {
	var e [Buckets]float64
	for i := range e {
		e[i] = firstEdgeTokens * math.Exp2(float64(i)/bucketsPerOctave)
	}
	return e
}

// bucketOf returns the index of the bucket that counts a length: the first one whose upper edge is
// at least tokens, or the last one.
func bucketOf(tokens float64) int {
	if tokens <= firstEdgeTokens {
		return 0
	}
	return min(int(math.Ceil(math.Log2(tokens/firstEdgeTokens)*bucketsPerOctave-1e-9)), Buckets-1)
}

// Observe adds the length of one finished output.
func (h *Histogram) Observe(tokens int) {
	if h.nextWeight == 0 {
		h.nextWeight = 1
	}
	h.counts[bucketOf(float64(tokens))] += h.nextWeight
	h.total += h.nextWeight
	h.nextWeight *= weightGrowth
	if h.nextWeight > maxWeight {
		h.scale(1 / h.nextWeight)
	}
}

// scale multiplies the weights of all observations, and that of the next one, by factor.
func (h *Histogram) scale(factor float32) {
	for i := range h.counts {
		h.counts[i] *= factor
	}
	h.total *= factor
	h.nextWeight *= factor
}

// Count returns the decayed number of observations, in which the latest one counts about 1.
func (h *Histogram) Count() float64 {
	if h.nextWeight == 0 {
		return 0
	}
	return float64(h.total / h.nextWeight)
}

// ShrunkCurve returns the survival function of h's observations, shrunk towards parent as if
// strength further observations had been distributed as in parent.
func (h *Histogram) ShrunkCurve(parent *SurvivalCurve, strength float64) SurvivalCurve {
	var c SurvivalCurve
	w := float64(max(h.nextWeight, 1))
	above := float64(h.total)
	all := above + strength*w
	for i := range c {
		above -= float64(h.counts[i])
		c[i] = float32((max(above, 0) + strength*w*float64(parent[i])) / all)
	}
	return c
}

// ParetoCurve returns the survival function of the Lomax (Pareto type II) distribution with shape 1
// and the given median in tokens. It serves as a heavy-tailed prior.
func ParetoCurve(median float64) SurvivalCurve {
	var c SurvivalCurve
	for i := range c {
		c[i] = float32(1 / (1 + edges[i]/median))
	}
	return c
}

// Survival returns the probability that an output is longer than n tokens. It interpolates between
// the bucket edges; above the last one the probability falls in inverse proportion to n.
func (c *SurvivalCurve) Survival(n float64) float64 {
	if n <= 0 {
		return 1
	}
	if n <= edges[0] {
		return 1 - n/edges[0]*(1-float64(c[0]))
	}
	x := math.Log2(n/firstEdgeTokens) * bucketsPerOctave
	i := int(x)
	if i >= Buckets-1 {
		return float64(c[Buckets-1]) * edges[Buckets-1] / n
	}
	f := x - float64(i)
	return float64(c[i])*(1-f) + float64(c[i+1])*f
}

// ConditionalSurvival returns the probability that an output is longer than n+h tokens, given
// that it is longer than n. Where the curve is below minSurvival, it returns that of a tail that
// falls in inverse proportion to the length.
func (c *SurvivalCurve) ConditionalSurvival(n, h float64) float64 {
	s := c.Survival(n)
	if s < minSurvival {
		return n / (n + h)
	}
	return min(c.Survival(n+h)/s, 1)
}

// Quantile returns the q-quantile, in tokens, of the total lengths of outputs that are longer than
// n tokens. It returns no more than the last bucket edge, or n if that is larger.
func (c *SurvivalCurve) Quantile(n, q float64) float64 {
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

// MeanRemaining returns the expected number of further tokens of an output longer than n
// tokens, counting at most limit of them. It integrates the survival function by the trapezoid
// rule.
func (c *SurvivalCurve) MeanRemaining(n, limit float64) float64 {
	const steps = 8
	sum, at, last := 0.0, 0.0, 1.0
	for i := 1; i <= steps; i++ {
		next := limit * math.Exp2(float64(i-steps))
		alive := c.ConditionalSurvival(n, next)
		sum += (next - at) * (last + alive) / 2
		at, last = next, alive
	}
	return sum
}
