// Package standin simulates the systems around an entry host for tests, benchmarks and
// the demo: model engines, plain HTTP services and the configuration service.
package standin

import (
	"slices"
	"time"
)

type (
	// A Batch simulates an engine with continuous batching and a bounded KV cache.
	// It has no clock: Step returns the simulated duration of the step. It is not
	// safe for concurrent use.
	Batch struct {
		spec           Spec
		sequenceTokens int // KV cache tokens that running sequences hold
		prefixTokens   int // KV cache tokens that cached prefixes hold
		running        []*Sequence
		waiting        []*Sequence              // ordered by compareSequences
		prefixes       map[uint64]*cachedPrefix // by Sequence.PrefixHash
		prefixUses     uint64                   // prefix cache inserts and hits, the logical clock of the LRU order
		arrivals       uint64                   // sequences added
		counts         Counts
	}

	// A Spec holds the capacity and the step times of a batch. A zero field selects
	// its default.
	Spec struct {
		Memory           int           // KV cache capacity in tokens
		MaxSequences     int           // maximum number of running sequences
		MaxPrefillTokens int           // maximum number of prompt tokens computed per step
		BaseStepTime     time.Duration // duration of an empty step
		PerSequence      time.Duration // added per sequence that generates a token
		PerPromptToken   time.Duration // added per prompt token computed
	}

	// A Sequence is one generation in a batch.
	Sequence struct {
		ID           uint64
		PromptTokens int    // tokens
		OutputTokens int    // total output length in tokens
		Priority     int    // lower values are scheduled first
		PrefixHash   uint64 // hash of the prompt prefix, key of the prefix cache
		PrefixTokens int    // prompt tokens that PrefixHash identifies
		CopiedTokens int    // tokens whose KV cache was copied from another engine

		Generated    int // output tokens so far
		CachedTokens int // prompt tokens found in the prefix cache when the sequence first ran

		arrival      uint64 // position in the order of Add calls, from 1
		uncomputed   int    // tokens to compute before the next output token
		memoryTokens int    // KV cache tokens held; 0 while waiting
		preempted    bool   // has been preempted at least once
	}

	// Counts holds totals since the batch was created. Recomputed is the number of
	// prompt and output tokens that preempted sequences have to compute again.
	Counts struct {
		Tokens, Preemptions, Recomputed int
	}

	// A StepResult is the result of one step. Its slices are valid until the next step.
	StepResult struct {
		Duration  time.Duration // simulated duration
		Tokens    []*Sequence   // sequences that generated one token each
		Finished  []*Sequence   // sequences that generated their last token; also in Tokens
		Preempted []*Sequence
		Evicted   []uint64 // prefixes evicted from the cache
	}

	cachedPrefix struct {
		tokens  int
		lastUse uint64 // Batch.prefixUses at the last insert or hit
	}
)

// Defaults of the fields of Spec; DefaultMemory is in tokens.
const (
	DefaultMemory           = 100_000
	DefaultMaxSequences     = 256
	DefaultMaxPrefillTokens = 2048
	DefaultBaseStepTime     = 12 * time.Millisecond
	DefaultPerSequence      = 120 * time.Microsecond
	DefaultPerPromptToken   = 20 * time.Microsecond
)

// NewBatch returns an empty batch.
func NewBatch(s Spec) *Batch {
	if s.Memory == 0 {
		s.Memory = DefaultMemory
	}
	if s.MaxSequences == 0 {
		s.MaxSequences = DefaultMaxSequences
	}
	if s.MaxPrefillTokens == 0 {
		s.MaxPrefillTokens = DefaultMaxPrefillTokens
	}
	if s.BaseStepTime == 0 {
		s.BaseStepTime = DefaultBaseStepTime
	}
	if s.PerSequence == 0 {
		s.PerSequence = DefaultPerSequence
	}
	if s.PerPromptToken == 0 {
		s.PerPromptToken = DefaultPerPromptToken
	}
	return &Batch{spec: s, prefixes: map[uint64]*cachedPrefix{}}
}

// Spec returns the specification of the batch with the defaults filled in.
func (b *Batch) Spec() Spec { return b.spec }

// Counts returns the totals so far.
func (b *Batch) Counts() Counts { return b.counts }

// Used returns the KV cache tokens that running sequences hold. Cached prefixes don't
// count.
func (b *Batch) Used() int { return b.sequenceTokens }

// Running returns the number of sequences in the batch.
func (b *Batch) Running() int { return len(b.running) }

// Waiting returns the number of queued sequences, preempted ones included.
func (b *Batch) Waiting() int { return len(b.waiting) }

// Idle reports whether the batch has neither running nor waiting sequences.
func (b *Batch) Idle() bool { return len(b.running)+len(b.waiting) == 0 }

// Add queues a sequence. It returns false if the prompt and one output token exceed
// the KV cache capacity.
func (b *Batch) Add(s *Sequence) bool {
	if s.PromptTokens+1 > b.spec.Memory {
		return false
	}
	b.arrivals++
	s.arrival = b.arrivals
	s.uncomputed = s.PromptTokens
	b.enqueue(s)
	return true
}

func (b *Batch) enqueue(s *Sequence) {
	i, _ := slices.BinarySearchFunc(b.waiting, s, compareSequences)
	b.waiting = slices.Insert(b.waiting, i, s)
}

// compareSequences orders sequences by priority, then by arrival.
func compareSequences(a, s *Sequence) int {
	if a.Priority != s.Priority {
		return a.Priority - s.Priority
	}
	if a.arrival < s.arrival {
		return -1
	}
	if a.arrival > s.arrival {
		return 1
	}
	return 0
}

