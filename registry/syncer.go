package registry

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Syncer keeps a host's View up to date. It reads the source at the times that
	// View.Due returns, applies updates and confirmations of peers, and passes the changes
	// to its Handler. It is safe for concurrent use.
	Syncer struct {
		source      Source
		handler     Handler
		log         *event.Log
		mu          sync.Mutex
		view        View
		sourceLost  bool // the last read of the source failed
		reads       ReadCounts
		confirmedAt atomic.Pointer[time.Time] // time at which the source last confirmed the view; nil before the first update
	}

	// A Handler puts the changes of the published state into effect on a host and sends
	// updates to its peers. A Syncer makes one call at a time and holds its lock
	// during the call; of the Syncer's methods the Handler may call only Age.
	Handler interface {
		// ApplyTable puts a configuration into effect.
		ApplyTable(t *table.Table)

		// ApplyEvacuations puts the set of failure domains into effect that are to be evacuated. It is called
		// before ApplyTargets for an update that changes both. from names the origin of the update.
		ApplyEvacuations(domains []string, from string)

		// ApplyTargets puts a list of targets into effect.
		ApplyTargets(revision uint64, targets map[string]table.Target)

		// Broadcast sends an update that was read from the source to all peers. The
		// age is the time since the read began.
		Broadcast(r Update, age time.Duration)

		// BroadcastConfirmation sends all peers a Confirmation, after a read without
		// a change of content.
		BroadcastConfirmation()
	}

	// ReadCounts holds the number of a Syncer's requests to its source: full reads, reads of
	// changes, and failed requests of either type.
	ReadCounts struct{ Full, Changes, Failed int }
)

const (
	// readTimeout is the timeout of one read. It is above the slowest response of a
	// working source, and leaves time for a second attempt within two seconds.
	readTimeout = 800 * time.Millisecond

	// watchWait is the wait time passed to Source.Watch. It is the shortest
	// possible because View.Due, not the source, determines the time of the next read.
	watchWait = time.Millisecond

	// maxSleep limits the sleep between two calls of View.Expire, which deletes retained
	// targets after their grace period.
	maxSleep = 200 * time.Millisecond
)

// NewSyncer returns a Syncer that reads from a source.
func NewSyncer(s Source, h Handler, log *event.Log) *Syncer {
	return &Syncer{source: s, handler: h, log: log}
}

// Run reads the source at the times that View.Due returns, until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		s.mu.Lock()
		due := s.view.Due()
		s.applyChange(s.view.Expire(now), "expired", 0)
		s.mu.Unlock()
		if wait := due.Sub(now); wait > 0 {
			pause.For(ctx, min(wait, maxSleep))
			continue
		}
		s.read(ctx)
	}
}

// SetRank sets the host's position among the hosts that read the source, from 0. The host
// with rank 0 reads periodically; the others read only if no update or confirmation has arrived
// for some time, which is longer the higher the rank.
func (s *Syncer) SetRank(rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetRank(rank)
}

// WaitForPeers delays the first read of the source, because the host has peers that may have the
// state; see View.WaitForPeers. It must be called before Run.
func (s *Syncer) WaitForPeers(spread float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.WaitForPeers(time.Now(), spread)
}

// HandlePause makes a read of the source due immediately, independently of the host's rank.
// It must be called after a pause of the process, during which the state became stale.
func (s *Syncer) HandlePause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.HandlePause(time.Now())
}

// Age returns the time since the source last confirmed the host's state, directly or through
// a peer, or 0 before the first update. It does not block.
func (s *Syncer) Age() time.Duration {
	if at := s.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// updateConfirmedAt copies the time of the view's last confirmation for use by Age, which
// does not lock the view. The caller holds the lock.
func (s *Syncer) updateConfirmedAt(now time.Time) {
	if s.view.Initialized() {
		at := now.Add(-s.view.Age(now))
		s.confirmedAt.Store(&at)
	}
}

// ReadCounts returns the number of requests to the source since the Syncer was created.
func (s *Syncer) ReadCounts() ReadCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Confirmation returns the confirmation that the host sends to its peers.
func (s *Syncer) Confirmation() Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Confirmation(time.Now())
}

// Confirm adopts the revision and the confirmation time of a peer if the peer has the same
// content. It reports false if the peer has content that this host lacks; the full state must
// be fetched then.
func (s *Syncer) Confirm(c Confirmation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	defer s.updateConfirmedAt(now)
	defer s.logUnproven(s.view.ReadsUnproven(), c.Revision, "confirmation")
	return s.view.Confirm(now, c)
}

// logUnproven logs that a message of a peer, with a revision, has made a read of the source due. before is
// whether one was due before the message. The caller holds the lock.
func (s *Syncer) logUnproven(before bool, revision uint64, message string) {
	if !before && s.view.ReadsUnproven() {
		s.log.Emit(event.StateUnproven, event.Fields{Detail: message, Values: []any{"revision", s.view.Revision(), "peer_revision", revision}})
	}
}

// Snapshot returns the full state as an update, and the time since the source confirmed it.
func (s *Syncer) Snapshot() (Update, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Snapshot(), s.view.Age(time.Now())
}

