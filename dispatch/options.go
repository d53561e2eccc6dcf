package dispatch

import "time"

type (
	// An Option configures a Reducer.
	Option interface{ apply(*options) }

	options struct {
		domain           string
		usageWindow      time.Duration
		medianOutput     float64
		deviations       float64
		reserve          float64
		stepBase         time.Duration
		stepPerSequence  time.Duration
		prefillPerToken  time.Duration
		chooser          Chooser
		hold             bool
		disconnectGrace  time.Duration
		maxHold          time.Duration
		otherPoolsWeight float64
		latencyWeights   bool
		prefillBurst     int
		maxLoadAge       time.Duration
		crossDomain      bool
		moves            bool
		origin           string
		backupFraction   float64
		retryRatio       float64
		retrySlack       float64
	}

	withDomain          string
	withUsageWindow     time.Duration
	withDeviations      float64
	withReserve         float64
	withChooser         struct{ chooser Chooser }
	withHold            bool
	withDisconnectGrace time.Duration
	withMaxHold         time.Duration
	withLatencyWeights  bool
	withPrefillBurst    int
	withMaxLoadAge      time.Duration
	withCrossDomain     bool
	withMoves           bool
	withOrigin          string
	withBackupFraction  float64
	withRetryBudget     struct{ ratio, slack float64 }
	withStepTime        struct{ stepBase, stepPerSequence, prefillPerToken time.Duration }
)

// WithDomain sets the failure domain of the host, whose targets it uses. Empty means the
// targets of all failure domains.
func WithDomain(name string) Option               { return withDomain(name) }
func (o withDomain) apply(opts *options)          { opts.domain = string(o) }
func (o withUsageWindow) apply(opts *options)     { opts.usageWindow = time.Duration(o) }
func (o withDeviations) apply(opts *options)      { opts.deviations = float64(o) }
func (o withReserve) apply(opts *options)         { opts.reserve = float64(o) }
func (o withChooser) apply(opts *options)         { opts.chooser = o.chooser }
func (o withHold) apply(opts *options)            { opts.hold = bool(o) }
func (o withDisconnectGrace) apply(opts *options) { opts.disconnectGrace = time.Duration(o) }
func (o withMaxHold) apply(opts *options)         { opts.maxHold = time.Duration(o) }
func (o withLatencyWeights) apply(opts *options)  { opts.latencyWeights = bool(o) }
func (o withPrefillBurst) apply(opts *options)    { opts.prefillBurst = int(o) }
func (o withMaxLoadAge) apply(opts *options)      { opts.maxLoadAge = time.Duration(o) }
func (o withCrossDomain) apply(opts *options)     { opts.crossDomain = bool(o) }
func (o withMoves) apply(opts *options)           { opts.moves = bool(o) }
func (o withRetryBudget) apply(opts *options)     { opts.retryRatio, opts.retrySlack = o.ratio, o.slack }

// WithUsageWindow sets the time constant of the decay of recorded use.
func WithUsageWindow(d time.Duration) Option { return withUsageWindow(d) }

// WithDeviations sets how many standard deviations of the forecast memory demand are kept
// free on an engine.
func WithDeviations(n float64) Option { return withDeviations(n) }

// WithReserve sets the fraction of an engine's memory that is withheld from organisations
// over their share.
func WithReserve(fraction float64) Option { return withReserve(fraction) }

// WithChooser sets the Chooser that ranks the targets with capacity.
func WithChooser(c Chooser) Option { return withChooser{c} }

// WithHold sets whether requests are held until an engine has capacity for them.
func WithHold(on bool) Option { return withHold(on) }

// WithDisconnectGrace sets how long a generation continues after its caller has disconnected.
func WithDisconnectGrace(d time.Duration) Option { return withDisconnectGrace(d) }

// WithMaxHold sets the longest time that a request is held, even if its deadline is later.
func WithMaxHold(d time.Duration) Option { return withMaxHold(d) }

