// Package host runs one entry host: a loop that feeds events to the reducer and
// carries out its effects, and what it needs around it.
package host

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
)

type (
	// A Host is one entry host. Run must be running for it to decide anything.
	Host struct {
		name      string
		decide    []dispatch.Option
		reducer   *dispatch.Reducer
		log       *event.Log
		inbox     chan message
		done      chan struct{}
		engines   adapters[target.Engine]
		nextID    atomic.Uint64
		inForce   atomic.Pointer[table.Table]
		bookings  map[dispatch.ID]*Booking
		incarnate string
		stopping  atomic.Bool
		draining  atomic.Bool   // not ready, and still taking requests
		leaving   chan struct{} // closed when the host stops
		open      gate
		observer  Observer
		loadEvery time.Duration
		samples   []dispatch.Sample
		domain    string
		ticked    time.Time
		services  adapters[target.Service]
		tickets   *ticket.Ledger
		mesh      *peer.Mesh       // nil for a host without peers
		keeper    *registry.Keeper // nil for a host that watches a published table
		listed    atomic.Bool      // whether a list of targets has come
		asking    atomic.Bool      // whether a peer is being asked for what is published
		unshared  bool             // readings are neither passed on to peers nor taken from them
		walled    time.Time        // wall clock at the last tick
		published sheetCache
		asker     Asker // nil if targets cannot be asked
	}

	// An Observer is told of what happens, for metrics.
	Observer interface {
		Effect(e dispatch.Effect)
		Ended(b *Booking, r relay.Result)
	}

	// A Booking is one request on this host, from its submission to its end.
	Booking struct {
		ID       dispatch.ID
		Submit   dispatch.Submit
		Name     string // identifier in the time line
		Track    relay.Track
		host     *Host
		verdicts chan dispatch.Effect
		cancel   context.CancelFunc // ends the relay
		target   string
		moving   string // target that a move is to bring it to
		moves    chan dispatch.Effect
	}

	// message is an event on its way to the reducer, or a question to the loop.
	message struct {
		event   dispatch.Event
		booking *Booking
		ask     func(*dispatch.Reducer)
	}

	// An Asker asks targets about themselves.
	Asker interface {
		// Leaving reports whether the target at an address is about to end, and when; 0
		// if it does not say.
		Leaving(ctx context.Context, at netip.AddrPort) (bool, time.Duration, error)
	}

	// An Option changes a Host.
	Option interface{ apply(*Host) }

	withDispatch  []dispatch.Option
	withObserver  struct{ observer Observer }
	withLoadEvery time.Duration
	withEngines   func(netip.AddrPort) target.Engine
	withSharing   bool
	withAsker     struct{ asker Asker }
	withDomain    string
)

const (
	inboxSize       = 1024
	sampleEvery     = 25 * time.Millisecond
	checkEvery      = time.Second
	defaultLoadPoll = 500 * time.Millisecond
	verdictRoom     = 8
	sleptFrom       = 2 * time.Second
)

// WithDispatch passes options to the reducer.
func WithDispatch(opts ...dispatch.Option) Option { return withDispatch(opts) }

// WithObserver sets who is told of what happens.
func WithObserver(o Observer) Option { return withObserver{o} }

// WithLoadEvery sets how often the load of each target is asked for.
func WithLoadEvery(d time.Duration) Option { return withLoadEvery(d) }

// WithDomain sets the failure domain of the host and of the targets that it uses.
func WithDomain(name string) Option { return withDomain(name) }

// WithSharing sets whether what is published is shared with peers. A host that does not
// share reads for itself.
func WithSharing(on bool) Option { return withSharing(on) }

// WithAsker lets the host ask targets about themselves when it cannot read of them.
func WithAsker(a Asker) Option { return withAsker{a} }

// WithEngines replaces the adapter to engines.
func WithEngines(f func(netip.AddrPort) target.Engine) Option { return withEngines(f) }

func (o withDispatch) apply(h *Host)  { h.decide = append(h.decide, o...) }
func (o withObserver) apply(h *Host)  { h.observer = o.observer }
func (o withLoadEvery) apply(h *Host) { h.loadEvery = time.Duration(o) }
func (o withEngines) apply(h *Host)   { h.engines.make = o }
func (o withAsker) apply(h *Host)     { h.asker = o.asker }
func (o withSharing) apply(h *Host)   { h.unshared = !bool(o) }
func (o withDomain) apply(h *Host) {
	h.domain = string(o)
	h.decide = append(h.decide, dispatch.WithDomain(string(o)))
}

