package dispatch

import "time"

type (
	// startWaits records how long streams have recently waited for their first token beside the time in which their own
	// prompts were computed: in the queue of an engine, and behind the prompts that other hosts have sent there. For a plain
	// service it records how long calls have taken. The zero value is ready for use.
	startWaits struct {
		current, previous waitSpan
		latest            time.Duration // time of the latest record
	}

	// waitSpan is the longest wait that was recorded within startWaitSpan.
	waitSpan struct {
		since   time.Duration // time of the first record; 0 means that there is none
		longest time.Duration
	}

	// stopWaits holds the waits of a pool's requests that a stopping host counts on.
	stopWaits struct {
		at       time.Duration // time of the latest refreshStopWaits; 0 means never
		known    bool          // whether the wait at a target that accepts work is recorded
		shortest time.Duration // at the target with the shortest wait, of those that accept work; the longest of all if none does
	}
)

const (
	// startWaitSpan is the time over which the longest of the latest waits is taken.
	startWaitSpan = 2500 * time.Millisecond

	// startWaitExpiry is the time after which a wait is no longer taken into account if no other one follows.
	startWaitExpiry = 30 * time.Second

	// stopWaitsRefresh is the time between two evaluations of the waits of a pool while the host stops.
	stopWaitsRefresh = 50 * time.Millisecond
)

// record adds the wait of a stream whose first token has arrived.
func (s *startWaits) record(wait, now time.Duration) {
	if now-s.latest > 2*startWaitSpan {
		*s = startWaits{}
	}
	if s.current.since == 0 || now-s.current.since > startWaitSpan {
		s.previous, s.current = s.current, waitSpan{since: max(now, 1)}
	}
	s.current.longest, s.latest = max(s.current.longest, wait), now
}

// longest returns the longest of the latest waits, and false if none is known.
func (s *startWaits) longest(now time.Duration) (time.Duration, bool) {
	if s.current.since == 0 || now-s.latest > startWaitExpiry {
		return 0, false
	}
	return max(s.current.longest, s.previous.longest), true
}

// startWait returns the part of the given time since the dispatch of q, which has no token yet, in which its own prompt was
// not computed.
func (r *Reducer) startWait(q *request, since time.Duration) time.Duration {
	return max(since-time.Duration(q.pendingPrefill)*r.options.prefillPerToken, 0)
}

// recordCall records how long a call of a plain service has taken that has ended. Which attempt has responded is not known of
// one that has two.
func (r *Reducer) recordCall(q *request) {
	if q.plain && q.extra == nil && !q.secondOnly {
		q.target.startWaits.record(r.now-q.dispatchedAt, r.now)
	}
}

// recordStart records the wait of q, whose first token has arrived at the given time, at its target. A stream that runs on from
// a copy is not counted: engines admit it first.
func (r *Reducer) recordStart(q *request, at time.Duration) {
	if !q.plain && !q.attached && q.paceTarget == q.target {
		q.target.startWaits.record(r.startWait(q, at-q.dispatchedAt), r.now)
	}
}

// refreshStopWaits evaluates, at most once in stopWaitsRefresh, how long streams of a pool wait at each target for
// their first token, or calls for their end. A request that still waits, longer than those before it, is assumed to wait for another
// stopSilence. A target without a record is assumed to have the longest wait of the pool.
func (r *Reducer) refreshStopWaits(p *pool) {
	if p.stopWaits.at != 0 && r.now-p.stopWaits.at < stopWaitsRefresh {
		return
	}
	pending := r.pendingWaits(p)
	longest := time.Duration(0)
	for _, t := range p.targets {
		t.stopWait, _ = t.startWaits.longest(r.now)
		if pending[t] > t.stopWait {
			t.stopWait = pending[t] + stopSilence
		}
		longest = max(longest, t.stopWait)
	}
	next := stopWaits{at: max(r.now, 1), shortest: longest}
	for _, t := range p.targets {
		_, known := t.startWaits.longest(r.now)
		if !known {
			t.stopWait = longest
		}
		if t.acceptsWork(r.now, 0) {
			next.shortest, next.known = min(next.shortest, t.stopWait), next.known || known
		}
	}
	p.stopWaits = next
}

// pendingWaits returns the longest time for which a stream of this host in the pool waits for its first token, or a call for its
// end, by target.
func (r *Reducer) pendingWaits(p *pool) map[*targetState]time.Duration {
	waits := map[*targetState]time.Duration{}
	for _, q := range r.requests {
		if q.target != nil && q.pool == p && q.remote == nil && q.lastToken == 0 {
			waits[q.target] = max(waits[q.target], r.startWait(q, r.now-q.dispatchedAt))
		}
	}
	return waits
}

// queueWait returns the time for which a stream is assumed to wait for the computation of its prompt, or a call to take, at t or, if
// t is nil, at the pool's target with the shortest wait. It is 0 if the host does not stop: only then are the waits of
// requests that have no token yet evaluated.
func (r *Reducer) queueWait(p *pool, t *targetState) time.Duration {
	if !r.stopping || p == nil {
		return 0
	}
	r.refreshStopWaits(p)
	if t != nil {
		return t.stopWait
	}
	return p.stopWaits.shortest
}
