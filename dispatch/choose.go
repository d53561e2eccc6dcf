package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

type (
	// A Chooser ranks the targets that could take a request.
	Chooser interface {
		// Score returns the cost of sending the request to the candidate. The
		// lowest wins.
		Score(c *Candidate) float64
	}

	// A Candidate is a target as a Chooser sees it.
	Candidate struct {
		LocalRequests  int           // requests of this host on the target
		Streams        float64       // streams known or inferred, of all hosts
		ReportedMemory float64       // used share of memory by the last load report
		LastDispatch   uint64        // dispatch at which the target was last chosen
		Interval       time.Duration // expected time between tokens with the request
		IdleInterval   time.Duration // time between tokens of an empty engine
		Prefill        time.Duration // until the request's prompt is computed
		RequestPrefill time.Duration // of that, the request's own part
		ExpectedOutput float64       // output expected of the request, in tokens
		TailWeight     float64       // organisation's weight of the tail, from 0 to 1
		Plain          bool
		Slots          int     // requests that the target serves at once; 0 means not known
		OtherDomain    bool    // of another failure domain than the host
		FailureRate    float64 // share of attempts that failed lately
		Missing        bool    // from the list, and perhaps gone
	}

	forecastChooser struct{}
	roundRobin      struct{}
	leastRequests   struct{}
	leastReported   struct{}
)

// NewForecastChooser returns the chooser that costs a target in seconds: until
// the first token, for the slower tokens of this request, and for the streams
// that wait while its prompt is computed.
func NewForecastChooser() Chooser { return forecastChooser{} }

// NewRoundRobin returns the chooser that takes targets in turn.
func NewRoundRobin() Chooser { return roundRobin{} }

// NewLeastRequests returns the chooser of the target with the fewest requests of
// this host.
func NewLeastRequests() Chooser { return leastRequests{} }

// NewLeastReported returns the chooser of the target with the least memory in use
// by its last load report.
func NewLeastReported() Chooser { return leastReported{} }

func (roundRobin) Score(c *Candidate) float64    { return float64(c.LastDispatch) }
func (leastRequests) Score(c *Candidate) float64 { return float64(c.LocalRequests) }
func (leastReported) Score(c *Candidate) float64 { return c.ReportedMemory }

func (forecastChooser) Score(c *Candidate) float64 {
	if c.Plain {
		return c.Streams + plainFailureCost*c.FailureRate + costIf(c.OtherDomain, plainOtherDomainCost) + costIf(c.Missing, plainMissingCost)
	}
	first := c.Prefill + c.Interval
	slower := c.ExpectedOutput * (c.Interval - c.IdleInterval).Seconds()
	others := c.Streams * c.RequestPrefill.Seconds()
	return first.Seconds() + c.TailWeight*(slower+others) + engineFailureCost*c.FailureRate + costIf(c.OtherDomain, engineOtherDomainCost) + costIf(c.Missing, engineMissingCost)
}

func costIf(is bool, cost float64) float64 {
	if is {
		return cost
	}
	return 0
}

const (
	tieTolerance         = 0.02 // scores this close, relatively, are a tie
	sampleThreshold      = 64   // targets above which a sample is scored
	sampleSize           = 16   // targets in a sample
	maxHostsFullScan     = 16   // hosts from which on they no longer all look at all targets
	choicesPerDomain     = 3    // targets of a failure domain that a host of a crowd compares
	maxIntervalRatio     = 2.2  // time between tokens over an empty engine's, at full weight of the tail
	maxTurnGroups        = 3    // hosts, or groups of hosts, that take turns at a target
	competeWithAllExcess = 0.1  // excess from which an organisation's requests compete with all others
	minTurn              = 100 * time.Millisecond
	maxTurn              = 300 * time.Millisecond // a fraction of the time to first token that callers expect
	stallDeviations      = 0.75                   // standard deviations more, at full weight of stalls

	plainFailureCost      = 12.0 // requests ahead that a target which always fails is worth avoiding for
	plainOtherDomainCost  = 2.0  // requests ahead that staying in the failure domain is worth
	engineFailureCost     = 8.0  // seconds that an engine which always fails is worth avoiding for
	engineOtherDomainCost = 3.0  // seconds that staying in the failure domain is worth
	plainMissingCost      = 40.0 // requests ahead that a target which is on the list is worth
	engineMissingCost     = 30.0 // seconds that an engine which is on the list is worth
)

