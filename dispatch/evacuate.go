package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// MoveSucceeded reports that a stream now runs at the destination of its move.
	MoveSucceeded struct{ ID ID }

	// StreamBroken reports that a running stream has broken off at its target. The reducer
	// replies with EffectMove or EffectNoMove, unless a move of the stream is in progress.
	StreamBroken struct{ ID ID }

	// MoveFailed reports that a move has failed. Either the stream continues at its old target,
	// or the stream is lost and an AttemptFailed event follows.
	MoveFailed struct {
		ID    ID
		Final bool // whether a further move is useless because the stream or its target has ended
	}
)

const (
	// minLeavingNotice is the time that a target is assumed to keep running after the host has
	// learned that the target is leaving. Targets are announced as leaving at least 1.5 s before
	// they end, and the host learns of it up to 0.25 s later.
	minLeavingNotice = 1200 * time.Millisecond

	// finishInPlaceFraction is the fraction of a leaving target's remaining time within which a
	// stream must be expected to end; otherwise the stream is moved. It is below 1 because the
	// forecast of a stream's end is inaccurate.
	finishInPlaceFraction = 0.35

	// maxMoveAttempts bounds the attempts to move a stream off one target.
	maxMoveAttempts = 3

	// maxConcurrentMoves bounds the moves with a copy that one host has in progress off one
	// target. The copies share the target's link, and a stream that is stopped for the last part
	// of its copy waits for the copies ahead of it.
	maxConcurrentMoves = 1

	// switchoverTime is the time before a leaving target's expected end at which a moving stream
	// must be stopped there. It is needed to copy the last part of the stream's memory and to
	// start the stream at the destination.
	switchoverTime = 200 * time.Millisecond

	// moveCostTolerance is the amount, in seconds, by which the cost of a move's destination may
	// exceed the lowest cost. Hosts that move streams at the same time do not see each other's
	// choices; the tolerance spreads the streams over several destinations.
	moveCostTolerance = 0.5

	// moveRetryInterval is the time between two attempts to find destinations for the streams that
	// should move.
	moveRetryInterval = 20 * time.Millisecond
)

// evacuate starts to move running streams off the targets that are leaving or in evacuated domains. It serves
// deployments where some engines are preempted every few seconds and announce it only one or two seconds before
// they end, while a stream runs several times as long.
func (r *Reducer) evacuate() {
	if !r.options.moves {
		return
	}
	candidates := r.streamsToMove()
	for _, q := range candidates {
		r.startMove(q)
	}
	if len(candidates) > 0 {
		r.wakeBy(r.now + moveRetryInterval)
	}
}

// startMove starts to move a stream off its target if there is a destination for it: its backup, or
// else the target with capacity at the lowest cost, up to moveCostTolerance. A move to the backup
// needs no copy; maxConcurrentMoves does not limit it.
func (r *Reducer) startMove(q *request) {
	if t := r.usableBackup(q); t != nil {
		r.emitMove(q, t, true)
		return
	}
	if q.target.outgoingMoves >= maxConcurrentMoves || !r.engineOf(q).CanMove {
		return
	}
	if q.target.evacuated && !q.target.leaving && r.now < q.target.movesPausedUntil {
		return
	}
	if t := r.chooseWithin(q, 0, moveCostTolerance); t != nil {
		q.target.failedChoices = 0
		if t.isLimited() {
			t.usePlace()
		}
		r.emitMove(q, t, false)
		return
	}
	r.askMovePlace(q)
	q.target.recordNoDestination(r.now)
}

// engineOf returns the specification of the engines that serve q's model.
func (r *Reducer) engineOf(q *request) table.EngineSpec { return r.table.Models[q.pool.name].Engine }

// streamsToMove returns the streams that should move off their targets, by descending expected
// remaining time: the longest ones are the most likely to be lost, and the most work is lost with
// them.
func (r *Reducer) streamsToMove() []*request {
	var out []*request
	for _, q := range r.requests {
		if r.shouldMove(q) {
			q.remaining = r.remainingTime(q)
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.id, b.id))
	})
	return out
}

// shouldMove reports whether q is a stream with at least one token that runs at a leaving target or in an evacuated
// domain, is not expected to end there in time, and may start another move.
func (r *Reducer) shouldMove(q *request) bool {
	if q.phase != phaseDispatched || q.plain || !q.target.leaving && !q.target.evacuated || r.movesElsewhere(q) || q.tokens == 0 ||
		q.moveReservation.target != nil || q.moveAttempts >= maxMoveAttempts || q.moveFailedFinally || q.disconnectedAt != 0 {
		return false
	}
	if !q.target.leaving {
		return r.shouldEvacuate(q)
	}
	end := q.target.leavingNoticeAt + minLeavingNotice
	if r.stopTimeKnown() && q.remote == nil && r.stopDeadline <= end {
		return false // the host ends before the target: the move would only delay the stream
	}
	return r.remainingTime(q) >= time.Duration(finishInPlaceFraction*float64(end-r.now))
}

