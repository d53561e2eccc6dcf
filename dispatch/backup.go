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
	// minBackupRun is the expected run of a stream from which it is worth a backup: a
	// shorter one seldom meets the end of its engine.
	minBackupRun = time.Second

	// backupOtherDomainCost is the part of an engine's memory that staying in the failure domain
	// is worth to a backup.
	backupOtherDomainCost = 0.3
)

// reserve reserves memory for a demand. Reserved memory is no stream.
func (v *reservation) reserve(t *targetState, d forecast.Demand) {
	v.release()
	d.Streams = 0
	v.target, v.demand = t, d
	t.reserved.Add(&v.demand)
	t.invalidateTotal()
}

func (v *reservation) release() {
	if v.target == nil {
		return
	}
	v.target.reserved.Sub(&v.demand)
	v.target.invalidateTotal()
	*v = reservation{}
}

// canRunAt reports whether a stream may go on at a target.
func (r *Reducer) canRunAt(t *targetState) bool {
	return t != nil && r.targets[t.spec.Name] == t && t.acceptsWork(r.now, r.options.maxLoadAge)
}

// chooseBackup chooses where the memory of a stream at a target is backed up as it grows, and
// keeps room there. The load pattern that it answers: engines that end without notice,
// or with too short a one for copies of all their streams to get through one link.
func (r *Reducer) chooseBackup(q *request, v *reservation, at *targetState) {
	v.release()
	if !r.options.moves || q.plain || r.options.backupFraction == 0 || !r.engineOf(q).Backups || r.expectedRunTime(q, at) < minBackupRun {
		return
	}
	demand := q.forecastDemand()
	var best *targetState
	lowest := 0.0
	for _, t := range q.pool.targets {
		if t == at || q.runsAt(t) || !t.acceptsWork(r.now, r.options.maxLoadAge) {
			continue
		}
		cost := t.totalDemand(r.now).Peak(&demand, 0) / float64(max(t.spec.Memory, 1))
		if cost > r.options.backupFraction {
			continue
		}
		cost += costIf(r.inOtherDomain(t), backupOtherDomainCost) + t.failureRate.decayed(r.now)
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	if best != nil {
		v.reserve(best, demand)
	}
}

// expectedRunTime returns how long a stream is expected to go on at a target.
func (r *Reducer) expectedRunTime(q *request, at *targetState) time.Duration {
	if q.phase == phaseSent && q.tokens > 0 {
		return r.remainingTime(q)
	}
	return time.Duration(q.expectedOutput * float64(at.tokenInterval.At(at.reportedStreams()+1)))
}