// choose returns the best target with room for q, or nil.
func (r *Reducer) choose(q *request, excess float64) *targetState {
	return r.chooseWithin(q, excess, 0)
}

// chooseWithin returns one of the targets with room for q whose cost is at most width
// above the best one's, or nil.
func (r *Reducer) chooseWithin(q *request, excess, width float64) *targetState {
	ts := q.pool.targets
	n := len(ts)
	if n == 0 {
		return nil
	}
	if r.allHosts > maxHostsFullScan {
		if t := r.chooseFromSubset(q, excess, width, choicesPerDomain); t != nil {
			return t
		}
	}
	return r.chooseFromSubset(q, excess, width, n)
}

// chooseFromSubset is chooseWithin among about as many targets of each failure domain, others
// for each request and host. The load pattern that it answers: many hosts know the same
// of the targets, some time late, and would all take the one that was best then.
func (r *Reducer) chooseFromSubset(q *request, excess, width float64, choices int) *targetState {
	ts := q.pool.targets
	n := len(ts)
	demand := q.forecastDemand()
	rivals, rank := r.competingHosts(q.pool, excess)
	count, step := n, 1
	if n > sampleThreshold {
		count, step = sampleSize, coprimeStride(q.id, n)
	}
	r.basis = r.newBasis(q)
	var best *targetState
	lowest := math.Inf(1)
	start := int(mixBits(uint64(q.id)+r.salt<<32) % uint64(n))
	for i := range count {
		at := (start + i*step) % n
		t := ts[at]
		if !t.acceptsWork(r.now, r.options.maxLoadAge) {
			continue
		}
		r.basis.Open++
		if choices < n && r.hashFraction(q, at)*q.pool.targetsInDomain(t) >= float64(choices) {
			continue
		}
		if q.runsAt(t) || slices.Contains(q.triedTargets, t) || !r.hasTurn(at, rivals, rank) {
			continue
		}
		score, ok := r.score(q, t, &demand, excess)
		if ok {
			r.basis.Room++
		}
		if ok && (best == nil || score < lowest-max(width, tieTolerance*math.Abs(lowest))) {
			best, lowest = t, score
		}
	}
	return best
}

// runsAt reports whether a request runs at a target, or at one of the same name that was
// there before it.
func (q *request) runsAt(t *targetState) bool {
	return q.target != nil && q.target.spec.Name == t.spec.Name
}

// hashFraction returns a number from 0 to 1 that depends on the request, the target's place and
// the host.
func (r *Reducer) hashFraction(q *request, at int) float64 {
	return float64(mixBits(uint64(q.id)<<20^uint64(at)<<52^r.salt)>>11) / (1 << 53)
}

// targetsInDomain returns how many targets of a pool are in the same failure domain as one.
func (p *pool) targetsInDomain(t *targetState) float64 { return float64(p.domains[t.spec.Domain]) }

// score costs a target, and reports whether it has room.
func (r *Reducer) score(q *request, t *targetState, demand *forecast.Demand, excess float64) (float64, bool) {
	all := t.totalDemand(r.now)
	tail, stall := r.latencyWeights(q.organisation)
	c := &r.candidate
	*c = Candidate{
		LocalRequests:  t.running,
		Streams:        all.Streams,
		LastDispatch:   t.lastDispatch,
		ExpectedOutput: q.expectedOutput,
		TailWeight:     tail,
		Plain:          q.plain,
		Slots:          t.spec.Slots,
		OtherDomain:    r.inOtherDomain(t),
		FailureRate:    t.failureRate.decayed(r.now),
		Missing:        t.spec.Missing,
	}
	if t.load.Total > 0 {
		c.ReportedMemory = float64(t.load.Used) / float64(t.load.Total)
	}
	if q.plain {
		return r.options.chooser.Score(c), true
	}
	c.IdleInterval = t.tokenInterval.At(1)
	c.Interval = t.tokenInterval.At(all.Streams + 1)
	if r.options.hold && !r.hasCapacity(t, all, demand, c, stall, excess) {
		return 0, false
	}
	fresh := q.prompt
	if t.hasPrefix(q.prefix) {
		fresh -= q.prefixTokens
	}
	c.RequestPrefill = time.Duration(fresh) * r.options.prefillPerToken
	c.Prefill = c.RequestPrefill + time.Duration(t.pendingPrefill)*r.options.prefillPerToken
	cost := r.options.chooser.Score(c)
	if q.target != nil {
		cost += r.moveCost(q, t)
	}
	return cost, true
}

