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

// pool is the targets that serve one model or one service, and the requests that
// are held for them.
type pool struct {
	name           string
	plain          bool
	targets        []*targetState
	domains        map[string]int // targets by failure domain
	linkGroups     int            // targets that streams are being moved off
	queues         []*organisationQueue
	byOrganisation map[*organisation]*organisationQueue
	held           int
	inflight       int
	queueOrder     []*organisationQueue // scratch of drain
	fairRateAt     time.Duration
	fairRate       float64     // mean use by weight over the active organisations
	highestRate    float64     // level of the organisation that has had the most
	retryBudget    retryBudget // of retries
}

const (
	heldRetryInterval  = 25 * time.Millisecond // how often held requests are tried again
	fairRateInterval   = 100 * time.Millisecond
	maxBypassed        = 4               // organisations passed over while a head waits for room
	maxBypassAge       = 2 * time.Second // age from which a head is not passed over
	overShareTolerance = 0.02            // relative excess from which an organisation counts as over its share
	fullExcess         = 0.25            // relative excess that counts in full
	excessExponent     = 4
	fullBacklogAge     = 2 * time.Second // age of a backlog that counts in full
	yieldTolerance     = 1.05            // level by which an organisation waits for one held elsewhere
	activeRate         = 0.2             // service units a second from which an organisation counts as active
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

// couldFit reports whether a prompt fits some engine when empty.
func (p *pool) couldFit(prompt int) bool {
	for _, t := range p.targets {
		if prompt < t.spec.Memory {
			return true
		}
	}
	return len(p.targets) == 0
}

// dispatchHeld sends held requests while there is room: the organisation with the least use by
// weight first, within an organisation by rank.
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

// sortQueues sorts the organisations with held requests by level.
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

// restoreOrder restores the order after the first queue's level has changed.
func (r *Reducer) restoreOrder(p *pool) {
	for i := 0; i+1 < len(p.queueOrder) && p.queueOrder[i].normalisedRate > p.queueOrder[i+1].normalisedRate; i++ {
		p.queueOrder[i], p.queueOrder[i+1] = p.queueOrder[i+1], p.queueOrder[i]
	}
}

// nextReady returns the first request of a queue that is not backing off.
func (r *Reducer) nextReady(queue *organisationQueue) *request {
	for _, q := range queue.held {
		if q.notBefore <= r.now {
			return q
		}
		r.wakeBy(q.notBefore)
	}
	return nil
}

// yieldsToPeers reports whether an organisation lets others go first that are held on another
// host and have had less.
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

// excess returns how far an organisation of a level is over its share, from 0 for not at all
// to 1. It counts in full for the organisation that is furthest over, if that is by
// fullExcess or more, and falls off steeply below: a burst beside a flood is not held
// against its organisation. Nor is one that has not kept requests waiting for long.
func (r *Reducer) excess(level float64, backlog time.Duration, p *pool) float64 {
	fair := r.fairRate(p)
	over := level/fair - 1
	if over < overShareTolerance {
		return 0
	}
	part := over / max(p.highestRate/fair-1, over)
	lasting := min(float64(backlog)/float64(fullBacklogAge), 1)
	return lasting * min(over/fullExcess, 1) * math.Pow(part, excessExponent)
}

// fairRate returns the mean level over the organisations active in a pool.
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

// dispatch dispatches a held request.
func (r *Reducer) dispatch(q *request, t *targetState) {
	r.dequeue(q)
	org := q.organisation
	if org.lastDispatch > 0 {
		org.dispatchInterval += time.Duration(dispatchSmoothing * float64(r.now-org.lastDispatch-org.dispatchInterval))
	}
	org.lastDispatch = r.now
	q.attempts++
	basis := r.basis
	basis.Held, basis.Attempt = r.now-q.arrived, q.attempts
	basis.Streams, basis.Away = t.totalDemand(r.now).Streams, r.inOtherDomain(t)
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

// priority returns the engine priority of an organisation's requests, lower first: the
// more an organisation weighs stalls against the tail, the later it is preempted.
func (r *Reducer) priority(q *request) int {
	org := q.organisation
	if !r.options.latencyWeights || org.spec.Tail+org.spec.Stall == 0 {
		return priorityScale / 2
	}
	return int(priorityScale * org.spec.Tail / (org.spec.Tail + org.spec.Stall))
}

// priorityScale is the range of engine priorities.
const priorityScale = 10

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
	declared := r.listedTargets()
	for name, spec := range declared {
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
			t = r.retired[name] // it was missing for a while
			delete(r.retired, name)
		}
		if t == nil || !t.spec.Boot.Equal(spec.Boot) {
			t = r.newTarget(spec)
		}
		r.targets[name] = t
		t.spec = spec
		t.setLeaving(r.leavingTargets[name] || spec.Leaving, r.now)
		p.targets = append(p.targets, t)
		p.domains[spec.Domain]++
	}
	for name := range r.targets {
		if _, ok := declared[name]; !ok {
			r.retire(name)
		}
	}
	for _, p := range r.poolList {
		slices.SortFunc(p.targets, func(a, b *targetState) int { return strings.Compare(a.spec.Name, b.spec.Name) })
		r.assignLinkGroups(p)
	}
}

// listedTargets returns the targets that the fleet or else the table lists.
func (r *Reducer) listedTargets() map[string]table.Target {
	if r.fleet.Targets != nil {
		return r.fleet.Targets
	}
	return r.table.Targets
}

// resolveKind completes a target whose list does not say what kind of pool it serves.
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

// retire takes a target out of use. Its streams go on and may be moved, and it is the same
// target if it is listed again.
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

func poolName(spec table.Target) string {
	if spec.Kind == table.TargetService {
		return spec.Service
	}
	return spec.Model
}

// rejectRemoved answers the held requests of pools and organisations that the table no
// longer has.
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
