package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A View is one host's copy of the published state, with the time of its last
	// confirmation, from which it derives when the host should read the source. Its methods
	// take the current time as an argument and do no I/O. It is not safe for concurrent
	// use. The zero value is empty.
	View struct {
		era              uint64        // newest era of the source
		startedAt        time.Time     // see WaitForPeers
		startDelay       time.Duration // see WaitForPeers
		revision         uint64        // revision of the newest update or confirmation
		contentRevision  uint64        // revision of the last change of the published content; see Confirmation
		config           Config
		listed           map[string]table.Target // targets that the source lists at the revision, by name
		retained         map[string]retention    // targets in use that the source no longer lists, by name
		confirmedAt      time.Time               // time at which the source last confirmed this state; zero after a pause
		recoveredAt      time.Time               // time at which the source was last found available again after an outage
		ignorePeersUntil time.Time               // time until which updates and confirmations of peers are ignored
		failureCount     int                     // consecutive failed reads
		lastFailure      time.Time               // time of the last failed read
		rank             int                     // position among the hosts that read the source, from 0
		behind           bool                    // a peer that cannot be relied on has content that this host may lack
		unproven         bool                    // the state is from such a peer
		departed         map[string]departure    // targets of the current era that were leaving or removed, by name
		evacuated        map[string]bool         // failure domains that are to be evacuated at the revision
	}

	// A retention keeps a target in use that the source no longer lists.
	retention struct {
		target table.Target
		until  time.Time // end of the grace period
	}

	// A departure records that a target was leaving or removed.
	departure struct {
		startTime time.Time // identifies the target's process
		at        time.Time

		// eraRevision is the revision with which the view's era began, if the departure is older; 0 otherwise. The source lists such
		// a target as it was before, until the target has written its entry again.
		eraRevision uint64
	}

	// A Change describes what an update, or the expiry of retained targets, changed in a
	// View.
	Change struct {
		Config  bool // the configuration changed
		Content bool // the published content changed, if only for a time; peers must get the update
		Targets bool // targets in use were added, changed or deleted

		Evacuations bool     // the set of failure domains that are to be evacuated changed
		Retained    []string // names of targets that the source no longer lists and that remain in use for a grace period
		Stale       bool     // the update was ignored: it is older than the view, or came from a peer shortly after a pause
	}

	// A Confirmation states that a source had a revision at a time, and that its content has been
	// the same at all revisions since an earlier one. Hosts send it in heartbeats.
	Confirmation struct {
		Era             uint64        // era of the source to which the revisions belong
		Revision        uint64        // newest revision that the sender has
		ContentRevision uint64        // revision at which the content last changed
		Exact           bool          // ContentRevision is that of the source; earlier builds send that of their own targets in use
		Age             time.Duration // time since the source last confirmed the sender's state
	}
)

const (
	// ReadInterval is the time between two reads of the source by the host with rank 0. A
	// shorter interval detects the loss of a target sooner and costs more requests.
	ReadInterval = 250 * time.Millisecond

	// standbyReadAge is the age of the last confirmation at which the host with rank 1
	// reads the source. By then two successive reads by the host with rank 0 have failed,
	// or the mesh has not delivered their results.
	standbyReadAge = 700 * time.Millisecond

	// readStagger is added to standbyReadAge for each rank above 1. It gives the update of
	// one standby host time to reach the next one, which then need not read.
	readStagger = 100 * time.Millisecond

	// maxReadAge limits the age with readStagger added: a host must receive a change well
	// within the two seconds allowed until the change takes effect.
	maxReadAge = 1100 * time.Millisecond

	// outageAge is the age of the last confirmation above which the next confirmation is
	// taken as the recovery of the source from an outage.
	outageAge = 1500 * time.Millisecond

	// recoveryGrace is the time after the recovery of the source during which targets that
	// it does not list remain in use. Targets cannot renew their leases during the outage,
	// and the source lists live targets whose leases expired only after they have renewed
	// them.
	recoveryGrace = 2200 * time.Millisecond

	// ignorePeersFor is the time after a pause of the process during which updates and
	// confirmations of peers are ignored: those buffered in the sockets are as old as the
	// pause.
	ignorePeersFor = 300 * time.Millisecond

	// departureTTL is the time for which the departure of a target is recorded. It is above
	// the age of the backup from which a source is restored, some seconds.
	departureTTL = time.Minute

	// startDelay is the time from the start of a host with peers to the first read of the source,
	// if its rank is 0. By then it is connected with peers.
	startDelay = 300 * time.Millisecond

	// maxStartDelay is the longest time from the start to the first read of a host without live
	// peers: hundreds of hosts that start at once need seconds until all are connected.
	maxStartDelay = 2300 * time.Millisecond

	// rankBeforePeers is the rank of a host that has had no live peer yet.
	rankBeforePeers = 1 << 20

	minBackoff = 100 * time.Millisecond // delay after the first failed read; doubles with each further one
	maxBackoff = 800 * time.Millisecond // longest delay between two attempts, and so until a recovered source is read
)

