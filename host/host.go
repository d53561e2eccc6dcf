// Package host runs one entry host. An event loop passes events to the reducer of package dispatch
// and performs its effects; around it are the connections to peers, to targets and to the source of
// the published state.
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
	// A Host is one entry host. It makes decisions only while Run is running.
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
		requests        map[dispatch.ID]*Request
		incarnation     string
		stopping        atomic.Bool
		draining        atomic.Bool   // Drain was called: not ready, but still accepting requests
		stopSignal      chan struct{} // closed by Stop
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
		hasTargets      atomic.Bool      // whether a list of targets has been received
		fetching        atomic.Bool      // whether a fetch of published state from a peer is in progress
		sharingDisabled bool             // updates are neither sent to peers nor accepted from them
		lastWallClock   time.Time        // wall clock time of the last tick
		tableCache      tableCache
		statusQuerier   StatusQuerier // nil if targets cannot be queried
	}

	// An Observer is called for each effect and each finished attempt, for metrics.
	Observer interface {
		Effect(e dispatch.Effect)
		AttemptEnded(r *Request, result relay.Result)
	}

	// A Request is the state of one request on this host, from its submission to its end.
	Request struct {
		ID         dispatch.ID
		Submit     dispatch.Submit
		Name       string // identifier in the event log
		Track      relay.Progress
		host       *Host
		decisions  chan dispatch.Effect
		cancel     context.CancelFunc // stops the relay
		target     string
		moveTarget string // destination of the last move that the reducer requested
		moves      chan dispatch.Effect
	}

	// A message to the loop holds either an event for the reducer, with its request if the event
	// submits one, or a query, a function to be called on the loop.
	message struct {
		event   dispatch.Event
		request *Request
		query   func(*dispatch.Reducer)
	}

	// A StatusQuerier queries targets for their status.
	StatusQuerier interface {
		// Leaving reports whether the target at an address is about to stop, and the
		// time until then, 0 if the target does not give it.
		Leaving(ctx context.Context, at netip.AddrPort) (bool, time.Duration, error)
	}

	// An Option configures a Host.
	Option interface{ apply(*Host) }

	withDispatch      []dispatch.Option
	withObserver      struct{ observer Observer }
	withLoadInterval  time.Duration
	withEngines       func(netip.AddrPort) target.Engine
	withSharing       bool
	withStatusQuerier struct{ querier StatusQuerier }
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

// WithObserver sets the host's observer.
func WithObserver(o Observer) Option { return withObserver{o} }

// WithLoadInterval sets the average time between two reads of a target's load.
func WithLoadInterval(d time.Duration) Option { return withLoadInterval(d) }

// WithDomain sets the failure domain of the host and of the targets that it uses.
func WithDomain(name string) Option { return withDomain(name) }

// WithSharing sets whether the host exchanges the published state with its peers. A host that does
// not reads the source itself.
func WithSharing(on bool) Option { return withSharing(on) }

// WithStatusQuerier lets the host query targets for their status while its list of targets is stale.
func WithStatusQuerier(a StatusQuerier) Option { return withStatusQuerier{a} }

// WithEngines sets the function that creates the adapter for an engine.
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
		requests:     map[dispatch.ID]*Request{},
		incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		loadInterval: defaultLoadInterval,
		observer:     nopObserver{},
		tickets:      ticket.NewLedger(),
	}
	h.engines.newAdapter = target.NewResponsesEngine
	h.services.newAdapter = target.NewService
	for _, o := range opts {
		o.apply(h)
	}
	h.dispatchOptions = append(h.dispatchOptions, dispatch.WithOrigin(h.origin()))
	h.reducer = dispatch.NewReducer(h.dispatchOptions...)
	return h
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) Effect(dispatch.Effect)              {}
func (nopObserver) AttemptEnded(*Request, relay.Result) {}

// origin identifies this run of the host in reports to peers.
func (h *Host) origin() string { return h.name + "/" + h.incarnation }

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Incarnation returns the identifier of this run of the host.
func (h *Host) Incarnation() string { return h.incarnation }

// Log returns the host's event log.
func (h *Host) Log() *event.Log { return h.log }

// Table returns the table in effect, or nil before the first one.
func (h *Host) Table() *table.Table { return h.table.Load() }

// Ready reports whether the host has a table and its targets and is neither draining nor stopping.
func (h *Host) Ready() bool {
	return h.Table() != nil && h.HasTargets() && !h.draining.Load() && !h.stopping.Load()
}

// Stopping returns a channel that is closed when Stop is called.
func (h *Host) Stopping() <-chan struct{} { return h.stopSignal }

// InFlight returns the number of requests in flight on this host.
func (h *Host) InFlight() int { return h.inFlight.count() }

// Engine returns the adapter for a target of the current table.
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

