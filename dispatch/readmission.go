package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/readmission"
)

// Readmission is the state of a request in a mixed pool that concerns the refusal of its caller.
type Readmission struct {
	Returning bool          // the caller was refused before, with a time to come back
	Hopeless  bool          // the request was refused on arrival
	Promised  bool          // the refusal states when memory is forecast to be free
	Wait      time.Duration // that forecast
}

const (
	// admissionMargin is the ratio of the forecast wait to the time that is left above which a request is refused at once. A
	// lower ratio would refuse requests that an error of the forecast makes seem hopeless.
	admissionMargin = 1.5

	// promiseLead is the time by which a coordinator's time to place a request in a mixed pool ends before the host's, so
	// that the coordinator's refusal, which is a promise, arrives first.
	promiseLead = 50 * time.Millisecond

	// maxStartRisk is the probability of a preemption from which a request is not started in a mixed pool, however late it
	// is.
	maxStartRisk = 0.9
)

// admit holds a new request, or refuses it at once if it is hopeless. The request of a returning caller is always held.
func (r *Reducer) admit(q *request) {
	if q.pool.isMixed() && (q.remote != nil || !r.delegates(q.pool)) {
		refused, returning := q.pool.mixed.promises.Claim(q.promiseKey(), r.now)
		if returning {
			q.readmission.Returning = true
			q.rank -= max(r.now-refused, 0) // before those that arrived after the refusal
			r.counts.Returned++
		} else if r.isHopeless(q) {
			r.counts.Hopeless++
			q.readmission.Hopeless = true
			r.refuse(q, answer.KindDeadline, r.retryAfter(q))
			return
		}
	}
	r.enqueue(q)
}

func (q *request) promiseKey() readmission.Key {
	return readmission.Key{Organisation: q.organisation.spec.Name, Route: q.lengthKey.Route, Subject: q.subject}
}

// isHopeless reports whether a new request can, given the requests that go before it and the rate at which memory becomes
// free, neither be on time nor be placed and end before its deadlines.
func (r *Reducer) isHopeless(q *request) bool {
	wait, ok := r.forecastWait(q, r.memoryAhead(q))
	if !ok {
		return false
	}
	wait = time.Duration(float64(wait) / admissionMargin)
	if r.now+wait < q.arrived+r.waitLimit(q) {
		return false
	}
	return r.now+wait >= q.holdDeadline || q.hasDeadline && r.now+wait+r.shortestResidence(q) >= q.callerDeadline
}

// memoryAhead returns the memory of the held requests that go before a new one, in tokens: urgent ones that can be on time and,
// if q is not urgent, all that can.
func (r *Reducer) memoryAhead(q *request) float64 {
	urgent, sum := r.isUrgent(q), 0.0
	for _, queue := range q.pool.queues {
		for _, o := range queue.held {
			if o != q && !r.isLate(o) && (!urgent || r.isUrgent(o)) {
				sum += o.size()
			}
		}
	}
	return sum
}

// forecastWait returns the time until memory is free for q after the given memory, in tokens, is used by others. It
// returns false while no stream has ended from which the rate at which memory becomes free can be known.
func (r *Reducer) forecastWait(q *request, ahead float64) (time.Duration, bool) {
	residence := q.pool.mixed.residence.Residence()
	if residence <= 0 {
		return 0, false
	}
	used, free := 0.0, 0.0
	for _, t := range q.pool.targets {
		if r.inOtherDomain(t) || !t.acceptsWork(r.now, r.options.maxLoadAge) {
			continue
		}
		held := t.totalDemand(r.now).MeanMemory[0]
		used += held
		free += math.Floor(max(float64(t.spec.Memory)-held, 0)/q.size()) * q.size()
	}
	if used <= 0 {
		return 0, false
	}
	if !r.coordinates {
		used, free = used/float64(r.hosts), free/float64(r.hosts)
	}
	need := ahead + q.size() - free
	return time.Duration(max(need, 0) / used * float64(residence)), true
}

// shortestResidence returns the time for which q would hold memory at the fastest engine of this domain.
func (r *Reducer) shortestResidence(q *request) time.Duration {
	shortest := time.Duration(math.MaxInt64 / 2)
	for _, t := range q.pool.targets {
		if !r.inOtherDomain(t) && t.acceptsWork(r.now, r.options.maxLoadAge) {
			shortest = min(shortest, time.Duration(q.prompt)*r.options.prefillPerToken+time.Duration(q.expectedOutput*float64(t.tokenInterval.At(1))))
		}
	}
	return shortest
}

// retryAfter returns the delay after which the caller of a refused request may come back. In a mixed pool it is a promise.
func (r *Reducer) retryAfter(q *request) time.Duration {
	if !q.pool.isMixed() || q.remote == nil && r.delegates(q.pool) {
		return r.queueDrainTime(q.organisation)
	}
	urgent := r.isUrgent(q)
	wait, ok := r.forecastWait(q, r.memoryAhead(q)+q.pool.mixed.promises.Pending(urgent, r.now))
	if !ok {
		wait = r.queueDrainTime(q.organisation)
	}
	left := time.Duration(math.MaxInt64) // not known of a request of a host of an earlier build
	if q.hasDeadline {
		left = q.callerDeadline - r.now
	}
	r.counts.Promised++
	q.readmission.Promised, q.readmission.Wait = true, wait
	return q.pool.mixed.promises.Promise(readmission.Refusal{
		Key: q.promiseKey(), Size: q.size(), Wait: wait, Left: left, Urgent: urgent,
	}, r.now)
}

// retryAfterFull returns the delay for the caller of a request that is not held because its organisation's queue is full.
func (r *Reducer) retryAfterFull(e Submit) (time.Duration, Readmission) {
	q := r.newRequest(e)
	defer r.releaseRequest(q)
	delay := r.retryAfter(q)
	return delay, q.readmission
}

// recordResidence records the time for which a stream that is not urgent has held memory.
func (m *mixedPool) recordResidence(q *request, now time.Duration) {
	if q.urgentHeld == 0 && q.tokens > 0 {
		m.residence.Leave(now - q.dispatchedAt)
	}
}
