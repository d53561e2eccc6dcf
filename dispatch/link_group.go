package dispatch

import "time"

const (
	// linkGroupRetention is the time for which a leaving target keeps its link group, from when
	// this host learned that it is leaving. It exceeds the longest time from the announcement to
	// the target's end, 2.1 s.
	linkGroupRetention = 2500 * time.Millisecond

	// linkTimeWeight is the cost, in seconds of engine time, of one second of copying over an
	// engine's link. It is high because a stream that is not moved before its target ends is lost.
	linkTimeWeight = 4.0

	// otherGroupCost is the cost, in seconds of engine time, of a destination whose link group
	// belongs to another leaving target.
	otherGroupCost = 0.8

	// otherDomainCopyFactor is the factor by which a copy to another failure domain is slower.
	otherDomainCopyFactor = 2
)

// assignLinkGroups assigns a link group to each target of a pool. Each leaving target has a group
// of its own, and the targets that are not leaving are divided evenly among these groups, within
// each failure domain. The streams of a leaving target prefer destinations of its group; streams
// that move off two targets at the same time then do not wait for each other on the link of a
// common destination. Hosts with the same list of targets compute the same groups without
// coordination.
func (r *Reducer) assignLinkGroups(p *pool) {
	p.linkGroups = 0
	counts := map[string]int{}
	for _, t := range p.targets { // by name
		switch {
		case !t.leaving:
			t.linkGroup = counts[t.spec.Domain]
			counts[t.spec.Domain]++
		case r.now-t.leavingNoticeAt < linkGroupRetention:
			t.linkGroup = p.linkGroups
			p.linkGroups++
		}
	}
}

// moveCost returns the additional cost of t as the destination of a move of q, in seconds: the
// weighted copy time, and otherGroupCost if t belongs to the link group of another leaving target.
func (r *Reducer) moveCost(q *request, t *targetState) float64 {
	cost := linkTimeWeight * r.copyTime(q, t).Seconds()
	if groups := q.pool.linkGroups; groups > 1 && t.linkGroup%groups != q.target.linkGroup {
		cost += otherGroupCost
	}
	return cost
}

// copyTime returns the time needed to copy the memory of q over the link to t, or 0 if the
// bandwidth of the link is unknown.
func (r *Reducer) copyTime(q *request, t *targetState) time.Duration {
	engine := r.engineOf(q)
	if engine.CopyBandwidth == 0 {
		return 0
	}
	bytes := float64(q.prompt+q.tokens) * float64(engine.TokenBytes)
	if t.spec.Domain != q.target.spec.Domain {
		bytes *= otherDomainCopyFactor
	}
	return time.Duration(bytes / float64(engine.CopyBandwidth) * float64(time.Second))
}
