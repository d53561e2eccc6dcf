package dispatch

import "time"

const (
	// linkGroupRetention is how long after its announced end a target counts among those that
	// streams are moved off: the longest notice is 2.1 s.
	linkGroupRetention = 2500 * time.Millisecond

	// linkTimeWeight is how many seconds of an engine's time a second on its link is worth:
	// what is not moved before the end is lost.
	linkTimeWeight = 4.0

	// otherGroupCost is how many seconds of an engine's time it is worth not to share a link
	// with the streams of another ending target.
	otherGroupCost = 0.8

	// otherDomainCopyFactor is how many times as long a copy to another failure domain takes.
	otherDomainCopyFactor = 2
)

// assignLinkGroups divides the targets of a pool that stay among those that end: streams that leave
// two targets at once then do not wait for each other on the link of one that they both go
// to. Every host with the same list divides it alike, and asks nobody. Within each failure
// domain every ending target has its part.
func (r *Reducer) assignLinkGroups(p *pool) {
	p.linkGroups = 0
	places := map[string]int{}
	for _, t := range p.targets { // by name
		switch {
		case !t.leaving:
			t.linkGroup = places[t.spec.Domain]
			places[t.spec.Domain]++
		case r.now-t.noticeAt < linkGroupRetention:
			t.linkGroup = p.linkGroups
			p.linkGroups++
		}
	}
}

// moveCost is what a target costs a running stream that is to be moved, beyond what it
// costs any: time on the links, and links that other streams use at the same time.
func (r *Reducer) moveCost(q *request, t *targetState) float64 {
	cost := linkTimeWeight * r.copyTime(q, t).Seconds()
	if lanes := q.pool.linkGroups; lanes > 1 && t.linkGroup%lanes != q.target.linkGroup {
		cost += otherGroupCost
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
		bytes *= otherDomainCopyFactor
	}
	return time.Duration(bytes / float64(engine.Link) * float64(time.Second))
}
