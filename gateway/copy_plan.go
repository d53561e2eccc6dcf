package gateway

import "time"

// A copyPlan decides when to stop a generation that moves to another engine, so that the rest of
// its KV cache can be copied. A link carries one copy at a time. When several streams leave a
// stopping engine or move to the same engine, the final copy of a stopped generation would queue
// behind the full first copies of other generations, and its stream would pause for that long.
// Incremental copies are therefore repeated while the generation runs, until one completes
// quickly enough to show that no other copy is queued on the links.
type copyPlan struct {
	maxGap    time.Duration // longest gap in the stream that callers accept; 0 means no limit
	deadline  time.Time     // after this time the generation is stopped even if the links are busy
	copyCount int           // copies made while the generation ran
}

const (
	// idleLinkDivisor is the divisor of maxGap that gives the longest duration of an incremental
	// copy over idle links. The pause of the stream, which maxGap limits, consists of up to two
	// such copies and the resume at the destination.
	idleLinkDivisor = 4

	// maxCopies is the maximum number of copies made while the generation runs.
	maxCopies = 12
)

// shouldStop counts a copy that took elapsed and completed at now, and reports whether to stop
// the generation for the final copy.
func (p *copyPlan) shouldStop(now time.Time, elapsed time.Duration) bool {
	p.copyCount++
	switch {
	case p.maxGap == 0 || p.copyCount >= maxCopies || !now.Before(p.deadline):
		return true
	case p.copyCount == 1:
		return false // a full copy: its duration depends on the size of the KV cache and says nothing about queueing
	}
	return elapsed <= p.maxGap/idleLinkDivisor
}
