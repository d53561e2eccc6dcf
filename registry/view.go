package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A View is one host's copy of the published state. It is a reducer over updates and
	// explicit times, without a clock, goroutine or socket. It is not safe for concurrent
	// use. The zero value is empty.
	View struct {
		revision         uint64 // revision of the newest update
		contentRevision  uint64 // revision of the last change other than a lease renewal
		config           Config
		targets          map[string]table.Target
		retained         map[string]time.Time // expiry of each unlisted target that is still in use
		confirmedAt      time.Time            // when the source last confirmed this state
		recoveredAt      time.Time            // when the source was last back after an outage
		ignorePeersUntil time.Time            // until then, data from peers is ignored
		failures         int                  // consecutive failed reads
		lastFailure      time.Time
		rank             int // position in the order in which hosts read
	}

	// A Change describes the effect of an update or of the passing of time on a View.
	Change struct {
		Config   bool     // the configuration changed
		Targets  bool     // the targets in use changed
		Retained []string // targets no longer listed but kept in use until their expiry
		Stale    bool     // the update was older than the view, or from a peer that is ignored
	}

	// A Confirmation is a peer's statement that the source's content is unchanged.
	Confirmation struct {
		Revision        uint64
		ContentRevision uint64        // revision at which the content last changed
		Age             time.Duration // since the source last confirmed it
	}
)

const (
	// ReadInterval is the time between two reads of the host with rank 0. A shorter
	// interval detects the loss of a target sooner and costs more requests.
	ReadInterval = 250 * time.Millisecond

	// standbyReadAge is the age of the last confirmation at which the host with rank 1
	// reads the source. By then two reads of the host with rank 0, and their delivery
	// through the mesh, have been missed.
	standbyReadAge = 700 * time.Millisecond

	// readStagger is added for each further rank, so that the update of the first host
	// that reads reaches the others before they read, too.
	readStagger = 100 * time.Millisecond

	// maxReadAge limits the staggered age: a change must be received well within the two
	// seconds allowed until it takes effect.
	maxReadAge = 1100 * time.Millisecond

	// outageAge is the age of the last confirmation above which the source is taken to
	// have been unavailable.
	outageAge = 1500 * time.Millisecond

	// recoveryGrace is how long a target that is missing after an outage of the source
	// is kept in use. Leases expire during the outage, and live targets are listed again
	// once they renew them.
	recoveryGrace = 2200 * time.Millisecond

	// ignorePeersFor is how long data from peers is ignored after a pause of the process:
	// data buffered in the sockets is as old as the pause.
	ignorePeersFor = 300 * time.Millisecond

	minBackoff = 100 * time.Millisecond // after the first failed read; doubles with each further one
	maxBackoff = 800 * time.Millisecond // longest delay until a recovered source is read again
)

// SetRank sets the host's position, from 0, in the order in which hosts read the source.
func (v *View) SetRank(rank int) { v.rank = rank }

// Due returns when the host should read the source next. The zero time means immediately.
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

// readAge returns the age of the last confirmation at which this host reads the source.
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

// Revision returns the newest revision applied.
func (v *View) Revision() uint64 { return v.revision }

// Config returns the newest configuration.
func (v *View) Config() Config { return v.config }

// Age returns the time since the source last confirmed the state, or 0 if it has not.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(v.confirmedAt)
}

// Initialized reports whether any update has been applied.
func (v *View) Initialized() bool { return v.revision > 0 }

// Targets returns a copy of the targets in use. Retained targets are marked as missing.
func (v *View) Targets() map[string]table.Target {
	out := make(map[string]table.Target, len(v.targets))
	maps.Copy(out, v.targets)
	for name := range v.retained {
		t := out[name]
		t.Unlisted = true
		out[name] = t
	}
	return out
}

// RecordFailure records a failed read.
func (v *View) RecordFailure(now time.Time) {
	v.failures++
	v.lastFailure = now
}

// Failures returns the number of consecutive failed reads.
func (v *View) Failures() int { return v.failures }

// ResetFreshness makes a read due immediately and ignores peers for ignorePeersFor. It is
// called after a pause of the process.
func (v *View) ResetFreshness(now time.Time) {
	v.confirmedAt = time.Time{}
	v.failures = 0
	v.ignorePeersUntil = now.Add(ignorePeersFor)
}

// ApplySourceUpdate applies an update of the source whose read began at the given time.
func (v *View) ApplySourceUpdate(now, began time.Time, r Update) Change {
	v.failures = 0
	return v.apply(now, began, r)
}

// ApplyPeerUpdate applies an update from a peer. It reports false if updates are missing in
// between and the full state must be fetched.
func (v *View) ApplyPeerUpdate(now time.Time, age time.Duration, r Update) (Change, bool) {
	if now.Before(v.ignorePeersUntil) {
		return Change{Stale: true}, true
	}
	if !r.Full && r.Base > v.revision {
		return Change{}, r.Revision <= v.revision
	}
	return v.apply(now, now.Add(-age), r), true
}

// Confirm applies a peer's confirmation. It reports false if the peer has content that this
// host lacks.
func (v *View) Confirm(now time.Time, c Confirmation) bool {
	switch {
	case now.Before(v.ignorePeersUntil) || c.Revision < v.revision:
		return true
	case c.ContentRevision > v.revision:
		return false
	}
	v.revision = c.Revision
	v.confirm(now, now.Add(-c.Age))
	return true
}

// Confirmation returns the confirmation that this host sends to its peers.
func (v *View) Confirmation(now time.Time) Confirmation {
	return Confirmation{Revision: v.revision, ContentRevision: v.contentRevision, Age: v.Age(now)}
}

// Snapshot returns the full state as an update for a peer. Retained targets are left out.
func (v *View) Snapshot() Update {
	r := Update{Full: true, Revision: v.revision}
	if v.config.Revision > 0 {
		config := v.config
		r.Config = &config
	}
	for name, t := range v.targets {
		if _, missing := v.retained[name]; !missing {
			r.Targets = append(r.Targets, t)
		}
	}
	slices.SortFunc(r.Targets, func(a, b table.Target) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// confirm records that the source confirmed the state at a time. If the previous
// confirmation is older than outageAge, the source counts as recovered now.
func (v *View) confirm(now, at time.Time) {
	if v.revision > 0 && !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) > outageAge {
		v.recoveredAt = now
	}
	v.confirmedAt = later(v.confirmedAt, at)
}

func (v *View) apply(now, at time.Time, r Update) Change {
	if r.Revision < v.revision {
		return Change{Stale: true}
	}
	v.confirm(now, at)
	var c Change
	if r.Config != nil && r.Config.Revision > v.config.Revision {
		v.config = *r.Config
		c.Config = true
	}
	removed := r.Removed
	if r.Full {
		removed = v.unlisted(r.Targets)
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

// unlisted returns the names of targets in the view that a full snapshot does not list.
func (v *View) unlisted(listed []table.Target) []string {
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

// remove deletes a target, or retains it for the rest of recoveryGrace if the source has
// recovered from an outage. It reports whether the target was deleted.
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

// Expire deletes the retained targets whose grace period is over.
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
