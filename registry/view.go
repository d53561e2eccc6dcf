package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A View is what one host knows of what is published. It is a reducer over readings
	// and time: it has no clock, goroutine or socket, and is used by one goroutine at a
	// time. The zero value knows nothing.
	View struct {
		revision         uint64 // of the newest reading
		contentRevision  uint64 // at which something other than a sign of life last changed
		config           Sheet
		targets          map[string]table.Target
		retained         map[string]time.Time // missing targets that stay in use, and until when
		confirmedAt      time.Time            // when the source was last known to say so
		recoveredAt      time.Time            // when the source came back after an absence
		ignorePeersUntil time.Time            // until when peers are not believed
		failures         int                  // readings in a row that failed
		lastFailure      time.Time
		rank             int
	}

	// A Change is what a reading or the passing of time has changed.
	Change struct {
		Config   bool     // the configuration
		Targets  bool     // the targets in use
		Retained []string // targets that are missing and stay in use for now
		Stale    bool     // it was older than what is known, and ignored
	}

	// A Confirmation is a peer's word that the source still says what it said.
	Confirmation struct {
		Revision uint64
		Content  uint64        // revision at which the content last changed
		Age      time.Duration // since the source said so
	}
)

const (
	// ReadInterval is the time between two readings of the host that reads for all. It
	// decides how soon the end of a target is known, against the price of a call.
	ReadInterval = 250 * time.Millisecond

	// standbyReadAge is the age of the last confirmation at which another host reads for
	// itself: two readings and their way through the mesh were missed.
	standbyReadAge = 700 * time.Millisecond

	// readStagger is added for each host ahead in the order, so that one host steps in
	// and its reading reaches the others before they read too.
	readStagger = 100 * time.Millisecond

	// maxReadAge bounds the sum: a change must be known well within the two seconds
	// that it may take to be in force.
	maxReadAge = 1100 * time.Millisecond

	// outageAge is the age of the last confirmation from which the source counts as
	// having been away.
	outageAge = 1500 * time.Millisecond

	// recoveryGrace is how long after the source's return a missing target may still be
	// listed again: signs of life lapse while the source is away.
	recoveryGrace = 2200 * time.Millisecond

	// ignorePeersFor is how long after a pause of the process peers are not believed: what
	// waited in the sockets is as old as the pause.
	ignorePeersFor = 300 * time.Millisecond

	minBackoff = 100 * time.Millisecond // after a failed reading, doubled each time
	maxBackoff = 800 * time.Millisecond // a source that is back is noticed by then
)

// SetRank sets the host's place in the order in which hosts read.
func (v *View) SetRank(rank int) { v.rank = rank }

// Due returns when the host should read. The zero time means at once.
func (v *View) Due() time.Time {
	if v.confirmedAt.IsZero() && v.failures == 0 {
		return time.Time{}
	}
	due := v.confirmedAt.Add(v.readAge())
	if v.failures > 0 {
		backoff := min(minBackoff<<min(v.failures-1, 10), maxBackoff)
		due = later(due, v.lastFailure.Add(backoff))
	}
	return due
}

// readAge returns the age of the last confirmation at which the host reads.
func (v *View) readAge() time.Duration {
	if v.rank == 0 {
		return ReadInterval
	}
	return min(standbyReadAge+time.Duration(v.rank-1)*readStagger, maxReadAge)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Revision returns the newest revision known.
func (v *View) Revision() uint64 { return v.revision }

// Config returns the configuration.
func (v *View) Config() Sheet { return v.config }

// Age returns how long ago the source was last known to say what is known.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(v.confirmedAt)
}

// Known reports whether anything has been read at all.
func (v *View) Known() bool { return v.revision > 0 }

// Targets returns the targets in use, those that are missing for now included. The
// map is the caller's.
func (v *View) Targets() map[string]table.Target {
	out := make(map[string]table.Target, len(v.targets))
	maps.Copy(out, v.targets)
	for name := range v.retained {
		t := out[name]
		t.Missing = true
		out[name] = t
	}
	return out
}

// RecordFailure counts a reading that failed.
func (v *View) RecordFailure(now time.Time) {
	v.failures++
	v.lastFailure = now
}

// Failures returns how many readings in a row have failed.
func (v *View) Failures() int { return v.failures }

// ResetFreshness forgets how fresh things are after a pause of the process, and does not believe
// peers for a moment.
func (v *View) ResetFreshness(now time.Time) {
	v.confirmedAt = time.Time{}
	v.failures = 0
	v.ignorePeersUntil = now.Add(ignorePeersFor)
}

