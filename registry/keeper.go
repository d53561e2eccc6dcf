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
	// A Syncer keeps a host's view fresh: it reads the source when the view is due,
	// takes in what peers pass on, and tells the host what has changed.
	Syncer struct {
		source      Source
		handler     Handler
		log         *event.Log
		mu          sync.Mutex
		view        View
		sourceLost  bool
		reads       Reads
		confirmedAt atomic.Pointer[time.Time] // when the source last said what the view knows
	}

	// A Handler is the host behind a keeper. It is called by one goroutine at a time.
	Handler interface {
		// ApplyTable puts a configuration in force.
		ApplyTable(t *table.Table)

		// ApplyTargets puts a list of targets in force.
		ApplyTargets(revision uint64, targets map[string]table.Target)

		// Broadcast passes a reading of the source on to the peers.
		Broadcast(r Reading, age time.Duration)

		// BroadcastConfirmation tells the peers that the source still says the same.
		BroadcastConfirmation()
	}

	// Reads counts what a keeper has asked of its source.
	Reads struct{ Whole, Changes, Failed int }
)

const (
	// readTimeout bounds a reading. It is above the slowest answers seen of a source
	// that still answers, and low enough for a second try within two seconds.
	readTimeout = 800 * time.Millisecond

	// watchWait is how long the source is asked to wait for a change: as short as it
	// can be, since the host decides when to ask again.
	watchWait = time.Millisecond

	// maxSleep bounds how long the keeper sleeps, so that what it keeps for a while
	// expires in time.
	maxSleep = 200 * time.Millisecond
)

// NewSyncer returns a keeper of what a source publishes.
func NewSyncer(s Source, h Handler, log *event.Log) *Syncer {
	return &Syncer{source: s, handler: h, log: log}
}

// Run reads when the view is due, until ctx ends.
func (k *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		k.mu.Lock()
		due := k.view.Due()
		k.applyChange(k.view.Expire(now), "expired", 0)
		k.mu.Unlock()
		if wait := due.Sub(now); wait > 0 {
			pause.For(ctx, min(wait, maxSleep))
			continue
		}
		k.read(ctx)
	}
}

// SetRank sets the host's place in the order in which hosts read.
func (k *Syncer) SetRank(rank int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.SetRank(rank)
}

// ResetFreshness makes the host read for itself after a pause of the process.
func (k *Syncer) ResetFreshness() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.ResetFreshness(time.Now())
}

// Age returns how long ago the source was last known to say what the host knows. It
// never waits.
func (k *Syncer) Age() time.Duration {
	if at := k.confirmedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// updateConfirmedAt notes how fresh the view is. It is called with the lock held.
func (k *Syncer) updateConfirmedAt(now time.Time) {
	if k.view.Known() {
		at := now.Add(-k.view.Age(now))
		k.confirmedAt.Store(&at)
	}
}

// Reads returns what was asked of the source so far.
func (k *Syncer) Reads() Reads {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads
}

// Confirmation returns what the host can tell its peers.
func (k *Syncer) Confirmation() Confirmation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Confirmation(time.Now())
}

// Confirm takes in a peer's word. It reports false if the peer knows more.
func (k *Syncer) Confirm(c Confirmation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	defer k.updateConfirmedAt(now)
	return k.view.Confirm(now, c)
}

// Snapshot returns all that is known, and its age.
func (k *Syncer) Snapshot() (Reading, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Snapshot(), k.view.Age(time.Now())
}

// ApplyPeerUpdate takes in a reading that a peer passes on. It reports false if the whole must be
// asked for.
func (k *Syncer) ApplyPeerUpdate(r Reading, age time.Duration, peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.logInvalid(r, peer)
	now := time.Now()
	c, ok := k.view.ApplyPeerUpdate(now, age, r)
	k.updateConfirmedAt(now)
	if ok {
		k.applyChange(c, "peer "+peer, age)
	}
	return ok
}

func (k *Syncer) read(ctx context.Context) {
	k.mu.Lock()
	after := k.view.Revision()
	k.mu.Unlock()
	began := time.Now()
	r, err := k.fetch(ctx, after)
	if ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if err != nil {
		k.reads.Failed++
		k.view.RecordFailure(now)
		if !k.sourceLost {
			k.sourceLost = true
			k.log.Emit(event.PlatformLost, event.Fields{Detail: err.Error(), Values: []any{"age_ms", k.view.Age(now).Milliseconds()}})
		}
		return
	}
	if k.sourceLost {
		k.sourceLost = false
		k.log.Emit(event.PlatformFound, event.Fields{Values: []any{"revision", r.Revision, "failures", k.view.Failures()}})
	}
	k.logInvalid(r, "")
	c := k.view.ApplySourceUpdate(now, began, r)
	k.updateConfirmedAt(now)
	k.applyChange(c, "source", now.Sub(began))
	// Peers that have the base take the change in; the others ask for the whole.
	if c.Config || c.Targets || len(c.Retained) > 0 {
		k.handler.Broadcast(r, now.Sub(began))
	} else {
		k.handler.BroadcastConfirmation()
	}
}

// logInvalid says what of a reading could not be read, and which peer passed it on, if
// one did.
func (k *Syncer) logInvalid(r Reading, peer string) {
	for _, text := range r.Refused {
		k.log.Emit(event.EntryRefused, event.Fields{Peer: peer, Detail: text})
	}
}

// fetch reads what has changed, or all if nothing is known or the history is gone.
func (k *Syncer) fetch(ctx context.Context, after uint64) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if after > 0 {
		k.count(func(r *Reads) { r.Changes++ })
		r, err := k.source.Watch(ctx, after, watchWait)
		if !errors.Is(err, ErrHistory) {
			return r, err
		}
	}
	k.count(func(r *Reads) { r.Whole++ })
	return k.source.Read(ctx)
}

func (k *Syncer) count(add func(*Reads)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	add(&k.reads)
}

// applyChange hands a change to the host and notes it. It is called with the lock held.
func (k *Syncer) applyChange(c Change, from string, age time.Duration) {
	if len(c.Retained) > 0 {
		k.log.Emit(event.FleetKept, event.Fields{Values: []any{"targets", len(c.Retained), "revision", k.view.Revision(), "from", from}})
	}
	if c.Config {
		k.applyConfig(from, age)
	}
	if !c.Targets && !c.Config && len(c.Retained) == 0 {
		return
	}
	targets := k.view.Targets()
	k.handler.ApplyTargets(k.view.Revision(), targets)
	if c.Targets {
		k.log.Emit(event.FleetChanged, event.Fields{Values: []any{
			"targets", len(targets), "revision", k.view.Revision(), "from", from, "age_ms", age.Milliseconds(),
		}})
	}
}

func (k *Syncer) applyConfig(from string, age time.Duration) {
	s := k.view.Config()
	t, err := k.source.Table(s.Data)
	if err != nil {
		k.log.Emit(event.TableRefused, event.Fields{Detail: err.Error(), Values: []any{"revision", s.Revision, "from", from}})
		return
	}
	k.log.Emit(event.TableApplied, event.Fields{Table: t.Version, Detail: "read", Values: []any{
		"revision", strconv.FormatUint(s.Revision, 10), "from", from, "age_ms", age.Milliseconds(),
	}})
	k.handler.ApplyTable(t)
}
