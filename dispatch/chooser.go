package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

type (
	// A Chooser ranks the targets that have capacity for a request.
	Chooser interface {
		// Score returns the cost of sending the request to the candidate. The target
		// with the lowest cost is chosen. The unit of the cost is the Chooser's own.
		Score(c *Candidate) float64
	}

	// A Candidate describes a target to a Chooser, for one request.
	Candidate struct {
		LocalRequests  int           // requests in flight from this host to the target
		Streams        float64       // streams of all hosts on the target, known or inferred
		ReportedMemory float64       // fraction of the target's memory that is in use according to its last load report; 0 if unknown
		LastDispatch   uint64        // number of the host's latest dispatch to the target, counted over all targets; 0 means none
		Interval       time.Duration // expected time between tokens on the target if the request is added
		IdleInterval   time.Duration // expected time between tokens of a stream that is alone on the target
		Prefill        time.Duration // time until the target has computed the request's prompt, after the prompts that wait before it
		RequestPrefill time.Duration // part of Prefill in which the request's own prompt is computed
		ExpectedOutput float64       // expected output length of the request, in tokens
		TailWeight     float64       // weight of tail latency against stalls for the request's organisation, from 0 to 1
		Plain          bool          // whether the request is a call of a plain service
		Slots          int           // requests that the target serves concurrently; 0 means unknown
		OtherDomain    bool          // whether the target is in another failure domain than the host
		FailureRate    float64       // decayed fraction of this host's attempts at the target that failed, from 0 to 1
		ExpectedLate   float64       // expected number of streams that become late because of a pause if the request is added
		Unlisted       bool          // whether the target is missing from the store's list and may have ended
	}

	forecastChooser struct{}
	roundRobin      struct{}
	leastRequests   struct{}
	leastReported   struct{}
)

// NewForecastChooser returns a chooser whose cost of an engine, in seconds, is the sum of
// the time to first token, the slowdown of the request's own tokens by the other streams,
// and the delay of the other streams while the request's prompt is computed. The cost of a
// plain service's target is the number of all hosts' requests in flight at it. In a pool of unevenly fast engines,
// the streams that are expected to become late add to the cost of an engine. A target's failure
// rate, its being in another failure domain and its being unlisted add to either cost.
func NewForecastChooser() Chooser { return forecastChooser{} }

// NewRoundRobin returns a chooser that picks the target to which the host's latest dispatch is the
// longest ago.
func NewRoundRobin() Chooser { return roundRobin{} }

// NewLeastRequests returns a chooser that picks the target with the fewest requests of this
// host in flight.
func NewLeastRequests() Chooser { return leastRequests{} }

// NewLeastReported returns a chooser that picks the target with the smallest fraction of
// memory in use according to its last load report.
func NewLeastReported() Chooser { return leastReported{} }

func (roundRobin) Score(c *Candidate) float64    { return float64(c.LastDispatch) }
func (leastRequests) Score(c *Candidate) float64 { return float64(c.LocalRequests) }
func (leastReported) Score(c *Candidate) float64 { return c.ReportedMemory }

func (forecastChooser) Score(c *Candidate) float64 {
	if c.Plain {
		return c.Streams + plainFailureCost*c.FailureRate + costIf(c.OtherDomain, plainOtherDomainCost) + costIf(c.Unlisted, plainUnlistedCost)
	}
	first := c.Prefill + c.Interval
	slower := c.ExpectedOutput * (c.Interval - c.IdleInterval).Seconds()
	others := c.Streams * c.RequestPrefill.Seconds()
	return first.Seconds() + c.TailWeight*(slower+others) + engineFailureCost*c.FailureRate + lateStreamCost*c.ExpectedLate + costIf(c.OtherDomain, engineOtherDomainCost) + costIf(c.Unlisted, engineUnlistedCost)
}

func costIf(condition bool, cost float64) float64 {
	if condition {
		return cost
	}
	return 0
}

