package gateway

import "time"

// A copyPlan decides when a generation whose KV cache is being copied is stopped for the final
// copy. A link carries one copy at a time. When several streams leave a stopping engine or
// move to the same engine, the final copy of a stopped generation would queue behind the first
// copies of others, and its stream would pause for that long. The incremental copy is therefore
// repeated while the generation runs, until one completes quickly enough to show that no other
// copy is queued.
type copyPlan struct {
	maxGap   time.Duration // longest gap in the stream that callers accept; 0 means no limit
	deadline time.Time     // the generation is stopped by then even if the links are busy
	copies   int
}

const (
	// idleLinkDivisor sets the time within which an incremental copy completes over idle links,
	// as a fraction of the accepted gap. A gap must cover two such copies and the resume at the
	// destination.
	idleLinkDivisor = 4

	// maxCopies limits the copies that are made while the generation runs.
	maxCopies = 12
)

// shouldStop reports whether to stop the generation now, after a copy that took elapsed.
func (p *copyPlan) shouldStop(now time.Time, elapsed time.Duration) bool {
	p.copies++
	switch {
	case p.maxGap == 0 || p.copies >= maxCopies || !now.Before(p.deadline):
		return true
	case p.copies == 1:
		return false // the first copy is a full one: its duration depends on its size, not on queueing
	}
	return elapsed <= p.maxGap/idleLinkDivisor
}
