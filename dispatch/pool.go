package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/table"
)

// pool is the set of targets that serve one model or one service, and the requests held for
// them.
type pool struct {
	name                  string               // of the model or service
	plain                 bool                 // whether the pool is a plain service
	targets               []*targetState       // by name
	domains               map[string]int       // number of targets by failure domain
	linkGroups            int                  // number of leaving targets to which assignLinkGroups gave a group
	queues                []*organisationQueue // one for each organisation that has used the pool
	byOrganisation        map[*organisation]*organisationQueue
	held                  int                  // held requests
	inflight              int                  // requests in flight at targets
	queueOrder            []*organisationQueue // queues that dispatchHeld has still to visit, by normalisedRate; valid within dispatchHeld
	fairRateAt            time.Duration        // time when fairRate was computed; 0 means never
	fairRate              float64              // sum of the projected rates of the pool's active organisations divided by the sum of their weights
	activeWeights         float64              // sum of the weights of the pool's active organisations when fairRate was computed
	highestNormalisedRate float64              // highest normalisedRate of an active organisation
	retryBudget           retryBudget
	fragility             limit.Record  // refusals a second that its targets survive, as they say
	nextRetry             time.Duration // latest time at which the caller of a request that was refused for limits may come back
	mixed                 mixedPool
	pace                  poolPace
	stopWaits             stopWaits
}

const (
	heldRetryInterval        = 25 * time.Millisecond  // time between two attempts to dispatch held requests
	fairRateInterval         = 100 * time.Millisecond // time for which a pool's fairRate and highestNormalisedRate are cached
	maxBypassedOrganisations = 4                      // largest number of organisations that one dispatchByRate bypasses for lack of capacity
	maxBypassAge             = 2 * time.Second        // age above which a request that waits for capacity is not bypassed
	overShareTolerance       = 0.02                   // fraction of the fair rate by which a normalised rate may exceed it within the share
	fullShareExcess          = 0.25                   // fraction of the fair rate by which a normalised rate must exceed it for a share excess of 1
	shareExcessExponent      = 4                      // exponent of an organisation's excess relative to that of the one furthest over its share
	fullBacklogAge           = 2 * time.Second        // age of the backlog from which the share excess is no longer reduced
	yieldTolerance           = 1.05                   // ratio of normalised rates above which an organisation yields to one with requests held on another host
	minActiveRate            = 0.2                    // projected rate above which an organisation counts as active in a pool, in service units a second
)

// queueOf returns the queue of an organisation in the pool, and creates it if needed.
func (p *pool) queueOf(org *organisation) *organisationQueue {
	queue := p.byOrganisation[org]
	if queue == nil {
		queue = &organisationQueue{organisation: org}
		p.byOrganisation[org] = queue
		p.queues = append(p.queues, queue)
	}
	return queue
}

// couldFit reports whether a prompt, with its length in tokens, fits into the memory of at least
// one engine of the pool. It is true for a pool without targets.
func (p *pool) couldFit(prompt int) bool {
	for _, t := range p.targets {
		if prompt < t.spec.Memory {
			return true
		}
	}
	return len(p.targets) == 0
}

// dispatchHeld dispatches the held requests of a pool while targets have capacity.
func (r *Reducer) dispatchHeld(p *pool) {
	r.refuseOutlasting(p)
	if p.held == 0 {
		r.returnPlaces(p)
		return
	}
	if r.delegates(p) {
		r.askForHeld(p)
	}
	for _, t := range p.targets {
		r.dropOldPlaces(t)
	}
	defer r.refuseExcess(p)
	if p.isMixed() {
		r.dispatchMixed(p)
	} else {
		r.dispatchByRate(p)
	}
}

