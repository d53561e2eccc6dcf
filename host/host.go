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
		name            string
		dispatchOptions []dispatch.Option
		reducer         *dispatch.Reducer
		log             *event.Log
		inbox           chan message
		done            chan struct{}
		engines         adapterCache[target.Engine]
		nextID          atomic.Uint64
		table           atomic.Pointer[table.Table]
		requests        map[dispatch.ID]*Booking
		incarnation     string
		stopping        atomic.Bool
		draining        atomic.Bool   // not ready, and still taking requests
		stopSignal      chan struct{} // closed when the host stops
		inFlight        inFlightCounter
		observer        Observer
		loadInterval    time.Duration
		samples         []dispatch.Sample
		domain          string
		lastTick        time.Time
		services        adapterCache[target.Service]
		tickets         *ticket.Ledger
		mesh            *peer.Mesh       // nil for a host without peers
		syncer          *registry.Syncer // nil for a host that watches a published table
		hasTargets      atomic.Bool      // whether a list of targets has come
		fetching        atomic.Bool      // whether a peer is being asked for what is published
		sharingDisabled bool             // readings are neither passed on to peers nor taken from them
		lastWallClock   time.Time        // wall clock at the last tick
		tableCache      tableCache
		statusQuerier   Asker // nil if targets cannot be asked
	}

	// An Observer is told of what happens, for metrics.
	Observer interface {
		Effect(e dispatch.Effect)
		Ended(r *Booking, result relay.Result)
	}

	// A Booking is one request on this host, from its submission to its end.
	Booking struct {
		ID         dispatch.ID
		Submit     dispatch.Submit
		Name       string // identifier in the time line
		Track      relay.Track
		host       *Host
		decisions  chan dispatch.Effect
		cancel     context.CancelFunc // ends the relay
		target     string
		moveTarget string // target that a move is to bring it to
		moves      chan dispatch.Effect
	}

	// message is an event on its way to the reducer, or a question to the loop.
	message struct {
		event   dispatch.Event
		request *Booking
		query   func(*dispatch.Reducer)
	}

	// An Asker asks targets about themselves.
	Asker interface {
		// Leaving reports whether the target at an address is about to end, and when; 0
		// if it does not say.
		Leaving(ctx context.Context, at netip.AddrPort) (bool, time.Duration, error)
	}

	// An Option changes a Host.
	Option interface{ apply(*Host) }

	withDispatch      []dispatch.Option
	withObserver      struct{ observer Observer }
	withLoadInterval  time.Duration
	withEngines       func(netip.AddrPort) target.Engine
	withSharing       bool
	withStatusQuerier struct{ querier Asker }
	withDomain        string
)

const (
	inboxSize           = 1024
	sampleInterval      = 25 * time.Millisecond
	checkInterval       = time.Second
	defaultLoadInterval = 500 * time.Millisecond
	decisionBuffer      = 8
	pauseThreshold      = 2 * time.Second
)

// WithDispatch passes options to the reducer.
func WithDispatch(opts ...dispatch.Option) Option { return withDispatch(opts) }

// WithObserver sets who is told of what happens.
func WithObserver(o Observer) Option { return withObserver{o} }

// WithLoadInterval sets how often the load of each target is asked for.
func WithLoadInterval(d time.Duration) Option { return withLoadInterval(d) }

// WithDomain sets the failure domain of the host and of the targets that it uses.
func WithDomain(name string) Option { return withDomain(name) }

// WithSharing sets whether what is published is shared with peers. A host that does not
// share reads for itself.
func WithSharing(on bool) Option { return withSharing(on) }

// WithAsker lets the host ask targets about themselves when it cannot read of them.
func WithAsker(a Asker) Option { return withStatusQuerier{a} }

// WithEngines replaces the adapter to engines.
func WithEngines(f func(netip.AddrPort) target.Engine) Option { return withEngines(f) }

