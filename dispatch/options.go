package dispatch

import "time"

type (
	// An Option configures a Reducer.
	Option interface{ apply(*options) }

	options struct {
		domain           string
		usageWindow      time.Duration
		medianOutput     float64
		memoryDeviations float64
		overShareReserve float64
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
		urgentPriority   bool
		extraAttempts    float64
	}

	withDomain           string
	withUsageWindow      time.Duration
	withMemoryDeviations float64
	withOverShareReserve float64
	withChooser          struct{ chooser Chooser }
	withHold             bool
	withDisconnectGrace  time.Duration
	withMaxHold          time.Duration
	withLatencyWeights   bool
	withPrefillBurst     int
	withMaxLoadAge       time.Duration
	withCrossDomain      bool
	withMoves            bool
	withOrigin           string
	withBackupFraction   float64
	withRetryBudget      struct{ ratio, slack float64 }
	withUrgentPriority   bool
	withStepTime         struct{ stepBase, stepPerSequence, prefillPerToken time.Duration }
)

// WithDomain sets the failure domain of the host. Without WithCrossDomain, the host uses only the
// targets of this domain. An empty name means that the domains of targets are ignored.
func WithDomain(name string) Option                { return withDomain(name) }
func (o withDomain) apply(opts *options)           { opts.domain = string(o) }
func (o withUsageWindow) apply(opts *options)      { opts.usageWindow = time.Duration(o) }
func (o withMemoryDeviations) apply(opts *options) { opts.memoryDeviations = float64(o) }
func (o withOverShareReserve) apply(opts *options) { opts.overShareReserve = float64(o) }
func (o withChooser) apply(opts *options)          { opts.chooser = o.chooser }
func (o withHold) apply(opts *options)             { opts.hold = bool(o) }
func (o withDisconnectGrace) apply(opts *options)  { opts.disconnectGrace = time.Duration(o) }
func (o withMaxHold) apply(opts *options)          { opts.maxHold = time.Duration(o) }
func (o withLatencyWeights) apply(opts *options)   { opts.latencyWeights = bool(o) }
func (o withPrefillBurst) apply(opts *options)     { opts.prefillBurst = int(o) }
func (o withMaxLoadAge) apply(opts *options)       { opts.maxLoadAge = time.Duration(o) }
func (o withCrossDomain) apply(opts *options)      { opts.crossDomain = bool(o) }
func (o withMoves) apply(opts *options)            { opts.moves = bool(o) }
func (o withRetryBudget) apply(opts *options)      { opts.retryRatio, opts.retrySlack = o.ratio, o.slack }

// WithUsageWindow sets the time constant with which the recorded use of the organisations decays.
func WithUsageWindow(d time.Duration) Option { return withUsageWindow(d) }

// WithMemoryDeviations sets how many standard deviations above its forecast mean the memory demand on an
// engine must still fit into the engine's memory.
func WithMemoryDeviations(n float64) Option { return withMemoryDeviations(n) }

// WithOverShareReserve sets the fraction of an engine's memory that is withheld from requests of an
// organisation whose share excess is 1. For a smaller excess it shrinks in proportion.
func WithOverShareReserve(fraction float64) Option { return withOverShareReserve(fraction) }

// WithChooser sets the Chooser that ranks the targets with capacity.
func WithChooser(c Chooser) Option { return withChooser{c} }

// WithHold sets whether requests are held until an engine has capacity for them. Without it,
// requests are dispatched regardless of capacity.
func WithHold(on bool) Option { return withHold(on) }

// WithDisconnectGrace sets how long a generation continues after its caller has disconnected.
func WithDisconnectGrace(d time.Duration) Option { return withDisconnectGrace(d) }

// WithMaxHold sets the longest time that a request is held, even if its dispatch deadline is later.
func WithMaxHold(d time.Duration) Option { return withMaxHold(d) }