// dispatchByRate dispatches the held requests of a pool while targets have capacity: those of the
// organisation with the lowest normalisedRate first, and by rank within an organisation. An
// organisation for whose first request no target has capacity is bypassed, unless that request is
// older than maxBypassAge; in this case, and after maxBypassedOrganisations bypasses, nothing more
// is dispatched.
func (r *Reducer) dispatchByRate(p *pool) {
	r.sortQueues(p)
	bypassed := 0
	for len(p.queueOrder) > 0 && bypassed < maxBypassedOrganisations {
		queue := p.queueOrder[0]
		q := r.nextReady(queue)
		if q == nil || r.mustYield(q, queue, p) {
			p.queueOrder = slices.Delete(p.queueOrder, 0, 1)
			continue
		}
		if r.needsTrial(q) {
			q.waitCause = WaitTrial
			r.askTrial(q)
			continue
		}
		t := r.choose(q, r.shareExcess(queue.normalisedRate, r.now-queue.lastEmpty, p))
		if t == nil {
			q.waitCause = WaitCapacity
			if r.now-q.arrived > maxBypassAge && !r.isLate(q) {
				return
			}
			bypassed++
			p.queueOrder = slices.Delete(p.queueOrder, 0, 1)
			continue
		}
		if !r.mayStart(q, t) {
			continue
		}
		r.dispatch(q, t)
		queue.normalisedRate = r.normalisedRate(queue.organisation, p)
		r.restoreOrder(p)
	}
}

// mayStart reports whether a held request can be dispatched to t, which has capacity. It refuses a request that would
// not end before the host stops, and asks for a place if t names a limit and has none.
func (r *Reducer) mayStart(q *request, t *targetState) bool {
	switch {
	case r.latestStart(q, t) < r.now:
		r.refuseHeldForStop(q)
	case !t.hasPlace(r.now):
		q.waitCause = WaitPlace
		r.askPlace(q, t)
	default:
		return true
	}
	return false
}

// mustYield reports whether a request must wait for other requests or a cap, independently of the targets' capacity.
func (r *Reducer) mustYield(q *request, queue *organisationQueue, p *pool) bool {
	switch {
	case r.atInflightCap(queue.organisation, p):
		q.waitCause = WaitCap
	case !p.fragility.Named && r.yieldsToPeers(queue, p): // places at brittle targets are not to stay unused
		q.waitCause = WaitPeers
	default:
		return false
	}
	return true
}

// nextReady returns the first request of a queue that is not in retry backoff and that this host
// places, or nil. It requests a Tick for the end of the backoffs that it passes. Requests that can
// still be on time go before those that are late already: in a crowd, serving all in the order of
// their arrival would make all of them late.
func (r *Reducer) nextReady(queue *organisationQueue) *request {
	var late *request
	for _, q := range queue.held {
		switch {
		case q.placement == placementAsked || q.placement == placementNone && q.remote == nil && r.delegates(q.pool):
		case q.notBefore > r.now:
			r.wakeBy(q.notBefore)
		case !r.isLate(q):
			return q
		case late == nil:
			late = q
		}
	}
	return late
}

// yieldsToPeers reports whether an organisation must wait because another host holds requests of
// another organisation with a lower normalisedRate in the pool.
func (r *Reducer) yieldsToPeers(queue *organisationQueue, p *pool) bool {
	for _, o := range r.peerList {
		for _, h := range o.held {
			org := r.organisations[h.Organisation]
			if h.Pool != p.name || org == nil || org == queue.organisation {
				continue
			}
			if queue.normalisedRate > yieldTolerance*r.normalisedRate(org, p)+minActiveRate/r.weight(queue.organisation, p) {
				return true
			}
		}
	}
	return false
}