func (o withDispatch) apply(h *Host)      { h.dispatchOptions = append(h.dispatchOptions, o...) }
func (o withObserver) apply(h *Host)      { h.observer = o.observer }
func (o withLoadInterval) apply(h *Host)  { h.loadInterval = time.Duration(o) }
func (o withEngines) apply(h *Host)       { h.engines.newAdapter = o }
func (o withStatusQuerier) apply(h *Host) { h.statusQuerier = o.querier }
func (o withSharing) apply(h *Host)       { h.sharingDisabled = !bool(o) }
func (o withDomain) apply(h *Host) {
	h.domain = string(o)
	h.dispatchOptions = append(h.dispatchOptions, dispatch.WithDomain(string(o)))
}

// NewHost returns a host that writes its events to a log.
func NewHost(log *event.Log, opts ...Option) *Host {
	h := &Host{
		name:         log.Host(),
		log:          log,
		inbox:        make(chan message, inboxSize),
		done:         make(chan struct{}),
		stopSignal:   make(chan struct{}),
		requests:     map[dispatch.ID]*Booking{},
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		loadInterval: defaultLoadInterval,
		observer:     nopObserver{},
		tickets:      ticket.NewLedger(),
	}
	h.engines.newAdapter = target.NewResponses
	h.services.newAdapter = target.NewService
	for _, o := range opts {
		o.apply(h)
	}
	h.dispatchOptions = append(h.dispatchOptions, dispatch.WithOrigin(h.origin()))
	h.reducer = dispatch.NewReducer(h.dispatchOptions...)
	return h
}

// nopObserver observes nothing.
type nopObserver struct{}

func (nopObserver) Effect(dispatch.Effect)       {}
func (nopObserver) Ended(*Booking, relay.Result) {}

// origin names this run of the host to its peers.
func (h *Host) origin() string { return h.name + "/" + h.incarnation }

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Incarnation returns what tells this run of the host from others.
func (h *Host) Incarnation() string { return h.incarnation }

// Log returns the host's time line.
func (h *Host) Log() *event.Log { return h.log }

// Table returns the table in force, nil before the first.
func (h *Host) Table() *table.Table { return h.table.Load() }

// Ready reports whether the host takes requests.
func (h *Host) Ready() bool {
	return h.Table() != nil && h.Listed() && !h.draining.Load() && !h.stopping.Load()
}

// Leaving returns a channel that is closed when the host begins to stop.
func (h *Host) Leaving() <-chan struct{} { return h.stopSignal }

// Active returns the number of requests on this host.
func (h *Host) Active() int { return h.inFlight.count() }

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
	return h.engines.get(spec.Address), true
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
	h.send(message{query: func(r *dispatch.Reducer) { f(r); close(answered) }})
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
	defer h.refuseWaiting()
	ticker := time.NewTicker(sampleInterval)
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
			h.handle(m, timer)
		case now := <-ticker.C:
			h.detectPause(now)
			h.reduce(h.sampleProgress(), timer)
			h.reportListAge(timer)
			if now.Sub(checked) >= checkInterval {
				checked = now
				h.reduce(dispatch.Tick{}, timer)
				h.checkInvariants()
				h.tickets.Expire(now)
			}
		case <-timer.C:
			h.reduce(dispatch.Tick{}, timer)
		}
	}
}

// detectPause notes a pause of the process. What the host held by then has expired by its
// age: reports of targets and peers count no more until they are renewed.
func (h *Host) detectPause(now time.Time) {
	// The monotonic clock does not count a suspension of the machine; the wall clock
	// does, and a step of it only costs a reading.
	wall := now.Round(0)
	slept := max(now.Sub(h.lastTick), wall.Sub(h.lastWallClock))
	if !h.lastTick.IsZero() && slept > pauseThreshold {
		h.log.Emit(event.HostSlept, event.Fields{Detail: slept.String()})
		if h.syncer != nil {
			go h.syncer.ResetFreshness()
		}
	}
	h.lastTick, h.lastWallClock = now, wall
}

