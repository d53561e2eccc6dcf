package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

type (
	// A Chooser ranks the targets that have capacity for a request.
	Chooser interface {
		// Score returns the cost of sending the request to the candidate. The target
		// with the lowest cost is chosen.
		Score(c *Candidate) float64
	}

	// A Candidate describes a target to a Chooser, for one request.
	Candidate struct {
		LocalRequests  int           // requests of this host in flight at the target
		Streams        float64       // streams of all hosts on the target, known or inferred
		ReportedMemory float64       // fraction of memory in use by the last load report
		LastDispatch   uint64        // number of the host's dispatch that last chose the target
		Interval       time.Duration // expected time between tokens if the request is added
		IdleInterval   time.Duration // expected time between tokens of a single stream
		Prefill        time.Duration // time until the request's prompt is computed
		RequestPrefill time.Duration // part of Prefill that the request's own prompt takes
		ExpectedOutput float64       // expected output of the request, in tokens
		TailWeight     float64       // organisation's weight of tail latency against stalls, from 0 to 1
		Plain          bool          // whether the request is a call of a plain service
		Slots          int           // requests that the target serves concurrently; 0 means unknown
		OtherDomain    bool          // whether the target is in another failure domain than the host
		FailureRate    float64       // decayed fraction of attempts that failed
		Missing        bool          // whether the target is no longer listed and may have ended
	}

	forecastChooser struct{}
	roundRobin      struct{}
	leastRequests   struct{}
	leastReported   struct{}
)

// NewForecastChooser returns a chooser whose cost of an engine, in seconds, is the sum of
// the time to first token, the slowdown of the request's own tokens by the other streams,
// and the delay of the other streams while the request's prompt is computed. The cost of a
// plain service's target is its number of requests in flight. Failures, other failure
// domains and missing targets add to both.
func NewForecastChooser() Chooser { return forecastChooser{} }

// NewRoundRobin returns a chooser that picks the targets in turn.
func NewRoundRobin() Chooser { return roundRobin{} }

// NewLeastRequests returns a chooser that picks the target with the fewest requests of this
// host in flight.
func NewLeastRequests() Chooser { return leastRequests{} }

// NewLeastReported returns a chooser that picks the target with the smallest fraction of
// memory in use by its last load report.
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

func costIf(condition bool, cost float64) float64 {
	if condition {
		return cost
	}
	return 0
}

const (
	tieTolerance         = 0.02                   // relative difference up to which two costs are equal
	sampleThreshold      = 64                     // targets of a pool above which only a sample is scored
	sampleSize           = 16                     // targets in a sample
	maxHostsFullScan     = 16                     // hosts of all failure domains above which each scores only a subset of the targets
	choicesPerDomain     = 3                      // expected number of targets per failure domain in that subset
	maxIntervalRatio     = 2.2                    // largest time between tokens relative to a single stream's, at tail weight 1
	maxTurnGroups        = 3                      // largest number of groups into which competing hosts are divided for turns at a target
	competeWithAllExcess = 0.1                    // excess above which an organisation's requests compete with all others
	minTurn              = 100 * time.Millisecond // shortest turn
	maxTurn              = 300 * time.Millisecond // longest turn: a fraction of the time to first token that callers expect
	stallDeviations      = 0.75                   // standard deviations of memory kept free in addition, at stall weight 1

	plainFailureCost      = 12.0 // cost of a target that always fails, in requests in flight
	plainOtherDomainCost  = 2.0  // cost of another failure domain, in requests in flight
	engineFailureCost     = 8.0  // cost of an engine that always fails, in seconds
	engineOtherDomainCost = 3.0  // cost of another failure domain, in seconds
	plainMissingCost      = 40.0 // cost of a target missing from the list, in requests in flight
	engineMissingCost     = 30.0 // cost of an engine missing from the list, in seconds
)

// choose returns the target with capacity for q at the lowest cost, or nil.
func (r *Reducer) choose(q *request, excess float64) *targetState {
	return r.chooseWithin(q, excess, 0)
}

// chooseWithin returns one of the targets with capacity for q whose cost exceeds the lowest
// cost by at most width, or nil.
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

// chooseFromSubset is chooseWithin restricted to a subset of about choices targets of each
// failure domain. The subset depends on the request and the host: many hosts have the same,
// slightly stale view of the targets, and without it would all pick the same best target.
func (r *Reducer) chooseFromSubset(q *request, excess, width float64, choices int) *targetState {
	ts := q.pool.targets
	n := len(ts)
	demand := q.forecastDemand()
	competing, rank := r.competingHosts(q.pool, excess)
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
		r.basis.OpenTargets++
		if choices < n && r.hashFraction(q, at)*q.pool.targetsInDomain(t) >= float64(choices) {
			continue
		}
		if q.runsAt(t) || slices.Contains(q.triedTargets, t) || !r.hasTurn(at, competing, rank) {
			continue
		}
		score, ok := r.score(q, t, &demand, excess)
		if ok {
			r.basis.WithCapacity++
		}
		if ok && (best == nil || score < lowest-max(width, tieTolerance*math.Abs(lowest))) {
			best, lowest = t, score
		}
	}
	return best
}

// runsAt reports whether a request runs at a target or at a previous target of the same name.
func (q *request) runsAt(t *targetState) bool {
	return q.target != nil && q.target.spec.Name == t.spec.Name
}

// hashFraction returns a number from 0 to 1 that is a hash of the request, the target's index
// in the pool and the host.
func (r *Reducer) hashFraction(q *request, at int) float64 {
	return float64(mixBits(uint64(q.id)<<20^uint64(at)<<52^r.salt)>>11) / (1 << 53)
}

