// Package trial is a discrete-event simulation of several entry hosts that dispatch requests
// to simulated engines. It runs the reducers of package dispatch in virtual time, with network
// delays, delayed load reports and injected faults. It serves to compare dispatch policies and
// to test the reducers with random loads and faults.
package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Trial is one simulation run.
	Trial struct {
		config           Config
		rng              *rand.Rand
		now              time.Duration // virtual time since the start of the trial
		events           eventQueue
		lastEventOrder   uint64 // scheduledEvent.order of the last event scheduled
		hosts            []*host
		engines          []*engine
		requests         map[requestKey]*request // unfinished requests
		nextID           dispatch.ID             // ID of the last request submitted
		table            *table.Table
		result           Result
		err              error // first violated invariant; nil if there is none
		eventsSinceCheck int   // events passed to reducers since the last invariant check
	}

	// A Config describes a trial. All times are virtual.
	Config struct {
		Hosts              int
		Engines            int
		Spec               standin.Spec // capacity and step times of each engine
		Organisations      []Organisation
		LoadFactor         float64           // offered load as a fraction of Capacity
		Duration           time.Duration     // length of the trial, WarmUp included
		WarmUp             time.Duration     // time at the start in which tokens, preemptions, stall time and latencies are not measured
		Seed               uint64            // seed of all random choices
		MedianOutput       float64           // median output length of a request, in tokens
		MeanPrompt         int               // mean prompt length of a request, in tokens
		Oracle             bool              // give the reducers the actual output length of each request, which they otherwise forecast
		Options            []dispatch.Option // of every reducer
		LoadReportInterval time.Duration     // interval between the load reports of an engine to a host
		LoadReportDelay    time.Duration     // time from the sampling of a load report to its arrival at the host
		PeerReportInterval time.Duration     // interval between the reports of a host to its peers; 0 disables peer reports
		Scattered          bool              // each host places its requests itself; otherwise the first host places those of all
		LinkDelay          time.Duration     // one-way network delay
		Faults             []Fault
		Unrouted           bool // the table has no routes of the Kinds, so that no pool is mixed
		EventsPerCheck     int  // number of events passed to reducers between two checks of their invariants; 0 disables checks during the trial
	}

	// An Organisation is an organisation and a stream of requests that it submits. Further
	// entries of the same Name are further streams of that organisation. Its first entry sets
	// the weights and limits that the hosts apply.
	Organisation struct {
		Name         string
		Weight       float64       // weight of the organisation in the division of the capacity
		LoadFraction float64       // load of this stream, as a fraction of the total offered load
		TailWeight   float64       // weight of tail latency when engines are chosen for its requests
		StallWeight  float64       // weight of stall time when engines are chosen for its requests
		Hosts        []int         // indexes of the hosts that receive the requests of this stream; empty means all
		MaxInFlight  int           // limit of requests in flight over all hosts; 0 means no limit
		MaxQueued    int           // limit of queued requests; 0 means defaultMaxQueued
		Start, End   time.Duration // period in which requests of this stream arrive; an End of 0 means the end of the trial
		Kind         *Kind         // nil means requests of random size, with LoadFraction
	}

	// A Fault is a fault that the trial injects.
	Fault struct {
		At       time.Duration // time of the injection
		Kind     FaultKind
		Index    int           // index of the host for FaultDropReports, of the engine otherwise
		Duration time.Duration // how long FaultDropReports drops reports; unused for other kinds
	}

	// A FaultKind is the kind of an injected fault.
	FaultKind uint8

	// host is a simulated entry host.
	host struct {
		index            int
		name             string
		reducer          *dispatch.Reducer
		dispatched       map[dispatch.ID]*request // requests with at least one dispatch that are unfinished
		dispatchOrder    []dispatch.ID            // keys of dispatched in the order of their first dispatch; may include finished requests
		samples          []dispatch.Sample        // buffer of sampleProgress
		reportSequence   uint64                   // sequence number of the last report to peers
		dropReportsUntil time.Duration            // load reports and peer reports to the host are dropped until this time
		timerAt          time.Duration            // time of the Tick that setTimer has scheduled; 0 means none
		asked            map[dispatch.ID]bool     // requests about which the coordinator is asked
		reportDue        bool                     // reportStreamsSoon has scheduled a report
	}

	// requestKey identifies a request by the index of its host and its ID.
	requestKey struct {
		host int
		id   dispatch.ID
	}
)

// Kinds of faults.
const (
	FaultRestart     FaultKind = iota // an engine restarts and loses all requests and cached prefixes
	FaultLeave                        // an engine starts draining: it is announced as leaving and must soon receive no new requests
	FaultDropReports                  // load reports and peer reports to a host are dropped for Fault.Duration
)

const (
	modelName         = "m"
	sampleInterval    = 50 * time.Millisecond  // between the progress samples of a host
	tickInterval      = 500 * time.Millisecond // between the periodic Tick events of a host
	prefixCount       = 64                     // number of distinct shared prompt prefixes
	prefixProbability = 0.5                    // probability that a prompt starts with a shared prefix
	prefixTokens      = 128                    // length of a shared prefix in tokens
	defaultMaxQueued  = 4096                   // limit of queued requests per organisation
)

