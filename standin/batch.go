// Package standin holds small stand-ins for what lies around the system: model
// engines, plain services and the platform. They are the only test scaffolding;
// the demo runs them too.
package standin

import (
	"slices"
	"time"
)

type (
	// A Batch is the model of a continuously batching engine with bounded
	// memory. It has no clock: each Step says how long it took. One goroutine
	// uses it at a time.
	Batch struct {
		spec    Spec
		used    int // tokens of memory held by running sequences
		cached  int // tokens of memory held by idle prefixes
		running []*Sequence
		waiting []*Sequence
		prefix  map[uint64]*cachedPrefix
		clock   uint64 // counts uses of prefixes
		arrived uint64
		counts  Counts
	}

	// A Spec sizes a batch. A zero field means its default.
	Spec struct {
		Memory      int           // tokens
		Most        int           // sequences in the batch
		Prefill     int           // prompt tokens computed in one step
		Base        time.Duration // time of a step with nothing in it
		PerSequence time.Duration // added by each decoding sequence
		PerPrefill  time.Duration // added by each prompt token
	}

	// A Sequence is one generation in a batch.
	Sequence struct {
		ID       uint64
		Prompt   int // tokens
		Output   int // tokens that it will have generated at its end
		Priority int // lower goes first
		Prefix   uint64
		Shared   int // tokens of the prompt that belong to Prefix
		Held     int // tokens of memory that come with it, as copied from another engine

		Generated int // tokens so far
		Cached    int // prompt tokens found in the cache at first start

		order     uint64
		todo      int // tokens still to be computed before the next output
		held      int // tokens of memory held
		preempted bool
	}

	// Counts are totals since the batch was made.
	Counts struct {
		Tokens, Preemptions, Recomputed int
	}

	// A Stepped is the result of one step. Its slices are valid until the next.
	Stepped struct {
		Took      time.Duration
		Tokens    []*Sequence // produced one token each
		Ended     []*Sequence // produced their last token; also in Tokens
		Preempted []*Sequence
		Evicted   []uint64 // prefixes dropped from the cache
	}

	cachedPrefix struct {
		tokens int
		used   uint64
	}
)

// Defaults of a Spec.
const (
	DefaultMemory      = 100_000
	DefaultMost        = 256
	DefaultPrefill     = 2048
	DefaultBase        = 12 * time.Millisecond
	DefaultPerSequence = 120 * time.Microsecond
	DefaultPerPrefill  = 20 * time.Microsecond
)

// NewBatch returns an empty batch.
func NewBatch(s Spec) *Batch {
	if s.Memory == 0 {
		s.Memory = DefaultMemory
	}
	if s.Most == 0 {
		s.Most = DefaultMost
	}
	if s.Prefill == 0 {
		s.Prefill = DefaultPrefill
	}
	if s.Base == 0 {
		s.Base = DefaultBase
	}
	if s.PerSequence == 0 {
		s.PerSequence = DefaultPerSequence
	}
	if s.PerPrefill == 0 {
		s.PerPrefill = DefaultPerPrefill
	}
	return &Batch{spec: s, prefix: map[uint64]*cachedPrefix{}}
}

// Spec returns the batch's sizes with the defaults filled in.
func (b *Batch) Spec() Spec { return b.spec }

// Counts returns the totals so far.
func (b *Batch) Counts() Counts { return b.counts }

// Used returns the tokens of memory held by sequences.
func (b *Batch) Used() int { return b.used }

// Running and Waiting return the number of sequences.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of sequences that are queued or preempted.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Idle reports whether there is nothing to do.
func (b *Batch) Idle() bool { return len(b.running)+len(b.waiting) == 0 }

// Add queues a sequence. It reports false if the sequence could never fit.
func (b *Batch) Add(s *Sequence) bool {
	if s.Prompt+1 > b.spec.Memory {
		return false
	}
	b.arrived++
	s.order = b.arrived
	s.todo = s.Prompt
	b.enqueue(s)
	return true
}

func (b *Batch) enqueue(s *Sequence) {
	i, _ := slices.BinarySearchFunc(b.waiting, s, before)
	b.waiting = slices.Insert(b.waiting, i, s)
}

// before orders sequences by priority, then arrival.
func before(a, s *Sequence) int {
	if a.Priority != s.Priority {
		return a.Priority - s.Priority
	}
	if a.order < s.order {
		return -1
	}
	if a.order > s.order {
		return 1
	}
	return 0
}

