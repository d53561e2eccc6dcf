// Package standin simulates the systems around an entry host for tests, benchmarks and
// the demo: model engines, plain HTTP services and the configuration service.
package standin

import (
	"slices"
	"time"
)

type (
	// A Batch simulates the continuous batching of an engine with a bounded KV cache. It has
	// no clock: Step returns the simulated duration of a step. It is not safe for concurrent
	// use.
	Batch struct {
		spec           Spec
		sequenceTokens int // KV cache in use by running sequences, in tokens
		prefixTokens   int // KV cache in use by cached prefixes, in tokens
		running        []*Sequence
		waiting        []*Sequence              // ordered by compareSequences
		prefixes       map[uint64]*cachedPrefix // by Sequence.PrefixHash
		prefixUses     uint64                   // number of inserts into and hits in the prefix cache; logical clock for LRU eviction
		arrivals       uint64                   // number of sequences added
		counts         Counts
	}

	// A Spec holds the capacity and the step times of a batch. A zero field selects
	// its default.
	Spec struct {
		MemoryTokens           int           // KV cache capacity in tokens
		MaxSequences           int           // maximum number of running sequences
		MaxPrefillTokens       int           // maximum number of prompt tokens computed per step
		BaseStepTime           time.Duration // duration of a step that computes no token
		StepTimePerSequence    time.Duration // added to the step for each sequence that generates a token
		StepTimePerPromptToken time.Duration // added to the step for each prompt token computed
	}

	// A Sequence is one generation in a batch. The exported fields up to CopiedTokens are set
	// before Add, the others by the batch.
	Sequence struct {
		ID           uint64
		PromptTokens int    // length of the prompt in tokens
		OutputTokens int    // total output length in tokens
		Priority     int    // lower values are scheduled first
		PrefixHash   uint64 // hash of the shareable prefix of the prompt, key of the prefix cache
		PrefixTokens int    // length of that prefix in tokens; 0 means none
		CopiedTokens int    // prompt and output tokens whose KV cache was copied from another engine and need no computing

		Generated    int // output tokens generated so far
		CachedTokens int // prompt tokens found in the prefix cache when the sequence was first admitted

		arrival          uint64 // number of the Add call, from 1
		uncomputedTokens int    // prompt and output tokens to compute before the next output token is generated
		memoryTokens     int    // KV cache allocated, in tokens; 0 while the sequence waits
		preempted        bool   // has been preempted at least once
	}

	// Counts holds counters of a batch since its creation: output tokens generated,
	// preemptions, and prompt and output tokens that preempted sequences must compute again.
	Counts struct {
		Tokens, Preemptions, Recomputed int
	}

	// A StepResult is the result of one step of a batch. Its slices are valid until the next
	// step.
	StepResult struct {
		Duration  time.Duration // simulated duration of the step
		Decoded   []*Sequence   // sequences that generated one token each
		Finished  []*Sequence   // sequences that generated their last token; also in Decoded
		Preempted []*Sequence   // sequences moved back to the queue for lack of KV cache
		Evicted   []uint64      // PrefixHash of each prefix evicted from the prefix cache
	}

	cachedPrefix struct {
		tokens  int    // length of the prefix
		lastUse uint64 // Batch.prefixUses at the last insert or hit
	}
)

// Defaults of the fields of Spec.
const (
	DefaultMemoryTokens           = 100_000
	DefaultMaxSequences           = 256
	DefaultMaxPrefillTokens       = 2048
	DefaultBaseStepTime           = 12 * time.Millisecond
	DefaultStepTimePerSequence    = 120 * time.Microsecond
	DefaultStepTimePerPromptToken = 20 * time.Microsecond
)

