package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
)

// unlisted returns the names of the view's targets that are not in the list of a full
// snapshot.
func (v *View) unlisted(listed []table.Target) []string {
	isListed := make(map[string]bool, len(listed))
	for _, t := range listed {
		isListed[t.Name] = true
	}
	var out []string
	for name := range v.listed {
		if !isListed[name] {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// beginEra prepares the view for a full update with which a new era of the source begins. The
// source has lost its last changes and lists targets as they were before: targets that have left
// since are marked by keepDepartures, and targets that it does not list yet are retained
// for recoveryGrace. A configuration of the update replaces the view's regardless of its revision.
func (v *View) beginEra(now time.Time, r *Update) {
	if v.Initialized() {
		v.recoveredAt = now
	}
	v.era, v.revision, v.contentRevision = r.Era, 0, 0
	v.config.Revision = 0
	for name, d := range v.departed {
		d.eraRevision = r.Revision
		v.departed[name] = d
	}
}

// keepDepartures marks the targets in an update of the view's era as leaving that have left before the era began, if the update lists
// their entries as they were then. The first update of the era does, and so may further ones: a host may read the source itself after a peer
// has sent it the state of the new era.
func (v *View) keepDepartures(r *Update) {
	for i := range r.Targets {
		t := &r.Targets[i]
		d, ok := v.departed[t.Name]
		if !ok || d.eraRevision == 0 || !d.startTime.Equal(t.StartTime) {
			continue
		}
		written := r.Written[t.Name]
		t.Leaving = t.Leaving || r.Revision <= d.eraRevision || written > 0 && written <= d.eraRevision
	}
}

// recordDeparture records that a target is leaving or was removed. The record is deleted when a
// later update lists the target as ready: its process is running and has renewed its entry.
func (v *View) recordDeparture(now time.Time, t table.Target) {
	if v.departed == nil {
		v.departed = map[string]departure{}
	}
	v.departed[t.Name] = departure{startTime: t.StartTime, at: now}
}

// expireDepartures deletes the departures that are older than departureTTL.
func (v *View) expireDepartures(now time.Time) {
	maps.DeleteFunc(v.departed, func(_ string, d departure) bool { return now.Sub(d.at) >= departureTTL })
}

// upsert adds or replaces a listed target. It reports whether the target was not listed or different.
func (v *View) upsert(now time.Time, t table.Target) bool {
	delete(v.retained, t.Name)
	if t.Leaving {
		if d, ok := v.departed[t.Name]; !ok || !d.startTime.Equal(t.StartTime) {
			v.recordDeparture(now, t)
		}
	} else {
		delete(v.departed, t.Name)
	}
	if old, ok := v.listed[t.Name]; ok && old == t {
		return false
	}
	if v.listed == nil {
		v.listed = map[string]table.Target{}
	}
	v.listed[t.Name] = t
	return true
}

// remove deletes a listed target. If the source recovered from an outage less than recoveryGrace ago,
// the target remains in use until the end of that time, and remove adds its name to c. It reports
// whether a target in use was deleted.
func (v *View) remove(now time.Time, name string, c *Change) bool {
	t, ok := v.listed[name]
	if !ok {
		return false
	}
	delete(v.listed, name)
	until := v.recoveredAt.Add(recoveryGrace)
	if v.recoveredAt.IsZero() || !now.Before(until) {
		v.recordDeparture(now, t)
		return true
	}
	if v.retained == nil {
		v.retained = map[string]retention{}
	}
	v.retained[name] = retention{t, until}
	c.Retained = append(c.Retained, name)
	return false
}

// Expire deletes the retained targets whose grace period has ended.
func (v *View) Expire(now time.Time) Change {
	var c Change
	for name, k := range v.retained {
		if !now.Before(k.until) {
			delete(v.retained, name)
			c.Targets = true
		}
	}
	return c
}
