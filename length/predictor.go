package length

type (
	// A Key identifies a class of requests. An empty field stands for all its values.
	Key struct{ Organisation, Model, Route string } // Route is the kind of API call

	// A Predictor estimates the distribution of the output lengths of each class of requests as a
	// SurvivalCurve. The curve of a class with few observations is shrunk towards that of the next
	// coarser class. The classes are, from fine to coarse: organisation, model and route; model
	// and route; model; all requests. A Predictor is not safe for concurrent use.
	Predictor struct {
		prior       SurvivalCurve // curve towards which that of the coarsest class is shrunk
		nodes       map[Key]*node
		calibration Calibration
	}

	// A Calibration counts the finished outputs whose length did not exceed the quantile predicted
	// for it. For a well-calibrated predictor, BelowP90 is 90% of Outputs.
	Calibration struct {
		Outputs  int // all finished outputs
		BelowP50 int // outputs not longer than the 50% quantile predicted for them
		BelowP90 int // outputs not longer than the 90% quantile predicted for them
		BelowP99 int // outputs not longer than the 99% quantile predicted for them
	}

	// node holds the observed output lengths of one class of requests and the curve estimated from
	// them.
	node struct {
		histogram       Histogram
		parent          *node // next coarser class; nil for the coarsest
		curve           SurvivalCurve
		newObservations int  // observations added after curve was computed
		computed        bool // whether curve has been computed
	}

	// An Option configures a Predictor.
	Option interface{ apply(*Predictor) }

	withMedian float64
)

const (
	priorStrength        = 20.0  // weight of the next coarser class's curve in a class's own, in observations
	curveRefreshInterval = 16    // observations after which a curve is computed again
	defaultMedianTokens  = 200.0 // median of the prior, in tokens
)

// WithMedian sets the median of the prior, in tokens.
func WithMedian(tokens float64) Option { return withMedian(tokens) }

func (m withMedian) apply(p *Predictor) { p.prior = ParetoCurve(float64(m)) }

// NewPredictor returns a predictor without observations.
func NewPredictor(opts ...Option) *Predictor {
	p := &Predictor{prior: ParetoCurve(defaultMedianTokens), nodes: map[Key]*node{}}
	for _, o := range opts {
		o.apply(p)
	}
	return p
}

// Curve returns the curve of a class. Later calls of Curve and Observe may change the curve that
// the pointer points to.
func (p *Predictor) Curve(k Key) *SurvivalCurve { return p.curve(p.node(k)) }

// curve returns the curve of n, and computes it again if curveRefreshInterval observations were
// added.
func (p *Predictor) curve(n *node) *SurvivalCurve {
	if n.computed && n.newObservations < curveRefreshInterval {
		return &n.curve
	}
	parent := &p.prior
	if n.parent != nil {
		parent = p.curve(n.parent)
	}
	n.curve = n.histogram.ShrunkCurve(parent, priorStrength)
	n.computed, n.newObservations = true, 0
	return &n.curve
}

// node returns the node of a class, and creates it and those of all coarser classes if needed.
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

// parent returns the key of the next coarser class, or false for the coarsest class.
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

// Observe adds the length of one finished output, in tokens, to its class and all coarser ones.
// Before that it compares the length with the quantiles that the class's curve predicts, for the
// Calibration.
func (p *Predictor) Observe(k Key, tokens int) {
	n := p.node(k)
	p.updateCalibration(p.curve(n), float64(tokens))
	for ; n != nil; n = n.parent {
		n.histogram.Observe(tokens)
		n.newObservations++
	}
}

// updateCalibration counts one output of n tokens whose length was predicted as c.
func (p *Predictor) updateCalibration(c *SurvivalCurve, n float64) {
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
