package gateway

import "time"

// A copyPlan decides when a run whose memory is being copied ahead is stopped for the last
// copy. The load pattern that it answers: several streams leave an engine that ends, or go
// to the same one, and a link carries one copy after the other. The last copy of a stopped
// run would wait behind the first copies of others, with its stream silent. So a copy of
// what is new is repeated until one comes back at once: nothing is queued then.
type copyPlan struct {
	gap    time.Duration // pause that callers accept; 0 means any
	latest time.Time     // by which the run is stopped whatever the links carry
	copies int
}

const (
	// quietPart is the part of the accepted pause within which a copy of what is new
	// comes back over links that nothing else waits for; a pause holds two such copies
	// and the start elsewhere.
	quietPart = 4

	// mostCopies bounds the copies of a run that is not stopped.
	mostCopies = 12
)

// stop reports whether the run is stopped now, after a copy that took so long.
func (p *copyPlan) stop(now time.Time, took time.Duration) bool {
	p.copies++
	switch {
	case p.gap == 0 || p.copies >= mostCopies || !now.Before(p.latest):
		return true
	case p.copies == 1:
		return false // its time says more of its size than of the links
	}
	return took <= p.gap/quietPart
}
