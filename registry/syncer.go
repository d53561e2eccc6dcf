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
	// A Syncer keeps a host's View up to date: it reads the source when the View is due,
	// applies updates of peers, and passes the changes to its Handler.
	Syncer struct {
		source      Source
		handler     Handler
		log         *event.Log
		mu          sync.Mutex
		view        View
		sourceLost  bool
		reads       Reads
		confirmedAt atomic.Pointer[time.Time] // when the source last confirmed the view; nil before the first time
	}

	// A Handler receives the changes for a host. A Syncer calls it from one goroutine at
	// a time.
	Handler interface {
		// ApplyTable puts a configuration into effect.
		ApplyTable(t *table.Table)

		// ApplyTargets puts a list of targets into effect.
		ApplyTargets(revision uint64, targets map[string]table.Target)

		// Broadcast sends an update of the source to all peers.
		Broadcast(r Update, age time.Duration)

		// BroadcastConfirmation sends the peers a confirmation that the content of
		// the source is unchanged.
		BroadcastConfirmation()
	}

	// Reads counts a Syncer's requests to its source: full reads, reads of changes, and
	// failures of either.
	Reads struct{ Full, Changes, Failed int }
)

const (
	// readTimeout is the timeout of one read. It is above the slowest response seen from
	// a working source and leaves time for a second attempt within two seconds.
	readTimeout = 800 * time.Millisecond

	// watchWait is the time for which the source waits for a change. It is the shortest
	// possible because the host itself schedules the next read.
	watchWait = time.Millisecond

	// maxSleep limits the sleep between checks, so that retained targets expire on time.
	maxSleep = 200 * time.Millisecond
)

// NewSyncer returns a Syncer that reads from a source.
func NewSyncer(s Source, h Handler, log *event.Log) *Syncer {
	return &Syncer{source: s, handler: h, log: log}
}

// Run reads the source whenever the view is due, until ctx is done.
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

// SetRank sets the host's position, from 0, in the order in which hosts read the source.
func (s *Syncer) SetRank(rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetRank(rank)
}

// ResetFreshness makes the host read the source next, without regard to its rank, after
// the process was paused.
func (s *Syncer) ResetFreshness() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ResetFreshness(time.Now())
}

// Age returns the time since the source last confirmed the host's state, or 0 before the
// first confirmation. It takes no lock.
func (s *Syncer) Age() time.Duration {
	if at := s.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// updateConfirmedAt publishes the time of the view's last confirmation to Age. The caller
// holds the lock.
func (s *Syncer) updateConfirmedAt(now time.Time) {
	if s.view.Initialized() {
		at := now.Add(-s.view.Age(now))
		s.confirmedAt.Store(&at)
	}
}

// Reads returns the counts of requests to the source so far.
func (s *Syncer) Reads() Reads {
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

// Confirm applies a peer's confirmation. It reports false if the peer has content that
// this host lacks.
func (s *Syncer) Confirm(c Confirmation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	defer s.updateConfirmedAt(now)
	return s.view.Confirm(now, c)
}

// Snapshot returns the full state and its age.
func (s *Syncer) Snapshot() (Update, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Snapshot(), s.view.Age(time.Now())
}

// ApplyPeerUpdate applies an update from a peer. It reports false if updates are missing in
// between and the full state must be fetched.
func (s *Syncer) ApplyPeerUpdate(r Update, age time.Duration, peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logInvalid(r, peer)
	now := time.Now()
	c, ok := s.view.ApplyPeerUpdate(now, age, r)
	s.updateConfirmedAt(now)
	if ok {
		s.applyChange(c, "peer "+peer, age)
	}
	return ok
}

func (s *Syncer) read(ctx context.Context) {
	s.mu.Lock()
	after := s.view.Revision()
	s.mu.Unlock()
	began := time.Now()
	r, err := s.fetch(ctx, after)
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
		s.log.Emit(event.PlatformFound, event.Fields{Values: []any{"revision", r.Revision, "failures", s.view.Failures()}})
	}
	s.logInvalid(r, "")
	c := s.view.ApplySourceUpdate(now, began, r)
	s.updateConfirmedAt(now)
	s.applyChange(c, "source", now.Sub(began))
	// Peers that have the base revision apply the delta; the others fetch the full state.
	if c.Config || c.Targets || len(c.Retained) > 0 {
		s.handler.Broadcast(r, now.Sub(began))
	} else {
		s.handler.BroadcastConfirmation()
	}
}

// logInvalid logs the entries of an update that could not be parsed. The peer is the sender
// of the update, or "" for the source.
func (s *Syncer) logInvalid(r Update, peer string) {
	for _, text := range r.ParseErrors {
		s.log.Emit(event.EntryRefused, event.Fields{Peer: peer, Detail: text})
	}
}

// fetch reads the changes after a revision. It reads the full state if the revision is 0 or
// the source no longer has the changes.
func (s *Syncer) fetch(ctx context.Context, after uint64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if after > 0 {
		s.count(func(r *Reads) { r.Changes++ })
		r, err := s.source.Watch(ctx, after, watchWait)
		if !errors.Is(err, ErrCompacted) {
			return r, err
		}
	}
	s.count(func(r *Reads) { r.Full++ })
	return s.source.Read(ctx)
}

func (s *Syncer) count(add func(*Reads)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.reads)
}

// applyChange passes a change to the handler and logs it. The caller holds the lock.
func (s *Syncer) applyChange(c Change, from string, age time.Duration) {
	if len(c.Retained) > 0 {
		s.log.Emit(event.FleetKept, event.Fields{Values: []any{"targets", len(c.Retained), "revision", s.view.Revision(), "from", from}})
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
			"targets", len(targets), "revision", s.view.Revision(), "from", from, "age_ms", age.Milliseconds(),
		}})
	}
}

func (s *Syncer) applyConfig(from string, age time.Duration) {
	config := s.view.Config()
	t, err := s.source.Table(config.Data)
	if err != nil {
		s.log.Emit(event.TableRefused, event.Fields{Detail: err.Error(), Values: []any{"revision", config.Revision, "from", from}})
		return
	}
	s.log.Emit(event.TableApplied, event.Fields{Table: t.Version, Detail: "read", Values: []any{
		"revision", strconv.FormatUint(config.Revision, 10), "from", from, "age_ms", age.Milliseconds(),
	}})
	s.handler.ApplyTable(t)
}
