package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// An operator may request that a failure domain be evacuated, for example before work on its machines. Its targets go on
// running: they get nothing new, and streams that run long move off. The load pattern is a domain that is to be empty
// within seconds while requests arrive at full rate and hosts, coordinators or the source of the request fail.

type (
	// Evacuations replaces the set of failure domains that are to be evacuated.
	Evacuations struct{ Domains []string }

	// Withdrawal is another host's record that the evacuation of a failure domain was withdrawn Age ago. To a host that has
	// started since then, Evacuations does not show it.
	Withdrawal struct {
		Domain string
		Age    time.Duration
	}

	// evacuation is what a host records about a failure domain that is to be evacuated.
	evacuation struct {
		since      time.Duration // time when this host received the request
		empty      bool          // no request is known to run at the domain's targets
		emptySince time.Duration // valid if empty is set
	}

	// A DomainRow is the state of one failure domain for operators.
	DomainRow struct {
		Domain    string        `json:"domain"`
		Evacuated bool          `json:"evacuated"`          // whether its evacuation is requested
		For       time.Duration `json:"evacuated_for"`      // time since this host received the request; 0 if there is none
		Targets   int           `json:"targets"`            // listed targets
		Running   int           `json:"running"`            // requests that this host has in flight there, as coordinator those of the domain's other hosts, too
		Streams   float64       `json:"streams"`            // requests there that this host or its peers report
		Empty     bool          `json:"empty"`              // whether an evacuated domain has none
		EmptyFor  time.Duration `json:"empty_for"`          // time since then
		InForce   int           `json:"in_force,omitempty"` // hosts, this one included, at which the evacuation is in force; set by the host
		Hosts     int           `json:"hosts,omitempty"`    // hosts from which this one receives heartbeats, and itself; set by the host
	}
)

const (
	// evacuationMinRun is the expected remaining time of a stream below which it stays at a target of an
	// evacuated domain: a move takes about as long.
	evacuationMinRun = time.Second

	// evacuationMoveDelay is the time from the receipt of an evacuation until the first move. By then the hosts that carry
	// the streams have received it, too, and do not take the target for one that is about to end.
	evacuationMoveDelay = 300 * time.Millisecond

	// evacuationRetry is the time between two searches for destinations of a target's streams after
	// maxFailedChoices of them had none. The targets do not end, so that there is no hurry.
	evacuationRetry  = 200 * time.Millisecond
	maxFailedChoices = 4

	// sameWithdrawal is the difference below which two times of a domain's withdrawal are those of one at two hosts.
	sameWithdrawal = time.Second
)

// reduce puts the set into effect: from now on the domains' targets get nothing new. Held requests that
// have no target left are refused at once.
func (e Evacuations) reduce(r *Reducer) {
	before := r.evacuations
	r.evacuations = make(map[string]*evacuation, len(e.Domains))
	for _, domain := range e.Domains {
		if v := before[domain]; v != nil {
			r.evacuations[domain] = v
			continue
		}
		r.evacuations[domain] = &evacuation{since: r.now}
		delete(r.withdrawals, domain)
		r.emit(Effect{Kind: EffectEvacuated, Domain: domain})
	}
	for _, domain := range slices.Sorted(maps.Keys(before)) {
		if r.evacuations[domain] == nil {
			r.recordWithdrawal(domain, r.now)
		}
	}
	for _, targets := range []map[string]*targetState{r.targets, r.retired} {
		for _, t := range targets {
			t.evacuated = r.isEvacuated(t.spec.Domain)
		}
	}
	r.checkEmptied()
	r.expireHeld()
	r.evacuate()
	r.dispatchAllHeld()
}

// reduce records the withdrawal, unless it is recorded already.
func (e Withdrawal) reduce(r *Reducer) {
	at := r.now - e.Age
	if known, ok := r.withdrawals[e.Domain]; !r.isEvacuated(e.Domain) && (!ok || at-known >= sameWithdrawal) {
		r.recordWithdrawal(e.Domain, at)
	}
}

// isEvacuated reports whether a failure domain is to be evacuated.
func (r *Reducer) isEvacuated(domain string) bool { return r.evacuations[domain] != nil }

// allEvacuated reports whether a pool has targets, and all of them are in evacuated domains.
func (p *pool) allEvacuated() bool {
	return len(p.targets) > 0 && !slices.ContainsFunc(p.targets, func(t *targetState) bool { return !t.evacuated })
}

// isLeavingOrEvacuated reports whether the target is to get nothing new until further notice, in contrast to pauses
// after which it accepts work again.
func (t *targetState) isLeavingOrEvacuated() bool { return t.leaving || t.load.Leaving || t.evacuated }

// shouldEvacuate reports whether a stream at a target of an evacuated domain, which does not end, should move now.
func (r *Reducer) shouldEvacuate(q *request) bool {
	v := r.evacuations[q.target.spec.Domain]
	return v != nil && r.now-v.since >= evacuationMoveDelay && r.now >= q.target.movesPausedUntil && r.remainingTime(q) >= evacuationMinRun
}

// recordNoDestination records that a stream at the target should move and has no destination. After
// maxFailedChoices in a row the target's streams wait for evacuationRetry, unless the target is about to end.
func (t *targetState) recordNoDestination(now time.Duration) {
	if t.leaving {
		return
	}
	if t.failedChoices++; t.failedChoices >= maxFailedChoices {
		t.failedChoices, t.movesPausedUntil = 0, now+evacuationRetry
	}
}

// switchDeadline returns the latest time at which a moving stream is stopped at its target, even if the links are
// busy: before the target ends or, if it does not, when the stream is expected to end.
func (r *Reducer) switchDeadline(q *request) time.Duration {
	if !q.target.leaving && q.target.evacuated {
		return r.now + max(r.remainingTime(q), evacuationMinRun)
	}
	return q.target.leavingNoticeAt + minLeavingNotice - switchoverTime
}

// checkEmptied records and emits which evacuated domains no request is known to run in any more.
func (r *Reducer) checkEmptied() {
	if len(r.evacuations) == 0 {
		return
	}
	streams := map[string]float64{}
	for _, row := range r.Domains() {
		streams[row.Domain] = row.Streams
	}
	for _, domain := range slices.Sorted(maps.Keys(r.evacuations)) {
		v := r.evacuations[domain]
		// Peers report fractions of streams that have ended.
		empty := math.Round(streams[domain]) == 0
		if empty && !v.empty {
			v.emptySince = r.now
			r.emit(Effect{Kind: EffectEmptied, Domain: domain})
		}
		v.empty = empty
	}
}

// Domains returns a row for each failure domain that has targets or is to be evacuated, sorted by name.
func (r *Reducer) Domains() []DomainRow {
	rows := map[string]*DomainRow{}
	row := func(domain string) *DomainRow {
		if rows[domain] == nil {
			rows[domain] = &DomainRow{Domain: domain}
		}
		return rows[domain]
	}
	for _, targets := range []map[string]*targetState{r.targets, r.retired} {
		for _, t := range targets {
			d := row(t.spec.Domain)
			d.Targets++
			d.Running += t.running
			d.Streams += t.reportedStreams()
		}
	}
	for domain, v := range r.evacuations {
		d := row(domain)
		d.Evacuated, d.For = true, r.now-v.since
		if v.empty {
			d.Empty, d.EmptyFor = true, r.now-v.emptySince
		}
	}
	out := make([]DomainRow, 0, len(rows))
	for _, domain := range slices.Sorted(maps.Keys(rows)) {
		out = append(out, *rows[domain])
	}
	return out
}