// epoch is the wall-clock time that the reducers see at virtual time 0.
var epoch = time.Unix(1_700_000_000, 0)

// New returns a trial that is ready to Run. It returns an error if the organisations or
// engines of the configuration are invalid.
func New(c Config) (*Trial, error) {
	t := &Trial{
		config:   c,
		rng:      rand.New(rand.NewPCG(c.Seed, 7)),
		requests: map[requestKey]*request{},
		result:   newResult(),
	}
	for i := range c.Engines {
		t.engines = append(t.engines, &engine{index: i, name: engineName(i), batch: standin.NewBatch(c.Spec), requests: map[*standin.Sequence]*request{}})
	}
	var err error
	if t.table, err = c.table(); err != nil {
		return nil, err
	}
	for i := range c.Hosts {
		h := &host{
			index:      i,
			name:       fmt.Sprintf("h%d", i),
			reducer:    dispatch.NewReducer(c.Options...),
			dispatched: map[dispatch.ID]*request{},
			asked:      map[dispatch.ID]bool{},
		}
		t.hosts = append(t.hosts, h)
		t.reduce(h, dispatch.TableChange{Table: t.table})
		t.reduce(h, dispatch.LiveHosts{Hosts: c.Hosts, HostIndex: i, Delegated: t.coordinated() && i > 0, Coordinates: t.coordinated() && i == 0})
	}
	t.scheduleInitialEvents()
	return t, nil
}

func engineName(i int) string { return fmt.Sprintf("e%03d", i) }

// table returns a configuration table with the organisations and engines of the trial.
func (c *Config) table() (*table.Table, error) {
	memory := standin.NewBatch(c.Spec).Spec().MemoryTokens
	var b strings.Builder
	b.WriteString("kind,version,name,weight,key,model,domain,address,checks,memory,tail,stall,queue,inflight\ntable,1\nmodel,,m\n")
	declared := map[string]bool{}
	for _, org := range c.Organisations {
		if declared[org.Name] {
			continue // another request stream of a declared organisation
		}
		declared[org.Name] = true
		queue := org.MaxQueued
		if queue == 0 {
			queue = defaultMaxQueued
		}
		fmt.Fprintf(&b, "organisation,,%s,%g,%s,,,,,,%g,%g,%d,%d\n", org.Name, org.Weight, table.FormatKeyHash(org.Name), org.TailWeight, org.StallWeight, queue, org.MaxInFlight)
	}
	for i := range c.Engines {
		fmt.Fprintf(&b, "engine,,%s,,,m,d,127.0.0.1:%d,yes,%d\n", engineName(i), i+1, memory)
	}
	t, err := table.Read("trial.csv", strings.NewReader(b.String()))
	if err == nil && !c.Unrouted {
		t.Routes = c.routes()
	}
	return t, err
}

// scheduleInitialEvents schedules the first arrival of each request stream, the periodic
// events of the hosts, the end of the warm-up and the faults.
func (t *Trial) scheduleInitialEvents() {
	for i := range t.config.Organisations {
		t.scheduleArrivals(&t.config.Organisations[i])
	}
	t.scheduleStreamReports()
	for _, h := range t.hosts {
		offset := t.uniformDuration(0, sampleInterval)
		t.every(offset, sampleInterval, func() { t.sampleProgress(h) })
		t.every(offset, tickInterval, func() { t.reduce(h, dispatch.Tick{}) })
		if t.config.PeerReportInterval > 0 {
			t.every(t.uniformDuration(0, t.config.PeerReportInterval), t.config.PeerReportInterval, func() { t.sendPeerReport(h) })
		}
		for _, e := range t.engines {
			t.every(t.uniformDuration(0, t.config.LoadReportInterval), t.config.LoadReportInterval, func() { t.sendLoadReport(h, e) })
		}
	}
	t.at(t.config.WarmUp, func() {
		for _, e := range t.engines {
			e.preemptionOffset = e.batch.Counts().Preemptions
		}
	})
	for _, f := range t.config.Faults {
		t.at(f.At, func() { t.injectFault(f) })
	}
}

// uniformDuration returns a random duration between low and high, both included.
func (t *Trial) uniformDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(t.rng.Int64N(int64(high-low)+1))
}

// Run executes events in the order of their virtual times until Config.Duration has passed,
// and returns the measurements. At the first violated invariant it stops and returns an
// error. It must be called only once.
func (t *Trial) Run() (Result, error) {
	for len(t.events) > 0 && t.err == nil {
		ev := heap.Pop(&t.events).(*scheduledEvent)
		if ev.at > t.config.Duration {
			break
		}
		t.now = ev.at
		ev.do()
		t.result.Events++
	}
	t.collectCounts()
	return t.result, t.err
}