// refuseWaiting tells whoever still waits that the loop has ended.
func (h *Host) refuseWaiting() {
	for _, r := range h.requests {
		r.deliver(dispatch.Effect{Kind: dispatch.EffectRefuse, ID: r.ID, Answer: answer.KindStopping})
	}
}

func (h *Host) handle(m message, timer *time.Timer) {
	if m.query != nil {
		m.query(h.reducer)
		return
	}
	if m.request != nil {
		h.requests[m.request.ID] = m.request
	}
	h.reduce(m.event, timer)
	if c, ok := m.event.(dispatch.TableChange); ok {
		h.tableApplied(c.Table)
	}
}

func (h *Host) tableApplied(t *table.Table) {
	if h.reducer.Table() != t {
		h.log.Emit(event.TableStale, event.Fields{Table: t.Version})
		return
	}
	first := h.table.Swap(t) == nil
	h.log.Emit(event.TableApplied, event.Fields{Table: t.Version})
	if first {
		h.log.Emit(event.HostReady, event.Fields{Table: t.Version})
	}
}

// sampleProgress samples the running streams.
func (h *Host) sampleProgress() dispatch.Event {
	h.samples = h.samples[:0]
	for id, r := range h.requests {
		if r.target == "" || r.Submit.Plain {
			continue
		}
		h.samples = append(h.samples, dispatch.Sample{
			ID:     id,
			Tokens: r.Track.Tokens(),
			Last:   r.Track.Last(),
			Queued: r.Track.Queued(),
		})
	}
	return dispatch.Progress{Samples: h.samples}
}

// checkInvariants asserts the invariants of the books.
func (h *Host) checkInvariants() {
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
		go h.queryLeaving(f.To)
		return
	}
	r := h.requests[f.ID]
	if r == nil {
		return
	}
	switch f.Kind {
	case dispatch.EffectDispatch:
		r.target = f.Target
		h.log.Emit(event.RequestDispatched, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Target: f.Target,
			Values: append(h.basisValues(f.Basis), "backup", f.Backup.Name),
		})
		r.deliver(f)
	case dispatch.EffectRefuse:
		delete(h.requests, f.ID)
		h.log.Emit(event.RequestRefused, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Detail: f.Answer.String(),
			Values: append(h.basisValues(f.Basis), "retry_ms", f.Retry.Milliseconds()),
		})
		r.deliver(f)
	case dispatch.EffectMove:
		r.moveTarget = f.To.Name
		h.log.Emit(event.MoveAsked, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Target: f.Target, Values: append(h.basisValues(f.Basis), "to", f.To.Name, "backup", f.Ready, "next_backup", f.Backup.Name),
		})
		r.deliverMove(f)
	case dispatch.EffectStay:
		r.deliverMove(f)
	case dispatch.EffectResume:
		r.Track.Kick()
	case dispatch.EffectCancel:
		delete(h.requests, f.ID)
		h.log.Emit(event.RequestCancelled, event.Fields{Request: r.Name, Target: f.Target})
		r.cancel()
	}
}

// basisValues returns what a decision rested on, with its age, for the log.
func (h *Host) basisValues(b dispatch.Basis) []any {
	out := []any{
		"attempt", b.Attempt, "held_ms", b.Held.Milliseconds(), "streams", b.Streams,
		"targets", b.Targets, "open", b.Open, "room", b.Room, "table_in_force", b.Table,
	}
	if b.Away {
		out = append(out, "away", true)
	}
	if h.syncer != nil {
		out = append(out, "fleet", b.Fleet, "fleet_age_ms", h.syncer.Age().Milliseconds())
	}
	return out
}

// deliver hands a verdict to the request's goroutine. There is room for every verdict
// that a request can get.
func (r *Booking) deliver(f dispatch.Effect) {
	select {
	case r.decisions <- f:
	default:
	}
}
