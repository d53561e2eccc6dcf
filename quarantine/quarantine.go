// Package quarantine finds the requests and the parts of prompts that crash targets. One is suspected when
// targets crash as they begin to answer requests with it, and cleared when an answer under it gets past its
// beginning. One under which targets have crashed several times, with no answer since, is
// quarantined: requests with it are to be kept away from targets.
//
// Repetitions of a request are the same request, so little evidence suffices: after two crashes it is
// quarantined for a short time, and after three for a long one.
//
// Hosts exchange their records. Merging them is idempotent and independent of their order, so they may be
// lost, repeated and passed on. The package reads no clock.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

type (
	// A Part identifies what several requests to one pool of targets may have in common: a section of
	// their prompts or, if Organisation is set, all that the target executes. It may crash the targets of
	// one pool and not those of another.
	Part struct {
		Pool         string
		ID           uint64 // of the section, or digest of the request
		Organisation string // of the caller, if this is a whole request; empty for a section of prompts
	}

	// A Crash is the crash of a target that was beginning to answer a request with a part.
	Crash struct {
		Target  uint64    // identifies the target and its start
		At      time.Time // local time at which the crash was noticed
		Excused bool      // a later answer has shown that the part was not the reason
	}

	// A Record holds the crashes under one part.
	Record struct {
		Part     Part
		Answered bool    // an answer under the part had got past its beginning before a crash
		Crashes  []Crash // oldest first
	}

	// A List holds the records of the suspected and the quarantined parts. The zero value is an empty
	// list.
	List struct {
		records          map[Part]*Record
		answered         recentParts
		answeredRequests recentParts // apart, since there are many more of them
	}
)

const (
	// commonCause is the time within which the crashes of several targets count as one. Targets that
	// share a power supply or a network crash together, independently of their requests. Under a request
	// that was never answered they count as two: that several targets run it at that moment is rare if
	// it is sound, and usual if it is harmful and has been sent to several.
	commonCause = 300 * time.Millisecond

	// maxCrashes is the number of crashes, with no answer since, from which a part is quarantined. A
	// part under which answers were seen before needs maxAnsweredCrashes.
	maxCrashes         = 3
	maxAnsweredCrashes = 5

	// requestPause is the time after the second crash under a request, with no answer since or
	// before, for which the request is quarantined.
	requestPause = 10 * time.Second

	// quarantineTime is the time for which a part is quarantined after the latest crash. Afterwards,
	// one more crash quarantines it again.
	quarantineTime = 15 * time.Minute

	// suspectTime is the time after the latest crash for which a part that is not quarantined stays
	// suspected, and recordTime that for which a part that was quarantined does.
	suspectTime = 5 * time.Minute
	recordTime  = time.Hour

	// shareTime is the time after the latest crash for which a record whose crashes are all excused, or
	// that of a request with one crash, is still sent to other hosts.
	shareTime = 10 * time.Second

	maxRecords         = 256 // parts in a List
	maxCrashesOfRecord = 8   // the latest crashes of a part that are kept
)

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool { return p.Organisation != "" }

// compare orders parts by pool, ID and organisation.
func (p Part) compare(o Part) int {
	return cmp.Or(cmp.Compare(p.Pool, o.Pool), cmp.Compare(p.ID, o.ID), cmp.Compare(p.Organisation, o.Organisation))
}

// answeredParts returns the parts like p that were answered recently.
func (l *List) answeredParts(p Part) *recentParts {
	if p.IsRequest() {
		return &l.answeredRequests
	}
	return &l.answered
}

// Crashed records that a target crashed as it began to answer a request with the given parts. It
// returns the parts that are quarantined from now on.
func (l *List) Crashed(at time.Time, target uint64, parts []Part) (quarantined []Part) {
	for _, p := range parts {
		r := Record{Part: p, Crashes: []Crash{{Target: target, At: at}}}
		if _, started := l.merge(at, r); started {
			quarantined = append(quarantined, p)
		}
	}
	l.trim(at)
	return quarantined
}

