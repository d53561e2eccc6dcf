package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

// reservation is memory reserved on a target for a stream that runs on another one. The
// zero value reserves nothing.
type reservation struct {
	target *targetState
	demand forecast.Demand
}

const (
	// minBackupRun is the shortest expected run time of a stream that gets a backup. The engine of
	// a shorter stream rarely ends before the stream does.
	minBackupRun = time.Second

	// backupOtherDomainCost is the additional cost of a backup in another failure domain, as a
	// fraction of the engine's memory.
	backupOtherDomainCost = 0.3
)

// reserve replaces the reservation by one of the memory of d on t. A reservation counts no streams.
func (v *reservation) reserve(t *targetState, d forecast.Demand) {
	v.release()
	d.Streams = 0
	v.target, v.demand = t, d
	t.reserved.Add(&v.demand)
	t.invalidateTotalDemand()
}

// release ends the reservation, if any.
func (v *reservation) release() {
	if v.target == nil {
		return
	}
	v.target.reserved.Sub(&v.demand)
	v.target.invalidateTotalDemand()
	*v = reservation{}
}

// canRunAt reports whether a stream may continue at a target: the target is listed and accepts
// new work.
func (r *Reducer) canRunAt(t *targetState) bool {
	return t != nil && r.targets[t.spec.Name] == t && t.acceptsWork(r.now, r.options.maxLoadAge)
}

// chooseBackup chooses a backup for a stream that is to run at the target at: the target to which
// the stream's memory is copied while it runs. It reserves memory there in v. If the engine ends
// without announcement, or announces it too late to copy all its streams over its link, the stream
// continues at the backup. No backup is chosen if backups are disabled, the stream is expected to
// run for less than minBackupRun, or no target has memory for it.
func (r *Reducer) chooseBackup(q *request, v *reservation, at *targetState) {
	v.release()
	if !r.options.moves || q.plain || r.options.backupFraction == 0 || !r.engineOf(q).CanBackUp || r.expectedRunTime(q, at) < minBackupRun {
		return
	}
	demand := q.forecastDemand()
	var best *targetState
	lowest := 0.0
	for _, t := range q.pool.targets {
		if t == at || t.isLimited() || q.runsAt(t) || !t.acceptsWork(r.now, r.options.maxLoadAge) {
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

// expectedRunTime returns the expected time until the end of a stream that runs, or is about to
// run, at a target.
func (r *Reducer) expectedRunTime(q *request, at *targetState) time.Duration {
	if q.phase == phaseDispatched && q.tokens > 0 {
		return r.remainingTime(q)
	}
	return time.Duration(q.expectedOutput * float64(at.tokenInterval.At(at.reportedStreams()+1)))
}
