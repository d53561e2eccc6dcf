package dispatch

import (
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// targetState is what this host records about one target.
	targetState struct {
		spec                  table.Target
		leaving               bool
		evacuated             bool            // the failure domain is to be evacuated
		running               int             // requests of this host in flight at the target
		pendingPrefill        int             // prompt tokens of this host's requests that the target is not known to have computed
		localDemand           forecast.Demand // memory demand of this host's streams on the target
		reserved              forecast.Demand // memory reserved on the target for this host's streams that run on other targets
		peerDemand            forecast.Demand // demand of the peers' streams on the target, plus the memory that peers reserved on it for streams on other targets
		cachedTotalDemand     forecast.Demand // latest result of computeTotalDemand
		totalDemandValidUntil time.Duration   // time until which cachedTotalDemand is valid; 0 means that it must be recomputed
		tokenInterval         forecast.IntervalModel
		load                  target.Load              // latest load report
		loadAt                time.Duration            // time to which the load report refers; 0 means that there is none
		localMemoryAtLoad     float64                  // memory of this host's streams when the load report arrived, in tokens
		prefixes              map[uint64]time.Duration // hashes of the prefixes assumed to be cached, with the time of their last use
		breaker               breaker
		restUntil             time.Duration // end of the time for which the target has asked this host to send nothing
		failureRate           failureRate
		leavingNoticeAt       time.Duration // time when this host learned that the target is leaving; its end is expected minLeavingNotice later
		queriedAt             time.Duration // time of the latest EffectQueryLeaving for the target; 0 means never
		movesPausedUntil      time.Duration // see recordNoDestination
		coldRate              float64       // places a second while the target is cold; 0 if it is not
		failedChoices         int           // streams in a row that should move and have no destination
		outgoingMoves         int           // moves of this host's streams off the target that are in progress and copy the stream's memory
		linkGroup             int           // index among the pool's leaving targets or, if not leaving, among the others of its domain
		lastDispatch          uint64        // number of this host's latest dispatch to the target, counted over all targets; 0 means none
		limit                 limit.Record  // of the requests that the target takes
		brittle               bool          // whether the target's pool has said that it is brittle
		places                places        // of this host in that limit, or among the target's slots
		leases                leases        // of the places that this host gives out
		pacer                 limit.Pacer   // gives out the target's places, if this host does so
		pace                  paceState
		startWaits            startWaits
		stopWait              time.Duration // see refreshStopWaits
	}
)

const (
	prefixTTL   = 2 * time.Minute // time for which a prefix is assumed to stay cached
	maxPrefixes = 4096            // prefixes recorded for one target
	loadExpiry  = 5 * time.Second // age above which a load report is ignored when the total demand is computed
	peersExpiry = 2 * time.Second // age from which a peer's report is discarded
)

func (r *Reducer) newTarget(spec table.Target) *targetState {
	return &targetState{
		spec:          spec,
		evacuated:     r.isEvacuated(spec.Domain),
		restUntil:     r.rests[processOf(spec.Name, spec.StartTime)],
		tokenInterval: forecast.NewIntervalModel(r.options.stepBase, r.options.stepPerSequence),
		prefixes:      map[uint64]time.Duration{},
	}
}

// hasPrefix reports whether the target is assumed to have cached a prefix.
func (t *targetState) hasPrefix(prefix uint64) bool {
	_, ok := t.prefixes[prefix]
	return ok && prefix != 0
}

// recordPrefix records that the target has cached a prefix, or is about to cache it.
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

// dropMissedPrefix removes a prefix after a request that was sent at the given time did not find it
// in the target's cache, unless the prefix was recorded at that time or later.
func (t *targetState) dropMissedPrefix(prefix uint64, sent time.Duration) {
	if at, ok := t.prefixes[prefix]; ok && at < sent {
		delete(t.prefixes, prefix)
	}
}

// setLeaving sets whether the target is leaving. When a target starts to leave, leavingNoticeAt is
// set to now.
func (t *targetState) setLeaving(leaving bool, now time.Duration) {
	if leaving && !t.leaving {
		t.leavingNoticeAt = now
	}
	t.leaving = leaving
}

// invalidateTotalDemand makes the next call of totalDemand compute the demand again.
func (t *targetState) invalidateTotalDemand() { t.totalDemandValidUntil = 0 }

