// Package trial is a discrete-event simulation of several hosts that dispatch requests to
// emulated engines. It runs the reducers of package dispatch in virtual time, with network
// delays, delayed load reports and injected faults, for benchmarks and randomised tests.
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
		now              time.Duration
		events           eventQueue
		lastOrder        uint64
		hosts            []*host
		engines          []*engine
		calls            map[callKey]*call
		nextID           dispatch.ID
		table            *table.Table
		result           Result
		err              error
		eventsSinceCheck int // events reduced since the last invariant check
	}

	// A Config describes a trial. Token counts are per request unless stated otherwise.
	Config struct {
		Hosts              int
		Engines            int
		Spec               standin.Spec
		Organisations      []Organisation
		LoadFactor         float64       // offered load as a fraction of Capacity
		Duration           time.Duration // virtual time of the trial, WarmUp included
		WarmUp             time.Duration // time at the start that is excluded from token and latency measurements
		Seed               uint64
		MedianOutput       float64 // median output, in tokens
		MeanPrompt         int     // mean prompt, in tokens
		Oracle             bool    // pass the actual output length of each request to the reducers
		Options            []dispatch.Option
		LoadReportInterval time.Duration // between two load reports of an engine to a host
		LoadReportDelay    time.Duration // between the sampling of a load report and its arrival
		PeerReportInterval time.Duration // between two reports of a host to its peers; 0 disables them
		LinkDelay          time.Duration // one-way network delay
		Faults             []Fault
		CheckEvery         int // events between two invariant checks of the reducers; 0 disables them
	}

	// An Organisation is one stream of requests. Several streams may carry the same Name.
	Organisation struct {
		Name         string
		Weight       float64       // share of the capacity, relative to the other weights
		LoadFraction float64       // fraction of the total load
		TailWeight   float64       // weight of tail latency in the organisation's objective
		StallWeight  float64       // weight of stall time in the organisation's objective
		Hosts        []int         // indexes of the hosts that receive its requests; empty means all
		MaxInFlight  int           // requests in flight; 0 means no limit
		MaxQueued    int           // queued requests; 0 means defaultMaxQueued
		Start, End   time.Duration // when requests arrive; an End of 0 means until the trial ends
	}

	// A Fault is a failure injected at a point in virtual time.
	Fault struct {
		At       time.Duration
		Kind     FaultKind
		Index    int           // index of the host for FaultDropReports, of the engine otherwise
		Duration time.Duration // for FaultDropReports only
	}

	// A FaultKind is the kind of an injected fault.
	FaultKind uint8

	// host is a host with its reducer and the requests that it dispatched.
	host struct {
		index          int
		name           string
		reducer        *dispatch.Reducer
		dispatched     map[dispatch.ID]*call
		dispatchOrder  []dispatch.ID
		samples        []dispatch.Sample
		reportSequence uint64
		mutedUntil     time.Duration // load and peer reports are dropped before this time
		timerAt        time.Duration // time of the pending Tick; 0 means none
	}

	// callKey identifies a request by host index and request ID.
	callKey struct {
		host int
		id   dispatch.ID
	}
)

// Kinds of faults.
const (
	FaultRestart     FaultKind = iota // an engine restarts and loses all requests and cached prefixes
	FaultLeave                        // an engine is announced as leaving and must receive no new requests
	FaultDropReports                  // load and peer reports to a host are dropped
)

const (
	modelName         = "m"
	sampleInterval    = 50 * time.Millisecond
	tickInterval      = 500 * time.Millisecond
	prefixCount       = 64   // distinct shared prompt prefixes
	prefixProbability = 0.5  // fraction of prompts that start with a shared prefix
	prefixTokens      = 128  // length of a shared prefix
	defaultMaxQueued  = 4096 // queued requests per organisation
)

var epoch = time.Unix(1_700_000_000, 0)

// New returns a trial whose initial events are scheduled.
func New(c Config) (*Trial, error) {
	t := &Trial{
		config: c,
		rng:    rand.New(rand.NewPCG(c.Seed, 7)),
		calls:  map[callKey]*call{},
		result: newResult(),
	}
	for i := range c.Engines {
		t.engines = append(t.engines, &engine{index: i, name: engineName(i), batch: standin.NewBatch(c.Spec), calls: map[*standin.Sequence]*call{}})
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
			dispatched: map[dispatch.ID]*call{},
		}
		t.hosts = append(t.hosts, h)
		t.reduce(h, dispatch.TableChange{Table: t.table})
		t.reduce(h, dispatch.Peers{Hosts: c.Hosts, HostIndex: i, ReportInterval: c.PeerReportInterval})
	}
	t.scheduleInitialEvents()
	return t, nil
}

