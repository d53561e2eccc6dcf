package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

// reservation is memory that is kept on a target for a stream that runs elsewhere. The
// zero value keeps nothing.
type reservation struct {
	target *targetState
	demand forecast.Demand
}

const (
	// backupLeast is the expected run of a stream from which it is worth a backup: a
	// shorter one seldom meets the end of its engine.
	backupLeast = time.Second

	// backupAway is the part of an engine's memory that staying in the failure domain
	// is worth to a backup.
	backupAway = 0.3
)

// keep reserves memory for a demand. Reserved memory is no stream.
func (v *reservation) keep(t *targetState, d forecast.Demand) {
	v.free()
	d.Streams = 0
	v.target, v.demand = t, d
	t.kept.Add(&v.demand)
	t.changed()
}

func (v *reservation) free() {
	if v.target == nil {
		return
	}
	v.target.kept.Sub(&v.demand)
	v.target.changed()
	*v = reservation{}
}

// usable reports whether a stream may go on at a target.
func (r *Reducer) usable(t *targetState) bool {
	return t != nil && r.targets[t.spec.Name] == t && t.open(r.now, r.options.fresh)
}

// backUp chooses where the memory of a stream at a target is backed up as it grows, and
// keeps room there. The load pattern that it answers: engines that end without notice,
// or with too short a one for copies of all their streams to get through one link.
func (r *Reducer) backUp(q *request, v *reservation, at *targetState) {
	v.free()
	if !r.options.moves || q.plain || r.options.backups == 0 || !r.engineOf(q).Backups || r.expectedRun(q, at) < backupLeast {
		return
	}
	demand := q.forecastOf()
	var best *targetState
	lowest := 0.0
	for _, t := range q.pool.targets {
		if t == at || q.isAt(t) || !t.open(r.now, r.options.fresh) {
			continue
		}
		cost := t.demand(r.now).Peak(&demand, 0) / float64(max(t.spec.Memory, 1))
		if cost > r.options.backups {
			continue
		}
		cost += costIf(r.away(t), backupAway) + t.trouble.now(r.now)
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	if best != nil {
		v.keep(best, demand)
	}
}

// expectedRun returns how long a stream is expected to go on at a target.
func (r *Reducer) expectedRun(q *request, at *targetState) time.Duration {
	if q.phase == phaseSent && q.tokens > 0 {
		return r.restOf(q)
	}
	return time.Duration(q.expected * float64(at.pace.At(at.streams()+1)))
}
