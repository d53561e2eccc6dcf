package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
)

// pool is the set of targets that serve one model or one service, and the requests held for
// them.
type pool struct {
	name           string         // of the model or service
	plain          bool           // whether the pool is a plain service
	targets        []*targetState // by name
	domains        map[string]int // number of targets by failure domain
	linkGroups     int            // number of targets that streams are being moved off
	queues         []*organisationQueue
	byOrganisation map[*organisation]*organisationQueue
	held           int                  // held requests
	inflight       int                  // requests in flight at targets
	queueOrder     []*organisationQueue // queues with held requests, by normalisedRate; valid within dispatchHeld
	fairRateAt     time.Duration        // time when fairRate was computed; 0 means never
	fairRate       float64              // projected service rate of all active organisations divided by the sum of their weights
	highestRate    float64              // highest normalisedRate of an active organisation
	retryBudget    retryBudget
}

const (
	heldRetryInterval  = 25 * time.Millisecond  // time between two attempts to dispatch held requests
	fairRateInterval   = 100 * time.Millisecond // time for which a pool's fairRate is cached
	maxBypassed        = 4                      // organisations that one dispatchHeld bypasses at most, for lack of capacity
	maxBypassAge       = 2 * time.Second        // age above which a request that waits for capacity is not bypassed
	overShareTolerance = 0.02                   // relative excess below which an organisation counts as within its share
	fullExcess         = 0.25                   // relative excess from which excess counts in full
	excessExponent     = 4                      // makes excess fall off below that of the organisation furthest over its share
	fullBacklogAge     = 2 * time.Second        // age of a backlog from which excess counts in full
	yieldTolerance     = 1.05                   // ratio of normalised rates above which an organisation yields to one held on another host
	activeRate         = 0.2                    // service units a second above which an organisation counts as active
)

func (p *pool) queueOf(org *organisation) *organisationQueue {
	queue := p.byOrganisation[org]
	if queue == nil {
		queue = &organisationQueue{organisation: org}
		p.byOrganisation[org] = queue
		p.queues = append(p.queues, queue)
	}
	return queue
}

// couldFit reports whether a prompt fits into the memory of at least one engine of the pool.
// A pool without targets counts as fitting.
func (p *pool) couldFit(prompt int) bool {
	for _, t := range p.targets {
		if prompt < t.spec.Memory {
			return true
		}
	}
	return len(p.targets) == 0
}

// dispatchHeld dispatches held requests while targets have capacity: the organisation with the
// lowest normalisedRate first, and by rank within an organisation. Organisations whose first
// request finds no target are bypassed, up to maxBypassed of them. If that request is older
// than maxBypassAge, nothing is dispatched past it.
func (r *Reducer) dispatchHeld(p *pool) {
	if p.held == 0 {
		return
	}
	r.sortQueues(p)
	passed := 0
	for len(p.queueOrder) > 0 && passed < maxBypassed {
		queue := p.queueOrder[0]
		q := r.nextReady(queue)
		if q == nil || r.atInflightCap(queue.organisation, p) || r.yieldsToPeers(queue, p) {
			p.queueOrder = slices.Delete(p.queueOrder, 0, 1)
			continue
		}
		t := r.choose(q, r.excess(queue.normalisedRate, r.now-queue.lastEmpty, p))
		if t == nil {
			if r.now-q.arrived > maxBypassAge {
				return
			}
			passed++
			p.queueOrder = slices.Delete(p.queueOrder, 0, 1)
			continue
		}
		r.dispatch(q, t)
		queue.normalisedRate = r.normalisedRate(queue.organisation, p)
		r.restoreOrder(p)
	}
}

// sortQueues sorts the queues with held requests by normalisedRate.
func (r *Reducer) sortQueues(p *pool) {
	p.queueOrder = p.queueOrder[:0]
	for _, queue := range p.queues {
		if len(queue.held) == 0 {
			continue
		}
		queue.normalisedRate = r.normalisedRate(queue.organisation, p)
		p.queueOrder = append(p.queueOrder, queue)
	}
	slices.SortStableFunc(p.queueOrder, byRate)
}

func byRate(a, b *organisationQueue) int { return cmp.Compare(a.normalisedRate, b.normalisedRate) }

// restoreOrder restores the order of the queues after the first one's normalisedRate has grown.
func (r *Reducer) restoreOrder(p *pool) {
	for i := 0; i+1 < len(p.queueOrder) && p.queueOrder[i].normalisedRate > p.queueOrder[i+1].normalisedRate; i++ {
		p.queueOrder[i], p.queueOrder[i+1] = p.queueOrder[i+1], p.queueOrder[i]
	}
}

// nextReady returns the first request of a queue that is not in retry backoff, or nil.
func (r *Reducer) nextReady(queue *organisationQueue) *request {
	for _, q := range queue.held {
		if q.notBefore <= r.now {
			return q
		}
		r.wakeBy(q.notBefore)
	}
	return nil
}