// Answered records that an answer to a request with the given parts has got past its beginning. It
// returns the parts that are cleared of a suspicion.
func (l *List) Answered(at time.Time, parts []Part) (cleared []Part) {
	for _, p := range parts {
		l.answeredParts(p).add(p, at)
		r := l.records[p]
		if r == nil {
			continue
		}
		suspected := false
		for i := range r.Crashes {
			suspected = suspected || !r.Crashes[i].Excused
			r.Crashes[i].Excused = true
		}
		if suspected {
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// Find returns the first of the parts that is quarantined, and the time for which it will be unless
// there is another crash. The time is 0 if none of them is quarantined.
func (l *List) Find(at time.Time, parts []Part) (Part, time.Duration) {
	if len(l.records) == 0 {
		return Part{}, 0
	}
	for _, p := range parts {
		if r := l.records[p]; r != nil && r.quarantined(at) {
			return p, r.pause() - r.sinceLatest(at)
		}
	}
	return Part{}, 0
}

// Crashes returns the number of crashes under a part that are not excused, and whether there is a record
// of it.
func (l *List) Crashes(p Part) (n int, known bool) {
	r := l.records[p]
	if r == nil {
		return 0, false
	}
	return r.count(), true
}

// Merge adds the records of another host. It reports whether that has added anything, and returns
// the parts that are quarantined from now on.
func (l *List) Merge(at time.Time, records []Record) (changed bool, quarantined []Part) {
	for _, r := range records {
		grew, started := l.merge(at, r)
		changed = changed || grew
		if started {
			quarantined = append(quarantined, r.Part)
		}
	}
	l.trim(at)
	return changed, quarantined
}

// Records returns the records for other hosts, in the order of their parts: those with crashes that
// are not excused, and those with recent ones. They stay valid after later calls.
func (l *List) Records(at time.Time) []Record {
	out := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		n := r.count()
		if (n == 0 || n == 1 && r.Part.IsRequest()) && r.sinceLatest(at) > shareTime {
			continue
		}
		c := *r
		c.Crashes = slices.Clone(r.Crashes)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Part.compare(b.Part) })
	return out
}

// merge adds one record. It reports whether that has added anything, and whether it has quarantined
// the part.
func (l *List) merge(at time.Time, from Record) (grew, started bool) {
	r := l.records[from.Part]
	if r == nil {
		if len(from.Crashes) == 0 || from.expired(at) {
			return false, false
		}
		r = &Record{Part: from.Part}
		if l.records == nil {
			l.records = map[Part]*Record{}
		}
		l.records[from.Part] = r
	}
	before := r.quarantined(at)
	answered, known := l.answeredParts(from.Part).latest(from.Part)
	grew = !r.Answered && (from.Answered || known)
	r.Answered = r.Answered || from.Answered || known
	for _, c := range from.Crashes {
		c.Excused = c.Excused || known && !answered.Before(c.At)
		grew = r.add(c) || grew
	}
	return grew, !before && r.quarantined(at)
}

// add adds a crash, and reports whether the record has changed. Of more than maxCrashesOfRecord, it
// drops the oldest.
func (r *Record) add(c Crash) bool {
	if i := slices.IndexFunc(r.Crashes, func(o Crash) bool { return o.Target == c.Target }); i >= 0 {
		changed := c.Excused && !r.Crashes[i].Excused
		r.Crashes[i].Excused = r.Crashes[i].Excused || c.Excused
		return changed
	}
	if len(r.Crashes) == maxCrashesOfRecord {
		if !c.At.After(r.Crashes[0].At) {
			return false
		}
		r.Crashes = slices.Delete(r.Crashes, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(r.Crashes, c, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target, b.Target))
	})
	r.Crashes = slices.Insert(r.Crashes, i, c)
	return true
}

// count returns the number of crashes that are not excused. Crashes within commonCause of one that
// counts do not count themselves, except one under a request without an answer.
func (r *Record) count() int {
	n, together := 0, 0
	var first time.Time
	for _, c := range r.Crashes {
		if c.Excused {
			continue
		}
		if n == 0 || c.At.Sub(first) >= commonCause {
			first, together = c.At, 0
		}
		together++
		if together == 1 || together == 2 && r.Part.IsRequest() && !r.Answered {
			n++
		}
	}
	return n
}

// pause returns the time after the latest crash for which the part is quarantined.
func (r *Record) pause() time.Duration {
	n := r.count()
	switch {
	case r.Answered && n < maxAnsweredCrashes:
		return 0
	case n >= maxCrashes:
		return quarantineTime
	case n == maxCrashes-1 && r.Part.IsRequest():
		return requestPause
	}
	return 0
}

// proven reports whether there were enough crashes to quarantine the part for long.
func (r *Record) proven() bool { return r.pause() == quarantineTime }

func (r *Record) sinceLatest(at time.Time) time.Duration {
	return at.Sub(r.Crashes[len(r.Crashes)-1].At)
}

// quarantined reports whether requests with the part are to be kept away from targets.
func (r *Record) quarantined(at time.Time) bool {
	return len(r.Crashes) > 0 && r.sinceLatest(at) < r.pause()
}

// expired reports whether the record is to be dropped.
func (r *Record) expired(at time.Time) bool {
	if r.proven() {
		return r.sinceLatest(at) >= recordTime
	}
	return r.sinceLatest(at) >= suspectTime
}

// trim drops the expired records and, of more than maxRecords, those with the fewest crashes that are
// not excused, the oldest first.
func (l *List) trim(at time.Time) {
	for p, r := range l.records {
		if r.expired(at) {
			delete(l.records, p)
		}
	}
	if len(l.records) <= maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(l.records), func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.count(), b.count()), cmp.Compare(b.sinceLatest(at), a.sinceLatest(at)), a.Part.compare(b.Part))
	})
	for _, r := range all[:len(all)-maxRecords] {
		delete(l.records, r.Part)
	}
}