// NewBatch returns an empty batch.
func NewBatch(s Spec) *Batch {
	if s.MemoryTokens == 0 {
		s.MemoryTokens = DefaultMemoryTokens
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
	if s.StepTimePerSequence == 0 {
		s.StepTimePerSequence = DefaultStepTimePerSequence
	}
	if s.StepTimePerPromptToken == 0 {
		s.StepTimePerPromptToken = DefaultStepTimePerPromptToken
	}
	return &Batch{spec: s, prefixes: map[uint64]*cachedPrefix{}}
}

// Spec returns the specification of the batch with the defaults filled in.
func (b *Batch) Spec() Spec { return b.spec }

// Counts returns the counters of the batch since its creation.
func (b *Batch) Counts() Counts { return b.counts }

// UsedTokens returns the KV cache in use by running sequences, in tokens. It does not count
// cached prefixes, which are evicted when sequences need their memory.
func (b *Batch) UsedTokens() int { return b.sequenceTokens }

// RunningCount returns the number of admitted sequences, which hold KV cache.
func (b *Batch) RunningCount() int { return len(b.running) }

// WaitingCount returns the number of queued sequences, including preempted ones.
func (b *Batch) WaitingCount() int { return len(b.waiting) }

// Idle reports whether the batch has neither running nor waiting sequences.
func (b *Batch) Idle() bool { return len(b.running)+len(b.waiting) == 0 }

// Add queues a sequence. It returns false, and does not queue it, if the prompt and one
// output token exceed the KV cache capacity.
func (b *Batch) Add(s *Sequence) bool {
	if s.PromptTokens+1 > b.spec.MemoryTokens {
		return false
	}
	b.arrivals++
	s.arrival = b.arrivals
	s.uncomputedTokens = s.PromptTokens
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

// Remove removes a running or waiting sequence and frees its KV cache.
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

// Step executes one step: it admits waiting sequences, computes prompt tokens, and generates
// one output token for each sequence whose tokens are all computed.
func (b *Batch) Step() StepResult {
	var result StepResult
	b.admit(&result)
	prefill := b.prefillStep()
	b.decodeStep(&result)
	result.Duration = b.spec.BaseStepTime +
		time.Duration(len(result.Decoded))*b.spec.StepTimePerSequence +
		time.Duration(prefill)*b.spec.StepTimePerPromptToken
	return result
}

// admit moves waiting sequences into the batch, in the order of compareSequences. It stops
// at the first sequence that does not fit the KV cache that other sequences leave free.
func (b *Batch) admit(result *StepResult) {
	for len(b.waiting) > 0 && len(b.running) < b.spec.MaxSequences {
		s := b.waiting[0]
		need := s.PromptTokens + s.Generated + 1
		if b.sequenceTokens+need > b.spec.MemoryTokens {
			return
		}
		b.evictPrefixes(need, s.PrefixHash, result)
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.sequenceTokens += need
		s.memoryTokens = need
		s.uncomputedTokens = s.PromptTokens + s.Generated
		if hit := b.cachedTokens(s); hit > 0 {
			s.uncomputedTokens -= hit
			if !s.preempted && s.Generated == 0 {
				s.CachedTokens = hit
			}
		}
		if !s.preempted {
			s.uncomputedTokens = min(s.uncomputedTokens, s.PromptTokens+s.Generated-s.CopiedTokens)
		}
		s.uncomputedTokens = max(s.uncomputedTokens, 1)
		b.running = append(b.running, s)
	}
}

// cachedTokens returns how many prompt tokens of s are in the prefix cache, and marks their
// prefix as the most recently used.
func (b *Batch) cachedTokens(s *Sequence) int {
	p := b.prefixes[s.PrefixHash]
	if s.PrefixTokens == 0 || p == nil {
		return 0
	}
	b.prefixUses++
	p.lastUse = b.prefixUses
	return min(p.tokens, s.PrefixTokens)
}

// evictPrefixes evicts cached prefixes, least recently used first, until KV cache for need
// tokens is free. It evicts the prefix with the hash keep last.
func (b *Batch) evictPrefixes(need int, keep uint64, result *StepResult) {
	for b.sequenceTokens+b.prefixTokens+need > b.spec.MemoryTokens && b.prefixTokens > 0 {
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

// prefillStep computes prompt tokens of running sequences, at most MaxPrefillTokens, and
// returns how many it computed.
func (b *Batch) prefillStep() int {
	left := b.spec.MaxPrefillTokens
	for _, s := range b.running {
		if s.uncomputedTokens == 0 || left == 0 {
			continue
		}
		n := min(s.uncomputedTokens, left)
		s.uncomputedTokens -= n
		left -= n
	}
	return b.spec.MaxPrefillTokens - left
}

// decodeStep generates one token for every running sequence without uncomputed tokens, and
// removes the sequences that this completes. When no KV cache is free, it preempts the
// running sequence that compareSequences orders last.
func (b *Batch) decodeStep(result *StepResult) {
	for _, s := range slices.Clone(b.running) {
		if s.uncomputedTokens > 0 || s.memoryTokens == 0 {
			continue
		}
		if !b.allocateToken(s, result) {
			continue
		}
		s.Generated++
		b.counts.Tokens++
		result.Decoded = append(result.Decoded, s)
		if s.Generated >= s.OutputTokens {
			result.Finished = append(result.Finished, s)
		}
	}
	for _, s := range result.Finished {
		b.cachePrefix(s)
		b.Remove(s)
	}
}

// allocateToken allocates KV cache for one more token of s and preempts sequences if none is
// free. It returns false if it preempted s itself.
func (b *Batch) allocateToken(s *Sequence, result *StepResult) bool {
	for b.sequenceTokens+1 > b.spec.MemoryTokens {
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

// preempt frees the KV cache of a running sequence and queues the sequence again. Its prompt
// and its output so far must be computed again.
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

// cachePrefix adds the prefix of a finished sequence to the prefix cache, unless that would
// require the eviction of another prefix.
func (b *Batch) cachePrefix(s *Sequence) {
	if s.PrefixTokens == 0 || b.prefixes[s.PrefixHash] != nil {
		return
	}
	free := b.spec.MemoryTokens - b.sequenceTokens + s.memoryTokens - b.prefixTokens
	if free < s.PrefixTokens {
		return
	}
	b.prefixUses++
	b.prefixes[s.PrefixHash] = &cachedPrefix{tokens: s.PrefixTokens, lastUse: b.prefixUses}
	b.prefixTokens += s.PrefixTokens
}
