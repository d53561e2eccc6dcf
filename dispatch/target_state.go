package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// targetState is the state of one target on this host.
	targetState struct {
		spec              table.Target
		leaving           bool
		running           int             // requests of this host in flight at the target
		pendingPrefill    int             // prompt tokens of this host's requests not known to have been computed
		localDemand       forecast.Demand // demand of this host's streams on the target
		reserved          forecast.Demand // memory reserved for this host's streams on other targets
		peerDemand        forecast.Demand // demand and reservations of the peers
		total             forecast.Demand // demand of all streams, known or inferred
		totalValidUntil   time.Duration   // time until which total is valid; 0 means that it must be recomputed
		tokenInterval     forecast.IntervalModel
		load              target.Load              // latest load report
		loadAt            time.Duration            // time to which the load report refers; 0 means that there is none
		localMemoryAtLoad float64                  // memory of this host's streams when the load report arrived, in tokens
		prefixes          map[uint64]time.Duration // prefixes assumed to be cached, with the time of their last use
		breaker           breaker
		failureRate       failureRate
		noticeAt          time.Duration // time of the notice that the target is leaving; it is expected to end minNotice later
		queriedAt         time.Duration // time of the latest query whether the target is leaving; 0 means never
		outgoingMoves     int           // moves of this host's streams in progress off the target that need a copy
		linkGroup         int           // index among the leaving targets of the pool, or among the remaining targets of its domain
		lastDispatch      uint64        // number of this host's latest dispatch to the target
	}
)

const (
	prefixTTL   = 2 * time.Minute // time for which a prefix is assumed to stay cached
	maxPrefixes = 4096            // prefixes recorded for one target
	loadExpiry  = 5 * time.Second // age above which a load report is ignored in the demand
	peersExpiry = 2 * time.Second // age from which a peer's report is discarded
)

func (r *Reducer) newTarget(spec table.Target) *targetState {
	return &targetState{
		spec:          spec,
		tokenInterval: forecast.NewIntervalModel(r.options.stepBase, r.options.stepPerSequence),
		prefixes:      map[uint64]time.Duration{},
	}
}

// hasPrefix reports whether the target is assumed to have cached a prefix.
func (t *targetState) hasPrefix(prefix uint64) bool {
	_, ok := t.prefixes[prefix]
	return ok && prefix != 0
}

// recordPrefix records that the target has a prefix in its cache, or is about to.
func (t *targetState) recordPrefix(prefix uint64, now time.Duration) {
	if prefix == 0 {
		return
	}
	if len(t.prefixes) >= maxPrefixes {
		t.trimPrefixes(now)
	}
	t.prefixes[prefix] = now
}

// trimPrefixes removes the prefixes that were used least recently until there are fewer than
// maxPrefixes.
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

// dropMissedPrefix removes a prefix that a request sent at the given time did not find in the
// cache, unless the prefix was recorded since.
func (t *targetState) dropMissedPrefix(prefix uint64, sent time.Duration) {
	if at, ok := t.prefixes[prefix]; ok && at < sent {
		delete(t.prefixes, prefix)
	}
}

// setLeaving sets whether the target is leaving, and on a change to leaving the time of the
// notice.
func (t *targetState) setLeaving(leaving bool, now time.Duration) {
	if leaving && !t.leaving {
		t.noticeAt = now
	}
	t.leaving = leaving
}

// invalidateTotal marks the cached total demand as stale.
func (t *targetState) invalidateTotal() { t.totalValidUntil = 0 }

// totalDemand returns the demand of all streams on the target, known or inferred. The result
// is valid until the next call of invalidateTotal or sumDemand.
func (t *targetState) totalDemand(now time.Duration) *forecast.Demand {
	if now >= t.totalValidUntil {
		t.total = t.sumDemand(now)
	}
	return &t.total
}

// sumDemand computes the demand of all streams on the target. Memory in the load report that
// the known streams do not account for is assumed to belong to streams of the same
// distribution.
func (t *targetState) sumDemand(now time.Duration) forecast.Demand {
	d := t.localDemand
	d.Add(&t.reserved)
	d.Add(&t.peerDemand)
	t.totalValidUntil = math.MaxInt64
	if t.loadAt == 0 || now-t.loadAt > loadExpiry {
		return d
	}
	t.totalValidUntil = t.loadAt + loadExpiry + 1
	unaccounted := float64(t.load.UsedTokens) - t.localMemoryAtLoad - t.peerDemand.Mean[0]
	if unaccounted <= 0 {
		return d
	}
	extra := forecast.Demand{}
	if d.Mean[0] > 0 {
		extra = d.Scaled(unaccounted / d.Mean[0])
	} else {
		for i := range extra.Mean {
			extra.Mean[i] = unaccounted
		}
	}
	d.Add(&extra)
	return d
}

// acceptsWork reports whether the target accepts new work. maxLoadAge limits the age of an
// engine's last load report; 0 means no limit.
func (t *targetState) acceptsWork(now, maxLoadAge time.Duration) bool {
	if t.leaving || t.load.Leaving || !t.breaker.allows(now) {
		return false
	}
	if maxLoadAge == 0 || t.spec.Kind == table.TargetService {
		return true
	}
	return t.loadAt > 0 && now-t.loadAt <= maxLoadAge
}

// inOtherDomain reports whether a target is in another failure domain than the host.
func (r *Reducer) inOtherDomain(t *targetState) bool {
	return r.options.domain != "" && t.spec.Domain != r.options.domain
}

// openTargets returns the number of targets of a pool that accept new work.
func (r *Reducer) openTargets(p *pool) int {
	n := 0
	for _, t := range p.targets {
		if t.acceptsWork(r.now, r.options.maxLoadAge) {
			n++
		}
	}
	return n
}

// newBasis returns the part of the basis of a decision on q that does not depend on a target.
func (r *Reducer) newBasis(q *request) Basis {
	return Basis{
		TableVersion:  r.table.Version,
		FleetRevision: r.fleet.Revision,
		Targets:       len(q.pool.targets),
		HeldFor:       r.now - q.arrived,
		Attempt:       q.attempts,
	}
}

// reduce replaces the target's load report. A changed boot identifier means that the engine has
// restarted with an empty cache.
func (e LoadReport) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if t.load.Boot != "" && t.load.Boot != e.Load.Boot {
		clear(t.prefixes)
	}
	t.load = e.Load
	t.loadAt = max(r.now-e.Load.Age, 1)
	t.localMemoryAtLoad = t.localDemand.Mean[0]
	t.invalidateTotal()
	r.dispatchHeld(r.pools[poolName(t.spec)])
}

// reduce records or removes the prefix.
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

// reduce sets which targets are leaving.
func (e LeavingTargets) reduce(r *Reducer) {
	r.leavingTargets = e.Leaving
	for name, t := range r.targets {
		t.setLeaving(e.Leaving[name] || t.spec.Leaving, r.now)
	}
	r.dispatchAllHeld()
}