// dispatch sends a held request to t.
func (r *Reducer) dispatch(q *request, t *targetState) {
	r.dequeue(q)
	org := q.organisation
	if org.lastDispatch > 0 {
		org.dispatchInterval += time.Duration(dispatchSmoothing * float64(r.now-org.lastDispatch-org.dispatchInterval))
	}
	org.lastDispatch = r.now
	q.attempts++
	basis := r.basis
	basis.HeldFor, basis.Attempt = r.now-q.arrived, q.attempts
	basis.Streams, basis.OtherDomain = t.totalDemand(r.now).Streams, r.inOtherDomain(t)
	run, stop := r.usualRun(q, t), r.stopLimit(q, t)
	if q.attempts > 1 {
		r.counts.Retried++
	}
	t.breaker.recordAttempt(r.now)
	if q.placement != placementRemote { // the coordinator has used a place of its own
		q.lease = t.usePlace()
	}
	r.assign(q, t)
	if q.remote != nil {
		r.basis = basis
		r.emitPlaced(q)
		return
	}
	r.chooseBackup(q, &q.backup, t)
	e := Effect{Kind: EffectDispatch, ID: q.id, Target: t.spec.Name, To: t.spec, Priority: r.priority(q), Limit: r.limitOfTarget(t), Brittle: t.brittle, Run: run, Stop: stop, Basis: basis}
	e.ExtraAfter = r.extraDelay(q)
	if q.backup.target != nil {
		e.Backup = q.backup.target.spec
	}
	r.emit(e)
}

// priority returns the engine priority of a request; lower values run first and are preempted last.
// The value is the lower, the more the request's organisation weighs stalls against tail latency, and lowest for an
// urgent request with WithUrgentPriority.
func (r *Reducer) priority(q *request) int {
	if r.options.urgentPriority && r.isUrgent(q) {
		return urgentPriority
	}
	org := q.organisation
	if !r.options.latencyWeights || org.spec.TailWeight+org.spec.StallWeight == 0 {
		return priorityScale / 2
	}
	return int(priorityScale * org.spec.TailWeight / (org.spec.TailWeight + org.spec.StallWeight))
}

const (
	priorityScale  = 10 // largest number that priority returns, which is the least urgent priority
	urgentPriority = 1  // of urgent requests in mixed pools, with WithUrgentPriority
)

// reduce puts the table in force, unless one of the same or a newer version is in force: it updates
// organisations, pools and targets, refuses held requests that the new table does not allow and
// dispatches the others.
func (e TableChange) reduce(r *Reducer) {
	if e.Table == nil || r.table != nil && e.Table.Version <= r.table.Version {
		return
	}
	r.table = e.Table
	r.applyOrganisations()
	r.applyPools()
	r.applyTargets()
	r.refuseHeldOfRemoved()
	r.dispatchAllHeld()
}

// applyOrganisations takes over the organisations of the table in force. An organisation that is no
// longer listed is removed, unless it has requests held or in flight.
func (r *Reducer) applyOrganisations() {
	for name, spec := range r.table.Organisations {
		org := r.organisations[name]
		if org == nil {
			org = &organisation{rateLimiters: map[string]*rateLimiter{}}
			r.organisations[name] = org
			r.organisationList = append(r.organisationList, org)
		}
		org.spec = spec
	}
	r.organisationList = slices.DeleteFunc(r.organisationList, func(org *organisation) bool {
		_, known := r.table.Organisations[org.spec.Name]
		if known || org.inflight+org.heldTotal > 0 {
			return false
		}
		delete(r.organisations, org.spec.Name)
		return true
	})
	slices.SortFunc(r.organisationList, func(a, b *organisation) int { return strings.Compare(a.spec.Name, b.spec.Name) })
}

// applyPools adds pools for the models and services of the table in force.
func (r *Reducer) applyPools() {
	for name := range r.table.Models {
		r.ensurePool(name, false)
	}
	for name := range r.table.Services {
		r.ensurePool(name, true)
	}
	r.applyObjectives()
	slices.SortFunc(r.poolList, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
}

func (r *Reducer) ensurePool(name string, plain bool) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name, plain: plain, byOrganisation: map[*organisation]*organisationQueue{}}
		r.pools[name] = p
		r.poolList = append(r.poolList, p)
	}
	return p
}

