package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// Moved says that a running stream goes on at the target that a move named.
	Moved struct{ ID ID }

	// Broken says that a running stream has broken off at its target. A Move or a Stay
	// follows.
	Broken struct{ ID ID }

	// NotMoved says that a move has failed. The stream goes on where it was, or a Failed
	// follows.
	NotMoved struct {
		ID   ID
		Over bool // no further move can help: the run has ended, or its target is gone
	}
)

const (
	// minNotice is how long a target goes on after the host has heard that it ends: the
	// shortest notice is 1.5 s, and it is heard of up to 0.25 s late.
	minNotice = 1200 * time.Millisecond

	// finishInPlaceFraction is the part of the notice left within which a run's expected end must
	// lie for the run to stay: expected ends are rough.
	finishInPlaceFraction = 0.35

	// maxMoveAttempts bounds the targets to which one run is tried to be moved from one place.
	maxMoveAttempts = 3

	// maxConcurrentMoves bounds the moves that a host has under way from one target. Copies
	// share the target's link, and a stopped run waits for those ahead of it.
	maxConcurrentMoves = 1

	// switchoverTime is kept of the notice for a last copy and the start elsewhere.
	switchoverTime = 200 * time.Millisecond

	// moveCostTolerance is how many seconds of cost a move's place may be above the best: hosts
	// that move at the same time do not know of each other, and spread that way.
	moveCostTolerance = 0.5

	// moveRetryInterval is how often runs that found no room elsewhere are looked at again.
	moveRetryInterval = 20 * time.Millisecond
)

// evacuate moves running streams off the targets that are about to end. The load pattern
// that it answers: a part of the engines is taken away every few seconds with a notice of
// one or two, while a stream runs for several times as long.
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

// startMove asks for a stream's move off its target: to where its backup is, which takes no
// copy and no turn, or else to the best place with room.
func (r *Reducer) startMove(q *request) {
	if t := q.backup.target; r.canRunAt(t) {
		r.emitMove(q, t, true)
		return
	}
	if q.target.outgoingMoves >= maxConcurrentMoves || !r.engineOf(q).Moves {
		return
	}
	if t := r.chooseWithin(q, 0, moveCostTolerance); t != nil {
		r.emitMove(q, t, false)
	}
}

func (r *Reducer) engineOf(q *request) table.Engine { return r.table.Models[q.pool.name].Engine }

// streamsToMove returns the streams that should leave their targets, the ones with the
// longest expected rest first: they are the surest to be lost, and the most work.
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
	most := maxExpectedOutput
	if q.maxOutput > 0 {
		most = max(float64(q.maxOutput-q.tokens), 0)
	}
	rest := float64(q.knownOutput - q.tokens)
	if q.knownOutput == 0 {
		rest = q.curve.MeanRemaining(float64(q.tokens), most)
	}
	each := q.tokenInterval
	if each == 0 {
		each = q.target.tokenInterval.At(q.target.reportedStreams())
	}
	return time.Duration(max(rest, 0) * float64(each))
}

// emitMove asks for a move and keeps room for the stream where it goes. ready says that the
// memory is there already.
func (r *Reducer) emitMove(q *request, t *targetState, ready bool) {
	q.moveAttempts++
	q.moveReservation.reserve(t, q.forecastDemand())
	q.moveToBackup = ready
	r.chooseBackup(q, &q.nextBackup, t)
	if !ready {
		q.target.outgoingMoves++
	}
	basis := r.newBasis(q)
	basis.Attempt = q.moveAttempts
	basis.Streams, basis.Away = t.totalDemand(r.now).Streams, r.inOtherDomain(t)
	e := Effect{
		Kind: EffectMove, ID: q.id, Target: q.target.spec.Name, To: t.spec, Ready: ready,
		Priority: r.priority(q), Basis: basis,
		At: r.epoch.Add(q.target.noticeAt + minNotice - switchoverTime),
	}
	if q.nextBackup.target != nil {
		e.Backup = q.nextBackup.target.spec
	}
	r.emit(e)
}

// endMove ends a move without a change of place.
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

func (e Moved) reduce(r *Reducer) {
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

func (e NotMoved) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent || q.moveReservation.target == nil {
		return
	}
	q.triedTargets = append(q.triedTargets, q.moveReservation.target)
	if q.moveToBackup {
		q.backup.release()
	}
	q.movesExhausted = e.Over && !q.moveToBackup
	r.endMove(q)
	r.counts.NotMoved++
	r.evacuate()
}

// A Broken answers with a move to where the stream's backup is, or with the word that
// there is none.
func (e Broken) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil || q.phase != phaseSent:
	case q.moveReservation.target != nil:
		// The move that is under way is the answer.
	case r.canRunAt(q.backup.target):
		q.target.failureRate.record(1, r.now)
		r.emitMove(q, q.backup.target, true)
	default:
		r.emit(Effect{Kind: EffectStay, ID: q.id, Target: q.target.spec.Name})
	}
}
