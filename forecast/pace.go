package forecast

import "time"

// A IntervalModel learns an engine's time between tokens as a line over the number of
// running sequences. It is a decayed least-squares fit that starts from a guess.
type IntervalModel struct {
	n, x, y, xx, xy float64
}

const (
	observationDecay   = 0.995 // weight kept by each observation
	priorWeight        = 8.0   // observations that the guess is worth
	priorLowSequences  = 1.0   // sequences
	priorHighSequences = 64.0  // sequences
)

// NewIntervalModel returns a pace that guesses base and per sequence.
func NewIntervalModel(base, per time.Duration) IntervalModel {
	var p IntervalModel
	for _, x := range []float64{priorLowSequences, priorHighSequences} {
		y := base.Seconds() + x*per.Seconds()
		p.add(x, y, priorWeight)
	}
	return p
}

func (p *IntervalModel) add(x, y, w float64) {
	p.n += w
	p.x += w * x
	p.y += w * y
	p.xx += w * x * x
	p.xy += w * x * y
}

// Observe adds an interval seen while running sequences shared the batch.
func (p *IntervalModel) Observe(running float64, interval time.Duration) {
	p.n *= observationDecay
	p.x *= observationDecay
	p.y *= observationDecay
	p.xx *= observationDecay
	p.xy *= observationDecay
	p.add(running, interval.Seconds(), 1)
}

// At returns the expected interval with running sequences.
func (p *IntervalModel) At(running float64) time.Duration {
	if p.n == 0 {
		return 0
	}
	det := p.n*p.xx - p.x*p.x
	slope := 0.0
	if det > 1e-9 {
		slope = max((p.n*p.xy-p.x*p.y)/det, 0)
	}
	base := max((p.y-slope*p.x)/p.n, 0)
	return time.Duration((base + slope*running) * float64(time.Second))
}
