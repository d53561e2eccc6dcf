package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// Probed is the result of the probe of an EffectProbe.
	Probed struct {
		Target string
		Gone   bool // no process listens at the target's address
	}

	// Suspects are the records of suspected requests and prompt parts that another host has sent.
	Suspects struct{ Records []quarantine.Record }

	// possibleCrash is a target that has ended connections before the answers had got past their
	// beginnings.
	possibleCrash struct {
		at    time.Duration
		spec  table.Target
		parts partSet // of the requests

		waiting []ID // requests whose next attempt waits for the probe
	}

	// partSet is a set of parts in the order in which they were added. The zero value is empty.
	partSet struct {
		list  []quarantine.Part
		known map[quarantine.Part]struct{}
	}
)

const (
	// beginningTokens is the number of tokens up to which an answer is at its beginning. It allows for
	// events of several tokens.
	beginningTokens = 8

	// probeExpiry is the time after which the result of a probe is no longer expected.
	probeExpiry = 5 * time.Second

	// maxSuspectedEffects is the number of EffectSuspected for one crash. Each is a line of the log, and the crash of an engine with
	// many streams makes thousands of parts suspected.
	maxSuspectedEffects = 64

	// probeWait bounds the time for which the next attempt of a request waits for a probe.
	probeWait = 500 * time.Millisecond
)

// clock returns the time of the current event.
func (r *Reducer) clock() time.Time { return r.epoch.Add(r.now) }

// quarantineLeft returns the time for which requests with the given parts are to be refused; 0 means
// that they are not.
func (r *Reducer) quarantineLeft(parts []quarantine.Part) time.Duration {
	_, left := r.quarantine.Find(r.clock(), parts)
	return left
}

// quarantineKind returns the kind of the refusal of a request of which one of the given parts is
// quarantined.
func (r *Reducer) quarantineKind(parts []quarantine.Part) answer.Kind {
	if p, _ := r.quarantine.Find(r.clock(), parts); p.IsRequest() {
		return answer.KindRequestQuarantined
	}
	return answer.KindQuarantined
}

// mayCrashTargets reports whether q, whose attempt has broken off, may have crashed its target as that
// began to answer it.
func (q *request) mayCrashTargets() bool { return !q.answered && len(q.parts) > 0 }

// recordPossibleCrash emits a probe of the target of a failed attempt if the target may have crashed as
// it began to answer the request. Targets that are leaving end anyway,
// and those in evacuated domains get no probes.
func (r *Reducer) recordPossibleCrash(q *request, e AttemptFailed) {
	t := q.target
	if e.Tokens > beginningTokens || e.Answered && e.Certainty != target.CertaintyNotRun {
		r.recordAnswered(q)
	}
	if !e.Ended || !q.mayCrashTargets() || t.leaving || t.evacuated {
		return
	}
	c, pending := r.possibleCrashes[t.spec.Name]
	if !pending {
		c = &possibleCrash{at: r.now, spec: t.spec}
		r.possibleCrashes[t.spec.Name] = c
		r.emit(Effect{Kind: EffectProbe, Target: t.spec.Name, To: t.spec})
	}
	c.parts.add(q.parts)
}

// add adds the parts that the set does not contain. Its cost grows with the number of parts added, not with the size of the set.
func (s *partSet) add(parts []quarantine.Part) {
	if s.known == nil {
		s.known = make(map[quarantine.Part]struct{}, len(parts))
	}
	for _, p := range parts {
		if _, known := s.known[p]; !known {
			s.known[p] = struct{}{}
			s.list = append(s.list, p)
		}
	}
}

// awaitProbe delays the next attempt of a request, after the failed attempt e at t, until the probe of t
// has returned: if the request has crashed t, it would crash the next target, too.
func (r *Reducer) awaitProbe(q *request, t *targetState, e AttemptFailed) {
	c, pending := r.possibleCrashes[t.spec.Name]
	if !e.Ended || !pending {
		return
	}
	q.notBefore = r.now + probeWait
	r.wakeBy(q.notBefore)
	c.waiting = append(c.waiting, q.id)
}

// reduce records the crash, if the target's process has ended, and lets the requests go on that wait for the
// probe.
func (e Probed) reduce(r *Reducer) {
	c, ok := r.possibleCrashes[e.Target]
	delete(r.possibleCrashes, e.Target)
	if !ok {
		return
	}
	if e.Gone {
		r.recordCrash(e.Target, c)
	}
	for _, id := range c.waiting {
		if q := r.requests[id]; q != nil && q.phase == phaseHeld {
			q.notBefore = r.now
		}
	}
	if p := r.pools[poolName(c.spec)]; p != nil {
		r.dispatchHeld(p)
	}
}

// recordCrash records the crash of a target under the parts of the requests that it was beginning to
// answer.
func (r *Reducer) recordCrash(name string, c *possibleCrash) {
	r.emitSuspected(name, c.parts.list)
	incarnation := mixBits(uint64(table.HashName(name)) ^ uint64(c.spec.StartTime.UnixMilli()))
	r.startQuarantine(r.quarantine.Crashed(r.epoch.Add(c.at), incarnation, c.parts.list))
	r.emit(Effect{Kind: EffectShareSuspects})
}

// emitSuspected emits EffectSuspected for the first of the parts, whole requests before sections of prompts.
func (r *Reducer) emitSuspected(name string, parts []quarantine.Part) {
	left := maxSuspectedEffects
	for _, requests := range []bool{true, false} {
		for _, p := range parts {
			if left == 0 {
				return
			}
			if p.IsRequest() == requests {
				r.emit(Effect{Kind: EffectSuspected, Target: name, Part: p})
				left--
			}
		}
	}
}

// reduce adds the records of another host, and passes on those that changed anything.
func (e Suspects) reduce(r *Reducer) {
	changed, quarantined := r.quarantine.Merge(r.clock(), e.Records)
	r.startQuarantine(quarantined)
	if changed {
		r.emit(Effect{Kind: EffectShareSuspects})
	}
}

// recordAnswered records that the answer to q has got past its beginning, unless it is recorded already.
func (r *Reducer) recordAnswered(q *request) {
	if q.answered || len(q.parts) == 0 {
		return
	}
	q.answered = true
	cleared := r.quarantine.Answered(r.clock(), q.parts)
	for _, p := range cleared {
		r.emit(Effect{Kind: EffectCleared, Part: p, Target: q.target.spec.Name})
	}
	if len(cleared) > 0 {
		r.emit(Effect{Kind: EffectShareSuspects})
	}
}

// startQuarantine refuses the held requests with parts that are quarantined from now on.
func (r *Reducer) startQuarantine(parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}
	for _, p := range parts {
		r.emit(Effect{Kind: EffectQuarantined, Part: p})
	}
	for _, p := range r.poolList {
		for _, queue := range p.queues {
			for _, q := range slices.Clone(queue.held) {
				if left := r.quarantineLeft(q.parts); left > 0 {
					r.dequeue(q)
					r.refuse(q, r.quarantineKind(q.parts), left)
				}
			}
		}
	}
}

// expireProbes drops possible crashes whose probe did not return.
func (r *Reducer) expireProbes() {
	for name, c := range r.possibleCrashes {
		if r.now-c.at > probeExpiry {
			delete(r.possibleCrashes, name)
		}
	}
}

// SuspectRecords returns the records of suspected requests and prompt parts for this host's peers.
func (r *Reducer) SuspectRecords(at time.Time) []quarantine.Record { return r.quarantine.Records(at) }
