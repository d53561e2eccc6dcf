package dispatch

import "time"

type (
	// Blind says for how long the list of targets has not been confirmed.
	Blind struct{ Age time.Duration }

	// Told is what a target says of itself when it is asked.
	Told struct {
		Target  string
		Leaving bool
		Left    time.Duration // until its end; 0 if it does not say
	}
)

const (
	// unconfirmedLimit is the age of the last confirmation from which a host asks for itself. A
	// host whose source answers is confirmed every 0.25 s, one whose reader has just gone
	// after 0.7 s by the next reader.
	unconfirmedLimit = 800 * time.Millisecond

	// queryInterval is how often a target is asked: a call costs as much as a quarter of a
	// lookup, and a notice lasts 1.5 s at least.
	queryInterval = 400 * time.Millisecond
)

// Blind asks the targets on which streams of this host run whether they are about to end. The
// load pattern that it answers: engines are taken away every few seconds while the list of
// targets cannot be read.
func (e Blind) reduce(r *Reducer) {
	if !r.options.moves || e.Age < unconfirmedLimit {
		return
	}
	for _, p := range r.poolList {
		if p.plain || !r.table.Models[p.name].Engine.Moves {
			continue
		}
		for _, t := range p.targets {
			if t.running > 0 && !t.leaving && (t.queriedAt == 0 || r.now-t.queriedAt >= queryInterval) {
				t.queriedAt = r.now
				r.emit(Effect{Kind: EffectAsk, Target: t.spec.Name, To: t.spec})
			}
		}
	}
}

func (e Told) reduce(r *Reducer) {
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
