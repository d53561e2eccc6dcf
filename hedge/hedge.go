// Package hedge decides when an idempotent request of a plain service gets a second attempt at another
// target while the first one is still in flight. The load that it handles is a service whose answers
// usually take some tens of milliseconds and of which some targets pause, hang or are slow for seconds.
//
// It learns the time to the complete response of each route, and limits the extra attempts to a fraction
// of the requests. It has no clock and no goroutine.
package hedge

import "time"

type (
	// A Policy decides about the extra attempts of one host. The zero value sends none.
	Policy struct {
		perRequest int     // budget that each request earns, in millionths of an attempt
		quantile   float64 // of the time to the complete response after which a second attempt may be sent
		pools      map[string]*pool
	}

	// pool is the state of one pool of targets.
	pool struct {
		routes map[string]*distribution
		budget budget
	}

	// A Key identifies the requests that have the same distribution of response times.
	Key struct{ Pool, Route string }

	// A Situation is the state, at the caller of Decide, of a request whose first attempt has not ended.
	Situation struct {
		Organisation string
		Elapsed      time.Duration // since the first attempt was sent
		Left         time.Duration // until the response is useless
		Objective    time.Duration // time from the first attempt within which the response is on time
		InFlight     bool          // exactly one attempt is in flight
		AttemptsLeft bool          // the request may make another attempt
		Suspected    bool          // the request may be the cause of the delay
		Held         bool          // requests wait for targets of the pool
		Capped       bool          // the organisation has as many attempts in flight as it may have
		HasTarget    bool          // another target can take the attempt without the same cause of delay
		MayRetry     bool          // the retry budget allows another attempt
	}

	// A Verdict says whether a second attempt is sent, or why not.
	Verdict uint8
)

// The verdicts.
const (
	Send        Verdict = iota
	Ended               // not exactly one attempt is in flight
	Unlearned           // too few responses of the route are known
	Early               // the delay has grown since the first attempt was sent, which has not taken long enough any more
	Deadline            // a response would be too late
	Attempts            // the request may make no further attempt
	Suspected           // the request may be the cause of the delay
	Held                // requests wait for targets of the pool
	Capped              // the organisation has as many attempts in flight as it may have
	NoTarget            // no other target can take the attempt
	RetryBudget         // the retry budget is used up
	Budget              // the budget of extra attempts is used up
)

var verdictNames = [...]string{"send", "ended", "unlearned", "early", "deadline", "attempts", "suspected", "held", "cap", "no_target", "retry_budget", "budget"}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

const (
	leastMedians     = 1.5   // shortest delay, as a multiple of the median; earlier the first response is expected before the second
	lowestQuantile   = 0.9   // bounds of Policy.quantile
	highestQuantile  = 0.995 // beyond it, the number of values that are remembered is too small
	grownDelay       = 1.25  // ratio of the delay to the time elapsed above which it is too early; buckets alone change the delay by 9%
	quantileFraction = 0.5   // part of the budget that is spent on a smooth distribution; the rest is left for faults
	maxRoutes        = 512   // routes of a pool that are remembered; when there are more, all are learned anew
)

// NewPolicy returns a policy that sends at most fraction extra attempts for each request of a pool, and none if it is 0.
func NewPolicy(fraction float64) Policy {
	return Policy{
		perRequest: int(fraction * attempt),
		quantile:   min(max(1-quantileFraction*fraction, lowestQuantile), highestQuantile),
		pools:      map[string]*pool{},
	}
}

// Enabled reports whether the policy ever sends an extra attempt.
func (p *Policy) Enabled() bool { return p.perRequest > 0 }

func (p *Policy) pool(name string) *pool {
	o := p.pools[name]
	if o == nil {
		o = &pool{routes: map[string]*distribution{}}
		p.pools[name] = o
	}
	return o
}

func (p *Policy) distribution(k Key) *distribution {
	o := p.pool(k.Pool)
	d := o.routes[k.Route]
	if d == nil {
		if len(o.routes) >= maxRoutes {
			clear(o.routes)
		}
		d = &distribution{}
		o.routes[k.Route] = d
	}
	return d
}

// Earn credits a new request of an organisation to the pool's budget.
func (p *Policy) Earn(pool, organisation string) {
	if p.Enabled() {
		p.pool(pool).budget.earn(organisation, p.perRequest)
	}
}

// Observe records the time from an attempt to its complete response. A time of 0 is unknown.
func (p *Policy) Observe(k Key, took time.Duration) {
	if p.Enabled() && took > 0 {
		p.distribution(k).observe(took)
	}
}

// ObserveUnfinished records an attempt that ended without a complete response after the given time: a complete one would
// have taken longer. It is not counted if it ended before the delay, as the distribution would then become too short.
func (p *Policy) ObserveUnfinished(k Key, elapsed, objective time.Duration) {
	if delay, ok := p.Delay(k, objective); ok && elapsed >= delay {
		p.distribution(k).observe(elapsed)
	}
}

// Delay returns the time after which a second attempt of a request may be sent, and false if it is not known. objective is the
// time within which a response is on time.
func (p *Policy) Delay(k Key, objective time.Duration) (time.Duration, bool) {
	if !p.Enabled() {
		return 0, false
	}
	d := p.distribution(k)
	if !d.known() {
		return 0, false
	}
	median := d.quantile(0.5)
	least := time.Duration(leastMedians * float64(median))
	return max(min(d.quantile(p.quantile), objective-median), least), true
}

// Decide decides whether the second attempt of a request is sent now, and takes it out of the budget in this case.
func (p *Policy) Decide(k Key, s Situation) Verdict {
	if !p.Enabled() {
		return Budget
	}
	delay, known := p.Delay(k, s.Objective)
	b := &p.pool(k.Pool).budget
	switch {
	case !s.InFlight:
		return Ended
	case !known:
		return Unlearned
	case time.Duration(grownDelay*float64(s.Elapsed)) < delay:
		return Early
	case s.Left < p.distribution(k).quantile(0.5):
		return Deadline
	case !s.AttemptsLeft:
		return Attempts
	case s.Suspected:
		return Suspected
	case s.Held:
		return Held
	case s.Capped:
		return Capped
	case !s.HasTarget:
		return NoTarget
	case !s.MayRetry:
		return RetryBudget
	case !b.allows(s.Organisation):
		return Budget
	}
	b.spend(s.Organisation)
	return Send
}
