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
	// A Keeper keeps a host's view fresh: it reads the source when the view is due,
	// takes in what peers pass on, and tells the host what has changed.
	Keeper struct {
		source  Source
		handler Handler
		log     *event.Log
		mu      sync.Mutex
		view    View
		lost    bool
		reads   Reads
		fresh   atomic.Pointer[time.Time] // when the source last said what the view knows
	}

	// A Handler is the host behind a keeper. It is called by one goroutine at a time.
	Handler interface {
		// TakeTable puts a configuration in force.
		TakeTable(t *table.Table)

		// TakeFleet puts a list of targets in force.
		TakeFleet(revision uint64, targets map[string]table.Target)

		// Tell passes a reading of the source on to the peers.
		Tell(r Reading, age time.Duration)

		// Confirmed tells the peers that the source still says the same.
		Confirmed()
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

	// idleWait bounds how long the keeper sleeps, so that what it keeps for a while
	// expires in time.
	idleWait = 200 * time.Millisecond
)

// NewKeeper returns a keeper of what a source publishes.
func NewKeeper(s Source, h Handler, log *event.Log) *Keeper {
	return &Keeper{source: s, handler: h, log: log}
}

// Run reads when the view is due, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		k.mu.Lock()
		due := k.view.Due()
		k.change(k.view.Expire(now), "expired", 0)
		k.mu.Unlock()
		if wait := due.Sub(now); wait > 0 {
			pause.For(ctx, min(wait, idleWait))
			continue
		}
		k.read(ctx)
	}
}

// SetRank sets the host's place in the order in which hosts read.
func (k *Keeper) SetRank(rank int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.Rank(rank)
}

// Wake makes the host read for itself after a pause of the process.
func (k *Keeper) Wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view.Wake(time.Now())
}

// Age returns how long ago the source was last known to say what the host knows. It
// never waits.
func (k *Keeper) Age() time.Duration {
	if at := k.fresh.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// refresh notes how fresh the view is. It is called with the lock held.
func (k *Keeper) refresh(now time.Time) {
	if k.view.Known() {
		at := now.Add(-k.view.Age(now))
		k.fresh.Store(&at)
	}
}

// Reads returns what was asked of the source so far.
func (k *Keeper) Reads() Reads {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads
}

// Confirmation returns what the host can tell its peers.
func (k *Keeper) Confirmation() Confirmation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Confirmation(time.Now())
}

// Confirm takes in a peer's word. It reports false if the peer knows more.
func (k *Keeper) Confirm(c Confirmation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	defer k.refresh(now)
	return k.view.Confirm(now, c)
}

// Whole returns all that is known, and its age.
func (k *Keeper) Whole() (Reading, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view.Whole(), k.view.Age(time.Now())
}

// Hear takes in a reading that a peer passes on. It reports false if the whole must be
// asked for.
func (k *Keeper) Hear(r Reading, age time.Duration, peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteRefused(r, peer)
	now := time.Now()
	c, ok := k.view.Hear(now, age, r)
	k.refresh(now)
	if ok {
		k.change(c, "peer "+peer, age)
	}
	return ok
}

func (k *Keeper) read(ctx context.Context) {
	k.mu.Lock()
	after := k.view.Revision()
	k.mu.Unlock()
	began := time.Now()
	r, err := k.ask(ctx, after)
	if ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if err != nil {
		k.reads.Failed++
		k.view.Fail(now)
		if !k.lost {
			k.lost = true
			k.log.Emit(event.PlatformLost, event.Fields{Detail: err.Error(), Values: []any{"age_ms", k.view.Age(now).Milliseconds()}})
		}
		return
	}
	if k.lost {
		k.lost = false
		k.log.Emit(event.PlatformFound, event.Fields{Values: []any{"revision", r.Revision, "failures", k.view.Failures()}})
	}
	k.noteRefused(r, "")
	c := k.view.Read(now, began, r)
	k.refresh(now)
	k.change(c, "source", now.Sub(began))
	// Peers that have the base take the change in; the others ask for the whole.
	if c.Sheet || c.Targets || len(c.Kept) > 0 {
		k.handler.Tell(r, now.Sub(began))
	} else {
		k.handler.Confirmed()
	}
}

// noteRefused says what of a reading could not be read, and which peer passed it on, if
// one did.
func (k *Keeper) noteRefused(r Reading, peer string) {
	for _, text := range r.Refused {
		k.log.Emit(event.EntryRefused, event.Fields{Peer: peer, Detail: text})
	}
}

// ask reads what has changed, or all if nothing is known or the history is gone.
func (k *Keeper) ask(ctx context.Context, after uint64) (Reading, error) {
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

func (k *Keeper) count(add func(*Reads)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	add(&k.reads)
}

// change hands a change to the host and notes it. It is called with the lock held.
func (k *Keeper) change(c Change, from string, age time.Duration) {
	if len(c.Kept) > 0 {
		k.log.Emit(event.FleetKept, event.Fields{Values: []any{"targets", len(c.Kept), "revision", k.view.Revision(), "from", from}})
	}
	if c.Sheet {
		k.applySheet(from, age)
	}
	if !c.Targets && !c.Sheet && len(c.Kept) == 0 {
		return
	}
	targets := k.view.Targets()
	k.handler.TakeFleet(k.view.Revision(), targets)
	if c.Targets {
		k.log.Emit(event.FleetChanged, event.Fields{Values: []any{
			"targets", len(targets), "revision", k.view.Revision(), "from", from, "age_ms", age.Milliseconds(),
		}})
	}
}

func (k *Keeper) applySheet(from string, age time.Duration) {
	s := k.view.Sheet()
	t, err := k.source.Table(s.Data)
	if err != nil {
		k.log.Emit(event.TableRefused, event.Fields{Detail: err.Error(), Values: []any{"revision", s.Revision, "from", from}})
		return
	}
	k.log.Emit(event.TableApplied, event.Fields{Table: t.Version, Detail: "read", Values: []any{
		"revision", strconv.FormatUint(s.Revision, 10), "from", from, "age_ms", age.Milliseconds(),
	}})
	k.handler.TakeTable(t)
}
