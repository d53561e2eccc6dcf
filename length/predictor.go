package length

type (
	// A Key names a kind of request. Coarser kinds leave fields empty.
	Key struct{ Organisation, Model, Route string }

	// A Predictor learns curves for kinds of requests. A kind with few
	// observations leans on the coarser one: organisation and route, route, model,
	// all. It is used by one goroutine at a time.
	Predictor struct {
		root  SurvivalCurve
		nodes map[Key]*node
		tally Tally
	}

	// A Tally counts how outputs compared with their predicted quantiles.
	Tally struct {
		Outputs  int
		BelowP50 int
		BelowP90 int
		BelowP99 int
	}

	node struct {
		histogram         Histogram
		parent            *node
		curve             SurvivalCurve
		staleObservations int // observations since curve was computed
		computed          bool
	}

	// An Option changes a Predictor.
	Option interface{ apply(*Predictor) }

	withMedian float64
)

const (
	priorStrength        = 20.0  // observations that a parent is worth
	curveRefreshInterval = 16    // observations between two computations of a curve
	defaultMedianTokens  = 200.0 // tokens
)

// WithMedian sets the median of the guess used before anything is observed, in
// tokens.
func WithMedian(tokens float64) Option { return withMedian(tokens) }

func (m withMedian) apply(p *Predictor) { p.root = ParetoCurve(float64(m)) }

// NewPredictor returns a predictor that has observed nothing.
func NewPredictor(opts ...Option) *Predictor {
	p := &Predictor{root: ParetoCurve(defaultMedianTokens), nodes: map[Key]*node{}}
	for _, o := range opts {
		o.apply(p)
	}
	return p
}

// Curve returns the curve of a kind. It stays valid, and may be refined by later
// observations.
func (p *Predictor) Curve(k Key) *SurvivalCurve { return p.curve(p.node(k)) }

func (p *Predictor) curve(l *node) *SurvivalCurve {
	if l.computed && l.staleObservations < curveRefreshInterval {
		return &l.curve
	}
	parent := &p.root
	if l.parent != nil {
		parent = p.curve(l.parent)
	}
	l.curve = l.histogram.ShrunkCurve(parent, priorStrength)
	l.computed, l.staleObservations = true, 0
	return &l.curve
}

func (p *Predictor) node(k Key) *node {
	if l, ok := p.nodes[k]; ok {
		return l
	}
	l := &node{}
	if up, ok := k.parent(); ok {
		l.parent = p.node(up)
	}
	p.nodes[k] = l
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
	l := p.node(k)
	p.countQuantiles(p.curve(l), float64(tokens))
	for ; l != nil; l = l.parent {
		l.histogram.Observe(tokens)
		l.staleObservations++
	}
}

func (p *Predictor) countQuantiles(c *SurvivalCurve, n float64) {
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