// yieldsToPeers reports whether an organisation must wait because another one with a lower
// normalisedRate has requests held on another host.
func (r *Reducer) yieldsToPeers(queue *organisationQueue, p *pool) bool {
	for _, o := range r.peerList {
		for _, h := range o.held {
			org := r.organisations[h.Organisation]
			if h.Pool != p.name || org == nil || org == queue.organisation {
				continue
			}
			if queue.normalisedRate > yieldTolerance*r.normalisedRate(org, p)+activeRate/r.weight(queue.organisation, p) {
				return true
			}
		}
	}
	return false
}

// excess returns how far an organisation with the given normalised rate is over its share,
// from 0 for not at all to 1. It reaches 1 only for the organisation that is furthest over its
// share, by fullExcess or more, and falls off steeply for the others, which keeps a short burst
// from being penalised while another organisation floods the pool. It also grows with the age
// of the organisation's backlog, up to fullBacklogAge.
func (r *Reducer) excess(rate float64, backlog time.Duration, p *pool) float64 {
	fair := r.fairRate(p)
	over := rate/fair - 1
	if over < overShareTolerance {
		return 0
	}
	part := over / max(p.highestRate/fair-1, over)
	lasting := min(float64(backlog)/float64(fullBacklogAge), 1)
	return lasting * min(over/fullExcess, 1) * math.Pow(part, excessExponent)
}

// fairRate returns the projected service rate of a pool divided by the sum of the weights of the
// organisations active in it, or +Inf if none is active.
func (r *Reducer) fairRate(p *pool) float64 {
	if p.fairRateAt != 0 && r.now-p.fairRateAt < fairRateInterval {
		return p.fairRate
	}
	sum, weights := 0.0, 0.0
	p.highestRate = 0
	for _, org := range r.organisationList {
		use := r.ledger.ProjectedRate(share.Account{Organisation: org.spec.Name, Pool: p.name}, r.now)
		if use > activeRate {
			p.highestRate = max(p.highestRate, r.normalisedRate(org, p))
			sum += use
			weights += r.weight(org, p)
		}
	}
	p.fairRateAt, p.fairRate = max(r.now, 1), math.Inf(1)
	if weights > 0 {
		p.fairRate = sum / weights
	}
	return p.fairRate
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
	if q.attempts > 1 {
		r.counts.Retried++
	}
	t.breaker.recordAttempt(r.now)
	r.assign(q, t)
	r.chooseBackup(q, &q.backup, t)
	e := Effect{Kind: EffectDispatch, ID: q.id, Target: t.spec.Name, To: t.spec, Priority: r.priority(q), Basis: basis}
	if q.backup.target != nil {
		e.Backup = q.backup.target.spec
	}
	r.emit(e)
}

// priority returns the engine priority of a request; lower values run first. The more its
// organisation weighs stalls against tail latency, the later the engine preempts it.
func (r *Reducer) priority(q *request) int {
	org := q.organisation
	if !r.options.latencyWeights || org.spec.TailWeight+org.spec.StallWeight == 0 {
		return priorityScale / 2
	}
	return int(priorityScale * org.spec.TailWeight / (org.spec.TailWeight + org.spec.StallWeight))
}

// priorityScale is the largest engine priority value.
const priorityScale = 10

// reduce applies the table unless one of the same or a newer version is in force.
func (e TableChange) reduce(r *Reducer) {
	if e.Table == nil || r.table != nil && e.Table.Version <= r.table.Version {
		return
	}
	r.table = e.Table
	r.applyOrganisations()
	r.applyPools()
	r.applyTargets()
	r.rejectRemoved()
	r.dispatchAllHeld()
}

func (r *Reducer) applyOrganisations() {
	for name, spec := range r.table.Organisations {
		org := r.organisations[name]
		if org == nil {
			org = &organisation{rates: map[string]*rateLimiter{}}
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

func (r *Reducer) applyPools() {
	for name := range r.table.Models {
		r.ensurePool(name, false)
	}
	for name := range r.table.Services {
		r.ensurePool(name, true)
	}
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
			t = r.retired[name] // it was temporarily missing from the list
			delete(r.retired, name)
		}
		if t == nil || !t.spec.StartTime.Equal(spec.StartTime) {
			t = r.newTarget(spec)
		}
		r.targets[name] = t
		t.spec = spec
		t.setLeaving(r.leavingTargets[name] || spec.Leaving, r.now)
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

// listedTargets returns the targets of the fleet, or those of the table before the first
// Fleet event.
func (r *Reducer) listedTargets() map[string]table.Target {
	if r.fleet.Targets != nil {
		return r.fleet.Targets
	}
	return r.table.Targets
}

// resolveKind turns a target listed as a service into an engine if its service name is that of
// a model, since the fleet's list does not distinguish the two.
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

// reduce replaces the list of targets.
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

// retire takes a target that is no longer listed out of use. Its streams continue and may be
// moved; if it is listed again while they run, its state is reused.
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

// rejectRemoved refuses the held requests of pools and organisations that are no longer in the
// table, and removes those pools once nothing is in flight.
func (r *Reducer) rejectRemoved() {
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
				r.finish(q, answer.KindNoTarget, 0)
			}
		}
		if model || service || p.inflight > 0 {
			return false
		}
		delete(r.pools, p.name)
		return true
	})
}
