// Package host runs one entry host, which accepts requests and forwards them to targets. An event
// loop passes events to the reducer of package dispatch and performs the effects that the reducer
// returns. The package also connects the loop to peers, to targets and to the source of the
// published configuration and targets.
package host

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
)

type (
	// A Host is one entry host. Requests are dispatched only while Run is running.
	Host struct {
		name            string
		dispatchOptions []dispatch.Option
		reducer         *dispatch.Reducer // used only on the event loop, as are requests and samples
		log             *event.Log
		inbox           chan message  // messages to the event loop
		done            chan struct{} // closed when Run returns
		engines         adapterCache[target.Engine]
		nextID          atomic.Uint64               // ID of the newest request
		table           atomic.Pointer[table.Table] // table in effect; nil before the first one
		requests        map[dispatch.ID]*Request    // requests that have not ended
		incarnation     string                      // identifies this run of the host: its start time as a number
		stopping        atomic.Bool                 // Stop was called
		drainUntil      atomic.Pointer[time.Time]   // end of the stop that Drain announced; nil before
		relaysEnded     atomic.Bool                 // EndRelays was called
		stopRecord      stopRecord
		draining        atomic.Bool   // Drain was called: the host is not ready but may still accept requests
		stopSignal      chan struct{} // closed by Stop
		inFlight        inFlightCounter
		observer        Observer
		loadInterval    time.Duration     // average time between two reads of an engine's load
		samples         []dispatch.Sample // buffer of sampleProgress
		domain          string            // failure domain; empty if it uses the targets of all domains
		lastTick        time.Time         // time of the last tick, on the monotonic clock
		services        adapterCache[target.Service]
		tickets         *ticket.Ledger
		mesh            *peer.Mesh                        // nil for a host without peers
		syncer          *registry.Syncer                  // nil for a host that watches a published table
		hasTargets      atomic.Bool                       // whether the syncer has passed on a list of targets
		fetching        atomic.Bool                       // whether a fetch of the table or the published state from a peer is in progress
		sharingDisabled bool                              // updates of the published state are neither sent to peers nor accepted from them
		lastWallClock   time.Time                         // wall clock time of the last tick
		forwarded       atomic.Pointer[publishedRevision] // of the latest update that was passed on to hosts of the domain; nil if none
		placements      placements
		suspects        suspects
		tableCache      tableCache      // newest published table, for peers
		statusQuerier   StatusQuerier   // nil if targets cannot be queried
		network         network.Network // on which targets are probed
		detours         *detour.Network // opens connections to targets for peers; nil if this host does not
		listed          listedAddresses
		evacuations     evacuations
		suspectSharing  sharing
		limitSharing    sharing
		leaverSharing   sharing
		brittleSharing  sharing
		loop            loopWatch
		slowEvent       time.Duration // see WithSlowEvent
	}

	// An Observer records metrics. The host calls Effect on the event loop for each effect of
	// the reducer, EventReduced with the time that an event and its effects took, and AttemptEnded for each
	// attempt that has ended.
	Observer interface {
		Effect(e dispatch.Effect)
		EventReduced(took time.Duration)
		AttemptEnded(r *Request, result relay.Result)
	}

	// A Request is the state of one request on this host, from Submit or Attach until Release.
	Request struct {
		ID         dispatch.ID
		Submit     dispatch.Submit
		Name       string         // identifier in the event log
		Progress   relay.Progress // progress of the response, updated by the relay
		host       *Host
		decisions  chan dispatch.Effect // effects that WaitDecision returns
		cancel     context.CancelFunc   // stops the relay
		target     string               // target of the current attempt; empty before the first dispatch
		started    bool                 // the first token of the stream was sampled
		moveTarget string               // destination of the last move that the reducer requested
		submitted  time.Time            // time of Submit or Attach
		estimate   atomic.Int64         // see RunEstimate, in nanoseconds
		moves      chan dispatch.Effect // effects that Moves returns
	}

	// A message is sent to the event loop. It holds either an event for the reducer, with the
	// request if the event submits or attaches one, or a query, which is a function to be called
	// on the loop.
	message struct {
		event   dispatch.Event
		request *Request
		query   func(*dispatch.Reducer)
	}

	// A StatusQuerier asks targets directly whether they are about to stop.
	StatusQuerier interface {
		// Leaving reports whether the target at the given address is about to stop, and
		// the time until it stops; 0 if the target does not report the time.
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
	withNetwork       struct{ network network.Network }
	withDetours       struct{ detours *detour.Network }
)

const (
	inboxSize           = 1024                   // messages queued for the event loop
	sampleInterval      = 25 * time.Millisecond  // between two samples of the progress of all requests
	checkInterval       = time.Second            // between two checks of the reducer's invariants
	defaultLoadInterval = 500 * time.Millisecond // default of WithLoadInterval
	decisionBuffer      = 8                      // capacity of a request's decisions and moves channels
	pauseThreshold      = 2 * time.Second        // time between two ticks above which the process was paused
)

// WithDispatch adds options for the reducer.
func WithDispatch(opts ...dispatch.Option) Option { return withDispatch(opts) }

// WithObserver sets the host's observer.
func WithObserver(o Observer) Option { return withObserver{o} }

// WithLoadInterval sets the average time between two reads of an engine's load.
func WithLoadInterval(d time.Duration) Option { return withLoadInterval(d) }

// WithDomain sets the failure domain of the host, whose targets it uses. Empty means the targets of
// all failure domains.
func WithDomain(name string) Option { return withDomain(name) }

// WithSharing sets whether the host exchanges the published state with its peers, which is the
// default. A host without sharing always reads the source itself.
func WithSharing(on bool) Option { return withSharing(on) }

// WithStatusQuerier makes the host ask targets whether they are about to stop while its list of
// targets is stale.
func WithStatusQuerier(a StatusQuerier) Option { return withStatusQuerier{a} }

// WithNetwork sets the network on which the host probes targets. The default is that of the operating
// system.
func WithNetwork(n network.Network) Option { return withNetwork{n} }

// WithDetours sets the network on which the host opens connections to targets, for itself and for peers that
// cannot. Join makes the peers its relay.
func WithDetours(d *detour.Network) Option { return withDetours{d} }

// WithEngines sets the function that creates the adapter for the engine at an address. The default
// is target.NewResponsesEngine.
func WithEngines(f func(netip.AddrPort) target.Engine) Option { return withEngines(f) }

func (o withDispatch) apply(h *Host)      { h.dispatchOptions = append(h.dispatchOptions, o...) }
func (o withObserver) apply(h *Host)      { h.observer = o.observer }
func (o withLoadInterval) apply(h *Host)  { h.loadInterval = time.Duration(o) }
func (o withEngines) apply(h *Host)       { h.engines.newAdapter = o }
func (o withStatusQuerier) apply(h *Host) { h.statusQuerier = o.querier }
func (o withNetwork) apply(h *Host)       { h.network = o.network }
func (o withDetours) apply(h *Host) {
	h.detours, h.network = o.detours, o.detours
	o.detours.SetProber(pathProber{h})
	o.detours.SetLossObserver(func(to netip.AddrPort) { h.Post(dispatch.PathLost{Address: to}) })
	h.engines.newAdapter = func(a netip.AddrPort) target.Engine { return target.NewResponsesEngineOn(o.detours, a) }
	h.services.newAdapter = func(a netip.AddrPort) target.Service { return target.NewServiceOn(o.detours, a) }
}
func (o withSharing) apply(h *Host) { h.sharingDisabled = !bool(o) }
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
		slowEvent:    DefaultSlowEvent,
		observer:     nopObserver{},
		network:      network.System{},
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
func (nopObserver) EventReduced(time.Duration)          {}

// origin returns the identifier of this run of the host in the accounting of use: its name and
// incarnation.
func (h *Host) origin() string { return originOf(h.name, h.incarnation) }

// originOf returns the origin of a run of the named host.
func originOf(name, incarnation string) string { return name + "/" + incarnation }

// Name returns the host's name.
func (h *Host) Name() string { return h.name }

// Incarnation returns the identifier of this run of the host.
func (h *Host) Incarnation() string { return h.incarnation }

// Log returns the host's event log.
func (h *Host) Log() *event.Log { return h.log }

// Table returns the table in effect, or nil before the first table.
func (h *Host) Table() *table.Table { return h.table.Load() }

// Ready reports whether the host has a table and a list of targets, decides about requests, and is neither draining nor
// stopping.
func (h *Host) Ready() bool {
	return h.Table() != nil && h.HasTargets() && !h.draining.Load() && !h.stopping.Load() && !h.loop.stalled(time.Now())
}

// Stopping returns a channel that is closed when Stop is called.
func (h *Host) Stopping() <-chan struct{} { return h.stopSignal }

// InFlightCount returns the number of requests in flight on this host.
func (h *Host) InFlightCount() int { return h.inFlight.count() }

// Engine returns the adapter for the named target, and false if the table in effect does not have
// it.
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

// Post sends an event to the reducer. It blocks while the queue of the event loop is full, and does
// nothing after Run has returned.
func (h *Host) Post(e dispatch.Event) { h.send(message{event: e}) }

func (h *Host) send(m message) {
	select {
	case h.inbox <- m:
	case <-h.done:
	}
}

// Inspect calls f on the event loop, where f may access the reducer, and waits until f has returned.
// It reports false if the loop has ended.
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
	go h.watchLoop(ctx)
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
				h.shareRecords(now)
				h.tickets.DeleteExpired(now)
			}
		case <-timer.C:
			h.reduce(dispatch.Tick{}, timer)
		}
	}
}

