package dispatch

import "time"

type (
	// FleetUnconfirmed reports the time since the list of targets was last confirmed.
	FleetUnconfirmed struct{ Age time.Duration }

	// LeavingReply is a target's reply to the query whether it is leaving.
	LeavingReply struct {
		Target  string
		Leaving bool
		Left    time.Duration // time until the target ends; 0 if the reply does not say
	}
)

const (
	// unconfirmedLimit is the age of the last confirmation from which a host queries the targets
	// itself. While the source of the list answers, it is confirmed every 0.25 s; after the
	// host that reads it for the others has failed, the next reader confirms it after 0.7 s.
	unconfirmedLimit = 800 * time.Millisecond

	// queryInterval is the time between two queries to one target. A query costs a quarter of
	// a lookup, and the shortest notice is 1.5 s.
	queryInterval = 400 * time.Millisecond
)

// reduce queries the targets that run streams of this host whether they are leaving. It is
// needed when engines are removed every few seconds while the list of targets cannot be read.
func (e FleetUnconfirmed) reduce(r *Reducer) {
	if !r.options.moves || e.Age < unconfirmedLimit {
		return
	}
	for _, p := range r.poolList {
		if p.plain || !r.table.Models[p.name].Engine.CanMove {
			continue
		}
		for _, t := range p.targets {
			if t.running > 0 && !t.leaving && (t.queriedAt == 0 || r.now-t.queriedAt >= queryInterval) {
				t.queriedAt = r.now
				r.emit(Effect{Kind: EffectQueryLeaving, Target: t.spec.Name, To: t.spec})
			}
		}
	}
}

// reduce marks the target as leaving and moves streams off it. A reply that it stays changes
// nothing.
func (e LeavingReply) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil || !e.Leaving || t.leaving {
		return
	}
	t.setLeaving(true, r.now)
	if e.Left > 0 {
		t.noticeAt = r.now + e.Left - minNotice
	}
	if p := r.pools[poolName(t.spec)]; p != nil {
		r.assignLinkGroups(p)
	}
	r.evacuate()
}