// targetsInDomain returns the number of targets of the pool in the failure domain of t.
func (p *pool) targetsInDomain(t *targetState) float64 { return float64(p.domains[t.spec.Domain]) }

// score returns the cost of sending q to t, and whether t has capacity for it.
func (r *Reducer) score(q *request, t *targetState, demand *forecast.Demand, excess float64) (float64, bool) {
	total := t.totalDemand(r.now)
	tail, stall := r.latencyWeights(q.organisation)
	c := &r.candidate
	*c = Candidate{
		LocalRequests:  t.running,
		Streams:        total.Streams,
		LastDispatch:   t.lastDispatch,
		ExpectedOutput: q.expectedOutput,
		TailWeight:     tail,
		Plain:          q.plain,
		Slots:          t.spec.Slots,
		OtherDomain:    r.inOtherDomain(t),
		FailureRate:    t.failureRate.decayed(r.now),
		Missing:        t.spec.Unlisted,
	}
	if t.load.CapacityTokens > 0 {
		c.ReportedMemory = float64(t.load.UsedTokens) / float64(t.load.CapacityTokens)
	}
	if q.plain {
		return r.options.chooser.Score(c), true
	}
	c.IdleInterval = t.tokenInterval.At(1)
	c.Interval = t.tokenInterval.At(total.Streams + 1)
	if r.options.hold && !r.hasCapacity(t, total, demand, c, stall, excess) {
		return 0, false
	}
	uncached := q.prompt
	if t.hasPrefix(q.prefix) {
		uncached -= q.prefixTokens
	}
	c.RequestPrefill = time.Duration(uncached) * r.options.prefillPerToken
	c.Prefill = c.RequestPrefill + time.Duration(t.pendingPrefill)*r.options.prefillPerToken
	cost := r.options.chooser.Score(c)
	if q.target != nil {
		cost += r.moveCost(q, t)
	}
	return cost, true
}

// hasCapacity reports whether t can take demand in addition to total, its forecast demand:
// in memory, slots, prefill and time between tokens.
func (r *Reducer) hasCapacity(t *targetState, total, demand *forecast.Demand, c *Candidate, stall, excess float64) bool {
	memory := float64(t.spec.Memory) * (1 - excess*r.options.reserve)
	deviations := r.options.deviations + stallDeviations*stall
	if r.exceedsPrefillBurst(t, demand, c.TailWeight) {
		return false
	}
	if t.spec.Slots > 0 && total.Streams+1 > float64(t.spec.Slots) {
		return false
	}
	if total.Peak(demand, deviations) > memory && total.Streams > 0 {
		return false
	}
	limit := maxIntervalRatio / max(c.TailWeight, 0.1)
	return c.Interval.Seconds() <= limit*c.IdleInterval.Seconds() || total.Streams < 1
}

// competingHosts returns the number of hosts, this one included, that hold requests competing
// for the pool's capacity with a request of an organisation that is over its share by excess,
// and this host's rank among them. An organisation over its share competes with all others;
// organisations within their share compete only with each other.
func (r *Reducer) competingHosts(p *pool, excess float64) (count, rank int) {
	if p.plain || !r.options.hold {
		return 1, 0
	}
	defer func() {
		// With one turn for each of many hosts, callers would wait too long.
		count = min(count, maxTurnGroups)
		rank %= count
	}()
	count = 1
	for _, other := range r.peerList {
		if !r.competes(other, p, excess) {
			continue
		}
		count++
		if other.hostIndex < r.hostIndex {
			rank++
		}
	}
	return count, rank
}

// competes reports whether a peer holds a request in the pool that competes with one of an
// organisation over its share by excess.
func (r *Reducer) competes(other *peer, p *pool, excess float64) bool {
	for i := range other.held {
		if other.held[i].Pool != p.name {
			continue
		}
		org := r.organisations[other.held[i].Organisation]
		if excess > competeWithAllExcess || org != nil && r.excess(r.normalisedRate(org, p), other.held[i].BacklogAge, p) <= competeWithAllExcess {
			return true
		}
	}
	return false
}

// hasTurn reports whether the host of the given rank among count competing hosts may now
// dispatch to the target at index at. A turn lasts about one report interval, which keeps two
// hosts from filling the same free capacity. If clocks are skewed, or hosts disagree about who
// competes, a turn is no longer exclusive; nothing else is affected.
func (r *Reducer) hasTurn(at, count, rank int) bool {
	if count == 1 {
		return true
	}
	slot := int(r.epoch.Add(r.now).UnixNano() / int64(r.turnDuration))
	return (slot+at)%count == rank
}

// exceedsPrefillBurst reports whether a further prompt would make the running streams of a
// target wait for the prefill of several prompts in one step. The limit shrinks as the
// organisation's weight of tail latency grows.
func (r *Reducer) exceedsPrefillBurst(t *targetState, demand *forecast.Demand, tail float64) bool {
	if r.options.prefillBurst == 0 || t.pendingPrefill == 0 {
		return false
	}
	allowed := 2 * (1 - tail) * float64(r.options.prefillBurst)
	return float64(t.pendingPrefill)+demand.Mean[0] > allowed
}

// latencyWeights returns an organisation's weights of the tail of the time between tokens and
// of stall time. They add up to 1.
func (r *Reducer) latencyWeights(org *organisation) (tail, stall float64) {
	sum := org.spec.TailWeight + org.spec.StallWeight
	if !r.options.latencyWeights || sum == 0 {
		return 0.5, 0.5
	}
	return org.spec.TailWeight / sum, org.spec.StallWeight / sum
}

// mixBits is an integer hash: the finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// coprimeStride returns a step that depends on the request and is coprime to n, for visiting
// targets without repeats.
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
