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
	lanes          int            // targets that streams are being moved off
	queues         []*organisationQueue
	byOrganisation map[*organisation]*organisationQueue
	held           int
	inflight       int
	order          []*organisationQueue // scratch of drain
	fairAt         time.Duration
	fair           float64 // mean use by weight over the active organisations
	highest        float64 // level of the organisation that has had the most
	budget         budget  // of retries
}

const (
	holdTick     = 25 * time.Millisecond // how often held requests are tried again
	fairEvery    = 100 * time.Millisecond
	bypass       = 4               // organisations passed over while a head waits for room
	bypassAge    = 2 * time.Second // age from which a head is not passed over
	overSlack    = 0.02            // relative excess from which an organisation counts as over its share
	fullExcess   = 0.25            // relative excess that counts in full
	excessPower  = 4
	fullBacklog  = 2 * time.Second // age of a backlog that counts in full
	pauseSlack   = 1.05            // level by which an organisation waits for one held elsewhere
	activeWeight = 0.2             // service units a second from which an organisation counts as active
)

func (p *pool) queueOf(m *organisation) *organisationQueue {
	mq := p.byOrganisation[m]
	if mq == nil {
		mq = &organisationQueue{organisation: m}
		p.byOrganisation[m] = mq
		p.queues = append(p.queues, mq)
	}
	return mq
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

// drain sends held requests while there is room: the organisation with the least use by
// weight first, within an organisation by rank.
func (r *Reducer) drain(p *pool) {
	if p.held == 0 {
		return
	}
	r.order(p)
	passed := 0
	for len(p.order) > 0 && passed < bypass {
		mq := p.order[0]
		q := r.head(mq)
		if q == nil || r.capped(mq.organisation, p) || r.paused(mq, p) {
			p.order = slices.Delete(p.order, 0, 1)
			continue
		}
		t := r.choose(q, r.excess(mq.level, r.now-mq.since, p))
		if t == nil {
			if r.now-q.arrived > bypassAge {
				return
			}
			passed++
			p.order = slices.Delete(p.order, 0, 1)
			continue
		}
		r.send(q, t)
		mq.level = r.level(mq.organisation, p)
		r.sink(p)
	}
}

// order sorts the organisations with held requests by level.
func (r *Reducer) order(p *pool) {
	p.order = p.order[:0]
	for _, mq := range p.queues {
		if len(mq.held) == 0 {
			continue
		}
		mq.level = r.level(mq.organisation, p)
		p.order = append(p.order, mq)
	}
	slices.SortStableFunc(p.order, byLevel)
}

func byLevel(a, b *organisationQueue) int { return cmp.Compare(a.level, b.level) }

// sink restores the order after the first queue's level has changed.
func (r *Reducer) sink(p *pool) {
	for i := 0; i+1 < len(p.order) && p.order[i].level > p.order[i+1].level; i++ {
		p.order[i], p.order[i+1] = p.order[i+1], p.order[i]
	}
}

// head returns the first request of a queue that is not backing off.
func (r *Reducer) head(mq *organisationQueue) *request {
	for _, q := range mq.held {
		if q.notBefore <= r.now {
			return q
		}
		r.wakeBy(q.notBefore)
	}
	return nil
}

// paused reports whether an organisation lets others go first that are held on another
// host and have had less.
func (r *Reducer) paused(mq *organisationQueue, p *pool) bool {
	for _, o := range r.peerList {
		for _, h := range o.held {
			m := r.organisations[h.Organisation]
			if h.Pool != p.name || m == nil || m == mq.organisation {
				continue
			}
			if mq.level > pauseSlack*r.level(m, p)+activeWeight/r.weight(mq.organisation, p) {
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
	fair := r.fairLevel(p)
	over := level/fair - 1
	if over < overSlack {
		return 0
	}
	part := over / max(p.highest/fair-1, over)
	lasting := min(float64(backlog)/float64(fullBacklog), 1)
	return lasting * min(over/fullExcess, 1) * math.Pow(part, excessPower)
}

// fairLevel returns the mean level over the organisations active in a pool.
func (r *Reducer) fairLevel(p *pool) float64 {
	if p.fairAt != 0 && r.now-p.fairAt < fairEvery {
		return p.fair
	}
	sum, weights := 0.0, 0.0
	p.highest = 0
	for _, m := range r.organisationList {
		use := r.ledger.Level(share.Account{Organisation: m.spec.Name, Pool: p.name}, r.now)
		if use > activeWeight {
			p.highest = max(p.highest, r.level(m, p))
			sum += use
			weights += r.weight(m, p)
		}
	}
	p.fairAt, p.fair = max(r.now, 1), math.Inf(1)
	if weights > 0 {
		p.fair = sum / weights
	}
	return p.fair
}

// send dispatches a held request.
func (r *Reducer) send(q *request, t *targetState) {
	r.unhold(q)
	m := q.organisation
	if m.leftAt > 0 {
		m.leftEvery += time.Duration(drainWeight * float64(r.now-m.leftAt-m.leftEvery))
	}
	m.leftAt = r.now
	q.attempts++
	basis := r.basis
	basis.Held, basis.Attempt = r.now-q.arrived, q.attempts
	basis.Streams, basis.Away = t.demand(r.now).Streams, r.away(t)
	if q.attempts > 1 {
		r.counts.Retried++
	}
	t.breaker.tried(r.now)
	r.placeAt(q, t)
	r.backUp(q, &q.backup, t)
	e := Effect{Kind: EffectDispatch, ID: q.id, Target: t.spec.Name, To: t.spec, Priority: r.priority(q), Basis: basis}
	if q.backup.target != nil {
		e.Backup = q.backup.target.spec
	}
	r.emit(e)
}

// priority returns the engine priority of an organisation's requests, lower first: the
// more an organisation weighs stalls against the tail, the later it is preempted.
func (r *Reducer) priority(q *request) int {
	m := q.organisation
	if !r.options.objective || m.spec.Tail+m.spec.Stall == 0 {
		return priorityScale / 2
	}
	return int(priorityScale * m.spec.Tail / (m.spec.Tail + m.spec.Stall))
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
	r.rejectOrphans()
	r.drainAll()
}

func (r *Reducer) applyOrganisations() {
	for name, spec := range r.table.Organisations {
		m := r.organisations[name]
		if m == nil {
			m = &organisation{rates: map[string]*rate{}}
			r.organisations[name] = m
			r.organisationList = append(r.organisationList, m)
		}
		m.spec = spec
	}
	r.organisationList = slices.DeleteFunc(r.organisationList, func(m *organisation) bool {
		_, known := r.table.Organisations[m.spec.Name]
		if known || m.inflight+m.heldTotal > 0 {
			return false
		}
		delete(r.organisations, m.spec.Name)
		return true
	})
	slices.SortFunc(r.organisationList, func(a, b *organisation) int { return strings.Compare(a.spec.Name, b.spec.Name) })
}

func (r *Reducer) applyPools() {
	for name := range r.table.Models {
		r.poolOf(name, false)
	}
	for name := range r.table.Services {
		r.poolOf(name, true)
	}
	slices.SortFunc(r.poolList, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
}

func (r *Reducer) poolOf(name string, plain bool) *pool {
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
	declared := r.declared()
	for name, spec := range declared {
		spec = r.resolve(spec)
		if !r.options.reach && r.options.domain != "" && spec.Domain != r.options.domain {
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
		t.setLeaving(r.leaving[name] || spec.Leaving, r.now)
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
		r.assignLanes(p)
	}
}

// declared returns the targets that the fleet or else the table lists.
func (r *Reducer) declared() map[string]table.Target {
	if r.fleet.Targets != nil {
		return r.fleet.Targets
	}
	return r.table.Targets
}

// resolve completes a target whose list does not say what kind of pool it serves.
func (r *Reducer) resolve(spec table.Target) table.Target {
	m, ok := r.table.Models[spec.Service]
	if spec.Kind != table.TargetService || !ok {
		return spec
	}
	spec.Kind, spec.Model, spec.Service = table.TargetEngine, spec.Service, ""
	if m.Engine.Memory > 0 {
		spec.Memory = m.Engine.Memory
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
	r.drainAll()
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

// rejectOrphans answers the held requests of pools and organisations that the table no
// longer has.
func (r *Reducer) rejectOrphans() {
	r.poolList = slices.DeleteFunc(r.poolList, func(p *pool) bool {
		_, model := r.table.Models[p.name]
		_, service := r.table.Services[p.name]
		for _, mq := range p.queues {
			_, known := r.table.Organisations[mq.organisation.spec.Name]
			if known && (model || service) {
				continue
			}
			for len(mq.held) > 0 {
				q := mq.held[0]
				r.unhold(q)
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
