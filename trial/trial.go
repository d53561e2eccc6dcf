// Package trial runs reducers of several entry hosts against stand-in engines in
// virtual time, for benchmarks and randomised tests. It is a loop over a queue of
// events with network delays, lagging reports and faults, and no more.
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
	// A Trial is one run.
	Trial struct {
		config  Config
		random  *rand.Rand
		now     time.Duration
		queue   queue
		order   uint64
		hosts   []*entry
		engines []*engine
		calls   map[callKey]*call
		nextID  dispatch.ID
		table   *table.Table
		result  Result
		problem error
		reduced int // events since the books were last checked
	}

	// A Config says what is run.
	Config struct {
		Hosts         int
		Engines       int
		Spec          standin.Spec
		Organisations []Organisation
		Load          float64       // of the capacity that the formula of Capacity gives
		Span          time.Duration // how long requests arrive
		Warm          time.Duration // before anything is measured
		Seed          uint64
		Median        float64 // output tokens
		PromptMean    int     // tokens
		Oracle        bool    // tell the reducers the output lengths
		Options       []dispatch.Option
		LoadEvery     time.Duration // between load reports
		LoadLag       time.Duration
		PeerEvery     time.Duration // between reports of hosts; 0 means none are sent
		Link          time.Duration // one way
		Faults        []Fault
		Check         int // events between two checks of the books; 0 means none
	}

	// An Organisation sends a part of the load.
	Organisation struct {
		Name     string
		Weight   float64 // promised share
		Part     float64 // of the load
		Tail     float64
		Stall    float64
		Hosts    []int // hosts that it calls; empty means all
		Limit    int   // requests in flight; 0 means no cap
		Queue    int
		From, To time.Duration // when it calls; 0, 0 means always
	}

	// A Fault happens at a time.
	Fault struct {
		At     time.Duration
		Kind   FaultKind
		Target int           // engine or host
		For    time.Duration // FaultMute, FaultCut
	}

	// A FaultKind tells faults apart.
	FaultKind uint8

	// entry is one host.
	entry struct {
		place    int
		name     string
		reducer  *dispatch.Reducer
		active   map[dispatch.ID]*call
		order    []dispatch.ID
		samples  []dispatch.Sample
		sequence uint64
		muted    time.Duration // load reports and peers do not reach it until then
		timer    time.Duration // of the pending Tick; 0 means none
	}

	callKey struct {
		host int
		id   dispatch.ID
	}
)

// The faults.
const (
	FaultDie   FaultKind = iota // an engine loses everything and comes back
	FaultLeave                  // an engine is reclaimed: it takes no new work from then on
	FaultMute                   // a host gets no reports
)

const (
	modelName   = "m"
	sampleEvery = 50 * time.Millisecond
	tickEvery   = 500 * time.Millisecond
	prefixes    = 64   // shared prompt prefixes in use
	prefixPart  = 0.5  // of the prompts that begin with one
	prefixSize  = 128  // tokens
	queueSize   = 4096 // requests that an organisation may have held
)

var epoch = time.Unix(1_700_000_000, 0)

// New returns a trial that is ready to run.
func New(c Config) (*Trial, error) {
	t := &Trial{
		config: c,
		random: rand.New(rand.NewPCG(c.Seed, 7)),
		calls:  map[callKey]*call{},
		result: newResult(),
	}
	for i := range c.Engines {
		t.engines = append(t.engines, &engine{place: i, name: engineName(i), batch: standin.NewBatch(c.Spec), calls: map[*standin.Sequence]*call{}})
	}
	var err error
	if t.table, err = c.table(); err != nil {
		return nil, err
	}
	for i := range c.Hosts {
		e := &entry{
			place:   i,
			name:    fmt.Sprintf("h%d", i),
			reducer: dispatch.NewReducer(c.Options...),
			active:  map[dispatch.ID]*call{},
		}
		t.hosts = append(t.hosts, e)
		t.reduce(e, dispatch.TableChange{Table: t.table})
		t.reduce(e, dispatch.Peers{Count: c.Hosts, Place: i, Every: c.PeerEvery})
	}
	t.begin()
	return t, nil
}

func engineName(i int) string { return fmt.Sprintf("e%03d", i) }

// table declares the organisations and engines.
func (c *Config) table() (*table.Table, error) {
	memory := standin.NewBatch(c.Spec).Spec().Memory
	var b strings.Builder
	b.WriteString("kind,version,name,weight,key,model,domain,address,checks,memory,tail,stall,queue,inflight\ntable,1\nmodel,,m\n")
	declared := map[string]bool{}
	for _, m := range c.Organisations {
		if declared[m.Name] {
			continue // a second stream of the same organisation's calls
		}
		declared[m.Name] = true
		queue := m.Queue
		if queue == 0 {
			queue = queueSize
		}
		fmt.Fprintf(&b, "organisation,,%s,%g,%s,,,,,,%g,%g,%d,%d\n", m.Name, m.Weight, table.FormatKey(m.Name), m.Tail, m.Stall, queue, m.Limit)
	}
	for i := range c.Engines {
		fmt.Fprintf(&b, "engine,,%s,,,m,d,127.0.0.1:%d,yes,%d\n", engineName(i), i+1, memory)
	}
	return table.Read("trial.csv", strings.NewReader(b.String()))
}

