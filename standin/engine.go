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
	// An Engine is a stand-in model engine: a Batch run in real time behind the
	// OpenAI Responses API, with switches for faults.
	Engine struct {
		name     string
		seed     uint64
		spec     Spec
		keep     time.Duration
		mu       sync.Mutex
		batch    *Batch
		boot     string
		boots    int
		byID     map[string]*generation
		bySeq    map[*Sequence]*generation
		buried   map[string]time.Time // cancelled identifiers, known or not
		readers  map[*reader]bool
		faults   faults
		wake     chan struct{}
		nextID   uint64
		started  map[string]int // how often each identifier was started
		leaving  bool
		finished int
	}

	// generation is one generation and its one reader.
	generation struct {
		id        string
		sequence  *Sequence
		prompt    int
		limited   bool
		done      bool
		cancelled bool
		ended     time.Time
		broken    bool // the break_at fault has struck
		reader    *reader
	}

	// reader is one connection that follows a generation.
	reader struct {
		notify     chan struct{}
		superseded bool
		silent     bool
		cut        context.CancelFunc
	}

	// An EngineOption changes an Engine.
	EngineOption interface{ applyEngine(*Engine) }

	withSpec Spec
	withSeed uint64
	withKeep time.Duration
)

// defaultKeep is how long a finished generation can be resumed.
const defaultKeep = 2 * time.Minute

// WithSpec sets the sizes of the engine's batch.
func WithSpec(s Spec) EngineOption { return withSpec(s) }

// WithSeed sets the seed of the output lengths.
func WithSeed(n uint64) EngineOption { return withSeed(n) }

// WithKeep sets how long a finished generation can be resumed.
func WithKeep(d time.Duration) EngineOption { return withKeep(d) }

func (o withSpec) applyEngine(e *Engine) { e.spec = Spec(o) }
func (o withSeed) applyEngine(e *Engine) { e.seed = uint64(o) }
func (o withKeep) applyEngine(e *Engine) { e.keep = time.Duration(o) }

// NewEngine returns an engine. Run must be running for it to generate.
func NewEngine(name string, opts ...EngineOption) *Engine {
	e := &Engine{name: name, keep: defaultKeep, wake: make(chan struct{}, 1), started: map[string]int{}}
	for _, o := range opts {
		o.applyEngine(e)
	}
	e.reset()
	return e
}

// reset empties the engine under a new boot identifier.
func (e *Engine) reset() {
	e.boots++
	e.boot = fmt.Sprintf("%s-%d-%08x", e.name, e.boots, rand.Uint32())
	e.batch = NewBatch(e.spec)
	e.byID = map[string]*generation{}
	e.bySeq = map[*Sequence]*generation{}
	e.buried = map[string]time.Time{}
	e.readers = map[*reader]bool{}
}

// Boot returns the present boot identifier.
func (e *Engine) Boot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Counts returns the batch's totals since boot.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.Counts()
}

// Started returns how many orders the engine has taken since it was made, and the
// largest number of times that one identifier was taken.
func (e *Engine) Started() (orders, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.started {
		orders += n
		most = max(most, n)
	}
	return orders, most
}

// Busy returns the number of generations in the batch or waiting for it.
func (e *Engine) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.Running() + e.batch.Waiting()
}

// Run steps the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		took, idle := e.step()
		if idle {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		pause.For(ctx, took)
		e.publish()
	}
}

func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweep()
	if e.batch.Idle() {
		return 0, true
	}
	out := e.batch.Step()
	for _, s := range out.Ended {
		g := e.bySeq[s]
		delete(e.bySeq, s)
		g.done, g.ended = true, time.Now()
		e.finished++
	}
	if f := e.faults.slow; f > 1 {
		return time.Duration(float64(out.Took) * f), false
	}
	return out.Took, false
}

// publish wakes the readers.
func (e *Engine) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.readers {
		r.wake()
	}
}

func (r *reader) wake() {
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// sweep forgets finished generations after a while.
func (e *Engine) sweep() {
	for id, g := range e.byID {
		if g.done && g.reader == nil && time.Since(g.ended) > e.keep {
			delete(e.byID, id)
		}
	}
	for id, at := range e.buried {
		if time.Since(at) > e.keep {
			delete(e.buried, id)
		}
	}
}

// start takes an order. It reports false if the identifier is in use, buried, or
// the prompt can never fit.
func (e *Engine) start(o target.Order) (*generation, bool) {
	if _, ok := e.buried[o.Generation]; ok || e.byID[o.Generation] != nil {
		return nil, false
	}
	hash, shared := target.PrefixOf(o.Prompt)
	e.nextID++
	s := &Sequence{
		ID:       e.nextID,
		Prompt:   max(target.CountTokens(o.Prompt), 1),
		Output:   OutputLength(e.seed, o.Prompt),
		Priority: o.Priority,
		Prefix:   hash,
		Shared:   shared,
	}
	g := &generation{id: o.Generation, sequence: s, prompt: s.Prompt}
	if o.Limit > 0 && s.Output > o.Limit {
		s.Output, g.limited = o.Limit, true
	}
	if !e.batch.Add(s) {
		return nil, false
	}
	e.byID[g.id], e.bySeq[s] = g, g
	e.started[g.id]++
	e.nudge()
	return g, true
}

func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// bury ends a generation and refuses its identifier from now on.
func (e *Engine) bury(id string) {
	e.buried[id] = time.Now()
	g := e.byID[id]
	if g == nil || g.done {
		return
	}
	e.batch.Remove(g.sequence)
	delete(e.bySeq, g.sequence)
	g.done, g.cancelled, g.ended = true, true, time.Now()
	if g.reader != nil {
		g.reader.wake()
	}
}