// Post sends an event to the reducer. It does nothing after Run has returned.
func (h *Host) Post(e dispatch.Event) { h.send(message{event: e}) }

func (h *Host) send(m message) {
	select {
	case h.inbox <- m:
	case <-h.done:
	}
}

// Inspect calls f on the event loop, where f may access the reducer, and waits for it. It reports false
// if the loop has ended.
func (h *Host) Inspect(f func(*dispatch.Reducer)) bool {
	answered := make(chan struct{})
	h.send(message{query: func(r *dispatch.Reducer) { f(r); close(answered) }})
	select {
	case <-answered:
		return true
	case <-h.done:
		return false
	}
}

// Run runs the event loop until ctx is done.
func (h *Host) Run(ctx context.Context) {
	defer close(h.done)
	defer h.refuseWaitingRequests()
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
			h.reportTargetListAge(timer)
			if now.Sub(checked) >= checkInterval {
				checked = now
				h.reduce(dispatch.Tick{}, timer)
				h.checkInvariants()
				h.tickets.DeleteExpired(now)
			}
		case <-timer.C:
			h.reduce(dispatch.Tick{}, timer)
		}
	}
}

// detectPause detects and logs a pause of the process of more than pauseThreshold, and makes the
// syncer read the source. Reports of targets and peers from before the pause need no handling: they
// have expired by their age.
func (h *Host) detectPause(now time.Time) {
	// The monotonic clock does not advance while the machine is suspended; the wall clock does,
	// and a step of it causes only a superfluous read.
	wall := now.Round(0)
	paused := max(now.Sub(h.lastTick), wall.Sub(h.lastWallClock))
	if !h.lastTick.IsZero() && paused > pauseThreshold {
		h.log.Emit(event.HostSlept, event.Fields{Detail: paused.String()})
		if h.syncer != nil {
			go h.syncer.HandlePause()
		}
	}
	h.lastTick, h.lastWallClock = now, wall
}

// refuseWaitingRequests refuses the requests that still wait for a decision when the loop ends.
func (h *Host) refuseWaitingRequests() {
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
		h.storeAppliedTable(c.Table)
	}
}

func (h *Host) storeAppliedTable(t *table.Table) {
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

// sampleProgress returns a sample of each running stream's progress.
func (h *Host) sampleProgress() dispatch.Event {
	h.samples = h.samples[:0]
	for id, r := range h.requests {
		if r.target == "" || r.Submit.Plain {
			continue
		}
		h.samples = append(h.samples, dispatch.Sample{
			ID:           id,
			Tokens:       r.Track.Tokens(),
			LastToken:    r.Track.LastToken(),
			EngineQueued: r.Track.Queued(),
		})
	}
	return dispatch.Progress{Samples: h.samples}
}

// checkInvariants checks the reducer's invariants and logs a violation.
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

// perform performs an effect of the reducer.
func (h *Host) perform(f dispatch.Effect, timer *time.Timer) {
	if f.Kind == dispatch.EffectTimer {
		timer.Reset(time.Until(f.At))
		return
	}
	if f.Kind == dispatch.EffectQueryLeaving {
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
			Values: append(h.basisValues(f.Basis), "retry_ms", f.RetryAfter.Milliseconds()),
		})
		r.deliver(f)
	case dispatch.EffectMove:
		r.moveTarget = f.To.Name
		h.log.Emit(event.MoveAsked, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Target: f.Target, Values: append(h.basisValues(f.Basis), "to", f.To.Name, "backup", f.ToBackup, "next_backup", f.Backup.Name),
		})
		r.deliverMove(f)
	case dispatch.EffectNoMove:
		r.deliverMove(f)
	case dispatch.EffectResume:
		r.Track.Reconnect()
	case dispatch.EffectCancel:
		delete(h.requests, f.ID)
		h.log.Emit(event.RequestCancelled, event.Fields{Request: r.Name, Target: f.Target})
		r.cancel()
	}
}

// basisValues returns the inputs of a decision, and the age of the list of targets, as log values.
func (h *Host) basisValues(b dispatch.Basis) []any {
	out := []any{
		"attempt", b.Attempt, "held_ms", b.HeldFor.Milliseconds(), "streams", b.Streams,
		"targets", b.Targets, "open", b.OpenTargets, "room", b.WithCapacity, "table_in_force", b.TableVersion,
	}
	if b.OtherDomain {
		out = append(out, "away", true)
	}
	if h.syncer != nil {
		out = append(out, "fleet", b.FleetRevision, "fleet_age_ms", h.syncer.Age().Milliseconds())
	}
	return out
}

// deliver sends a decision to the request's goroutine. It does not block: the buffer has space for
// every decision that a request can get.
func (r *Request) deliver(f dispatch.Effect) {
	select {
	case r.decisions <- f:
	default:
	}
}