// applyTargets takes over the listed targets, divides them over the pools and retires those that
// are no longer listed. A target with a new start time is a new process and gets a new state.
func (r *Reducer) applyTargets() {
	for _, p := range r.poolList {
		p.targets = p.targets[:0]
		p.domains = map[string]int{}
	}
	listed := r.listedTargets()
	for name, spec := range listed {
		spec = r.resolveKind(spec)
		if !r.options.crossDomain && r.options.domain != "" && spec.Domain != r.options.domain {
			delete(r.targets, name)
			continue
		}
		p := r.pools[poolName(spec)]
		if p == nil {
			delete(r.targets, name)
			continue
		}
		t := r.targets[name]
		if t == nil {
			t = r.retired[name] // the target was temporarily missing from the list
			delete(r.retired, name)
		}
		if t == nil || !t.spec.StartTime.Equal(spec.StartTime) {
			t = r.newTarget(spec)
		}
		r.targets[name] = t
		t.spec = spec
		t.setBrittle(p.fragility.Named)
		t.setLeaving(r.isLeaving(spec), r.now)
		t.evacuated = r.isEvacuated(spec.Domain)
		r.refreshCold(t)
		p.targets = append(p.targets, t)
		p.domains[spec.Domain]++
	}
	for name := range r.targets {
		if _, ok := listed[name]; !ok {
			r.retire(name)
		}
	}
	for _, p := range r.poolList {
		slices.SortFunc(p.targets, func(a, b *targetState) int { return strings.Compare(a.spec.Name, b.spec.Name) })
		r.assignLinkGroups(p)
	}
}

// listedTargets returns the targets of the latest Fleet event, or those of the table in force
// before the first Fleet event.
func (r *Reducer) listedTargets() map[string]table.Target {
	if r.fleet.Targets != nil {
		return r.fleet.Targets
	}
	return r.table.Targets
}

// resolveKind returns the entry of an engine for a target that is listed as a service under the
// name of a model, and any other entry unchanged. The list in a Fleet event does not distinguish
// the two.
func (r *Reducer) resolveKind(spec table.Target) table.Target {
	model, ok := r.table.Models[spec.Service]
	if spec.Kind != table.TargetService || !ok {
		return spec
	}
	spec.Kind, spec.Model, spec.Service = table.TargetEngine, spec.Service, ""
	if model.Engine.Memory > 0 {
		spec.Memory = model.Engine.Memory
	}
	return spec
}

// reduce replaces the list of targets, moves streams off the leaving ones and dispatches held
// requests.
func (e Fleet) reduce(r *Reducer) {
	if e.Targets == nil {
		return
	}
	r.fleet = e
	if r.table == nil {
		return
	}
	r.applyTargets()
	r.evacuate()
	r.dispatchAllHeld()
}

// retire removes a target that is no longer listed from the targets for new work and marks it as
// leaving. Its streams continue and may be moved; if the target is listed again while they run, its
// state is reused.
func (r *Reducer) retire(name string) {
	t := r.targets[name]
	t.setLeaving(true, r.now)
	delete(r.targets, name)
	for old, o := range r.retired {
		if o.running == 0 {
			delete(r.retired, old)
		}
	}
	if t.running > 0 {
		r.retired[name] = t
	}
}

// poolName returns the name of the pool that a target serves.
func poolName(spec table.Target) string {
	if spec.Kind == table.TargetService {
		return spec.Service
	}
	return spec.Model
}

// refuseHeldOfRemoved refuses the held requests of pools and organisations that are no longer in
// the table, and removes those pools that have no request in flight.
func (r *Reducer) refuseHeldOfRemoved() {
	r.poolList = slices.DeleteFunc(r.poolList, func(p *pool) bool {
		_, model := r.table.Models[p.name]
		_, service := r.table.Services[p.name]
		for _, queue := range p.queues {
			_, known := r.table.Organisations[queue.organisation.spec.Name]
			if known && (model || service) {
				continue
			}
			for len(queue.held) > 0 {
				q := queue.held[0]
				r.dequeue(q)
				r.refuse(q, answer.KindNoTarget, 0)
			}
		}
		if model || service || p.inflight > 0 {
			return false
		}
		delete(r.pools, p.name)
		return true
	})
}