// Remove removes a running or waiting sequence and frees its memory.
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
	b.sequenceTokens -= s.memoryTokens
	s.memoryTokens = 0
}

// Step runs one iteration: it admits waiting sequences, computes prompt tokens, and
// generates one token for each sequence whose prompt is complete.
func (b *Batch) Step() StepResult {
	var result StepResult
	b.admit(&result)
	prefill := b.prefillStep()
	b.decodeStep(&result)
	result.Duration = b.spec.BaseStepTime +
		time.Duration(len(result.Tokens))*b.spec.PerSequence +
		time.Duration(prefill)*b.spec.PerPromptToken
	return result
}

// admit moves waiting sequences into the batch in order until the first that does not
// fit the free memory.
func (b *Batch) admit(result *StepResult) {
	for len(b.waiting) > 0 && len(b.running) < b.spec.MaxSequences {
		s := b.waiting[0]
		need := s.PromptTokens + s.Generated + 1
		if b.sequenceTokens+need > b.spec.Memory {
			return
		}
		b.evictPrefixes(need, s.PrefixHash, result)
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.sequenceTokens += need
		s.memoryTokens = need
		s.uncomputed = s.PromptTokens + s.Generated
		if hit := b.cachedTokens(s); hit > 0 {
			s.uncomputed -= hit
			if !s.preempted && s.Generated == 0 {
				s.CachedTokens = hit
			}
		}
		if !s.preempted {
			s.uncomputed = min(s.uncomputed, s.PromptTokens+s.Generated-s.CopiedTokens)
		}
		s.uncomputed = max(s.uncomputed, 1)
		b.running = append(b.running, s)
	}
}

// cachedTokens returns how many prompt tokens of s are in the prefix cache, and marks
// the prefix as used.
func (b *Batch) cachedTokens(s *Sequence) int {
	p := b.prefixes[s.PrefixHash]
	if s.PrefixTokens == 0 || p == nil {
		return 0
	}
	b.prefixUses++
	p.lastUse = b.prefixUses
	return min(p.tokens, s.PrefixTokens)
}

// evictPrefixes evicts cached prefixes, least recently used first, until need tokens
// are free. It evicts the prefix keep last.
func (b *Batch) evictPrefixes(need int, keep uint64, result *StepResult) {
	for b.sequenceTokens+b.prefixTokens+need > b.spec.Memory && b.prefixTokens > 0 {
		var oldestID uint64
		var oldest *cachedPrefix
		for id, p := range b.prefixes {
			if id == keep && len(b.prefixes) > 1 {
				continue
			}
			if oldest == nil || p.lastUse < oldest.lastUse {
				oldestID, oldest = id, p
			}
		}
		b.prefixTokens -= oldest.tokens
		delete(b.prefixes, oldestID)
		result.Evicted = append(result.Evicted, oldestID)
	}
}

func (b *Batch) prefillStep() int {
	left := b.spec.MaxPrefillTokens
	for _, s := range b.running {
		if s.uncomputed == 0 || left == 0 {
			continue
		}
		n := min(s.uncomputed, left)
		s.uncomputed -= n
		left -= n
	}
	return b.spec.MaxPrefillTokens - left
}

// decodeStep generates one token for every sequence whose prompt is computed. When
// memory runs out, it preempts the sequence that is last by compareSequences.
func (b *Batch) decodeStep(result *StepResult) {
	for _, s := range slices.Clone(b.running) {
		if s.uncomputed > 0 || s.memoryTokens == 0 {
			continue
		}
		if !b.allocateToken(s, result) {
			continue
		}
		s.Generated++
		b.counts.Tokens++
		result.Tokens = append(result.Tokens, s)
		if s.Generated >= s.OutputTokens {
			result.Finished = append(result.Finished, s)
		}
	}
	for _, s := range result.Finished {
		b.cachePrefix(s)
		b.Remove(s)
	}
}

// allocateToken allocates memory for one more token of s, preempting sequences if
// needed. It returns false if it preempted s itself.
func (b *Batch) allocateToken(s *Sequence, result *StepResult) bool {
	for b.sequenceTokens+1 > b.spec.Memory {
		victim := slices.MaxFunc(b.running, compareSequences)
		b.preempt(victim, result)
		if victim == s {
			return false
		}
	}
	b.evictPrefixes(1, 0, result)
	b.sequenceTokens++
	s.memoryTokens++
	return true
}

func (b *Batch) preempt(s *Sequence, result *StepResult) {
	b.release(s)
	i := slices.Index(b.running, s)
	b.running = slices.Delete(b.running, i, i+1)
	s.preempted = true
	b.counts.Preemptions++
	b.counts.Recomputed += s.PromptTokens + s.Generated
	b.enqueue(s)
	result.Preempted = append(result.Preempted, s)
}

// cachePrefix adds the prefix of a finished sequence to the prefix cache if enough
// memory is free. It never evicts another prefix.
func (b *Batch) cachePrefix(s *Sequence) {
	if s.PrefixTokens == 0 || b.prefixes[s.PrefixHash] != nil {
		return
	}
	free := b.spec.Memory - b.sequenceTokens + s.memoryTokens - b.prefixTokens
	if free < s.PrefixTokens {
		return
	}
	b.prefixUses++
	b.prefixes[s.PrefixHash] = &cachedPrefix{tokens: s.PrefixTokens, lastUse: b.prefixUses}
	b.prefixTokens += s.PrefixTokens
}
