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
	// noticeLeast is how long a target goes on after the host has heard that it ends: the
	// shortest notice is 1.5 s, and it is heard of up to 0.25 s late.
	noticeLeast = 1200 * time.Millisecond

	// endInPlace is the part of the notice left within which a run's expected end must
	// lie for the run to stay: expected ends are rough.
	endInPlace = 0.35

	// moveTries bounds the targets to which one run is tried to be moved from one place.
	moveTries = 3

	// movesAtOnce bounds the moves that a host has under way from one target. Copies
	// share the target's link, and a stopped run waits for those ahead of it.
	movesAtOnce = 1

	// switchTime is kept of the notice for a last copy and the start elsewhere.
	switchTime = 200 * time.Millisecond

	// moveWidth is how many seconds of cost a move's place may be above the best: hosts
	// that move at the same time do not know of each other, and spread that way.
	moveWidth = 0.5

	// moveEvery is how often runs that found no room elsewhere are looked at again.
	moveEvery = 20 * time.Millisecond
)

// evacuate moves running streams off the targets that are about to end. The load pattern
// that it answers: a part of the engines is taken away every few seconds with a notice of
// one or two, while a stream runs for several times as long.
func (r *Reducer) evacuate() {
	if !r.options.moves {
		return
	}
	candidates := r.endangered()
	for _, q := range candidates {
		r.moveOff(q)
	}
	if len(candidates) > 0 {
		r.wakeBy(r.now + moveEvery)
	}
}

// moveOff asks for a stream's move off its target: to where its backup is, which takes no
// copy and no turn, or else to the best place with room.
func (r *Reducer) moveOff(q *request) {
	if t := q.backup.target; r.usable(t) {
		r.move(q, t, true)
		return
	}
	if q.target.movesOut >= movesAtOnce || !r.engineOf(q).Moves {
		return
	}
	if t := r.chooseWithin(q, 0, moveWidth); t != nil {
		r.move(q, t, false)
	}
}

func (r *Reducer) engineOf(q *request) table.Engine { return r.table.Models[q.pool.name].Engine }

// endangered returns the streams that should leave their targets, the ones with the
// longest expected rest first: they are the surest to be lost, and the most work.
func (r *Reducer) endangered() []*request {
	var out []*request
	for _, q := range r.requests {
		if r.shouldMove(q) {
			q.rest = r.restOf(q)
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(a.id, b.id))
	})
	return out
}

func (r *Reducer) shouldMove(q *request) bool {
	return q.phase == phaseSent && !q.plain && q.target.leaving && q.tokens > 0 &&
		q.moving.target == nil && q.moveTries < moveTries && !q.settled && q.gone == 0 &&
		r.restOf(q) >= time.Duration(endInPlace*float64(q.target.leavingAt+noticeLeast-r.now))
}

// restOf returns the expected time until the end of a running stream.
func (r *Reducer) restOf(q *request) time.Duration {
	most := mostExpected
	if q.limit > 0 {
		most = max(float64(q.limit-q.tokens), 0)
	}
	rest := float64(q.output - q.tokens)
	if q.output == 0 {
		rest = q.curve.Mean(float64(q.tokens), most)
	}
	each := q.interval
	if each == 0 {
		each = q.target.pace.At(q.target.streams())
	}
	return time.Duration(max(rest, 0) * float64(each))
}

// move asks for a move and keeps room for the stream where it goes. ready says that the
// memory is there already.
func (r *Reducer) move(q *request, t *targetState, ready bool) {
	q.moveTries++
	q.moving.keep(t, q.forecastOf())
	q.ready = ready
	r.backUp(q, &q.next, t)
	if !ready {
		q.target.movesOut++
	}
	basis := r.basisOf(q)
	basis.Attempt = q.moveTries
	basis.Streams, basis.Away = t.demand(r.now).Streams, r.away(t)
	e := Effect{
		Kind: EffectMove, ID: q.id, Target: q.target.spec.Name, To: t.spec, Ready: ready,
		Priority: r.priority(q), Basis: basis,
		At: r.epoch.Add(q.target.leavingAt + noticeLeast - switchTime),
	}
	if q.next.target != nil {
		e.Backup = q.next.target.spec
	}
	r.emit(e)
}

// unmove ends a move without a change of place.
func (r *Reducer) unmove(q *request) {
	if q.moving.target == nil {
		return
	}
	if q.target != nil && !q.ready {
		q.target.movesOut--
	}
	q.moving.free()
	q.next.free()
}

func (e Moved) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent || q.moving.target == nil {
		return
	}
	from, to, next := q.target, q.moving.target, q.next
	q.next = reservation{}
	r.unmove(q)
	q.backup.free()
	q.backup = next
	from.own.Sub(&q.demand)
	from.running--
	if from.running == 0 {
		from.own = forecast.Demand{}
	}
	from.unfilled -= q.unfilled
	from.changed()
	q.unfilled = 0
	q.target, q.demand = to, forecast.Demand{}
	to.running++
	r.updateDemand(q)
	q.last, q.moveTries = r.now, 0
	r.counts.Moved++
	r.evacuate()
}

func (e NotMoved) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent || q.moving.target == nil {
		return
	}
	q.tried = append(q.tried, q.moving.target)
	if q.ready {
		q.backup.free()
	}
	q.settled = e.Over && !q.ready
	r.unmove(q)
	r.counts.NotMoved++
	r.evacuate()
}

// A Broken answers with a move to where the stream's backup is, or with the word that
// there is none.
func (e Broken) reduce(r *Reducer) {
	q := r.requests[e.ID]
	switch {
	case q == nil || q.phase != phaseSent:
	case q.moving.target != nil:
		// The move that is under way is the answer.
	case r.usable(q.backup.target):
		q.target.trouble.add(1, r.now)
		r.move(q, q.backup.target, true)
	default:
		r.emit(Effect{Kind: EffectStay, ID: q.id, Target: q.target.spec.Name})
	}
}