// NewHost returns a host that writes its events to a log.
func NewHost(log *event.Log, opts ...Option) *Host {
	h := &Host{
		name:      log.Host(),
		log:       log,
		inbox:     make(chan message, inboxSize),
		done:      make(chan struct{}),
		leaving:   make(chan struct{}),
		bookings:  map[dispatch.ID]*Booking{},
		incarnate: strconv.FormatInt(time.Now().UnixNano(), 36),
		loadEvery: defaultLoadPoll,
		observer:  noObserver{},
		tickets:   ticket.NewLedger(),
	}
	h.engines.make = target.NewResponses
	h.services.make = target.NewService
	for _, o := range opts {
		o.apply(h)
	}
	h.decide = append(h.decide, dispatch.WithOrigin(h.origin()))
	h.reducer = dispatch.NewReducer(h.decide...)
	return h
}

// noObserver observes nothing.
type noObserver struct{}

func (noObserver) Effect(dispatch.Effect)       {}
func (noObserver) Ended(*Booking, relay.Result) {}

// origin names this run of the host to its peers.
func (h *Host) origin() string { return h.name + "/" + h.incarnate }

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Incarnation returns what tells this run of the host from others.
func (h *Host) Incarnation() string { return h.incarnate }

// Log returns the host's time line.
func (h *Host) Log() *event.Log { return h.log }

// Table returns the table in force, nil before the first.
func (h *Host) Table() *table.Table { return h.inForce.Load() }

// Ready reports whether the host takes requests.
func (h *Host) Ready() bool {
	return h.Table() != nil && h.Listed() && !h.draining.Load() && !h.stopping.Load()
}

// Leaving returns a channel that is closed when the host begins to stop.
func (h *Host) Leaving() <-chan struct{} { return h.leaving }

// Active returns the number of requests on this host.
func (h *Host) Active() int { return h.open.count() }

// Engine returns the adapter to a target.
func (h *Host) Engine(name string) (target.Engine, bool) {
	t := h.Table()
	if t == nil {
		return nil, false
	}
	spec, ok := t.Targets[name]
	if !ok {
		return nil, false
	}
	return h.engines.at(spec.Address), true
}

// Post hands an event to the reducer.
func (h *Host) Post(e dispatch.Event) { h.send(message{event: e}) }

func (h *Host) send(m message) {
	select {
	case h.inbox <- m:
	case <-h.done:
	}
}

// Ask runs f on the loop, where it may read the reducer. It reports false if the
// loop has ended.
func (h *Host) Ask(f func(*dispatch.Reducer)) bool {
	answered := make(chan struct{})
	h.send(message{ask: func(r *dispatch.Reducer) { f(r); close(answered) }})
	select {
	case <-answered:
		return true
	case <-h.done:
		return false
	}
}

// Run feeds the reducer until ctx ends.
func (h *Host) Run(ctx context.Context) {
	defer close(h.done)
	defer h.endAll()
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	checked := time.Now()
	go h.pollLoads(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-h.inbox:
			h.take(m, timer)
		case now := <-ticker.C:
			h.awake(now)
			h.reduce(h.progress(), timer)
			h.blind(timer)
			if now.Sub(checked) >= checkEvery {
				checked = now
				h.reduce(dispatch.Tick{}, timer)
				h.check()
				h.tickets.Expire(now)
			}
		case <-timer.C:
			h.reduce(dispatch.Tick{}, timer)
		}
	}
}

// awake notes a pause of the process. What the host held by then has expired by its
// age: reports of targets and peers count no more until they are renewed.
func (h *Host) awake(now time.Time) {
	// The monotonic clock does not count a suspension of the machine; the wall clock
	// does, and a step of it only costs a reading.
	wall := now.Round(0)
	slept := max(now.Sub(h.ticked), wall.Sub(h.walled))
	if !h.ticked.IsZero() && slept > sleptFrom {
		h.log.Emit(event.HostSlept, event.Fields{Detail: slept.String()})
		if h.keeper != nil {
			go h.keeper.Wake()
		}
	}
	h.ticked, h.walled = now, wall
}

// endAll tells whoever still waits that the loop has ended.
func (h *Host) endAll() {
	for _, b := range h.bookings {
		b.tell(dispatch.Effect{Kind: dispatch.EffectRefuse, ID: b.ID, Answer: answer.KindStopping})
	}
}