// ApplyPeerUpdate applies an update that the named peer has sent; age is the time since the
// peer's read of the source began. It reports false if the update is a delta to a revision that
// this host does not have; the full state must be fetched then.
func (s *Syncer) ApplyPeerUpdate(r Update, age time.Duration, peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logParseErrors(r, peer)
	now := time.Now()
	defer s.logUnproven(s.view.ReadsUnproven(), r.Revision, "update of peer "+peer)
	c, ok := s.view.ApplyPeerUpdate(now, age, r)
	s.updateConfirmedAt(now)
	if ok {
		s.applyChange(c, "peer "+peer, age)
	}
	return ok
}

// read makes one request to the source, applies the update to the view and sends it to the
// peers.
func (s *Syncer) read(ctx context.Context) {
	s.mu.Lock()
	era, after := s.view.Era(), s.view.Revision()
	if s.view.NeedsFull() {
		after = 0
	}
	s.mu.Unlock()
	began := time.Now()
	r, err := s.fetch(ctx, era, after)
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.reads.Failed++
		s.view.RecordFailure(now)
		if !s.sourceLost {
			s.sourceLost = true
			s.log.Emit(event.PlatformLost, event.Fields{Detail: err.Error(), Values: []any{"age_ms", s.view.Age(now).Milliseconds()}})
		}
		return
	}
	if s.sourceLost {
		s.sourceLost = false
		s.log.Emit(event.PlatformFound, event.Fields{Values: []any{"revision", r.Revision, "failures", s.view.FailureCount()}})
	}
	if r.Era > era && s.view.Initialized() {
		s.log.Emit(event.SourceRestored, event.Fields{Values: []any{"era", r.Era, "revision", r.Revision, "previous", s.view.Revision()}})
	}
	s.logParseErrors(r, "")
	c := s.view.ApplySourceUpdate(now, began, r)
	s.updateConfirmedAt(now)
	s.applyChange(c, "source", now.Sub(began))
	// Peers that have the base revision of a delta apply it; the others fetch the full
	// state from this host. They get it also if it changes nothing here: their content may
	// be that of a revision in between.
	if c.Content {
		s.handler.Broadcast(s.view.ForPeers(r), now.Sub(began))
	} else {
		s.handler.BroadcastConfirmation()
	}
}

// logParseErrors logs the ParseErrors of an update. peer is the sender of the update, or ""
// for the source.
func (s *Syncer) logParseErrors(r Update, peer string) {
	for _, text := range r.ParseErrors {
		s.log.Emit(event.EntryRefused, event.Fields{Peer: peer, Detail: text})
	}
}

// fetch reads the changes after a revision of an era from the source. It reads the full state if
// the revision is 0, the source returns ErrCompacted or it is in another era.
func (s *Syncer) fetch(ctx context.Context, era, after uint64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if after > 0 {
		s.countRead(func(r *ReadCounts) { r.Changes++ })
		r, err := s.source.Watch(ctx, after, watchWait)
		if err != nil && !errors.Is(err, ErrCompacted) || err == nil && r.Era == era {
			return r, err
		}
	}
	s.countRead(func(r *ReadCounts) { r.Full++ })
	r, err := s.source.Read(ctx)
	// The changes up to this revision are not known one by one.
	r.ContentRevision = r.Revision
	return r, err
}

func (s *Syncer) countRead(add func(*ReadCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.reads)
}

// applyChange passes the configuration and the targets to the handler if they have changed,
// and logs the change. from names the origin of the update, and age is the time since the
// read of the source began. The caller holds the lock.
func (s *Syncer) applyChange(c Change, from string, age time.Duration) {
	if len(c.Retained) > 0 {
		s.log.Emit(event.FleetKept, event.Fields{Values: []any{"targets", len(c.Retained), "revision", s.view.Revision(), "from", from}})
	}
	if c.Evacuations {
		s.handler.ApplyEvacuations(s.view.Evacuated(), from)
	}
	if c.Config {
		s.applyConfig(from, age)
	}
	if !c.Targets && !c.Config && len(c.Retained) == 0 {
		return
	}
	targets := s.view.Targets()
	s.handler.ApplyTargets(s.view.Revision(), targets)
	if c.Targets {
		s.log.Emit(event.FleetChanged, event.Fields{Values: []any{
			"targets", len(targets), "listed", s.view.ListedCount(), "revision", s.view.Revision(), "from", from, "age_ms", age.Milliseconds(),
		}})
	}
}

// applyConfig parses the view's configuration and passes it to the handler. The configuration
// in effect remains if it is invalid.
func (s *Syncer) applyConfig(from string, age time.Duration) {
	config := s.view.Config()
	t, err := s.source.Table(config.Data)
	if err != nil {
		s.log.Emit(event.TableRefused, event.Fields{Detail: err.Error(), Values: []any{"revision", config.Revision, "from", from}})
		return
	}
	s.log.Emit(event.TableApplied, event.Fields{TableVersion: t.Version, Detail: "read", Values: []any{
		"revision", strconv.FormatUint(config.Revision, 10), "from", from, "age_ms", age.Milliseconds(),
	}})
	s.handler.ApplyTable(t)
}
