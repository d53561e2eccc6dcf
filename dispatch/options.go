package dispatch

import "time"

type (
	// An Option changes a Reducer.
	Option interface{ apply(*options) }

	options struct {
		domain     string
		window     time.Duration
		median     float64
		deviations float64
		reserve    float64
		base       time.Duration
		per        time.Duration
		prefill    time.Duration
		chooser    Chooser
		hold       bool
		grace      time.Duration
		patience   time.Duration
		consortium float64
		objective  bool
		burst      int
		fresh      time.Duration
		reach      bool
		moves      bool
		origin     string
		backups    float64
		retryShare float64
		retrySlack float64
	}

	withDomain     string
	withWindow     time.Duration
	withDeviations float64
	withReserve    float64
	withChooser    struct{ chooser Chooser }
	withHold       bool
	withGrace      time.Duration
	withPatience   time.Duration
	withObjective  bool
	withBurst      int
	withFresh      time.Duration
	withReach      bool
	withMoves      bool
	withOrigin     string
	withBackups    float64
	withRetries    struct{ share, slack float64 }
	withEngine     struct{ base, per, prefill time.Duration }
)

// WithDomain sets the failure domain whose targets the host uses. Empty means
// the targets of all domains.
func WithDomain(name string) Option          { return withDomain(name) }
func (o withDomain) apply(opts *options)     { opts.domain = string(o) }
func (o withWindow) apply(opts *options)     { opts.window = time.Duration(o) }
func (o withDeviations) apply(opts *options) { opts.deviations = float64(o) }
func (o withReserve) apply(opts *options)    { opts.reserve = float64(o) }
func (o withChooser) apply(opts *options)    { opts.chooser = o.chooser }
func (o withHold) apply(opts *options)       { opts.hold = bool(o) }
func (o withGrace) apply(opts *options)      { opts.grace = time.Duration(o) }
func (o withPatience) apply(opts *options)   { opts.patience = time.Duration(o) }
func (o withObjective) apply(opts *options)  { opts.objective = bool(o) }
func (o withBurst) apply(opts *options)      { opts.burst = int(o) }
func (o withFresh) apply(opts *options)      { opts.fresh = time.Duration(o) }
func (o withReach) apply(opts *options)      { opts.reach = bool(o) }
func (o withMoves) apply(opts *options)      { opts.moves = bool(o) }
func (o withRetries) apply(opts *options)    { opts.retryShare, opts.retrySlack = o.share, o.slack }

// WithWindow sets the time constant with which use is forgotten.
func WithWindow(d time.Duration) Option { return withWindow(d) }

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
func WithGrace(d time.Duration) Option { return withGrace(d) }

// WithPatience sets how long a request without a deadline is held.
func WithPatience(d time.Duration) Option { return withPatience(d) }

// WithFresh sets the age of an engine's last load report beyond which it gets no new
// work: an engine not heard of may have begun to leave. 0 means any age.
func WithFresh(d time.Duration) Option { return withFresh(d) }

// WithReach sets whether the targets of other failure domains are used too, at a cost:
// a request that crosses a boundary ends with a cut of it.
func WithReach(on bool) Option { return withReach(on) }

// WithMoves sets whether running streams are moved off targets that are about to end.
func WithMoves(on bool) Option { return withMoves(on) }

// WithBackups sets the part of an engine's memory up to which the memory of streams on
// other engines is backed up there; 0 means no backups.
func WithBackups(part float64) Option     { return withBackups(part) }
func (o withBackups) apply(opts *options) { opts.backups = float64(o) }

// WithOrigin sets the name under which the host's reports reach its peers.
func WithOrigin(name string) Option      { return withOrigin(name) }
func (o withOrigin) apply(opts *options) { opts.origin = string(o) }

// WithRetries bounds the attempts beyond the first that a pool gets from all hosts
// together: a share of its requests, and a number that can be saved up.
func WithRetries(share, slack float64) Option { return withRetries{share, slack} }

// WithBurst sets how many prompt tokens a host lets an engine compute at once, as
// far as it knows, for an organisation that weighs tail and stall alike; 0 means any
// number.
func WithBurst(tokens int) Option { return withBurst(tokens) }

// WithObjective sets whether the organisations' weights of tail and stall act.
func WithObjective(on bool) Option { return withObjective(on) }

// WithEngine sets the first guess of an engine's step: its base time, the time
// added by a sequence and the time added by a prompt token.
func WithEngine(base, per, prefill time.Duration) Option { return withEngine{base, per, prefill} }

func (o withEngine) apply(opts *options) {
	opts.base, opts.per, opts.prefill = o.base, o.per, o.prefill
}

const (
	defaultMedian     = 200.0 // tokens
	defaultDeviations = 2.5
	defaultReserve    = 0.08
	defaultBase       = 12 * time.Millisecond
	defaultPer        = 120 * time.Microsecond
	defaultPrefill    = 20 * time.Microsecond
	defaultGrace      = 10 * time.Second
	defaultPatience   = 30 * time.Second
	defaultBurst      = 512 // tokens
	defaultFresh      = 2500 * time.Millisecond
	defaultConsortium = 0.25 // weight of an organisation's use of other pools
	// DefaultBackups is no backups: on crowded engines their memory costs more than
	// they save (docs/MEASUREMENTS.md).
	DefaultBackups = 0.0

	defaultRetryShare = 0.1  // retries earned by a request
	defaultRetrySlack = 10.0 // retries that all hosts together can save up
)

func defaultOptions() options {
	return options{
		median:     defaultMedian,
		deviations: defaultDeviations,
		reserve:    defaultReserve,
		base:       defaultBase,
		per:        defaultPer,
		prefill:    defaultPrefill,
		chooser:    NewForecastChooser(),
		hold:       true,
		grace:      defaultGrace,
		patience:   defaultPatience,
		consortium: defaultConsortium,
		objective:  true,
		burst:      defaultBurst,
		fresh:      defaultFresh,
		backups:    DefaultBackups,
		retryShare: defaultRetryShare,
		retrySlack: defaultRetrySlack,
	}
}
