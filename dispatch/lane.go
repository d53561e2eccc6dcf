package dispatch

import "time"

const (
	// laneLife is how long after its announced end a target counts among those that
	// streams are moved off: the longest notice is 2.1 s.
	laneLife = 2500 * time.Millisecond

	// linkWeight is how many seconds of an engine's time a second on its link is worth:
	// what is not moved before the end is lost.
	linkWeight = 4.0

	// laneCost is how many seconds of an engine's time it is worth not to share a link
	// with the streams of another ending target.
	laneCost = 0.8

	// awayCopies is how many times as long a copy to another failure domain takes.
	awayCopies = 2
)

// assignLanes divides the targets of a pool that stay among those that end: streams that leave
// two targets at once then do not wait for each other on the link of one that they both go
// to. Every host with the same list divides it alike, and asks nobody. Within each failure
// domain every ending target has its part.
func (r *Reducer) assignLanes(p *pool) {
	p.lanes = 0
	places := map[string]int{}
	for _, t := range p.targets { // by name
		switch {
		case !t.leaving:
			t.lane = places[t.spec.Domain]
			places[t.spec.Domain]++
		case r.now-t.leavingAt < laneLife:
			t.lane = p.lanes
			p.lanes++
		}
	}
}

// moveCost is what a target costs a running stream that is to be moved, beyond what it
// costs any: time on the links, and links that other streams use at the same time.
func (r *Reducer) moveCost(q *request, t *targetState) float64 {
	cost := linkWeight * r.copyTime(q, t).Seconds()
	if lanes := q.pool.lanes; lanes > 1 && t.lane%lanes != q.target.lane {
		cost += laneCost
	}
	return cost
}

// copyTime returns the time that the memory of a stream takes over the link to a target.
// Links between failure domains take twice as long.
func (r *Reducer) copyTime(q *request, t *targetState) time.Duration {
	engine := r.engineOf(q)
	if engine.Link == 0 {
		return 0
	}
	bytes := float64(q.prompt+q.tokens) * float64(engine.TokenBytes)
	if t.spec.Domain != q.target.spec.Domain {
		bytes *= awayCopies
	}
	return time.Duration(bytes / float64(engine.Link) * float64(time.Second))
}
