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
		spec              table.Target
		leaving           bool
		running           int // requests of this host
		pendingPrefill    int // prompt tokens of this host not known to be computed
		localDemand       forecast.Demand
		reserved          forecast.Demand // memory reserved for this host's streams elsewhere
		peerDemand        forecast.Demand // of the streams of other hosts
		total             forecast.Demand // of all streams, known or inferred
		totalValidUntil   time.Duration   // until when total holds; 0 means that it must be added up
		tokenInterval     forecast.IntervalModel
		load              target.Load
		loadAt            time.Duration
		localMemoryAtLoad float64 // memory of this host's streams when the report came
		prefixes          map[uint64]time.Duration
		breaker           breaker
		failureRate       failureRate
		noticeAt          time.Duration // when the host heard that it is leaving
		queriedAt         time.Duration // when it was last asked whether it is leaving
		outgoingMoves     int           // of this host's streams, under way
		linkGroup         int           // place among the ending targets, or among those of its domain that stay
		lastDispatch      uint64        // of the last dispatch
	}
)

const (
	prefixTTL   = 2 * time.Minute // how long a prefix is taken to stay cached
	maxPrefixes = 4096            // prefixes remembered of one target
	loadExpiry  = 5 * time.Second // age at which a load report says nothing more
	peersExpiry = 2 * time.Second // age at which a peer's report says nothing more
)

func (r *Reducer) newTarget(spec table.Target) *targetState {
	return &targetState{
		spec:          spec,
		tokenInterval: forecast.NewIntervalModel(r.options.stepBase, r.options.stepPerSequence),
		prefixes:      map[uint64]time.Duration{},
	}
}

// hasPrefix reports whether the target is taken to hold a prefix.
func (t *targetState) hasPrefix(prefix uint64) bool {
	_, ok := t.prefixes[prefix]
	return ok && prefix != 0
}

// recordPrefix notes that a prefix was sent to the target.
func (t *targetState) recordPrefix(prefix uint64, now time.Duration) {
	if prefix == 0 {
		return
	}
	if len(t.prefixes) >= maxPrefixes {
		t.trimPrefixes(now)
	}
	t.prefixes[prefix] = now
}

func (t *targetState) trimPrefixes(now time.Duration) {
	for life := prefixTTL; len(t.prefixes) >= maxPrefixes; life /= 2 {
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

// dropMissedPrefix notes that a prefix sent at a time before was not found.
func (t *targetState) dropMissedPrefix(prefix uint64, sent time.Duration) {
	if at, ok := t.prefixes[prefix]; ok && at < sent {
		delete(t.prefixes, prefix)
	}
}

// setLeaving notes whether the target is leaving, and since when.
func (t *targetState) setLeaving(leaving bool, now time.Duration) {
	if leaving && !t.leaving {
		t.noticeAt = now
	}
	t.leaving = leaving
}

// invalidateTotal notes that the target's demand must be added up anew.
func (t *targetState) invalidateTotal() { t.totalValidUntil = 0 }

// totalDemand returns the demand of all streams known or inferred on the target. It is
// valid until the next change.
func (t *targetState) totalDemand(now time.Duration) *forecast.Demand {
	if now >= t.totalValidUntil {
		t.total = t.sumDemand(now)
	}
	return &t.total
}

// sumDemand adds up the demand of the target's streams. What the load report shows
// beyond the known streams is taken to behave like them.
func (t *targetState) sumDemand(now time.Duration) forecast.Demand {
	d := t.localDemand
	d.Add(&t.reserved)
	d.Add(&t.peerDemand)
	t.totalValidUntil = math.MaxInt64
	if t.loadAt == 0 || now-t.loadAt > loadExpiry {
		return d
	}
	t.totalValidUntil = t.loadAt + loadExpiry + 1
	unseen := float64(t.load.Used) - t.localMemoryAtLoad - t.peerDemand.Mean[0]
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

// acceptsWork reports whether the target takes new work. fresh bounds the age of an
// engine's last load report; 0 means any.
func (t *targetState) acceptsWork(now, fresh time.Duration) bool {
	if t.leaving || t.load.Leaving || !t.breaker.allows(now) {
		return false
	}
	if fresh == 0 || t.spec.Kind == table.TargetService {
		return true
	}
	return t.loadAt > 0 && now-t.loadAt <= fresh
}

// inOtherDomain reports whether a target is of another failure domain than the host.
func (r *Reducer) inOtherDomain(t *targetState) bool {
	return r.options.domain != "" && t.spec.Domain != r.options.domain
}

// openTargets counts the targets of a pool that take new work.
func (r *Reducer) openTargets(p *pool) int {
	n := 0
	for _, t := range p.targets {
		if t.acceptsWork(r.now, r.options.maxLoadAge) {
			n++
		}
	}
	return n
}

// newBasis returns what is known when a decision on q falls.
func (r *Reducer) newBasis(q *request) Basis {
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
	t.localMemoryAtLoad = t.localDemand.Mean[0]
	t.invalidateTotal()
	r.dispatchHeld(r.pools[poolName(t.spec)])
}

func (e CacheReport) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Held {
		t.recordPrefix(e.Prefix, r.now)
		return
	}
	delete(t.prefixes, e.Prefix)
}

func (e Roster) reduce(r *Reducer) {
	r.leavingTargets = e.Leaving
	for name, t := range r.targets {
		t.setLeaving(e.Leaving[name] || t.spec.Leaving, r.now)
	}
	r.dispatchAllHeld()
}
