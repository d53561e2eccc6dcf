package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/quarantine"
)

// A request that was in flight at a target as that crashed may be the reason, or may have been there by
// chance. It is suspected until an answer clears it. Of all suspected requests to a pool, one at a time is
// sent to a target, over all hosts: if that target crashes too, which of them was the reason is known, and
// the others are not blamed. The load pattern is that of a plain service of a few targets with a request
// that crashes what runs it and comes again at any host, among sound ones.

type (
	// TrialReply is the result of an EffectTrial.
	TrialReply struct {
		ID      ID
		Granted bool
		Wait    time.Duration // time after which to ask again, if it is not granted
	}

	// A TrialRequest asks the host that allows the trials of a pool for one.
	TrialRequest struct {
		Asker   string // identifies the host and the request; the same for a repeated question
		Part    quarantine.Part
		Crashes int           // recorded under the part by the asking host
		Life    time.Duration // time until the trial has ended
	}

	// trial is the latest one that this host has allowed in a pool.
	trial struct {
		TrialRequest
		until time.Duration
	}
)

const (
	// trialMargin is the time that a trial may last after its caller's deadline, for the probe of the
	// target and its report to the host that allows the trials.
	trialMargin = 300 * time.Millisecond

	// maxTrial is the longest time for which a trial without a result keeps others waiting.
	maxTrial = 3 * time.Second

	// trialReplyTimeout bounds the time for which a request waits for a TrialReply.
	trialReplyTimeout = 400 * time.Millisecond

	// trialRetryInterval is the time between two questions for a trial.
	trialRetryInterval = 15 * time.Millisecond
)

// needsTrial reports whether q is suspected and must not be sent without a trial.
func (r *Reducer) needsTrial(q *request) bool {
	_, suspected := r.suspectedRequest(q)
	return suspected && q.remote == nil && r.now >= q.trialUntil
}

// suspectedRequest returns the first part that stands for q as a whole, with or without its prompt, under
// which targets have crashed, and false if there is none.
func (r *Reducer) suspectedRequest(q *request) (quarantine.Part, bool) {
	for _, p := range q.parts {
		if n, _ := r.quarantine.Crashes(p); n > 0 && p.IsRequest() {
			return p, true
		}
	}
	return quarantine.Part{}, false
}

// askTrial asks for a trial of q, and keeps q waiting for the reply.
func (r *Reducer) askTrial(q *request) {
	part, _ := r.suspectedRequest(q)
	n, _ := r.quarantine.Crashes(part)
	q.notBefore = r.now + trialReplyTimeout
	r.wakeBy(q.notBefore)
	life := min(max(q.callerDeadline-r.now, 0)+trialMargin, maxTrial)
	r.emit(Effect{Kind: EffectTrial, ID: q.id, Name: q.name, Part: part, Crashes: n, Within: life})
}

// reduce sends the request to a target, or asks again later.
func (e TrialReply) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseHeld {
		return
	}
	if e.Granted {
		q.notBefore = r.now
		q.trialUntil = r.now + min(max(q.callerDeadline-r.now, 0), maxTrial)
	} else {
		q.notBefore = r.now + max(e.Wait, trialRetryInterval)
		r.wakeBy(q.notBefore)
	}
	r.dispatchHeld(q.pool)
}

// AllowTrial decides about a trial. This host must be the one that allows the trials of the pool. While
// the result of an earlier trial in the pool is not known, it allows none.
func (r *Reducer) AllowTrial(asked TrialRequest, now time.Time) TrialReply {
	if _, left := r.quarantine.Find(now, []quarantine.Part{asked.Part}); left > 0 {
		return TrialReply{Wait: left}
	}
	at := now.Sub(r.epoch)
	t, ok := r.trials[asked.Part.Pool]
	if ok && at < t.until && t.Asker != asked.Asker && !r.hasResult(t) {
		return TrialReply{Wait: trialRetryInterval}
	}
	r.trials[asked.Part.Pool] = trial{asked, at + asked.Life}
	return TrialReply{Granted: true}
}

// hasResult reports whether a trial has ended with an answer or another crash.
func (r *Reducer) hasResult(t trial) bool {
	n, known := r.quarantine.Crashes(t.Part)
	return known && (n == 0 || n > t.Crashes)
}