// WithMaxLoadAge sets the age of an engine's last load report above which it gets no new work,
// because an engine without recent reports may be leaving. 0 means no limit.
func WithMaxLoadAge(d time.Duration) Option { return withMaxLoadAge(d) }

// WithCrossDomain sets whether targets of other failure domains are used too, at an extra cost. A
// request that crosses a domain boundary fails when the domains are partitioned.
func WithCrossDomain(on bool) Option { return withCrossDomain(on) }

// WithMoves sets whether running streams are moved off targets that are leaving.
func WithMoves(on bool) Option { return withMoves(on) }

// WithBackupFraction sets the fraction of an engine's memory that its forecast demand may reach
// together with the backup of a stream on another engine; 0 means no backups.
func WithBackupFraction(fraction float64) Option { return withBackupFraction(fraction) }
func (o withBackupFraction) apply(opts *options) { opts.backupFraction = float64(o) }

// WithOrigin sets the host name and incarnation that identify this host's reports to its peers.
func WithOrigin(name string) Option      { return withOrigin(name) }
func (o withOrigin) apply(opts *options) { opts.origin = string(o) }

// WithRetryBudget sets the retry budget of a pool over all hosts: retries are limited to a ratio
// of the requests, plus a number (slack) that can accumulate.
func WithRetryBudget(ratio, slack float64) Option { return withRetryBudget{ratio, slack} }

// WithPrefillBurst sets how many prompt tokens a host lets wait for prefill on one engine, for an
// organisation that weighs tail and stall equally. Only the host's own requests are counted.
// 0 means no limit.
func WithPrefillBurst(tokens int) Option { return withPrefillBurst(tokens) }

// WithLatencyWeights sets whether the organisations' weights of tail latency and stalls are applied.
func WithLatencyWeights(on bool) Option { return withLatencyWeights(on) }

// WithStepTime sets the prior of an engine's step time: the base, the time added by each
// running sequence and the time added by each prompt token.
func WithStepTime(base, per, prefill time.Duration) Option { return withStepTime{base, per, prefill} }

func (o withStepTime) apply(opts *options) {
	opts.stepBase, opts.stepPerSequence, opts.prefillPerToken = o.stepBase, o.stepPerSequence, o.prefillPerToken
}

const (
	defaultMedianOutput     = 200.0 // tokens
	defaultDeviations       = 2.5
	defaultReserve          = 0.08
	defaultStepBase         = 12 * time.Millisecond
	defaultStepPerSequence  = 120 * time.Microsecond
	defaultPrefillPerToken  = 20 * time.Microsecond
	defaultDisconnectGrace  = 10 * time.Second
	defaultMaxHold          = 30 * time.Second
	defaultPrefillBurst     = 512 // tokens
	defaultMaxLoadAge       = 2500 * time.Millisecond
	defaultOtherPoolsWeight = 0.25 // weight of an organisation's use of the other pools
	// DefaultBackupFraction disables backups: on loaded engines the memory that they take costs more
	// than they save (docs/MEASUREMENTS.md).
	DefaultBackupFraction = 0.0

	defaultRetryRatio = 0.1  // retries that each request adds to the budget
	defaultRetrySlack = 10.0 // largest budget of a pool, over all hosts
)

func defaultOptions() options {
	return options{
		medianOutput:     defaultMedianOutput,
		deviations:       defaultDeviations,
		reserve:          defaultReserve,
		stepBase:         defaultStepBase,
		stepPerSequence:  defaultStepPerSequence,
		prefillPerToken:  defaultPrefillPerToken,
		chooser:          NewForecastChooser(),
		hold:             true,
		disconnectGrace:  defaultDisconnectGrace,
		maxHold:          defaultMaxHold,
		otherPoolsWeight: defaultOtherPoolsWeight,
		latencyWeights:   true,
		prefillBurst:     defaultPrefillBurst,
		maxLoadAge:       defaultMaxLoadAge,
		backupFraction:   DefaultBackupFraction,
		retryRatio:       defaultRetryRatio,
		retrySlack:       defaultRetrySlack,
	}
}