// shareRecords sends the records that hosts share to all partners again, for hosts that have missed them or have
// just started.
func (h *Host) shareRecords(now time.Time) {
	if len(h.reducer.SuspectRecords(now)) > 0 {
		h.shareSuspects()
	}
	if len(h.reducer.LimitRecords(now)) > 0 {
		h.shareLimits()
	}
	if len(h.reducer.Fragilities(now)) > 0 {
		h.shareFragilities()
	}
	if len(h.reducer.Leavers()) > 0 {
		h.shareLeavers()
	}
}

// detectPause logs a pause of the process of more than pauseThreshold and makes the syncer read the
// source. Reports of targets and peers from before the pause need no handling because they expire
// by their age.
func (h *Host) detectPause(now time.Time) {
	// The wall clock is compared, too, because the monotonic clock does not advance while the
	// machine is suspended. If the wall clock is set forward, the source is read once needlessly.
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

// refuseWaitingRequests refuses the requests that wait for a decision when the loop ends.
func (h *Host) refuseWaitingRequests() {
	for _, r := range h.requests {
		r.deliver(dispatch.Effect{Kind: dispatch.EffectRefuse, ID: r.ID, Answer: r.kindAtEnd()})
	}
}

// handle processes a message on the event loop.
func (h *Host) handle(m message, timer *time.Timer) {
	if m.query != nil {
		m.query(h.reducer)
		return
	}
	if m.request != nil {
		h.requests[m.request.ID] = m.request
		m.request.estimate.Store(int64(h.reducer.RunEstimate(m.request.Submit)))
	}
	h.reduce(m.event, timer)
	h.logHeld(m)
	if c, ok := m.event.(dispatch.TableChange); ok {
		h.storeAppliedTable(c.Table)
	}
}

// storeAppliedTable makes a table available to Table after the reducer has put it into effect. If the
// reducer rejected the table as older than its own, it is only logged.
func (h *Host) storeAppliedTable(t *table.Table) {
	if h.reducer.Table() != t {
		h.log.Emit(event.TableStale, event.Fields{TableVersion: t.Version})
		return
	}
	first := h.table.Swap(t) == nil
	h.listed.record(t.Targets, time.Now())
	h.log.Emit(event.TableApplied, event.Fields{TableVersion: t.Version})
	if first {
		h.log.Emit(event.HostReady, event.Fields{TableVersion: t.Version})
	}
}

// sampleProgress returns an event with the progress of each request at an engine. Its samples are
// valid until the next call.
func (h *Host) sampleProgress() dispatch.Event {
	h.samples = h.samples[:0]
	for id, r := range h.requests {
		if r.target == "" || r.Submit.Plain {
			continue
		}
		if !r.started && r.Progress.Tokens() > 0 {
			r.started = true
			r.reportStreams()
		}
		h.samples = append(h.samples, dispatch.Sample{
			ID:           id,
			Tokens:       r.Progress.Tokens(),
			LastToken:    r.Progress.LastToken(),
			EngineQueued: r.Progress.Queued(),
		})
	}
	return dispatch.Progress{Samples: h.samples}
}

// checkInvariants logs a violation of the reducer's invariants.
func (h *Host) checkInvariants() {
	if err := h.reducer.Check(); err != nil {
		h.log.Emit(event.HostFault, event.Fields{Detail: err.Error()})
	}
}

// reduce passes an event to the reducer and performs the effects.
func (h *Host) reduce(e dispatch.Event, timer *time.Timer) {
	began := time.Now()
	for _, f := range h.reducer.Reduce(began, e) {
		h.observer.Effect(f)
		h.perform(f, timer)
	}
	h.recordEvent(e, time.Since(began))
}