// remainingTime returns the expected time until the end of a running stream.
func (r *Reducer) remainingTime(q *request) time.Duration {
	limit := maxExpectedOutput
	if q.maxOutput > 0 {
		limit = max(float64(q.maxOutput-q.tokens), 0)
	}
	tokens := float64(q.knownOutput - q.tokens)
	if q.knownOutput == 0 {
		tokens = q.curve.MeanRemaining(float64(q.tokens), limit)
	}
	interval := q.tokenInterval
	if interval == 0 {
		interval = q.target.tokenInterval.At(q.target.reportedStreams())
	}
	return time.Duration(max(tokens, 0) * float64(interval))
}

// emitMove emits a move of q to t and reserves memory for the stream there. toBackup says whether t
// is the stream's backup, which already holds its memory.
func (r *Reducer) emitMove(q *request, t *targetState, toBackup bool) {
	q.moveAttempts++
	q.moveReservation.reserve(t, q.forecastDemand())
	t.addMoving(q, 1)
	q.moveToBackup = toBackup
	r.chooseBackup(q, &q.nextBackup, t)
	if !toBackup {
		q.target.outgoingMoves++
	}
	basis := r.newBasis(q)
	basis.Attempt = q.moveAttempts
	basis.Streams, basis.OtherDomain = t.totalDemand(r.now).Streams, r.inOtherDomain(t)
	if !toBackup {
		basis.ExpectedLate = r.basis.ExpectedLate
	}
	e := Effect{
		Kind: EffectMove, ID: q.id, Target: q.target.spec.Name, To: t.spec, ToBackup: toBackup,
		Priority: r.priority(q), Basis: basis,
		At: r.epoch.Add(r.switchDeadline(q)), Run: r.resumedRun(q, t),
	}
	if q.nextBackup.target != nil {
		e.Backup = q.nextBackup.target.spec
	}
	if q.remote != nil {
		q.remote.orderedAt = r.now
		e.Remote, e.ID, e.Name = q.remote.origin, q.remote.id, q.name
	}
	r.emit(e)
}

// resumedRun returns the time from the start of a stream at the destination of its move to its end at the limit of its output,
// with a silence, or 0 if the output has no limit. Engines admit resumed streams first.
func (r *Reducer) resumedRun(q *request, t *targetState) time.Duration {
	tokens := q.outputLimit()
	if tokens == 0 {
		return 0
	}
	return runTime(max(tokens-q.tokens, 0), 0, r.nextInterval(t), 0) + stopSilence
}

// endMove ends q's move, if one is in progress, and releases its reservations. It does not change
// q's target.
func (r *Reducer) endMove(q *request) {
	if q.moveReservation.target == nil {
		return
	}
	if q.target != nil && !q.moveToBackup {
		q.target.outgoingMoves--
	}
	q.moveReservation.target.addMoving(q, -1)
	q.moveReservation.release()
	q.nextBackup.release()
}

// reduce assigns the stream to the destination of its move, and starts further moves.
func (e MoveSucceeded) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseDispatched || q.moveReservation.target == nil {
		return
	}
	to, next := q.moveReservation.target, q.nextBackup
	q.nextBackup = reservation{}
	r.endMove(q)
	q.backup.release()
	q.backup = next
	r.changeTarget(q, to)
	r.counts.Moved++
	r.evacuate()
}

// changeTarget records that a stream runs at another target now.
func (r *Reducer) changeTarget(q *request, to *targetState) {
	from := q.target
	from.localDemand.Sub(&q.demand)
	from.addPaced(q, -1)
	from.running--
	if from.running == 0 {
		from.localDemand = forecast.Demand{}
	}
	from.pendingPrefill -= q.pendingPrefill
	from.invalidateTotalDemand()
	q.pendingPrefill = 0
	q.target, q.demand = to, forecast.Demand{}
	to.addPaced(q, 1)
	to.running++
	r.updateDemand(q)
	q.lastToken, q.moveAttempts = r.now, 0
}

// reduce ends the move and excludes its destination from further moves of the stream. It may start
// another move.
func (e MoveFailed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseDispatched || q.moveReservation.target == nil {
		return
	}
	q.triedTargets = append(q.triedTargets, q.moveReservation.target)
	if q.moveToBackup {
		q.backup.release()
	}
	q.moveFailedFinally = e.Final && !q.moveToBackup
	r.endMove(q)
	r.counts.NotMoved++
	r.evacuate()
}

// reduce emits a move to the stream's backup, or EffectNoMove if it has no usable one. A stream that broke
// at its beginning is not resumed, as it may be what has crashed its target.
func (e StreamBroken) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil || q.phase != phaseDispatched:
	case q.moveReservation.target != nil:
		// The move in progress decides whether the stream continues.
	case r.usableBackup(q) != nil && !q.mayCrashTargets():
		q.target.failureRate.record(1, r.now)
		r.emitMove(q, q.backup.target, true)
	default:
		r.emit(Effect{Kind: EffectNoMove, ID: q.id, Target: q.target.spec.Name})
	}
}