func engineName(i int) string { return fmt.Sprintf("e%03d", i) }

// table returns a configuration table with the organisations and engines of the trial.
func (c *Config) table() (*table.Table, error) {
	memory := standin.NewBatch(c.Spec).Spec().Memory
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
		fmt.Fprintf(&b, "organisation,,%s,%g,%s,,,,,,%g,%g,%d,%d\n", org.Name, org.Weight, table.FormatKey(org.Name), org.TailWeight, org.StallWeight, queue, org.MaxInFlight)
	}
	for i := range c.Engines {
		fmt.Fprintf(&b, "engine,,%s,,,m,d,127.0.0.1:%d,yes,%d\n", engineName(i), i+1, memory)
	}
	return table.Read("trial.csv", strings.NewReader(b.String()))
}

// scheduleInitialEvents schedules the first arrival of each request stream, the periodic
// events of the hosts, the end of the warm-up and the faults.
func (t *Trial) scheduleInitialEvents() {
	for i := range t.config.Organisations {
		t.scheduleArrivals(&t.config.Organisations[i])
	}
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

// uniformDuration returns a random duration in [low, high].
func (t *Trial) uniformDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(t.rng.Int64N(int64(high-low)+1))
}

// Run executes events until the configured duration has passed and returns the
// measurements. It stops with an error at the first violated invariant.
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

// collectCounts adds the counters of engines and reducers to the result and checks the
// invariants of all reducers once more.
func (t *Trial) collectCounts() {
	for _, e := range t.engines {
		t.result.Preemptions += e.batch.Counts().Preemptions - e.preemptionOffset
	}
	for _, h := range t.hosts {
		t.result.Counts = append(t.result.Counts, h.reducer.Counts())
		t.result.LengthTally = h.reducer.LengthCalibration()
		if t.err == nil {
			t.err = h.reducer.Check()
		}
	}
}

// fail records the first violated invariant.
func (t *Trial) fail(format string, args ...any) {
	if t.err == nil {
		t.err = fmt.Errorf("at %s: "+format, append([]any{t.now}, args...)...)
	}
}

// reduce passes an event to the reducer of a host and executes the resulting effects.
func (t *Trial) reduce(h *host, ev dispatch.Event) {
	// The reducer reuses its slice of effects, and executing an effect may call it again.
	effects := append([]dispatch.Effect(nil), h.reducer.Reduce(epoch.Add(t.now), ev)...)
	for _, f := range effects {
		t.perform(h, f)
	}
	if t.config.CheckEvery == 0 {
		return
	}
	t.eventsSinceCheck++
	if t.eventsSinceCheck >= t.config.CheckEvery {
		t.eventsSinceCheck = 0
		if err := h.reducer.Check(); err != nil {
			t.fail("host %s after %T: %v", h.name, ev, err)
		}
	}
}

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
	}
}

// setTimer schedules a Tick for a host unless an earlier one is pending.
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

// sampleProgress reports the progress of all streams of a host to its reducer.
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
		if c.attemptTokens > 0 {
			s.LastToken = epoch.Add(c.lastTokenAt)
		}
		h.samples = append(h.samples, s)
	}
	h.dispatchOrder = kept
	t.reduce(h, dispatch.Progress{Samples: h.samples})
}

// sendPeerReport sends the report of a host to its peers after the link delay.
func (t *Trial) sendPeerReport(h *host) {
	report := h.reducer.Report(epoch.Add(t.now))
	h.reportSequence++
	report.Origin, report.Sequence = h.name, h.reportSequence
	for _, o := range t.hosts {
		if o == h || o.mutedUntil > t.now {
			continue
		}
		t.after(t.config.LinkDelay, func() { t.reduce(o, report) })
	}
}

// sendLoadReport samples the load of an engine and delivers it to a host after the report
// delay.
func (t *Trial) sendLoadReport(h *host, e *engine) {
	if h.mutedUntil > t.now {
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
		t.hosts[f.Index].mutedUntil = t.now + f.Duration
	}
}
