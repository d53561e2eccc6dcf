package length

type (
	// A Key identifies a class of requests. Coarser classes have empty fields.
	Key struct{ Organisation, Model, Route string }

	// A Predictor estimates a SurvivalCurve for each class of requests. The curve of a class
	// with few observations is shrunk towards that of the next coarser class. The classes are,
	// from fine to coarse: organisation, model and route; model and route; model; all
	// requests. A Predictor is not safe for concurrent use.
	Predictor struct {
		root        SurvivalCurve // prior of the coarsest class
		nodes       map[Key]*node
		calibration Calibration
	}

	// A Calibration counts the outputs that did not exceed their predicted quantiles. For a
	// calibrated predictor, BelowP90 is 90% of Outputs.
	Calibration struct {
		Outputs  int
		BelowP50 int
		BelowP90 int
		BelowP99 int
	}

	// node is the state of one class of requests.
	node struct {
		histogram         Histogram
		parent            *node // next coarser class; nil for the coarsest
		curve             SurvivalCurve
		staleObservations int  // observations added after curve was computed
		computed          bool // whether curve has been computed
	}

	// An Option configures a Predictor.
	Option interface{ apply(*Predictor) }

	withMedian float64
)

const (
	priorStrength        = 20.0  // weight of the coarser class's curve, in observations
	curveRefreshInterval = 16    // observations after which a curve is computed again
	defaultMedianTokens  = 200.0 // median of the prior
)

// WithMedian sets the median of the prior, in tokens.
func WithMedian(tokens float64) Option { return withMedian(tokens) }

func (m withMedian) apply(p *Predictor) { p.root = ParetoCurve(float64(m)) }

// NewPredictor returns a predictor without observations.
func NewPredictor(opts ...Option) *Predictor {
	p := &Predictor{root: ParetoCurve(defaultMedianTokens), nodes: map[Key]*node{}}
	for _, o := range opts {
		o.apply(p)
	}
	return p
}

// Curve returns the curve of a class. The pointer stays valid; later calls of Curve and Observe
// may update the curve.
func (p *Predictor) Curve(k Key) *SurvivalCurve { return p.curve(p.node(k)) }

func (p *Predictor) curve(n *node) *SurvivalCurve {
	if n.computed && n.staleObservations < curveRefreshInterval {
		return &n.curve
	}
	parent := &p.root
	if n.parent != nil {
		parent = p.curve(n.parent)
	}
	n.curve = n.histogram.ShrunkCurve(parent, priorStrength)
	n.computed, n.staleObservations = true, 0
	return &n.curve
}

func (p *Predictor) node(k Key) *node {
	if n, ok := p.nodes[k]; ok {
		return n
	}
	n := &node{}
	if coarser, ok := k.parent(); ok {
		n.parent = p.node(coarser)
	}
	p.nodes[k] = n
	return n
}

// parent returns the key of the next coarser class. It reports false for the coarsest.
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

// Observe adds the length of one finished output to its class and all coarser ones. Before that
// it counts the length against the quantiles predicted from the earlier observations.
func (p *Predictor) Observe(k Key, tokens int) {
	n := p.node(k)
	p.countQuantiles(p.curve(n), float64(tokens))
	for ; n != nil; n = n.parent {
		n.histogram.Observe(tokens)
		n.staleObservations++
	}
}

func (p *Predictor) countQuantiles(c *SurvivalCurve, n float64) {
	p.calibration.Outputs++
	s := c.Survival(n)
	if s >= 0.5 {
		p.calibration.BelowP50++
	}
	if s >= 0.1 {
		p.calibration.BelowP90++
	}
	if s >= 0.01 {
		p.calibration.BelowP99++
	}
}

// Calibration returns the calibration counts since the predictor was created.
func (p *Predictor) Calibration() Calibration { return p.calibration }
