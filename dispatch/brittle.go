package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/limit"
)

// A brittle target ends if it has to refuse more than a few requests in a second for lack of capacity. Refusals are then
// no way to find out which target has room. The load pattern is a plain service whose callers ask for somewhat
// more than its targets can do: each target that returns is ended again by what all hosts hold for it.
//
// While a pool says so, each attempt at one of its targets needs a place, as at a target that names a limit. The host
// that gives out places counts those in use, and has no more of them than the target has slots.

type (
	// BrittleRead is what a response of a target says about how many requests it can refuse in a second.
	BrittleRead struct {
		Target         string
		Reading        limit.Reading
		Sent, Received time.Time // as in LimitRead
	}

	// PoolFragility is the record of what the targets of a pool have said, on this or another host.
	PoolFragility struct {
		Pool   string
		Record limit.Record
	}

	// PeerFragilities are the records that another host has sent.
	PeerFragilities struct{ Records []PoolFragility }

	// PlaceReleased reports to the host that gives out a brittle target's places that one is not used any more.
	PlaceReleased struct {
		Target  string
		Lease   uint64
		Refused bool // the target had no room
	}

	// leases are the places at a brittle target that are in use, by the host that gives them out.
	leases struct {
		used    []lease
		last    uint64        // number of the latest lease
		blocked time.Duration // time until which none is given out, as the target had no room
	}

	// lease is a place at a brittle target that is in use.
	lease struct {
		number uint64
		end    time.Duration // time at which it ends if it is not given back
	}
)

const (
	leaseLife     = 2 * time.Second        // time after which a place counts as free whose host has not given it back
	leaseRetry    = 12 * time.Millisecond  // time after which a host may ask again for a place when all are in use
	brittlePause  = 500 * time.Millisecond // time without places after a refusal
	unknownSlots  = 4                      // slots of a target that does not list them
	brittleRunFor = 50 * time.Millisecond  // assumed time for which a request uses a place, to spread callers that come back
)

// reduce records what a response says, for all targets of the pool.
func (e BrittleRead) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	if p := r.pools[poolName(t.spec)]; p != nil && p.plain && p.fragility.Observe(e.Reading, e.Sent, e.Received) {
		r.fragilityChanged(p, true)
	}
}

// reduce merges another host's records, and passes on what is new.
func (e PeerFragilities) reduce(r *Reducer) {
	for _, f := range e.Records {
		if p := r.pools[f.Pool]; p != nil && p.plain && p.fragility.Merge(f.Record) {
			r.fragilityChanged(p, false)
		}
	}
}

// fragilityChanged applies a new record to the pool's targets, logs and shares it.
func (r *Reducer) fragilityChanged(p *pool, own bool) {
	for _, t := range p.targets {
		t.setBrittle(p.fragility.Named)
	}
	r.emit(Effect{Kind: EffectBrittle, Name: p.name, Fragility: PoolFragility{p.name, p.fragility}, Own: own})
	r.emit(Effect{Kind: EffectShareFragilities})
	r.dispatchHeld(p)
}

func (t *targetState) setBrittle(brittle bool) {
	t.brittle = brittle
	if !t.isLimited() {
		t.places = places{asked: t.places.asked}
	}
}

// Fragilities returns the records for this host's peers: those in force and those that have ended recently.
func (r *Reducer) Fragilities(at time.Time) []PoolFragility {
	var out []PoolFragility
	for _, p := range r.poolList {
		if p.fragility.Named || !p.fragility.At.IsZero() && at.Sub(p.fragility.At) < limitShareTime {
			out = append(out, PoolFragility{p.name, p.fragility})
		}
	}
	return out
}

// lease gives out a place at a brittle target if one is free, and returns the number of its lease, else 0.
func (r *Reducer) lease(t *targetState, part float64) uint64 {
	l := &t.leases
	l.used = slices.DeleteFunc(l.used, func(e lease) bool { return e.end <= r.now })
	slots := t.spec.Slots
	if slots <= 0 {
		slots = unknownSlots
	}
	if r.now < l.blocked || len(l.used) >= max(int(part*float64(slots)), 1) {
		return 0
	}
	l.last++
	l.used = append(l.used, lease{l.last, r.now + leaseLife})
	return l.last
}

// free ends a lease.
func (l *leases) free(number uint64) {
	l.used = slices.DeleteFunc(l.used, func(e lease) bool { return e.number == number })
}

// reduce frees a place. After a refusal for lack of capacity none is given out for a while.
func (e PlaceReleased) reduce(r *Reducer) {
	t := r.targets[e.Target]
	if t == nil {
		return
	}
	t.leases.free(e.Lease)
	if e.Refused {
		t.leases.blocked = r.now + brittlePause
	}
}

// release gives the place of q at its target back, if it has one.
func (r *Reducer) release(q *request, refused bool) {
	r.releaseLease(q.target, q.lease, refused)
	q.lease = 0
}

// returnPlaces gives the places at brittle targets back for which this host has no request any more.
func (r *Reducer) returnPlaces(p *pool) {
	if !p.fragility.Named {
		return
	}
	for _, t := range p.targets {
		for len(t.places.due) > 0 {
			r.releaseLease(t, t.usePlace(), false)
		}
	}
}

// releaseLease reports the end of a lease to the host that has granted it. It does nothing for lease 0.
func (r *Reducer) releaseLease(t *targetState, lease uint64, refused bool) {
	if lease != 0 {
		r.emit(Effect{Kind: EffectRelease, Target: t.spec.Name, To: t.spec, Lease: lease, Refused: refused})
	}
}
