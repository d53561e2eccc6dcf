package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
)

// What a target says of itself in a response is later than what the list of targets says, and is all that there is
// for plain services while the list cannot be read. The load pattern is a plain service of a few targets, one of
// which leaves while the source is silent: a fraction of all calls would go on to it until it stops.

type (
	// LeavingRead reports that a target has said in a response that it leaves.
	LeavingRead struct{ Target string }

	// PeerLeavers are the targets that have said to another host that they leave.
	PeerLeavers struct{ Leavers []Leaver }

	// A Leaver is a process of a target that has said that it leaves.
	Leaver struct {
		Target    string
		StartTime time.Time
	}

	// process identifies one process of a target.
	process struct {
		target string
		start  int64 // milliseconds since the epoch, negative if unknown
	}
)

// leaverLife is the time after the last reminder for which a leaving process is recorded that is not listed. By then
// it has stopped.
const leaverLife = time.Minute

func processOf(name string, start time.Time) process { return process{name, start.UnixMilli()} }

// reduce records that the target leaves, passes it on to the other hosts and moves the target's streams.
func (e LeavingRead) reduce(r *Reducer) {
	if t := r.targets[e.Target]; t != nil {
		r.recordLeaver(Leaver{e.Target, t.spec.StartTime}, true)
	}
}

// reduce records another host's leaving targets.
func (e PeerLeavers) reduce(r *Reducer) {
	for _, l := range e.Leavers {
		r.recordLeaver(l, false)
	}
}

// recordLeaver records that a process leaves, which holds until it ends, even if the list of targets differs.
func (r *Reducer) recordLeaver(l Leaver, own bool) {
	key := processOf(l.Target, l.StartTime)
	_, known := r.leavers[key]
	r.leavers[key] = r.now
	if known {
		return
	}
	r.emit(Effect{Kind: EffectLeaver, Target: l.Target, Own: own})
	r.emit(Effect{Kind: EffectShareLeavers})
	t := r.targets[l.Target]
	if t == nil || processOf(l.Target, t.spec.StartTime) != key || t.leaving {
		return
	}
	t.setLeaving(true, r.now)
	if p := r.pools[poolName(t.spec)]; p != nil {
		r.assignLinkGroups(p)
		r.evacuate()
		r.dispatchHeld(p)
	}
}

// isLeaving reports whether a listed target leaves, by the list, by the platform's set of leaving targets or by its
// own responses.
func (r *Reducer) isLeaving(spec table.Target) bool {
	_, told := r.leavers[processOf(spec.Name, spec.StartTime)]
	return spec.Leaving || told || r.leavingTargets[spec.Name]
}

// expireLeavers drops the records of processes that have ended.
func (r *Reducer) expireLeavers() {
	for key, at := range r.leavers {
		if t := r.targets[key.target]; t != nil && processOf(key.target, t.spec.StartTime) == key {
			r.leavers[key] = r.now
		} else if r.now-at >= leaverLife {
			delete(r.leavers, key)
		}
	}
}

// Leavers returns the leaving targets that are listed, for this host's peers.
func (r *Reducer) Leavers() []Leaver {
	var out []Leaver
	for key := range r.leavers {
		if t := r.targets[key.target]; t != nil && processOf(key.target, t.spec.StartTime) == key {
			out = append(out, Leaver{key.target, t.spec.StartTime})
		}
	}
	slices.SortFunc(out, func(a, b Leaver) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
