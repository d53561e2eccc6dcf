package length

type (
	// A Key names a kind of request. Coarser kinds leave fields empty.
	Key struct{ Organisation, Model, Route string }

	// A Predictor learns curves for kinds of requests. A kind with few
	// observations leans on the coarser one: organisation and route, route, model,
	// all. It is used by one goroutine at a time.
	Predictor struct {
		root   Curve
		levels map[Key]*level
		tally  Tally
	}

	// A Tally counts how outputs compared with their predicted quantiles.
	Tally struct {
		Outputs  int
		BelowP50 int
		BelowP90 int
		BelowP99 int
	}

	level struct {
		histogram Histogram
		parent    *level
		curve     Curve
		fresh     int // observations since curve was computed
		known     bool
	}

	// An Option changes a Predictor.
	Option interface{ apply(*Predictor) }

	withMedian float64
)

const (
	strength      = 20.0  // observations that a parent is worth
	refresh       = 16    // observations between two computations of a curve
	defaultMedian = 200.0 // tokens
)

// WithMedian sets the median of the guess used before anything is observed, in
// tokens.
func WithMedian(tokens float64) Option { return withMedian(tokens) }

func (m withMedian) apply(p *Predictor) { p.root = Pareto(float64(m)) }

// NewPredictor returns a predictor that has observed nothing.
func NewPredictor(opts ...Option) *Predictor {
	p := &Predictor{root: Pareto(defaultMedian), levels: map[Key]*level{}}
	for _, o := range opts {
		o.apply(p)
	}
	return p
}

// Curve returns the curve of a kind. It stays valid, and may be refined by later
// observations.
func (p *Predictor) Curve(k Key) *Curve { return p.curve(p.level(k)) }

func (p *Predictor) curve(l *level) *Curve {
	if l.known && l.fresh < refresh {
		return &l.curve
	}
	parent := &p.root
	if l.parent != nil {
		parent = p.curve(l.parent)
	}
	l.curve = l.histogram.Blend(parent, strength)
	l.known, l.fresh = true, 0
	return &l.curve
}

func (p *Predictor) level(k Key) *level {
	if l, ok := p.levels[k]; ok {
		return l
	}
	l := &level{}
	if up, ok := k.parent(); ok {
		l.parent = p.level(up)
	}
	p.levels[k] = l
	return l
}

// parent returns the next coarser kind.
func (k Key) parent() (Key, bool) {
	switch {
	case k.Organisation != "":
		k.Organisation = ""
	case k.Route != "":
		k.Route = ""
	case k.Model != "":
		k.Model = ""
	default:
		return k, false
	}
	return k, true
}

// Observe adds one finished output, and tallies it against the prediction made
// for it from what was known before.
func (p *Predictor) Observe(k Key, tokens int) {
	l := p.level(k)
	p.count(p.curve(l), float64(tokens))
	for ; l != nil; l = l.parent {
		l.histogram.Observe(tokens)
		l.fresh++
	}
}

func (p *Predictor) count(c *Curve, n float64) {
	p.tally.Outputs++
	s := c.Survival(n)
	if s >= 0.5 {
		p.tally.BelowP50++
	}
	if s >= 0.1 {
		p.tally.BelowP90++
	}
	if s >= 0.01 {
		p.tally.BelowP99++
	}
}

// Tally returns the calibration so far.
func (p *Predictor) Tally() Tally { return p.tally }
