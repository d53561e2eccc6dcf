package forecast

import "time"

// An IntervalModel estimates an engine's time between tokens as a linear function of the number
// of running sequences. It is a least-squares fit in which older observations have exponentially
// lower weights and a prior counts as two early observations.
type IntervalModel struct {
	n, x, y, xx, xy float64 // weighted sums of 1, x, y, x*x and x*y; x is the number of sequences, y the interval in seconds
}

const (
	observationDecay   = 0.995 // factor by which each observation lowers the weights of all earlier ones
	priorWeight        = 8.0   // weight of the prior at each of its two numbers of sequences, in observations
	priorLowSequences  = 1.0   // smaller number of sequences for which the prior is added
	priorHighSequences = 64.0  // larger number of sequences for which the prior is added
)

// NewIntervalModel returns a model with the prior that the interval between tokens is base, plus
// perSequence for each running sequence.
func NewIntervalModel(base, perSequence time.Duration) IntervalModel {
	var m IntervalModel
	for _, x := range []float64{priorLowSequences, priorHighSequences} {
		y := base.Seconds() + x*perSequence.Seconds()
		m.add(x, y, priorWeight)
	}
	return m
}

// add adds an observation with the weight w.
func (m *IntervalModel) add(x, y, w float64) {
	m.n += w
	m.x += w * x
	m.y += w * y
	m.xx += w * x * x
	m.xy += w * x * y
}

// Observe adds an observed interval between tokens. running is the number of sequences in the
// engine's batch.
func (m *IntervalModel) Observe(running float64, interval time.Duration) {
	m.n *= observationDecay
	m.x *= observationDecay
	m.y *= observationDecay
	m.xx *= observationDecay
	m.xy *= observationDecay
	m.add(running, interval.Seconds(), 1)
}

// At returns the expected interval between tokens when the given number of sequences is in the
// engine's batch.
func (m *IntervalModel) At(running float64) time.Duration {
	if m.n == 0 {
		return 0
	}
	det := m.n*m.xx - m.x*m.x
	slope := 0.0
	if det > 1e-9 {
		slope = max((m.n*m.xy-m.x*m.y)/det, 0)
	}
	base := max((m.y-slope*m.x)/m.n, 0)
	return time.Duration((base + slope*running) * float64(time.Second))
}