// WithMaxLoadAge sets the age of an engine's last load report above which it gets no new work,
// because an engine without recent reports may be leaving. 0 means no limit.
func WithMaxLoadAge(d time.Duration) Option { return withMaxLoadAge(d) }

// WithCrossDomain sets whether targets of other failure domains are used too, at an extra cost: a
// request that crosses a domain boundary fails when the network between the domains is partitioned.
func WithCrossDomain(on bool) Option { return withCrossDomain(on) }

// WithMoves sets whether running streams are moved off targets that are leaving.
func WithMoves(on bool) Option { return withMoves(on) }

// WithBackupFraction sets the fraction of an engine's memory up to which the engine accepts a
// backup of a stream that runs on another engine: the engine's forecast demand and the backup
// together must not exceed it. 0 means no backups.
func WithBackupFraction(fraction float64) Option { return withBackupFraction(fraction) }
func (o withBackupFraction) apply(opts *options) { opts.backupFraction = float64(o) }

// WithOrigin sets the origin that identifies this host in its reports to its peers: host name and
// incarnation.
func WithOrigin(name string) Option      { return withOrigin(name) }
func (o withOrigin) apply(opts *options) { opts.origin = string(o) }

// WithRetryBudget limits the retries in a pool. Over all hosts, they may not exceed ratio times the
// number of requests, plus slack. Retries of attempts of which no byte was sent do not count.
func WithRetryBudget(ratio, slack float64) Option { return withRetryBudget{ratio, slack} }

// WithPrefillBurst sets how many prompt tokens of this host's requests may wait for prefill on one
// engine before a further request, of an organisation that weighs tail latency and stalls equally,
// is not sent there. 0 means no limit.
func WithPrefillBurst(tokens int) Option { return withPrefillBurst(tokens) }

// WithLatencyWeights sets whether the weights that each organisation gives to tail latency and to
// stalls are applied. Without it, all organisations weigh both equally.
func WithLatencyWeights(on bool) Option { return withLatencyWeights(on) }

// WithUrgentPriority sets whether engines schedule the urgent requests of mixed pools before others. It is off by default:
// while memory is overcommitted, engines then preempt long streams for short ones and compute their prompts again.
func WithUrgentPriority(on bool) Option          { return withUrgentPriority(on) }
func (o withUrgentPriority) apply(opts *options) { opts.urgentPriority = bool(o) }

// WithStepTime sets the prior for the time of one engine step: the base, the time that each running
// sequence adds and the time that each prompt token adds.
func WithStepTime(base, per, prefill time.Duration) Option { return withStepTime{base, per, prefill} }

func (o withStepTime) apply(opts *options) {
	opts.stepBase, opts.stepPerSequence, opts.prefillPerToken = o.stepBase, o.stepPerSequence, o.prefillPerToken
}

const (
	defaultMedianOutput     = 200.0 // median of the prior for output lengths, in tokens
	defaultMemoryDeviations = 2.5
	defaultOverShareReserve = 0.08
	defaultStepBase         = 12 * time.Millisecond
	defaultStepPerSequence  = 120 * time.Microsecond
	defaultPrefillPerToken  = 20 * time.Microsecond
	defaultDisconnectGrace  = 10 * time.Second
	defaultMaxHold          = 30 * time.Second
	defaultPrefillBurst     = 512 // tokens
	defaultMaxLoadAge       = 2500 * time.Millisecond
	defaultOtherPoolsWeight = 0.25 // weight of an organisation's use of the other pools
	// DefaultBackupFraction disables backups: on loaded engines their memory costs more capacity
	// than the streams that they save are worth (docs/MEASUREMENTS.md).
	DefaultBackupFraction = 0.0

	defaultRetryRatio = 0.1  // retries that each request adds to its pool's retry budget
	defaultRetrySlack = 10.0 // largest retry budget of a pool, in retries, summed over all hosts
)

func defaultOptions() options {
	return options{
		medianOutput:     defaultMedianOutput,
		memoryDeviations: defaultMemoryDeviations,
		overShareReserve: defaultOverShareReserve,
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