// SetRank sets the host's position among the hosts that read the source, from 0.
func (v *View) SetRank(rank int) { v.rank = rank }

// WaitForPeers delays the first read: a host that starts gets the state from its peers, if they have
// it. Many hosts that start at once then do not all read the source. spread, from 0 to 1, differs
// between hosts; until the first SetRank, a host that has had no live peer waits up to maxStartDelay
// and then reads as seldom as the last host by rank.
func (v *View) WaitForPeers(now time.Time, spread float64) {
	v.startedAt, v.rank = now, rankBeforePeers
	v.startDelay = startDelay + time.Duration(spread*float64(maxStartDelay-startDelay))
}

// Due returns the time at which the host should read the source next. The zero time means
// immediately.
func (v *View) Due() time.Time {
	if v.ReadsUnproven() && v.failureCount == 0 {
		return time.Time{}
	}
	if v.confirmedAt.IsZero() && v.failureCount == 0 {
		if v.Initialized() || v.startedAt.IsZero() {
			return time.Time{}
		}
		if v.rank == rankBeforePeers {
			return v.startedAt.Add(v.startDelay)
		}
		return v.startedAt.Add(startDelay + v.readAge() - ReadInterval)
	}
	due := v.confirmedAt.Add(v.readAge())
	if v.failureCount > 0 {
		backoff := min(minBackoff<<min(v.failureCount-1, 10), maxBackoff)
		due = laterTime(due, v.lastFailure.Add(backoff))
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

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Era returns the newest era of the source that the view has seen.
func (v *View) Era() uint64 { return v.era }

// Revision returns the newest revision that the view has, 0 before the first update.
func (v *View) Revision() uint64 { return v.revision }

// Config returns the newest configuration, with revision 0 before the first one.
func (v *View) Config() Config { return v.config }

// Age returns the time since the source last confirmed the state. It returns 0 if the age is
// unknown because the source has not confirmed the state since the process started or was last
// paused.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(v.confirmedAt)
}

// Initialized reports whether the view has a revision of the published state.
func (v *View) Initialized() bool { return v.revision > 0 }

// Targets returns a copy of the targets in use, by name. Retained targets have Unlisted set.
func (v *View) Targets() map[string]table.Target {
	out := make(map[string]table.Target, len(v.listed)+len(v.retained))
	maps.Copy(out, v.listed)
	for name, k := range v.retained {
		k.target.Unlisted = true
		out[name] = k.target
	}
	return out
}

// ListedCount returns the number of targets that the source lists at the view's revision.
func (v *View) ListedCount() int { return len(v.listed) }

// ReadsUnproven reports whether the host reads the source next because of a peer whose state is not proven to
// be complete.
func (v *View) ReadsUnproven() bool { return v.behind || v.unproven }

// NeedsFull reports whether the next read of the source must be that of the full state, because the
// view's is not known to be that of its revision.
func (v *View) NeedsFull() bool { return !v.Initialized() || v.unproven }

// RecordFailure records a failed read of the source, which delays the next one by the backoff.
func (v *View) RecordFailure(now time.Time) {
	v.failureCount++
	v.lastFailure = now
}

// FailureCount returns the number of failed reads since the last successful one.
func (v *View) FailureCount() int { return v.failureCount }

// HandlePause makes a read of the source due immediately, and makes the view ignore updates
// and confirmations of peers for ignorePeersFor. It must be called after a pause of the process.
func (v *View) HandlePause(now time.Time) {
	v.confirmedAt = time.Time{}
	v.failureCount = 0
	v.ignorePeersUntil = now.Add(ignorePeersFor)
}

// ApplySourceUpdate applies an update from the source. The state counts as confirmed at the
// time at which the read began.
func (v *View) ApplySourceUpdate(now, began time.Time, r Update) Change {
	v.failureCount, v.behind = 0, false
	v.unproven = v.unproven && !r.Full
	return v.apply(now, began, r)
}

// ApplyPeerUpdate applies an update from a peer; age is the time since the peer's read of the
// source began. It reports false if the update is a delta to a revision that this host does not
// have; the full state must be fetched then.
func (v *View) ApplyPeerUpdate(now time.Time, age time.Duration, r Update) (Change, bool) {
	if now.Before(v.ignorePeersUntil) {
		return Change{Stale: true}, true
	}
	if !r.Full && r.Era > v.era {
		return Change{}, false
	}
	if !r.Full && r.Era == v.era && r.Base > v.revision {
		return Change{}, r.Revision <= v.revision
	}
	if r.OmitsEvacuations && !r.Full {
		// At its revision, domains may be evacuated that the view would never read about.
		v.behind = v.behind || r.Revision > v.revision
		return Change{Stale: true}, true
	}
	if r.Full && (r.ContentRevision == 0 || r.OmitsEvacuations) {
		return v.applyUnproven(now, r), true
	}
	if !r.Full {
		v.withdrawUnlisted(&r)
		// Peers send a delta if the content has changed, if only between its revisions.
		r.ContentRevision = r.Revision
	}
	return v.apply(now, now.Add(-age), r), true
}

// applyUnproven applies a full state from a peer that does not state since when the content is the same,
// which earlier builds do not. Such a peer may have missed changes. Its state is used only if the view is
// empty. In either case the host reads the source next.
func (v *View) applyUnproven(now time.Time, r Update) Change {
	if v.Initialized() {
		v.behind = v.behind || r.Era > v.era || r.Era == v.era && r.Revision > v.revision
		return Change{Stale: true}
	}
	v.unproven = true
	r.ContentRevision = r.Revision
	return v.apply(now, now, r)
}

// Confirm adopts the revision and the confirmation time of a peer if the peer has the same
// content. It ignores a peer with an older revision, and one whose confirmation is not exact
// unless the view is empty. It reports false if the peer has content that this host lacks.
func (v *View) Confirm(now time.Time, c Confirmation) bool {
	switch {
	case now.Before(v.ignorePeersUntil) || c.Era < v.era || c.Era == v.era && c.Revision < v.revision:
		return true
	case !c.Exact && v.Initialized():
		v.behind = v.behind || c.Era > v.era || c.ContentRevision > v.revision
		return true
	case c.Era > v.era || c.ContentRevision > v.revision:
		return false
	}
	v.revision = c.Revision
	v.recordConfirmation(now, now.Add(-c.Age))
	return true
}

// Confirmation returns the Confirmation of this view, for the host's heartbeats.
func (v *View) Confirmation(now time.Time) Confirmation {
	return Confirmation{Era: v.era, Revision: v.revision, ContentRevision: v.contentRevision, Exact: !v.unproven, Age: v.Age(now)}
}

// Snapshot returns the full state as an update for a peer, without retained targets.
func (v *View) Snapshot() Update {
	r := Update{Full: true, Era: v.era, Revision: v.revision, Evacuated: v.Evacuated()}
	if !v.unproven {
		r.ContentRevision = v.contentRevision
	}
	if v.config.Revision > 0 {
		config := v.config
		r.Config = &config
	}
	for _, t := range v.listed {
		r.Targets = append(r.Targets, t)
	}
	slices.SortFunc(r.Targets, func(a, b table.Target) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// recordConfirmation records that the source confirmed the state at the given time. If the
// previous confirmation is older than outageAge, the source counts as recovered now.
func (v *View) recordConfirmation(now, at time.Time) {
	if v.revision > 0 && !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) > outageAge {
		v.recoveredAt = now
	}
	v.confirmedAt = laterTime(v.confirmedAt, at)
}

// apply applies an update that the source confirmed at the given time, unless its era or its
// revision is older than the view's. Only a full update can begin a new era.
func (v *View) apply(now, at time.Time, r Update) Change {
	if r.Era < v.era || r.Era == v.era && r.Revision < v.revision || r.Era > v.era && !r.Full {
		return Change{Stale: true}
	}
	v.recordConfirmation(now, at)
	if r.Era > v.era {
		v.beginEra(now, &r)
	}
	v.keepDepartures(&r)
	var c Change
	if r.Config != nil && r.Config.Revision > v.config.Revision {
		v.config = *r.Config
		c.Config = true
	}
	removed := r.Removed
	if r.Full {
		removed = v.unlisted(r.Targets)
		v.withdrawUnlisted(&r)
	}
	c.Evacuations = v.applyEvacuations(&r)
	for _, t := range r.Targets {
		c.Targets = v.upsert(now, t) || c.Targets
	}
	for _, name := range removed {
		c.Targets = v.remove(now, name, &c) || c.Targets
	}
	v.expireDepartures(now)
	// Evacuations that were requested and withdrawn between the revisions of a delta are content, too.
	c.Content = c.Config || c.Targets || c.Evacuations || !r.Full && len(r.Evacuated)+len(r.Withdrawn) > 0 || len(c.Retained) > 0 || r.Skips || r.Full && r.Revision > v.revision
	if c.Content {
		v.contentRevision = max(v.contentRevision, cmp.Or(r.ContentRevision, r.Revision))
	}
	v.revision = r.Revision
	return c
}
