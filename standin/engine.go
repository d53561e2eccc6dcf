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
	// An Engine simulates a model engine: it runs a Batch in real time, serves it by the
	// OpenAI Responses API, and behaves faultily on request.
	Engine struct {
		name          string
		seed          uint64
		spec          Spec
		retention     time.Duration // see WithRetention
		mu            sync.Mutex
		batch         *Batch
		bootID        string
		boots         int                       // number of boots, the first included
		byID          map[string]*generation    // by request identifier; finished ones are kept for the retention time
		bySequence    map[*Sequence]*generation // unfinished generations
		cancelled     map[string]time.Time      // time of cancellation by request identifier, also of requests that never started
		readers       map[*reader]bool          // open connections that read a generation
		faults        faults
		workAdded     chan struct{} // wakes Run while the batch is idle
		nextID        uint64
		startCounts   map[string]int // starts by request identifier
		leaving       bool           // FaultLeave is active: refuses new generations
		finishedCount int            // generations completed since the engine was created
	}

	// generation is one generation and the connection that reads it.
	generation struct {
		id           string
		sequence     *Sequence
		promptTokens int
		truncated    bool // max_output_tokens cuts the output short
		done         bool // completed or cancelled
		cancelled    bool
		endedAt      time.Time // when done was set
		disconnected bool      // FaultDisconnectOnce has closed its connection
		reader       *reader   // connection that reads the generation; nil if there is none
	}

	// reader is a connection over which a generation is streamed.
	reader struct {
		notify     chan struct{}      // wakes the connection on new output or a change of the generation
		superseded bool               // a newer connection has taken over the generation
		silent     bool               // FaultSilent was injected while the connection was open: nothing more is written to it
		cancel     context.CancelFunc // closes the connection
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

// WithSeed sets the seed of the random output lengths. The default is 0.
func WithSeed(n uint64) EngineOption { return withSeed(n) }

// WithRetention sets how long a finished generation can still be read, and how long a new
// generation under a cancelled identifier is refused. The default is 2 minutes.
func WithRetention(d time.Duration) EngineOption { return withRetention(d) }

func (o withSpec) applyEngine(e *Engine)      { e.spec = Spec(o) }
func (o withSeed) applyEngine(e *Engine)      { e.seed = uint64(o) }
func (o withRetention) applyEngine(e *Engine) { e.retention = time.Duration(o) }

// NewEngine returns an engine under the given name. It generates tokens only while Run is
// running.
func NewEngine(name string, opts ...EngineOption) *Engine {
	e := &Engine{name: name, retention: defaultRetention, workAdded: make(chan struct{}, 1), startCounts: map[string]int{}}
	for _, o := range opts {
		o.applyEngine(e)
	}
	e.reset()
	return e
}

// reset drops all generations and assigns a new boot identifier, as a reboot does.
func (e *Engine) reset() {
	e.boots++
	e.bootID = fmt.Sprintf("%s-%d-%08x", e.name, e.boots, rand.Uint32())
	e.batch = NewBatch(e.spec)
	e.byID = map[string]*generation{}
	e.bySequence = map[*Sequence]*generation{}
	e.cancelled = map[string]time.Time{}
	e.readers = map[*reader]bool{}
}

// BootID returns the engine's current boot identifier, which changes with each simulated reboot.
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

// ActiveCount returns the number of running and waiting generations.
func (e *Engine) ActiveCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.RunningCount() + e.batch.WaitingCount()
}

// Run executes steps of the batch until ctx is done and waits for the simulated duration of
// each.
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

// step executes one step of the batch. It returns the duration of the step, or true if the
// batch is idle.
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
		e.finishedCount++
	}
	if f := e.faults.slowdown; f > 1 {
		return time.Duration(float64(out.Duration) * f), false
	}
	return out.Duration, false
}

// notifyReaders wakes every open connection, as there may be new output to write.
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

// removeExpired removes generations that finished, and identifiers that were cancelled,
// longer than the retention time ago. It keeps generations that a connection reads.
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

// start queues a generation in the batch. It returns false if the identifier is in use or
// cancelled, or if the prompt exceeds the KV cache capacity.
func (e *Engine) start(r target.GenerationRequest) (*generation, bool) {
	if _, ok := e.cancelled[r.Generation]; ok || e.byID[r.Generation] != nil {
		return nil, false
	}
	hash, shared := target.PrefixOf(r.Prompt)
	e.nextID++
	s := &Sequence{
		ID:           e.nextID,
		PromptTokens: max(target.CountTokens(r.Prompt), 1),
		OutputTokens: OutputLength(e.seed, r.Prompt),
		Priority:     r.Priority,
		PrefixHash:   hash,
		PrefixTokens: shared,
	}
	g := &generation{id: r.Generation, sequence: s, promptTokens: s.PromptTokens}
	if r.MaxOutputTokens > 0 && s.OutputTokens > r.MaxOutputTokens {
		s.OutputTokens, g.truncated = r.MaxOutputTokens, true
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

// cancel cancels the generation of a request identifier, if it is unfinished. It also makes
// start refuse the identifier for the retention time.
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
