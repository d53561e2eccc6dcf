package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// An Engine simulates a model engine: it runs a Batch in real time behind the
	// OpenAI Responses API and can inject faults.
	Engine struct {
		name        string
		seed        uint64
		spec        Spec
		retention   time.Duration
		mu          sync.Mutex
		batch       *Batch
		bootID      string
		boots       int                       // boots so far, the first included
		byID        map[string]*generation    // by request identifier, finished ones included
		bySequence  map[*Sequence]*generation // unfinished generations
		cancelled   map[string]time.Time      // time of cancellation, also of identifiers that never started
		readers     map[*reader]bool          // open connections
		faults      faults
		workAdded   chan struct{} // wakes Run when the batch was idle
		nextID      uint64
		startCounts map[string]int // starts by request identifier
		leaving     bool
		finished    int
	}

	// generation is one generation and the connection that reads it.
	generation struct {
		id           string
		sequence     *Sequence
		prompt       int  // tokens
		truncated    bool // max_output_tokens is below the output length
		done         bool
		cancelled    bool
		endedAt      time.Time
		disconnected bool    // FaultDisconnectOnce has closed its connection
		reader       *reader // nil while no connection reads it
	}

	// reader is one connection that streams a generation.
	reader struct {
		notify     chan struct{} // signals new output or a change of state
		superseded bool          // a later connection reads the generation
		silent     bool          // FaultSilent suppresses its writes
		cancel     context.CancelFunc
	}

	// An EngineOption configures an Engine.
	EngineOption interface{ applyEngine(*Engine) }

	withSpec      Spec
	withSeed      uint64
	withRetention time.Duration
)

// defaultRetention is the default of WithRetention.
const defaultRetention = 2 * time.Minute

// WithSpec sets the capacity and the step times of the engine's batch.
func WithSpec(s Spec) EngineOption { return withSpec(s) }

// WithSeed sets the seed of the random output lengths.
func WithSeed(n uint64) EngineOption { return withSeed(n) }

// WithRetention sets how long a finished generation can be resumed and a cancelled
// identifier is refused. The default is 2 minutes.
func WithRetention(d time.Duration) EngineOption { return withRetention(d) }

func (o withSpec) applyEngine(e *Engine)      { e.spec = Spec(o) }
func (o withSeed) applyEngine(e *Engine)      { e.seed = uint64(o) }
func (o withRetention) applyEngine(e *Engine) { e.retention = time.Duration(o) }

// NewEngine returns an engine. It generates only while Run is running.
func NewEngine(name string, opts ...EngineOption) *Engine {
	e := &Engine{name: name, retention: defaultRetention, workAdded: make(chan struct{}, 1), startCounts: map[string]int{}}
	for _, o := range opts {
		o.applyEngine(e)
	}
	e.reset()
	return e
}

// reset drops all generations and assigns a new boot identifier.
func (e *Engine) reset() {
	e.boots++
	e.bootID = fmt.Sprintf("%s-%d-%08x", e.name, e.boots, rand.Uint32())
	e.batch = NewBatch(e.spec)
	e.byID = map[string]*generation{}
	e.bySequence = map[*Sequence]*generation{}
	e.cancelled = map[string]time.Time{}
	e.readers = map[*reader]bool{}
}

// BootID returns the current boot identifier.
func (e *Engine) BootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}

// Counts returns the totals of the batch since the last boot.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.Counts()
}

// StartCounts returns the number of generations that the engine has started since its
// creation, and the largest number of starts under one identifier. A reboot does not reset
// either number.
func (e *Engine) StartCounts() (starts, mostPerID int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.startCounts {
		starts += n
		mostPerID = max(mostPerID, n)
	}
	return starts, mostPerID
}

// Active returns the number of running and waiting generations.
func (e *Engine) Active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.Running() + e.batch.Waiting()
}

// Run steps the batch in real time until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duration, idle := e.step()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.workAdded:
			}
			continue
		}
		pause.For(ctx, duration)
		e.notifyReaders()
	}
}

func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired()
	if e.batch.Idle() {
		return 0, true
	}
	out := e.batch.Step()
	for _, s := range out.Finished {
		g := e.bySequence[s]
		delete(e.bySequence, s)
		g.done, g.endedAt = true, time.Now()
		e.finished++
	}
	if f := e.faults.slowdown; f > 1 {
		return time.Duration(float64(out.Duration) * f), false
	}
	return out.Duration, false
}

// notifyReaders signals every open connection that there may be new output.
func (e *Engine) notifyReaders() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.readers {
		r.signal()
	}
}

func (r *reader) signal() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// removeExpired removes finished generations that no connection reads, and cancelled
// identifiers, once they are older than the retention time.
func (e *Engine) removeExpired() {
	for id, g := range e.byID {
		if g.done && g.reader == nil && time.Since(g.endedAt) > e.retention {
			delete(e.byID, id)
		}
	}
	for id, at := range e.cancelled {
		if time.Since(at) > e.retention {
			delete(e.cancelled, id)
		}
	}
}

// start queues a generation. It returns false if the identifier is in use or cancelled,
// or if the prompt does not fit the KV cache.
func (e *Engine) start(o target.GenerationRequest) (*generation, bool) {
	if _, ok := e.cancelled[o.Generation]; ok || e.byID[o.Generation] != nil {
		return nil, false
	}
	hash, shared := target.PrefixOf(o.Prompt)
	e.nextID++
	s := &Sequence{
		ID:           e.nextID,
		PromptTokens: max(target.CountTokens(o.Prompt), 1),
		OutputTokens: OutputLength(e.seed, o.Prompt),
		Priority:     o.Priority,
		PrefixHash:   hash,
		PrefixTokens: shared,
	}
	g := &generation{id: o.Generation, sequence: s, prompt: s.PromptTokens}
	if o.MaxOutputTokens > 0 && s.OutputTokens > o.MaxOutputTokens {
		s.OutputTokens, g.truncated = o.MaxOutputTokens, true
	}
	if !e.batch.Add(s) {
		return nil, false
	}
	e.byID[g.id], e.bySequence[s] = g, g
	e.startCounts[g.id]++
	e.signalWork()
	return g, true
}

func (e *Engine) signalWork() {
	select {
	case e.workAdded <- struct{}{}:
	default:
	}
}

// cancel cancels a generation and makes start refuse its identifier for the retention
// time, also if the generation has not started yet.
func (e *Engine) cancel(id string) {
	e.cancelled[id] = time.Now()
	g := e.byID[id]
	if g == nil || g.done {
		return
	}
	e.batch.Remove(g.sequence)
	delete(e.bySequence, g.sequence)
	g.done, g.cancelled, g.endedAt = true, true, time.Now()
	if g.reader != nil {
		g.reader.signal()
	}
}
