package dispatch

import "time"

type (
	// FleetUnconfirmed reports that the store has not confirmed the list of targets recently.
	FleetUnconfirmed struct{ Age time.Duration } // time since the last confirmation

	// LeavingReply is a target's reply to the query of an EffectQueryLeaving.
	LeavingReply struct {
		Target    string
		Leaving   bool
		Remaining time.Duration // remaining time until the target ends; 0 if unknown
	}
)

const (
	// unconfirmedLimit is the age of the last confirmation of the list of targets from which a
	// host queries the targets itself. While the store of the list answers, the list is confirmed
	// every 0.25 s. If the host fails that reads it for the others, another host takes over and
	// confirms it after 0.7 s.
	unconfirmedLimit = 800 * time.Millisecond

	// queryInterval is the time between two queries to one target. A query costs a quarter of
	// a lookup, and targets are announced as leaving at least 1.5 s before they end.
	queryInterval = 400 * time.Millisecond
)

// reduce emits EffectQueryLeaving for the engines that run streams of this host, if the list of
// targets was not confirmed for unconfirmedLimit, except those in evacuated domains. It is needed when engines are removed every few
// seconds while the list of targets cannot be read.
func (e FleetUnconfirmed) reduce(r *Reducer) {
	if !r.options.moves || e.Age < unconfirmedLimit {
		return
	}
	for _, p := range r.poolList {
		if p.plain || !r.table.Models[p.name].Engine.CanMove {
			continue
		}
		for _, t := range p.targets {
			if t.running > 0 && !t.leaving && !t.evacuated && (t.queriedAt == 0 || r.now-t.queriedAt >= queryInterval) {
				t.queriedAt = r.now
				r.emit(Effect{Kind: EffectQueryLeaving, Target: t.spec.Name, To: t.spec})
			}
		}
	}
}

// reduce marks the target as leaving and moves streams off it. A reply that the target is not
// leaving changes nothing.
func (e LeavingReply) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil || !e.Leaving || t.leaving {
		return
	}
	r.recordLeaver(Leaver{e.Target, t.spec.StartTime}, true)
	if e.Remaining > 0 {
		t.leavingNoticeAt = r.now + e.Remaining - minLeavingNotice
	}
	r.evacuate()
}
