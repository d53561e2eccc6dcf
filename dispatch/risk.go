package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

const (
	// defaultFirstTokenObjective is the time to the first token within which a request counts as
	// on time if it sets no objective.
	defaultFirstTokenObjective = 1500 * time.Millisecond

	// preemptionCost is the cost of a preempted stream, in requests that are late: besides the
	// stream itself, those on the same engine are delayed while its prompt is computed again.
	preemptionCost = 3.0

	// lateWaitCost is the cost of keeping a request waiting that is late already, as a fraction of
	// the cost of making a request late.
	lateWaitCost = 1.0

	// maxMoveRisk is the risk of a preemption that is taken to move a stream off a target that is
	// about to end. Without a destination the stream is lost.
	maxMoveRisk = 0.5

	// maxLatencyRatio bounds the ratio of an organisation's weights of tail latency and of stalls.
	maxLatencyRatio = 4.0

	stallMemoryDeviations = 0.75 // standard deviations added to options.memoryDeviations at stall weight 1
)

// tolerableRisk returns the probability of a preemption up to which an engine is given the request
// now. Waiting for more free memory makes it the likelier that the request is late; sending it makes
// it the likelier that a stream is preempted and has to be computed again. The two costs, weighted
// as the request's organisation weighs tail latency and stalls, are balanced for each request:
//
//	risk * preemptionCost * stall weight = chance of being late * tail weight
//
// A request that has just arrived can wait, so it gets the margin of options.memoryDeviations. The
// rule answers a load of streams so large that few fill an engine: a fixed margin then leaves an
// engine with room for two more of six streams empty, while callers wait for seconds.
func (r *Reducer) tolerableRisk(q *request, tail, stall float64) float64 {
	base := forecast.TailProbability(r.options.memoryDeviations + stallMemoryDeviations*stall)
	if q.target != nil {
		return maxMoveRisk // a move
	}
	weight := 1.0
	if stall > 0 {
		weight = min(tail/stall, maxLatencyRatio)
	}
	return max(base, r.lateChance(q)*weight/preemptionCost)
}

// isLate reports whether a held request for an engine can no longer be on time.
func (r *Reducer) isLate(q *request) bool { return !q.plain && r.now-q.arrived >= r.waitLimit(q) }

// waitLimit returns the longest time for which a request can be held and still be on time.
func (r *Reducer) waitLimit(q *request) time.Duration {
	return q.firstTokenObjective - time.Duration(q.prompt)*r.options.prefillPerToken
}

// lateChance returns the chance that a held request becomes late if it is held on. It grows with the
// part of the time to its objective that has passed.
func (r *Reducer) lateChance(q *request) float64 {
	if r.isLate(q) {
		return lateWaitCost
	}
	return float64(r.now-q.arrived) / float64(r.waitLimit(q))
}