const (
	tieTolerance     = 0.02 // fraction by which two costs may differ and still count as equal
	sampleThreshold  = 64   // number of targets of a pool above which only a sample of them is scored
	sampleSize       = 16   // number of targets in the sample
	maxHostsFullScan = 16   // number of live hosts above which each host scores only a subset of the targets
	choicesPerDomain = 3    // expected number of targets per failure domain in that subset
	maxIntervalRatio = 2.2  // largest ratio of the expected time between tokens to that of a single stream, at tail weight 1

	plainFailureCost      = 12.0 // cost of a failure rate of 1, in requests in flight
	plainOtherDomainCost  = 2.0  // cost of another failure domain, in requests in flight
	engineFailureCost     = 8.0  // cost of a failure rate of 1, in seconds
	engineOtherDomainCost = 3.0  // cost of another failure domain, in seconds
	plainUnlistedCost     = 40.0 // cost of an unlisted target, in requests in flight
	engineUnlistedCost    = 30.0 // cost of an unlisted engine, in seconds
)

// choose returns the target with capacity for q at the lowest cost, or nil. shareExcess is that of
// q's organisation.
func (r *Reducer) choose(q *request, shareExcess float64) *targetState {
	return r.chooseWithin(q, shareExcess, 0)
}

// chooseWithin returns one of the targets with capacity for q whose cost exceeds the lowest
// cost by at most tolerance, or nil.
func (r *Reducer) chooseWithin(q *request, shareExcess, tolerance float64) *targetState {
	ts := q.pool.targets
	n := len(ts)
	if n == 0 {
		return nil
	}
	if r.allHosts > maxHostsFullScan && !r.coordinates {
		if t := r.chooseFromSubset(q, shareExcess, tolerance, choicesPerDomain); t != nil {
			return t
		}
	}
	return r.chooseFromSubset(q, shareExcess, tolerance, n)
}

// chooseFromSubset is chooseWithin restricted to a subset of about choices targets of each
// failure domain. The subset depends on the request and the host: many hosts have the same,
// slightly stale view of the targets, and would all pick the same target if they scored all.
// It also sets r.basis. While the host stops, a target at which a held request, or a stream that moves, would not end in time is
// chosen only if there is no other one.
func (r *Reducer) chooseFromSubset(q *request, shareExcess, tolerance float64, choices int) *targetState {
	ts := q.pool.targets
	n := len(ts)
	demand := q.forecastDemand()
	count, step := n, 1
	if n > sampleThreshold {
		count, step = sampleSize, coprimeStride(q.id, n)
	}
	r.basis = r.newBasis(q)
	var best, outlasting *targetState
	lowest := math.Inf(1)
	start := int(mixBits(uint64(q.id)+r.salt<<32) % uint64(n))
	for i := range count {
		index := (start + i*step) % n
		t := ts[index]
		if !t.acceptsWork(r.now, r.options.maxLoadAge) {
			continue
		}
		r.basis.AcceptingTargets++
		if choices < n && r.hashFraction(q, index)*q.pool.targetsInDomain(t) >= float64(choices) {
			continue
		}
		if r.isExcluded(q, t) {
			continue
		}
		score, ok := r.score(q, t, &demand, shareExcess)
		if ok {
			r.basis.TargetsWithCapacity++
		}
		if ok && r.outlastsStop(q, t) {
			outlasting = t
			continue
		}
		if ok && (best == nil || score < lowest-max(tolerance, tieTolerance*math.Abs(lowest))) {
			best, lowest, r.basis.ExpectedLate = t, score, r.candidate.ExpectedLate
		}
	}
	return cmp.Or(best, outlasting)
}

// isExcluded reports whether t is no candidate for q, so that its cost need not be computed.
func (r *Reducer) isExcluded(q *request, t *targetState) bool {
	return q.runsAt(t) || slices.Contains(q.triedTargets, t) || r.isClaimed(q, t) || r.lacksPlace(q, t)
}