func (h *Host) take(m message, timer *time.Timer) {
	if m.ask != nil {
		m.ask(h.reducer)
		return
	}
	if m.booking != nil {
		h.bookings[m.booking.ID] = m.booking
	}
	h.reduce(m.event, timer)
	if c, ok := m.event.(dispatch.TableChange); ok {
		h.applied(c.Table)
	}
}

func (h *Host) applied(t *table.Table) {
	if h.reducer.Table() != t {
		h.log.Emit(event.TableStale, event.Fields{Table: t.Version})
		return
	}
	first := h.inForce.Swap(t) == nil
	h.log.Emit(event.TableApplied, event.Fields{Table: t.Version})
	if first {
		h.log.Emit(event.HostReady, event.Fields{Table: t.Version})
	}
}

// progress samples the running streams.
func (h *Host) progress() dispatch.Event {
	h.samples = h.samples[:0]
	for id, b := range h.bookings {
		if b.target == "" || b.Submit.Plain {
			continue
		}
		h.samples = append(h.samples, dispatch.Sample{
			ID:     id,
			Tokens: b.Track.Tokens(),
			Last:   b.Track.Last(),
			Queued: b.Track.Queued(),
		})
	}
	return dispatch.Progress{Samples: h.samples}
}

// check asserts the invariants of the books.
func (h *Host) check() {
	if err := h.reducer.Check(); err != nil {
		h.log.Emit(event.HostFault, event.Fields{Detail: err.Error()})
	}
}

func (h *Host) reduce(e dispatch.Event, timer *time.Timer) {
	for _, f := range h.reducer.Reduce(time.Now(), e) {
		h.observer.Effect(f)
		h.perform(f, timer)
	}
}

// perform carries out an effect.
func (h *Host) perform(f dispatch.Effect, timer *time.Timer) {
	if f.Kind == dispatch.EffectTimer {
		timer.Reset(time.Until(f.At))
		return
	}
	if f.Kind == dispatch.EffectAsk {
		go h.ask(f.To)
		return
	}
	b := h.bookings[f.ID]
	if b == nil {
		return
	}
	switch f.Kind {
	case dispatch.EffectDispatch:
		b.target = f.Target
		h.log.Emit(event.RequestDispatched, event.Fields{
			Request: b.Name, Organisation: b.Submit.Organisation, Target: f.Target,
			Values: append(h.basis(f.Basis), "backup", f.Backup.Name),
		})
		b.tell(f)
	case dispatch.EffectRefuse:
		delete(h.bookings, f.ID)
		h.log.Emit(event.RequestRefused, event.Fields{
			Request: b.Name, Organisation: b.Submit.Organisation, Detail: f.Answer.String(),
			Values: append(h.basis(f.Basis), "retry_ms", f.Retry.Milliseconds()),
		})
		b.tell(f)
	case dispatch.EffectMove:
		b.moving = f.To.Name
		h.log.Emit(event.MoveAsked, event.Fields{
			Request: b.Name, Organisation: b.Submit.Organisation, Target: f.Target, Values: append(h.basis(f.Basis), "to", f.To.Name, "backup", f.Ready, "next_backup", f.Backup.Name),
		})
		b.tellMove(f)
	case dispatch.EffectStay:
		b.tellMove(f)
	case dispatch.EffectResume:
		b.Track.Kick()
	case dispatch.EffectCancel:
		delete(h.bookings, f.ID)
		h.log.Emit(event.RequestCancelled, event.Fields{Request: b.Name, Target: f.Target})
		b.cancel()
	}
}

// basis returns what a decision rested on, with its age, for the log.
func (h *Host) basis(b dispatch.Basis) []any {
	out := []any{
		"attempt", b.Attempt, "held_ms", b.Held.Milliseconds(), "streams", b.Streams,
		"targets", b.Targets, "open", b.Open, "room", b.Room, "table_in_force", b.Table,
	}
	if b.Away {
		out = append(out, "away", true)
	}
	if h.keeper != nil {
		out = append(out, "fleet", b.Fleet, "fleet_age_ms", h.keeper.Age().Milliseconds())
	}
	return out
}

// tell hands a verdict to the request's goroutine. There is room for every verdict
// that a request can get.
func (b *Booking) tell(f dispatch.Effect) {
	select {
	case b.verdicts <- f:
	default:
	}
}