// collectCounts adds the counters of the engines and reducers to the result, and checks the
// invariants of all reducers at the end of the trial.
func (t *Trial) collectCounts() {
	for _, e := range t.engines {
		t.result.Preemptions += e.batch.Counts().Preemptions - e.preemptionOffset
	}
	for _, h := range t.hosts {
		t.result.Counts = append(t.result.Counts, h.reducer.Counts())
		t.result.LengthCalibration = h.reducer.LengthCalibration()
		if t.err == nil {
			t.err = h.reducer.Check()
		}
	}
}

// fail records a violated invariant, unless an earlier one is recorded. Run then stops.
func (t *Trial) fail(format string, args ...any) {
	if t.err == nil {
		t.err = fmt.Errorf("at %s: "+format, append([]any{t.now}, args...)...)
	}
}

// reduce passes an event to the reducer of a host and executes the resulting effects. It
// checks the invariants of that reducer after every EventsPerCheck events.
func (t *Trial) reduce(h *host, ev dispatch.Event) {
	// The reducer reuses its slice of effects, and executing an effect may call it again.
	effects := append([]dispatch.Effect(nil), h.reducer.Reduce(epoch.Add(t.now), ev)...)
	for _, f := range effects {
		t.perform(h, f)
	}
	if t.config.EventsPerCheck == 0 {
		return
	}
	t.eventsSinceCheck++
	if t.eventsSinceCheck >= t.config.EventsPerCheck {
		t.eventsSinceCheck = 0
		if err := h.reducer.Check(); err != nil {
			t.fail("host %s after %T: %v", h.name, ev, err)
		}
	}
}

// perform executes an effect that the reducer of a host returned. It ignores effects that have
// no counterpart in the simulation.
func (t *Trial) perform(h *host, f dispatch.Effect) {
	switch f.Kind {
	case dispatch.EffectDispatch:
		t.handleDispatch(h, f)
	case dispatch.EffectRefuse:
		t.handleRefusal(h, f)
	case dispatch.EffectTimer:
		t.setTimer(h, f.At.Sub(epoch))
	case dispatch.EffectCancel:
		t.handleCancel(h, f)
	case dispatch.EffectResume:
		t.result.Resumes++
	case dispatch.EffectPlace:
		t.askPlacement(h, *f.Placement)
	case dispatch.EffectPlaced:
		t.answerPlacement(f)
	}
}

// setTimer schedules a Tick for a host, unless setTimer has already scheduled one that is due
// at that time or earlier.
func (t *Trial) setTimer(h *host, at time.Duration) {
	if h.timerAt != 0 && h.timerAt <= at && h.timerAt > t.now {
		return
	}
	h.timerAt = at
	t.at(at, func() {
		if h.timerAt == at {
			h.timerAt = 0
			t.reduce(h, dispatch.Tick{})
		}
	})
}

// sampleProgress passes the progress of all dispatched requests of a host to its reducer. It
// removes finished requests from dispatchOrder.
func (t *Trial) sampleProgress(h *host) {
	h.samples = h.samples[:0]
	kept := h.dispatchOrder[:0]
	for _, id := range h.dispatchOrder {
		c := h.dispatched[id]
		if c == nil {
			continue
		}
		kept = append(kept, id)
		s := dispatch.Sample{ID: id, Tokens: c.attemptTokens, EngineQueued: c.queued}
		if c.attemptTokens > 0 && !c.started {
			c.started = true
			t.reportStreamsSoon(h)
		}
		if c.attemptTokens > 0 {
			s.LastToken = epoch.Add(c.lastTokenAt)
		}
		h.samples = append(h.samples, s)
	}
	h.dispatchOrder = kept
	t.reduce(h, dispatch.Progress{Samples: h.samples})
}

// sendPeerReport sends a report of a host to its peers, which receive it after the link
// delay. It skips peers for which FaultDropReports is active.
func (t *Trial) sendPeerReport(h *host) {
	report := h.reducer.Report(epoch.Add(t.now))
	h.reportSequence++
	report.Origin, report.Sequence = h.name, h.reportSequence
	for _, o := range t.hosts {
		if o == h || o.dropReportsUntil > t.now {
			continue
		}
		t.after(t.config.LinkDelay, func() { t.reduce(o, report) })
	}
}

// sendLoadReport samples the load of an engine and delivers it to a host after
// Config.LoadReportDelay, unless FaultDropReports is active for the host.
func (t *Trial) sendLoadReport(h *host, e *engine) {
	if h.dropReportsUntil > t.now {
		return
	}
	load := e.load()
	load.Age = t.config.LoadReportDelay
	t.after(t.config.LoadReportDelay, func() { t.reduce(h, dispatch.LoadReport{Target: e.name, Load: load}) })
}

func (t *Trial) injectFault(f Fault) {
	switch f.Kind {
	case FaultRestart:
		t.engines[f.Index].restart(t)
	case FaultLeave:
		t.engines[f.Index].leaving = true
		t.engines[f.Index].leavingSince = t.now
	case FaultDropReports:
		t.hosts[f.Index].dropReportsUntil = t.now + f.Duration
	}
}