// totalDemand returns the demand on the target as computeTotalDemand does, from the cache if that
// is valid. The result must not be used after the next call of totalDemand for the target.
func (t *targetState) totalDemand(now time.Duration) *forecast.Demand {
	if now >= t.totalDemandValidUntil {
		t.cachedTotalDemand = t.computeTotalDemand(now)
	}
	return &t.cachedTotalDemand
}

// computeTotalDemand computes the memory demand on the target: that of this host's streams and
// reservations, that of the peers, and that of inferred streams. Streams are inferred if the load
// report shows more memory in use than the known streams account for; the rest is assumed to belong
// to streams with the same forecast as the known ones or, if none is known, to be constant. It also
// sets totalDemandValidUntil.
func (t *targetState) computeTotalDemand(now time.Duration) forecast.Demand {
	d := t.localDemand
	d.Add(&t.reserved)
	d.Add(&t.peerDemand)
	t.totalDemandValidUntil = math.MaxInt64
	if t.loadAt == 0 || now-t.loadAt > loadExpiry {
		return d
	}
	t.totalDemandValidUntil = t.loadAt + loadExpiry + 1
	unaccounted := float64(t.load.UsedTokens) - t.localMemoryAtLoad - t.peerDemand.MeanMemory[0]
	if unaccounted <= 0 {
		return d
	}
	extra := forecast.Demand{}
	if d.MeanMemory[0] > 0 {
		extra = d.Scaled(unaccounted / d.MeanMemory[0])
	} else {
		for i := range extra.MeanMemory {
			extra.MeanMemory[i] = unaccounted
		}
	}
	d.Add(&extra)
	return d
}

// acceptsWork reports whether the target accepts new work: it is not leaving, its failure domain is not to be
// evacuated, its circuit breaker is not open, it has not asked for rest and, for an engine, its last load report is not older than maxLoadAge. A maxLoadAge
// of 0 means no limit.
func (t *targetState) acceptsWork(now, maxLoadAge time.Duration) bool {
	if t.isLeavingOrEvacuated() || !t.allows(now) {
		return false
	}
	if maxLoadAge == 0 || t.spec.Kind == table.TargetService {
		return true
	}
	return t.loadAt > 0 && now-t.loadAt <= maxLoadAge
}

// inOtherDomain reports whether a target is in another failure domain than the host. It is false if
// the host has no domain.
func (r *Reducer) inOtherDomain(t *targetState) bool {
	return r.options.domain != "" && t.spec.Domain != r.options.domain
}

// acceptingTargets returns the number of targets of a pool that accept new work.
func (r *Reducer) acceptingTargets(p *pool) int {
	n := 0
	for _, t := range p.targets {
		if t.acceptsWork(r.now, r.options.maxLoadAge) {
			n++
		}
	}
	return n
}

// newBasis returns the basis of a decision on q without the fields that depend on the candidate
// targets.
func (r *Reducer) newBasis(q *request) Basis {
	return Basis{
		TableVersion:  r.table.Version,
		FleetRevision: r.fleet.Revision,
		Targets:       len(q.pool.targets),
		HeldFor:       r.now - q.arrived,
		Attempt:       q.attempts,
		WaitCause:     q.waitCause,
		Readmission:   q.readmission,
		Excluded:      len(q.triedTargets),
	}
}

// reduce replaces the target's load report and dispatches held requests. A changed boot identifier
// means that the engine has restarted with an empty cache.
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
	t.localMemoryAtLoad = t.localDemand.MeanMemory[0]
	t.invalidateTotalDemand()
	r.dispatchHeld(r.pools[poolName(t.spec)])
}

// reduce records the prefix as cached by the target, or as no longer cached.
func (e CacheReport) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if e.Cached {
		t.recordPrefix(e.Prefix, r.now)
		return
	}
	delete(t.prefixes, e.Prefix)
}

// reduce marks the targets of the set, and those that the list of targets marks, as leaving and all
// others as not leaving.
func (e LeavingTargets) reduce(r *Reducer) {
	r.leavingTargets = e.Leaving
	for _, t := range r.targets {
		t.setLeaving(r.isLeaving(t.spec), r.now)
	}
	r.dispatchAllHeld()
}
