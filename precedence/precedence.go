// Package precedence orders requests that compete for the memory of a pool of engines. The load that it handles: long
// generations fill the memory of all engines for seconds each, and beside them arrive short requests whose first
// token is due much earlier and which hold memory for a fraction of a second. In the order of the
// organisations' use alone, short requests wait behind long ones until they are late.
package precedence

import "time"

type (
	// A Class is the precedence of a held request, lower first.
	Class uint8

	// Objectives are the shortest and the longest time to the first token that routes to a pool state. The zero value
	// is that of a pool without such routes.
	Objectives struct{ Shortest, Longest time.Duration }
)

// The classes of requests.
const (
	Urgent Class = iota // urgent and can be on time, from an organisation within its part
	OnTime              // can be on time
	Late                // cannot be on time any more
	Classes
)

const (
	// urgentRatio is the ratio of a pool's longest objective to that of an urgent request, at least.
	urgentRatio = 2

	// UrgentPart is the fraction of its share of a pool's memory up to which an organisation's urgent requests go before
	// others. Above it, an organisation would gain by stating short objectives for all of its requests. A quarter delays
	// the bursts of an organisation that sends 40% of all urgent requests.
	UrgentPart = 0.5

	// PoolPart is the fraction of a pool's memory up to which the short urgent requests of all organisations together go before
	// others, independently of their organisations' shares. Urgent requests usually hold a twentieth of the memory, and twice as much
	// in a burst; the share of one of many organisations would hold two of them.
	PoolPart = 0.125

	// LateTurn is the number of dispatches of the class OnTime after which a request of the class Late is next.
	LateTurn = 15
)

// Add includes the objective of a route. An objective of 0 is that of a route that states none.
func (o *Objectives) Add(objective time.Duration) {
	if objective <= 0 {
		return
	}
	o.Longest = max(o.Longest, objective)
	if o.Shortest == 0 || objective < o.Shortest {
		o.Shortest = objective
	}
}

// Mixed reports whether requests with the shortest objective are urgent beside those with the longest.
func (o Objectives) Mixed() bool { return o.Shortest > 0 && o.Longest >= urgentRatio*o.Shortest }

// IsUrgent reports whether a request with the given objective is urgent.
func (o Objectives) IsUrgent(objective time.Duration) bool {
	return o.Mixed() && objective > 0 && urgentRatio*objective <= o.Longest
}

// WithinPart reports whether an organisation whose urgent streams hold the given memory of a pool, in tokens, may have
// another one go before other requests. share is the organisation's fraction of all weights. One stream is always within.
func WithinPart(held int, memory, share float64) bool {
	return held == 0 || float64(held) < UrgentPart*share*memory
}

// WithinPoolPart reports whether another urgent request may go before other requests if all urgent streams hold the given memory of
// a pool, in tokens.
func WithinPoolPart(held int, memory float64) bool { return float64(held) < PoolPart*memory }

// Classify returns the class of a request. late reports whether it cannot be on time any more, urgent whether it is
// urgent, and within whether its organisation, or all of them together, are within their part.
func Classify(late, urgent, within bool) Class {
	switch {
	case late:
		return Late
	case urgent && within:
		return Urgent
	}
	return OnTime
}
