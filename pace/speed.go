package pace

import "time"

// A Speed estimates an engine's idle interval: its time between two tokens while it reads no prompt. Intervals are
// averaged over the streams of the engine in slots of time, and the smallest average of the latest slots is
// taken. A slot in which a prompt was read, or in which the engine was slowed down for a short time, does
// not raise the estimate, while an engine that has become slow is known to be after a few slots. The zero
// value is an unknown interval.
type Speed struct {
	slots   [slotCount]slot
	current int // index of the latest slot
}

type slot struct {
	number  int64 // of the slot, counted from time 0, plus 1; 0 if unused
	elapsed time.Duration
	tokens  int
}

const (
	slotTime      = 500 * time.Millisecond
	slotCount     = 6
	minSlotTokens = 32 // tokens below which a slot is not used
	settledSlots  = 4
)

// Observe adds tokens that a stream delivered over the elapsed time until now. A factor removes the
// influence of other streams on the interval: it is the expected ratio of the interval of a
// single stream to that of the running ones.
func (s *Speed) Observe(now time.Duration, tokens int, elapsed time.Duration, factor float64) {
	number := int64(now/slotTime) + 1
	if s.slots[s.current].number != number {
		s.current = (s.current + 1) % slotCount
		s.slots[s.current] = slot{number: number}
	}
	s.slots[s.current].elapsed += time.Duration(float64(elapsed) * factor)
	s.slots[s.current].tokens += tokens
}

// Idle returns the idle interval, or 0 if it is unknown, and whether so many slots are known that a single slow period of the
// engine does not decide it.
func (s *Speed) Idle() (interval time.Duration, settled bool) {
	n := 0
	for _, l := range s.slots {
		if l.tokens < minSlotTokens {
			continue
		}
		n++
		if d := l.elapsed / time.Duration(l.tokens); interval == 0 || d < interval {
			interval = d
		}
	}
	return interval, n >= settledSlots
}
