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
		revision  uint64 // of the newest reading
		content   uint64 // at which something other than a sign of life last changed
		sheet     Sheet
		targets   map[string]table.Target
		kept      map[string]time.Time // missing targets that stay in use, and until when
		confirmed time.Time            // when the source was last known to say so
		returned  time.Time            // when the source came back after an absence
		distrust  time.Time            // until when peers are not believed
		failures  int                  // readings in a row that failed
		failed    time.Time
		rank      int
	}

	// A Change is what a reading or the passing of time has changed.
	Change struct {
		Sheet   bool     // the configuration
		Targets bool     // the targets in use
		Kept    []string // targets that are missing and stay in use for now
		Stale   bool     // it was older than what is known, and ignored
	}

	// A Confirmation is a peer's word that the source still says what it said.
	Confirmation struct {
		Revision uint64
		Content  uint64        // revision at which the content last changed
		Age      time.Duration // since the source said so
	}
)

const (
	// ReadEvery is the time between two readings of the host that reads for all. It
	// decides how soon the end of a target is known, against the price of a call.
	ReadEvery = 250 * time.Millisecond

	// readAlone is the age of the last confirmation at which another host reads for
	// itself: two readings and their way through the mesh were missed.
	readAlone = 700 * time.Millisecond

	// readStep is added for each host ahead in the order, so that one host steps in
	// and its reading reaches the others before they read too.
	readStep = 100 * time.Millisecond

	// readLatest bounds the sum: a change must be known well within the two seconds
	// that it may take to be in force.
	readLatest = 1100 * time.Millisecond

	// absentFrom is the age of the last confirmation from which the source counts as
	// having been away.
	absentFrom = 1500 * time.Millisecond

	// returnGrace is how long after the source's return a missing target may still be
	// listed again: signs of life lapse while the source is away.
	returnGrace = 2200 * time.Millisecond

	// distrustFor is how long after a pause of the process peers are not believed: what
	// waited in the sockets is as old as the pause.
	distrustFor = 300 * time.Millisecond

	firstBackoff = 100 * time.Millisecond // after a failed reading, doubled each time
	mostBackoff  = 800 * time.Millisecond // a source that is back is noticed by then
)

// Rank sets the host's place in the order in which hosts read.
func (v *View) Rank(rank int) { v.rank = rank }

// Due returns when the host should read. The zero time means at once.
func (v *View) Due() time.Time {
	if v.confirmed.IsZero() && v.failures == 0 {
		return time.Time{}
	}
	due := v.confirmed.Add(v.readAge())
	if v.failures > 0 {
		backoff := min(firstBackoff<<min(v.failures-1, 10), mostBackoff)
		due = later(due, v.failed.Add(backoff))
	}
	return due
}

// readAge returns the age of the last confirmation at which the host reads.
func (v *View) readAge() time.Duration {
	if v.rank == 0 {
		return ReadEvery
	}
	return min(readAlone+time.Duration(v.rank-1)*readStep, readLatest)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Revision returns the newest revision known.
func (v *View) Revision() uint64 { return v.revision }

// Sheet returns the configuration.
func (v *View) Sheet() Sheet { return v.sheet }

// Age returns how long ago the source was last known to say what is known.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmed.IsZero() {
		return 0
	}
	return now.Sub(v.confirmed)
}

// Known reports whether anything has been read at all.
func (v *View) Known() bool { return v.revision > 0 }

// Targets returns the targets in use, those that are missing for now included. The
// map is the caller's.
func (v *View) Targets() map[string]table.Target {
	out := make(map[string]table.Target, len(v.targets))
	maps.Copy(out, v.targets)
	for name := range v.kept {
		t := out[name]
		t.Missing = true
		out[name] = t
	}
	return out
}

// Fail counts a reading that failed.
func (v *View) Fail(now time.Time) {
	v.failures++
	v.failed = now
}

// Failures returns how many readings in a row have failed.
func (v *View) Failures() int { return v.failures }

// Wake forgets how fresh things are after a pause of the process, and does not believe
// peers for a moment.
func (v *View) Wake(now time.Time) {
	v.confirmed = time.Time{}
	v.failures = 0
	v.distrust = now.Add(distrustFor)
}

// Read takes in a reading of the source that was begun at a time.
func (v *View) Read(now, began time.Time, r Reading) Change {
	v.failures = 0
	return v.take(now, began, r)
}

// Hear takes in a reading that a peer passes on. It reports false if something in
// between is missing, so that the whole must be asked for.
func (v *View) Hear(now time.Time, age time.Duration, r Reading) (Change, bool) {
	if now.Before(v.distrust) {
		return Change{Stale: true}, true
	}
	if !r.Whole && r.Base > v.revision {
		return Change{}, r.Revision <= v.revision
	}
	return v.take(now, now.Add(-age), r), true
}

// Confirm takes in a peer's word. It reports false if the peer knows content that this
// host does not.
func (v *View) Confirm(now time.Time, c Confirmation) bool {
	switch {
	case now.Before(v.distrust) || c.Revision < v.revision:
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
	return Confirmation{Revision: v.revision, Content: v.content, Age: v.Age(now)}
}

// Whole returns all that is known as a reading for a peer.
func (v *View) Whole() Reading {
	r := Reading{Whole: true, Revision: v.revision}
	if v.sheet.Revision > 0 {
		sheet := v.sheet
		r.Sheet = &sheet
	}
	for name, t := range v.targets {
		if _, missing := v.kept[name]; !missing {
			r.Targets = append(r.Targets, t)
		}
	}
	slices.SortFunc(r.Targets, func(a, b table.Target) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// confirm notes that the source was known to say this at a time.
func (v *View) confirm(now, at time.Time) {
	if v.revision > 0 && !v.confirmed.IsZero() && now.Sub(v.confirmed) > absentFrom {
		v.returned = now
	}
	v.confirmed = later(v.confirmed, at)
}

func (v *View) take(now, at time.Time, r Reading) Change {
	if r.Revision < v.revision {
		return Change{Stale: true}
	}
	v.confirm(now, at)
	var c Change
	if r.Sheet != nil && r.Sheet.Revision > v.sheet.Revision {
		v.sheet = *r.Sheet
		c.Sheet = true
	}
	removed := r.Removed
	if r.Whole {
		removed = v.missing(r.Targets)
	}
	for _, t := range r.Targets {
		c.Targets = v.put(t) || c.Targets
	}
	for _, name := range removed {
		c.Targets = v.remove(now, name, &c) || c.Targets
	}
	v.revision = r.Revision
	if c.Sheet || c.Targets || len(c.Kept) > 0 {
		v.content = r.Revision
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

func (v *View) put(t table.Target) bool {
	delete(v.kept, t.Name)
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
	until := v.returned.Add(returnGrace)
	if v.returned.IsZero() || !now.Before(until) {
		delete(v.targets, name)
		delete(v.kept, name)
		return true
	}
	if _, already := v.kept[name]; !already {
		if v.kept == nil {
			v.kept = map[string]time.Time{}
		}
		v.kept[name] = until
		c.Kept = append(c.Kept, name)
	}
	return false
}

// Expire drops the targets that were kept for long enough.
func (v *View) Expire(now time.Time) Change {
	var c Change
	for name, until := range v.kept {
		if !now.Before(until) {
			delete(v.kept, name)
			delete(v.targets, name)
			c.Targets = true
		}
	}
	return c
}