// ApplySourceUpdate takes in a reading of the source that was begun at a time.
func (v *View) ApplySourceUpdate(now, began time.Time, r Reading) Change {
	v.failures = 0
	return v.apply(now, began, r)
}

// ApplyPeerUpdate takes in a reading that a peer passes on. It reports false if something in
// between is missing, so that the whole must be asked for.
func (v *View) ApplyPeerUpdate(now time.Time, age time.Duration, r Reading) (Change, bool) {
	if now.Before(v.ignorePeersUntil) {
		return Change{Stale: true}, true
	}
	if !r.Whole && r.Base > v.revision {
		return Change{}, r.Revision <= v.revision
	}
	return v.apply(now, now.Add(-age), r), true
}

// Confirm takes in a peer's word. It reports false if the peer knows content that this
// host does not.
func (v *View) Confirm(now time.Time, c Confirmation) bool {
	switch {
	case now.Before(v.ignorePeersUntil) || c.Revision < v.revision:
		return true
	case c.Content > v.revision:
		return false
	}
	v.revision = c.Revision
	v.confirm(now, now.Add(-c.Age))
	return true
}

// Confirmation returns what this host can tell its peers.
func (v *View) Confirmation(now time.Time) Confirmation {
	return Confirmation{Revision: v.revision, Content: v.contentRevision, Age: v.Age(now)}
}

// Snapshot returns all that is known as a reading for a peer.
func (v *View) Snapshot() Reading {
	r := Reading{Whole: true, Revision: v.revision}
	if v.config.Revision > 0 {
		sheet := v.config
		r.Sheet = &sheet
	}
	for name, t := range v.targets {
		if _, missing := v.retained[name]; !missing {
			r.Targets = append(r.Targets, t)
		}
	}
	slices.SortFunc(r.Targets, func(a, b table.Target) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// confirm notes that the source was known to say this at a time.
func (v *View) confirm(now, at time.Time) {
	if v.revision > 0 && !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) > outageAge {
		v.recoveredAt = now
	}
	v.confirmedAt = later(v.confirmedAt, at)
}

func (v *View) apply(now, at time.Time, r Reading) Change {
	if r.Revision < v.revision {
		return Change{Stale: true}
	}
	v.confirm(now, at)
	var c Change
	if r.Sheet != nil && r.Sheet.Revision > v.config.Revision {
		v.config = *r.Sheet
		c.Config = true
	}
	removed := r.Removed
	if r.Whole {
		removed = v.missing(r.Targets)
	}
	for _, t := range r.Targets {
		c.Targets = v.upsert(t) || c.Targets
	}
	for _, name := range removed {
		c.Targets = v.remove(now, name, &c) || c.Targets
	}
	v.revision = r.Revision
	if c.Config || c.Targets || len(c.Retained) > 0 {
		v.contentRevision = r.Revision
	}
	return c
}

// missing returns the known targets that a whole reading does not list.
func (v *View) missing(listed []table.Target) []string {
	there := make(map[string]bool, len(listed))
	for _, t := range listed {
		there[t.Name] = true
	}
	var out []string
	for name := range v.targets {
		if !there[name] {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (v *View) upsert(t table.Target) bool {
	delete(v.retained, t.Name)
	if old, ok := v.targets[t.Name]; ok && old == t {
		return false
	}
	if v.targets == nil {
		v.targets = map[string]table.Target{}
	}
	v.targets[t.Name] = t
	return true
}

// remove takes a target out, or keeps it for a while if the source has just come back.
func (v *View) remove(now time.Time, name string, c *Change) bool {
	if _, ok := v.targets[name]; !ok {
		return false
	}
	until := v.recoveredAt.Add(recoveryGrace)
	if v.recoveredAt.IsZero() || !now.Before(until) {
		delete(v.targets, name)
		delete(v.retained, name)
		return true
	}
	if _, already := v.retained[name]; !already {
		if v.retained == nil {
			v.retained = map[string]time.Time{}
		}
		v.retained[name] = until
		c.Retained = append(c.Retained, name)
	}
	return false
}

// Expire drops the targets that were kept for long enough.
func (v *View) Expire(now time.Time) Change {
	var c Change
	for name, until := range v.retained {
		if !now.Before(until) {
			delete(v.retained, name)
			delete(v.targets, name)
			c.Targets = true
		}
	}
	return c
}
