package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// MoveSucceeded reports that a running stream continues at the destination of its move.
	MoveSucceeded struct{ ID ID }

	// StreamBroken reports that a running stream has broken off at its target. The reducer
	// replies with EffectMove or EffectNoMove.
	StreamBroken struct{ ID ID }

	// MoveFailed reports that a move has failed. The stream continues at its old target,
	// or an AttemptFailed follows.
	MoveFailed struct {
		ID    ID
		Final bool // whether a further move is useless, because the run or its target has ended
	}
)

const (
	// minNotice is the assumed time from when the host learns that a target is leaving until
	// the target ends. The shortest notice is 1.5 s, and it arrives up to 0.25 s late.
	minNotice = 1200 * time.Millisecond

	// finishInPlaceFraction is the fraction of the remaining notice within which a run must be
	// expected to end for it to stay. It is below 1 because expected ends are inaccurate.
	finishInPlaceFraction = 0.35

	// maxMoveAttempts bounds the attempts to move a run off one target.
	maxMoveAttempts = 3

	// maxConcurrentMoves bounds the moves of a host in progress from one target. Copies share
	// the target's link, and a run that is stopped for its move waits for the copies ahead of it.
	maxConcurrentMoves = 1

	// switchoverTime is the part of the notice reserved for the last copy and the start at the
	// destination.
	switchoverTime = 200 * time.Millisecond

	// moveCostTolerance is how far, in seconds, the cost of a move's destination may exceed the
	// lowest. Hosts that move streams at the same time do not see each other's choices; the
	// tolerance spreads them over several destinations.
	moveCostTolerance = 0.5

	// moveRetryInterval is the time between two attempts to find a destination for the runs that
	// should move.
	moveRetryInterval = 20 * time.Millisecond
)

// evacuate moves running streams off the targets that are leaving. It serves deployments where
// some engines are preempted every few seconds with a notice of one or two seconds, while a
// stream runs several times as long.
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

// startMove starts to move a stream off its target: to its backup, which needs no copy and is
// bounded neither by maxConcurrentMoves nor by turns, or else to the best target with capacity.
func (r *Reducer) startMove(q *request) {
	if t := q.backup.target; r.canRunAt(t) {
		r.emitMove(q, t, true)
		return
	}
	if q.target.outgoingMoves >= maxConcurrentMoves || !r.engineOf(q).CanMove {
		return
	}
	if t := r.chooseWithin(q, 0, moveCostTolerance); t != nil {
		r.emitMove(q, t, false)
	}
}

func (r *Reducer) engineOf(q *request) table.EngineSpec { return r.table.Models[q.pool.name].Engine }

// streamsToMove returns the streams that should move off their targets, by descending expected
// remaining time: the longest ones are the most likely to be lost, and hold the most work.
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

func (r *Reducer) shouldMove(q *request) bool {
	return q.phase == phaseSent && !q.plain && q.target.leaving && q.tokens > 0 &&
		q.moveReservation.target == nil && q.moveAttempts < maxMoveAttempts && !q.movesExhausted && q.disconnectedAt == 0 &&
		r.remainingTime(q) >= time.Duration(finishInPlaceFraction*float64(q.target.noticeAt+minNotice-r.now))
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

// emitMove emits a move to t and reserves memory for the stream there. toBackup reports whether
// t is the stream's backup and already holds its memory.
func (r *Reducer) emitMove(q *request, t *targetState, toBackup bool) {
	q.moveAttempts++
	q.moveReservation.reserve(t, q.forecastDemand())
	q.moveToBackup = toBackup
	r.chooseBackup(q, &q.nextBackup, t)
	if !toBackup {
		q.target.outgoingMoves++
	}
	basis := r.newBasis(q)
	basis.Attempt = q.moveAttempts
	basis.Streams, basis.OtherDomain = t.totalDemand(r.now).Streams, r.inOtherDomain(t)
	e := Effect{
		Kind: EffectMove, ID: q.id, Target: q.target.spec.Name, To: t.spec, ToBackup: toBackup,
		Priority: r.priority(q), Basis: basis,
		At: r.epoch.Add(q.target.noticeAt + minNotice - switchoverTime),
	}
	if q.nextBackup.target != nil {
		e.Backup = q.nextBackup.target.spec
	}
	r.emit(e)
}

// endMove ends a move in progress, if any, and releases its reservations. The stream's target
// does not change.
func (r *Reducer) endMove(q *request) {
	if q.moveReservation.target == nil {
		return
	}
	if q.target != nil && !q.moveToBackup {
		q.target.outgoingMoves--
	}
	q.moveReservation.release()
	q.nextBackup.release()
}

// reduce assigns the stream to the destination of its move.
func (e MoveSucceeded) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent || q.moveReservation.target == nil {
		return
	}
	from, to, next := q.target, q.moveReservation.target, q.nextBackup
	q.nextBackup = reservation{}
	r.endMove(q)
	q.backup.release()
	q.backup = next
	from.localDemand.Sub(&q.demand)
	from.running--
	if from.running == 0 {
		from.localDemand = forecast.Demand{}
	}
	from.pendingPrefill -= q.pendingPrefill
	from.invalidateTotal()
	q.pendingPrefill = 0
	q.target, q.demand = to, forecast.Demand{}
	to.running++
	r.updateDemand(q)
	q.lastToken, q.moveAttempts = r.now, 0
	r.counts.Moved++
	r.evacuate()
}

// reduce ends the move; another one may start.
func (e MoveFailed) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent || q.moveReservation.target == nil {
		return
	}
	q.triedTargets = append(q.triedTargets, q.moveReservation.target)
	if q.moveToBackup {
		q.backup.release()
	}
	q.movesExhausted = e.Final && !q.moveToBackup
	r.endMove(q)
	r.counts.NotMoved++
	r.evacuate()
}

// reduce emits a move to the stream's backup, or EffectNoMove if it has no usable one.
func (e StreamBroken) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil || q.phase != phaseSent:
	case q.moveReservation.target != nil:
		// The move in progress is the reply.
	case r.canRunAt(q.backup.target):
		q.target.failureRate.record(1, r.now)
		r.emitMove(q, q.backup.target, true)
	default:
		r.emit(Effect{Kind: EffectNoMove, ID: q.id, Target: q.target.spec.Name})
	}
}
