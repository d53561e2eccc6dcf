package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

type (
	// Moved says that a running stream goes on at the target that a move named.
	Moved struct{ ID ID }

	// NotMoved says that a move has failed. The stream goes on where it was, or a Failed
	// follows.
	NotMoved struct {
		ID   ID
		Over bool // no further move can help: the run has ended, or its target is gone
	}
)

const (
	// moveLeast is the expected rest of a run below which it is left to end in place: a
	// move takes about as long.
	moveLeast = 400 * time.Millisecond

	// moveTries bounds the targets to which one run is tried to be moved from one place.
	moveTries = 3

	// movesAtOnce bounds the moves that a host has under way from one target. Copies
	// share the target's link, and a stopped run waits for those ahead of it.
	movesAtOnce = 1

	// moveEvery is how often runs that found no room elsewhere are looked at again.
	moveEvery = 50 * time.Millisecond
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
		if q.target.movesOut >= movesAtOnce {
			continue
		}
		t := r.choose(q, 0)
		if t == nil {
			continue
		}
		r.move(q, t)
	}
	if len(candidates) > 0 {
		r.wakeBy(r.now + moveEvery)
	}
}

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
		if a.rest != b.rest {
			return int(b.rest - a.rest)
		}
		return int(a.id) - int(b.id)
	})
	return out
}

func (r *Reducer) shouldMove(q *request) bool {
	return q.phase == phaseSent && !q.plain && q.target.leaving && q.tokens > 0 &&
		q.moving == nil && q.moveTries < moveTries && !q.settled && q.gone == 0 &&
		r.restOf(q) >= moveLeast
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

// move asks for a move and keeps room for the stream where it goes.
func (r *Reducer) move(q *request, t *targetState) {
	q.moving, q.moveTries = t, q.moveTries+1
	q.reserved = q.forecastOf()
	t.own.Add(&q.reserved)
	t.changed()
	q.target.movesOut++
	basis := r.basis
	basis.Held, basis.Attempt = r.now-q.arrived, q.moveTries
	basis.Streams, basis.Away = t.demand(r.now).Streams, r.away(t)
	r.emit(Effect{Kind: EffectMove, ID: q.id, Target: q.target.spec.Name, To: t.spec, Priority: r.priority(q), Basis: basis})
}

// unmove ends a move without a change of place.
func (r *Reducer) unmove(q *request) {
	if q.moving == nil {
		return
	}
	q.moving.own.Sub(&q.reserved)
	q.moving.changed()
	if q.target != nil {
		q.target.movesOut--
	}
	q.moving, q.reserved = nil, forecast.Demand{}
}

func (e Moved) reduce(r *Reducer) {
	q := r.requests[e.ID]
	if q == nil || q.phase != phaseSent || q.moving == nil {
		return
	}
	from, to := q.target, q.moving
	r.unmove(q)
	from.own.Sub(&q.demand)
	from.running--
	if from.running == 0 {
		from.own = forecast.Demand{}
	}
	from.changed()
	from.unfilled -= q.unfilled
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
	if q == nil || q.phase != phaseSent || q.moving == nil {
		return
	}
	q.tried = append(q.tried, q.moving)
	q.settled = e.Over
	r.unmove(q)
	r.counts.NotMoved++
	r.evacuate()
}
