package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// targetState is what this host knows of one target.
	targetState struct {
		spec      table.Target
		leaving   bool
		running   int // requests of this host
		unfilled  int // prompt tokens of this host not known to be computed
		own       forecast.Demand
		kept      forecast.Demand // memory reserved for this host's streams elsewhere
		others    forecast.Demand // of the streams of other hosts
		total     forecast.Demand // of all streams, known or inferred
		totalEnd  time.Duration   // until when total holds; 0 means that it must be added up
		pace      forecast.Pace
		load      target.Load
		loadAt    time.Duration
		ownAtLoad float64 // memory of this host's streams when the report came
		prefixes  map[uint64]time.Duration
		breaker   breaker
		trouble   trouble
		leavingAt time.Duration // when the host heard that it is leaving
		askedAt   time.Duration // when it was last asked whether it is leaving
		movesOut  int           // of this host's streams, under way
		lane      int           // place among the ending targets, or among those of its domain that stay
		sequence  uint64        // of the last dispatch
	}
)

const (
	prefixLife  = 2 * time.Minute // how long a prefix is taken to stay cached
	prefixMost  = 4096            // prefixes remembered of one target
	loadExpiry  = 5 * time.Second // age at which a load report says nothing more
	peersExpiry = 2 * time.Second // age at which a peer's report says nothing more
)

func (r *Reducer) newTarget(spec table.Target) *targetState {
	return &targetState{
		spec:     spec,
		pace:     forecast.NewPace(r.options.base, r.options.per),
		prefixes: map[uint64]time.Duration{},
	}
}

// holds reports whether the target is taken to hold a prefix.
func (t *targetState) holds(prefix uint64) bool {
	_, ok := t.prefixes[prefix]
	return ok && prefix != 0
}

// remember notes that a prefix was sent to the target.
func (t *targetState) remember(prefix uint64, now time.Duration) {
	if prefix == 0 {
		return
	}
	if len(t.prefixes) >= prefixMost {
		t.trim(now)
	}
	t.prefixes[prefix] = now
}

func (t *targetState) trim(now time.Duration) {
	for life := prefixLife; len(t.prefixes) >= prefixMost; life /= 2 {
		for p, at := range t.prefixes {
			if now-at > life {
				delete(t.prefixes, p)
			}
		}
		if life == 0 {
			clear(t.prefixes)
		}
	}
}

// miss notes that a prefix sent at a time before was not found.
func (t *targetState) miss(prefix uint64, sent time.Duration) {
	if at, ok := t.prefixes[prefix]; ok && at < sent {
		delete(t.prefixes, prefix)
	}
}

// setLeaving notes whether the target is leaving, and since when.
func (t *targetState) setLeaving(leaving bool, now time.Duration) {
	if leaving && !t.leaving {
		t.leavingAt = now
	}
	t.leaving = leaving
}

// changed notes that the target's demand must be added up anew.
func (t *targetState) changed() { t.totalEnd = 0 }

// demand returns the demand of all streams known or inferred on the target. It is
// valid until the next change.
func (t *targetState) demand(now time.Duration) *forecast.Demand {
	if now >= t.totalEnd {
		t.total = t.addUp(now)
	}
	return &t.total
}

// addUp adds up the demand of the target's streams. What the load report shows
// beyond the known streams is taken to behave like them.
func (t *targetState) addUp(now time.Duration) forecast.Demand {
	d := t.own
	d.Add(&t.kept)
	d.Add(&t.others)
	t.totalEnd = math.MaxInt64
	if t.loadAt == 0 || now-t.loadAt > loadExpiry {
		return d
	}
	t.totalEnd = t.loadAt + loadExpiry + 1
	unseen := float64(t.load.Used) - t.ownAtLoad - t.others.Mean[0]
	if unseen <= 0 {
		return d
	}
	extra := forecast.Demand{}
	if d.Mean[0] > 0 {
		extra = d.Scaled(unseen / d.Mean[0])
	} else {
		for i := range extra.Mean {
			extra.Mean[i] = unseen
		}
	}
	d.Add(&extra)
	return d
}

// open reports whether the target takes new work. fresh bounds the age of an
// engine's last load report; 0 means any.
func (t *targetState) open(now, fresh time.Duration) bool {
	if t.leaving || t.load.Leaving || !t.breaker.allows(now) {
		return false
	}
	if fresh == 0 || t.spec.Kind == table.TargetService {
		return true
	}
	return t.loadAt > 0 && now-t.loadAt <= fresh
}

// away reports whether a target is of another failure domain than the host.
func (r *Reducer) away(t *targetState) bool {
	return r.options.domain != "" && t.spec.Domain != r.options.domain
}

// openTargets counts the targets of a pool that take new work.
func (r *Reducer) openTargets(p *pool) int {
	n := 0
	for _, t := range p.targets {
		if t.open(r.now, r.options.fresh) {
			n++
		}
	}
	return n
}

// basisOf returns what is known when a decision on q falls.
func (r *Reducer) basisOf(q *request) Basis {
	return Basis{
		Table:   r.table.Version,
		Fleet:   r.fleet.Revision,
		Targets: len(q.pool.targets),
		Held:    r.now - q.arrived,
		Attempt: q.attempts,
	}
}

func (e LoadReport) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if t.load.Boot != "" && t.load.Boot != e.Load.Boot {
		clear(t.prefixes)
	}
	t.load = e.Load
	t.loadAt = max(r.now-e.Load.Lag, 1)
	t.ownAtLoad = t.own.Mean[0]
	t.changed()
	r.drain(r.pools[poolName(t.spec)])
}

func (e CacheReport) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Held {
		t.remember(e.Prefix, r.now)
		return
	}
	delete(t.prefixes, e.Prefix)
}

func (e Roster) reduce(r *Reducer) {
	r.leaving = e.Leaving
	for name, t := range r.targets {
		t.setLeaving(e.Leaving[name] || t.spec.Leaving, r.now)
	}
	r.drainAll()
}