// begin schedules what happens over and over.
func (t *Trial) begin() {
	for i := range t.config.Organisations {
		t.arrive(&t.config.Organisations[i])
	}
	for _, e := range t.hosts {
		offset := t.between(0, sampleEvery)
		t.every(offset, sampleEvery, func() { t.progress(e) })
		t.every(offset, tickEvery, func() { t.reduce(e, dispatch.Tick{}) })
		if t.config.PeerEvery > 0 {
			t.every(t.between(0, t.config.PeerEvery), t.config.PeerEvery, func() { t.report(e) })
		}
		for _, g := range t.engines {
			t.every(t.between(0, t.config.LoadEvery), t.config.LoadEvery, func() { t.load(e, g) })
		}
	}
	t.at(t.config.Warm, func() {
		for _, g := range t.engines {
			g.before = g.batch.Counts().Preemptions
		}
	})
	for _, f := range t.config.Faults {
		t.at(f.At, func() { t.fault(f) })
	}
}

func (t *Trial) between(low, high time.Duration) time.Duration {
	return low + time.Duration(t.random.Int64N(int64(high-low)+1))
}

// Run runs the trial to the end of its span and returns what was measured. A broken
// invariant ends it with an error.
func (t *Trial) Run() (Result, error) {
	for len(t.queue) > 0 && t.problem == nil {
		ev := heap.Pop(&t.queue).(*scheduled)
		if ev.at > t.config.Span {
			break
		}
		t.now = ev.at
		ev.do()
		t.result.Events++
	}
	t.finish()
	return t.result, t.problem
}

// finish sums up what the engines and reducers counted.
func (t *Trial) finish() {
	for _, g := range t.engines {
		t.result.Preemptions += g.batch.Counts().Preemptions - g.before
	}
	for _, e := range t.hosts {
		t.result.Counts = append(t.result.Counts, e.reducer.Counts())
		t.result.Tally = e.reducer.Lengths()
		if t.problem == nil {
			t.problem = e.reducer.Check()
		}
	}
}

// fail notes a broken invariant.
func (t *Trial) fail(format string, args ...any) {
	if t.problem == nil {
		t.problem = fmt.Errorf("at %s: "+format, append([]any{t.now}, args...)...)
	}
}

// reduce feeds an event to a host and carries out the effects.
func (t *Trial) reduce(e *entry, ev dispatch.Event) {
	// The effects are copied: carrying one out may reduce again.
	effects := append([]dispatch.Effect(nil), e.reducer.Reduce(epoch.Add(t.now), ev)...)
	for _, f := range effects {
		t.perform(e, f)
	}
	if t.config.Check == 0 {
		return
	}
	t.reduced++
	if t.reduced >= t.config.Check {
		t.reduced = 0
		if err := e.reducer.Check(); err != nil {
			t.fail("host %s after %T: %v", e.name, ev, err)
		}
	}
}

func (t *Trial) perform(e *entry, f dispatch.Effect) {
	switch f.Kind {
	case dispatch.EffectDispatch:
		t.dispatched(e, f)
	case dispatch.EffectRefuse:
		t.refused(e, f)
	case dispatch.EffectTimer:
		t.setTimer(e, f.At.Sub(epoch))
	case dispatch.EffectCancel:
		t.cancelled(e, f)
	case dispatch.EffectResume:
		t.result.Resumes++
	}
}

func (t *Trial) setTimer(e *entry, at time.Duration) {
	if e.timer != 0 && e.timer <= at && e.timer > t.now {
		return
	}
	e.timer = at
	t.at(at, func() {
		if e.timer == at {
			e.timer = 0
			t.reduce(e, dispatch.Tick{})
		}
	})
}

// progress samples the streams of a host.
func (t *Trial) progress(e *entry) {
	e.samples = e.samples[:0]
	kept := e.order[:0]
	for _, id := range e.order {
		c := e.active[id]
		if c == nil {
			continue
		}
		kept = append(kept, id)
		s := dispatch.Sample{ID: id, Tokens: c.tokens, Queued: c.queued}
		if c.tokens > 0 {
			s.Last = epoch.Add(c.last)
		}
		e.samples = append(e.samples, s)
	}
	e.order = kept
	t.reduce(e, dispatch.Progress{Samples: e.samples})
}

// report sends a host's report to the others.
func (t *Trial) report(e *entry) {
	report := e.reducer.Report(epoch.Add(t.now))
	e.sequence++
	report.Origin, report.Sequence = e.name, e.sequence
	for _, o := range t.hosts {
		if o == e || o.muted > t.now {
			continue
		}
		t.after(t.config.Link, func() { t.reduce(o, report) })
	}
}

// load sends an engine's load report to a host.
func (t *Trial) load(e *entry, g *engine) {
	if e.muted > t.now {
		return
	}
	load := g.load()
	load.Lag = t.config.LoadLag
	t.after(t.config.LoadLag, func() { t.reduce(e, dispatch.LoadReport{Target: g.name, Load: load}) })
}

func (t *Trial) fault(f Fault) {
	switch f.Kind {
	case FaultDie:
		t.engines[f.Target].die(t)
	case FaultLeave:
		t.engines[f.Target].leaving = true
		t.engines[f.Target].leftAt = t.now
	case FaultMute:
		t.hosts[f.Target].muted = t.now + f.For
	}
}