// hasCapacity reports whether a target's forecast leaves room for one more demand.
func (r *Reducer) hasCapacity(t *targetState, all, demand *forecast.Demand, c *Candidate, stall, excess float64) bool {
	memory := float64(t.spec.Memory) * (1 - excess*r.options.reserve)
	deviations := r.options.deviations + stallDeviations*stall
	if r.exceedsPrefillBurst(t, demand, c.TailWeight) {
		return false
	}
	if t.spec.Slots > 0 && all.Streams+1 > float64(t.spec.Slots) {
		return false
	}
	if all.Peak(demand, deviations) > memory && all.Streams > 0 {
		return false
	}
	limit := maxIntervalRatio / max(c.TailWeight, 0.1)
	return c.Interval.Seconds() <= limit*c.IdleInterval.Seconds() || all.Streams < 1
}

// competingHosts returns how many hosts hold requests that compete for the pool's room
// with one of an organisation that is over its share by excess, this host included, and this
// host's rank among them. Who is over its share competes with all; the others only
// with each other.
func (r *Reducer) competingHosts(p *pool, excess float64) (count, rank int) {
	if p.plain || !r.options.hold {
		return 1, 0
	}
	defer func() {
		// With many hosts a turn each would take longer than callers wait.
		count = min(count, maxTurnGroups)
		rank %= count
	}()
	count = 1
	for _, o := range r.peerList {
		if !r.competes(o, p, excess) {
			continue
		}
		count++
		if o.hostIndex < r.hostIndex {
			rank++
		}
	}
	return count, rank
}

// competes reports whether a peer holds a request that competes.
func (r *Reducer) competes(o *peer, p *pool, excess float64) bool {
	for i := range o.held {
		if o.held[i].Pool != p.name {
			continue
		}
		org := r.organisations[o.held[i].Organisation]
		if excess > competeWithAllExcess || org != nil && r.excess(r.normalisedRate(org, p), o.held[i].Age, p) <= competeWithAllExcess {
			return true
		}
	}
	return false
}

// hasTurn reports whether it is the turn of the host of a rank to fill the target at a
// place. Hosts that contend for room take turns about as long as their reports take,
// so that no two fill the same room. Clocks that differ, or hosts that differ about
// who contends, only cost a turn's exclusiveness.
func (r *Reducer) hasTurn(at, count, rank int) bool {
	if count == 1 {
		return true
	}
	slot := int(r.epoch.Add(r.now).UnixNano() / int64(r.turnDuration))
	return (slot+at)%count == rank
}

// exceedsPrefillBurst reports whether a further prompt would make the streams on a target
// wait for several prompts in one step. The more an organisation weighs the tail, the less
// is allowed.
func (r *Reducer) exceedsPrefillBurst(t *targetState, demand *forecast.Demand, tail float64) bool {
	if r.options.prefillBurst == 0 || t.pendingPrefill == 0 {
		return false
	}
	allowed := 2 * (1 - tail) * float64(r.options.prefillBurst)
	return float64(t.pendingPrefill)+demand.Mean[0] > allowed
}

// latencyWeights returns an organisation's weights of the tail of time between tokens and of
// stall time, adding up to 1.
func (r *Reducer) latencyWeights(org *organisation) (tail, stall float64) {
	sum := org.spec.Tail + org.spec.Stall
	if !r.options.latencyWeights || sum == 0 {
		return 0.5, 0.5
	}
	return org.spec.Tail / sum, org.spec.Stall / sum
}

// mixBits spreads the bits of a number.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// coprimeStride returns a step that visits a sample of n targets without repeats.
func coprimeStride(id ID, n int) int {
	step := int(mixBits(uint64(id))%uint64(n-1)) + 1
	for gcd(step, n) != 1 {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