// runsAt reports whether a request is in flight at t, or at an earlier process under the name of t.
func (q *request) runsAt(t *targetState) bool {
	return q.target != nil && q.target.spec.Name == t.spec.Name
}

// hashFraction returns a number from 0 to 1 that is a hash of the request, the target's index
// in the pool and the host.
func (r *Reducer) hashFraction(q *request, index int) float64 {
	return float64(mixBits(uint64(q.id)<<20^uint64(index)<<52^r.salt)>>11) / (1 << 53)
}

// targetsInDomain returns the number of targets of the pool in the failure domain of t.
func (p *pool) targetsInDomain(t *targetState) float64 { return float64(p.domains[t.spec.Domain]) }

// score returns the cost of sending q to t, and whether t has capacity for it.
func (r *Reducer) score(q *request, t *targetState, demand *forecast.Demand, shareExcess float64) (float64, bool) {
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
		Unlisted:       t.spec.Unlisted,
	}
	if t.load.CapacityTokens > 0 {
		c.ReportedMemory = float64(t.load.UsedTokens) / float64(t.load.CapacityTokens)
	}
	if q.plain {
		return r.options.chooser.Score(c), true
	}
	c.IdleInterval = t.tokenInterval.At(1)
	c.Interval = t.tokenInterval.At(total.Streams + 1)
	if r.options.hold && !r.hasCapacity(q, t, total, demand, c, r.tolerableRisk(q, tail, stall), shareExcess) {
		return 0, false
	}
	uncached := q.prompt
	if t.hasPrefix(q.prefix) {
		uncached -= q.prefixTokens
	}
	c.RequestPrefill = time.Duration(uncached) * r.options.prefillPerToken
	c.Prefill = c.RequestPrefill + time.Duration(t.pendingPrefill)*r.options.prefillPerToken
	c.ExpectedLate = r.expectedLate(q, t, c)
	cost := r.options.chooser.Score(c)
	if q.target != nil {
		cost += r.moveCost(q, t)
	}
	return cost, true
}

// hasCapacity reports whether t can take q with the given demand in addition to total, the
// demand on t, without exceeding its memory, its slots, the limit on waiting prompt tokens and the
// limit on the time between tokens. risk is the tolerable probability that the memory is exceeded.
func (r *Reducer) hasCapacity(q *request, t *targetState, total, demand *forecast.Demand, c *Candidate, risk, shareExcess float64) bool {
	memory := float64(t.spec.Memory) * (1 - shareExcess*r.options.overShareReserve)
	// A moved stream brings no prompt to be computed.
	if q.target == nil && r.exceedsPrefillBurst(t, demand, c.TailWeight) && !r.readsUnnoticed(q, t) {
		return false
	}
	if t.spec.Slots > 0 && total.Streams+1 > float64(t.spec.Slots) {
		return false
	}
	if r.exceedsMemory(q, t, total, demand, memory, risk) {
		return false
	}
	limit := maxIntervalRatio / max(c.TailWeight, 0.1)
	return c.Interval.Seconds() <= limit*c.IdleInterval.Seconds() || total.Streams < 1
}

// exceedsPrefillBurst reports whether a further prompt would raise the prompt tokens of this host
// that wait for prefill on t above the limit. Several prompts computed in one step delay the
// running streams of the target. The limit shrinks as the organisation's weight of tail latency
// grows. It does not apply while no other prompt waits.
func (r *Reducer) exceedsPrefillBurst(t *targetState, demand *forecast.Demand, tail float64) bool {
	if r.options.prefillBurst == 0 || t.pendingPrefill == 0 {
		return false
	}
	allowed := 2 * (1 - tail) * float64(r.options.prefillBurst)
	return float64(t.pendingPrefill)+demand.MeanMemory[0] > allowed
}

// latencyWeights returns the weights that an organisation gives to the tail of the time between
// tokens and to stall time. They add up to 1.
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

// coprimeStride returns a step that depends on the request and is coprime to n. With this step, an
// iteration over n targets visits none twice.
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