// Remove takes a sequence out, wherever it is.
func (b *Batch) Remove(s *Sequence) {
	if i := slices.Index(b.running, s); i >= 0 {
		b.release(s)
		b.running = slices.Delete(b.running, i, i+1)
		return
	}
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

func (b *Batch) release(s *Sequence) {
	b.used -= s.held
	s.held = 0
}

// Step runs the batch once.
func (b *Batch) Step() Stepped {
	var out Stepped
	b.admit(&out)
	prefill := b.prefillStep()
	b.decodeStep(&out)
	out.Took = b.spec.Base +
		time.Duration(len(out.Tokens))*b.spec.PerSequence +
		time.Duration(prefill)*b.spec.PerPrefill
	return out
}

// admit moves waiting sequences into the batch while memory lasts.
func (b *Batch) admit(out *Stepped) {
	for len(b.waiting) > 0 && len(b.running) < b.spec.Most {
		s := b.waiting[0]
		need := s.Prompt + s.Generated + 1
		if b.used+need > b.spec.Memory {
			return
		}
		b.makeRoom(need, s.Prefix, out)
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.used += need
		s.held = need
		s.todo = s.Prompt + s.Generated
		if hit := b.hit(s); hit > 0 {
			s.todo -= hit
			if !s.preempted && s.Generated == 0 {
				s.Cached = hit
			}
		}
		if !s.preempted {
			s.todo = min(s.todo, s.Prompt+s.Generated-s.Held)
		}
		s.todo = max(s.todo, 1)
		b.running = append(b.running, s)
	}
}

// hit returns how many prompt tokens the cache saves.
func (b *Batch) hit(s *Sequence) int {
	p := b.prefix[s.Prefix]
	if s.Shared == 0 || p == nil {
		return 0
	}
	b.clock++
	p.used = b.clock
	return min(p.tokens, s.Shared)
}

// makeRoom evicts idle prefixes, least recently used first, until need tokens
// are free. The prefix keep goes last.
func (b *Batch) makeRoom(need int, keep uint64, out *Stepped) {
	for b.used+b.cached+need > b.spec.Memory && b.cached > 0 {
		var victim uint64
		var oldest *cachedPrefix
		for id, p := range b.prefix {
			if id == keep && len(b.prefix) > 1 {
				continue
			}
			if oldest == nil || p.used < oldest.used {
				victim, oldest = id, p
			}
		}
		b.cached -= oldest.tokens
		delete(b.prefix, victim)
		out.Evicted = append(out.Evicted, victim)
	}
}

func (b *Batch) prefillStep() int {
	left := b.spec.Prefill
	for _, s := range b.running {
		if s.todo == 0 || left == 0 {
			continue
		}
		n := min(s.todo, left)
		s.todo -= n
		left -= n
	}
	return b.spec.Prefill - left
}

// decodeStep gives one token to every sequence whose prompt is computed, and
// preempts from the back when memory runs out.
func (b *Batch) decodeStep(out *Stepped) {
	for _, s := range slices.Clone(b.running) {
		if s.todo > 0 || s.held == 0 {
			continue
		}
		if !b.grow(s, out) {
			continue
		}
		s.Generated++
		b.counts.Tokens++
		out.Tokens = append(out.Tokens, s)
		if s.Generated >= s.Output {
			out.Ended = append(out.Ended, s)
		}
	}
	for _, s := range out.Ended {
		b.keepPrefix(s)
		b.Remove(s)
	}
}

// grow gives s one more token of memory. It reports false if s itself had to be
// preempted.
func (b *Batch) grow(s *Sequence, out *Stepped) bool {
	for b.used+1 > b.spec.Memory {
		victim := slices.MaxFunc(b.running, before)
		b.preempt(victim, out)
		if victim == s {
			return false
		}
	}
	b.makeRoom(1, 0, out)
	b.used++
	s.held++
	return true
}

func (b *Batch) preempt(s *Sequence, out *Stepped) {
	b.release(s)
	i := slices.Index(b.running, s)
	b.running = slices.Delete(b.running, i, i+1)
	s.preempted = true
	b.counts.Preemptions++
	b.counts.Recomputed += s.Prompt + s.Generated
	b.enqueue(s)
	out.Preempted = append(out.Preempted, s)
}

// keepPrefix leaves the shared prefix of an ended sequence in the cache if there
// is room.
func (b *Batch) keepPrefix(s *Sequence) {
	if s.Shared == 0 || b.prefix[s.Prefix] != nil {
		return
	}
	free := b.spec.Memory - b.used + s.held - b.cached
	if free < s.Shared {
		return
	}
	b.clock++
	b.prefix[s.Prefix] = &cachedPrefix{tokens: s.Shared, used: b.clock}
	b.cached += s.Shared
}
