package dispatch

import "time"

type (
	// An Option changes a Reducer.
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
	withEngineStep      struct{ stepBase, stepPerSequence, prefillPerToken time.Duration }
)

// WithDomain sets the failure domain whose targets the host uses. Empty means
// the targets of all domains.
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

// WithUsageWindow sets the time constant with which use is forgotten.
func WithUsageWindow(d time.Duration) Option { return withUsageWindow(d) }

// WithDeviations sets how many standard deviations of forecast memory are kept
// free on an engine.
func WithDeviations(n float64) Option { return withDeviations(n) }

// WithReserve sets the share of an engine's memory kept from organisations that are
// over their share.
func WithReserve(share float64) Option { return withReserve(share) }

// WithChooser replaces the choice among the targets that have room.
func WithChooser(c Chooser) Option { return withChooser{c} }

// WithHold sets whether requests are held until an engine has room for them.
func WithHold(on bool) Option { return withHold(on) }

// WithGrace sets how long a generation goes on without its caller.
func WithGrace(d time.Duration) Option { return withDisconnectGrace(d) }

// WithPatience sets how long a request without a deadline is held.
func WithPatience(d time.Duration) Option { return withMaxHold(d) }

// WithFresh sets the age of an engine's last load report beyond which it gets no new
// work: an engine not heard of may have begun to leave. 0 means any age.
func WithFresh(d time.Duration) Option { return withMaxLoadAge(d) }

// WithReach sets whether the targets of other failure domains are used too, at a cost:
// a request that crosses a boundary ends with a cut of it.
func WithReach(on bool) Option { return withCrossDomain(on) }

// WithMoves sets whether running streams are moved off targets that are about to end.
func WithMoves(on bool) Option { return withMoves(on) }

// WithBackups sets the part of an engine's memory up to which the memory of streams on
// other engines is backed up there; 0 means no backups.
func WithBackups(part float64) Option            { return withBackupFraction(part) }
func (o withBackupFraction) apply(opts *options) { opts.backupFraction = float64(o) }

// WithOrigin sets the name under which the host's reports reach its peers.
func WithOrigin(name string) Option      { return withOrigin(name) }
func (o withOrigin) apply(opts *options) { opts.origin = string(o) }

// WithRetries bounds the attempts beyond the first that a pool gets from all hosts
// together: a share of its requests, and a number that can be saved up.
func WithRetries(share, slack float64) Option { return withRetryBudget{share, slack} }

// WithBurst sets how many prompt tokens a host lets an engine compute at once, as
// far as it knows, for an organisation that weighs tail and stall alike; 0 means any
// number.
func WithBurst(tokens int) Option { return withPrefillBurst(tokens) }

// WithObjective sets whether the organisations' weights of tail and stall act.
func WithObjective(on bool) Option { return withLatencyWeights(on) }

// WithEngine sets the first guess of an engine's step: its base time, the time
// added by a sequence and the time added by a prompt token.
func WithEngine(base, per, prefill time.Duration) Option { return withEngineStep{base, per, prefill} }

func (o withEngineStep) apply(opts *options) {
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
	defaultOtherPoolsWeight = 0.25 // weight of an organisation's use of other pools
	// DefaultBackups is no backups: on crowded engines their memory costs more than
	// they save (docs/MEASUREMENTS.md).
	DefaultBackups = 0.0

	defaultRetryRatio = 0.1  // retries earned by a request
	defaultRetrySlack = 10.0 // retries that all hosts together can save up
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
		backupFraction:   DefaultBackups,
		retryRatio:       defaultRetryRatio,
		retrySlack:       defaultRetrySlack,
	}
}
