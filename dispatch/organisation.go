package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// organisation is what this host knows of one organisation.
	organisation struct {
		spec      table.Organisation
		heldTotal int
		inflight  int
		refused   int
		served    int
		tokens    int
		rates     map[string]*rate // by pool; the empty pool is all
		leftAt    time.Duration    // when a held request last got room
		leftEvery time.Duration    // decayed time between two such
	}

	// rate is a generic cell rate: the time at which the next request conforms.
	rate struct{ next time.Duration }

	// organisationQueue is an organisation's held requests of one pool, by rank.
	organisationQueue struct {
		organisation *organisation
		held         []*request
		since        time.Duration // when the queue was last empty
		inflight     int
		level        float64 // use by weight, when last computed
	}
)

const (
	rateBurst   = time.Second // of requests that may come at once
	leastDrain  = time.Second
	mostDrain   = 30 * time.Second
	drainWeight = 0.2
)

// portion returns this host's part of a cap on a count: an even split over the
// live hosts of the domain, the remainder by place. Only the sum over hosts
// counts, so a cap holds without agreement as long as hosts know each other.
func (r *Reducer) portion(limit int) int {
	n := limit / r.count
	if r.place < limit%r.count {
		n++
	}
	return n
}

// takeRate takes one request out of the organisation's rates. It reports false, and
// takes nothing, if a rate is used up.
func (r *Reducer) takeRate(m *organisation, p *pool) bool {
	all, each := m.spec.Rate, r.limitOf(m, p).Rate
	if r.wait(m, "", all) > 0 || r.wait(m, p.name, each) > 0 {
		return false
	}
	r.advance(m, "", all)
	r.advance(m, p.name, each)
	return true
}

// wait returns how long until the next request conforms to a rate.
func (r *Reducer) wait(m *organisation, pool string, perSecond float64) time.Duration {
	c := m.rates[pool]
	if perSecond <= 0 || c == nil {
		return 0
	}
	return max(c.next-rateBurst-r.now, 0)
}

func (r *Reducer) advance(m *organisation, pool string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	c := m.rates[pool]
	if c == nil {
		c = &rate{}
		m.rates[pool] = c
	}
	step := time.Duration(float64(r.count) / perSecond * float64(time.Second))
	c.next = max(c.next, r.now) + step
}

// rateWait returns when a refused request may come back.
func (r *Reducer) rateWait(m *organisation, p *pool) time.Duration {
	if p == nil {
		return 0
	}
	return max(r.wait(m, "", m.spec.Rate), r.wait(m, p.name, r.limitOf(m, p).Rate), time.Millisecond)
}

func (r *Reducer) limitOf(m *organisation, p *pool) table.Limit {
	return r.table.Limits[table.LimitKey{Organisation: m.spec.Name, Model: p.name}]
}

// capped reports whether an organisation has all the requests in flight that it may.
func (r *Reducer) capped(m *organisation, p *pool) bool {
	if c := m.spec.Inflight; c > 0 && m.inflight >= r.portion(c) {
		return true
	}
	c := r.limitOf(m, p).Inflight
	return c > 0 && p.queueOf(m).inflight >= r.portion(c)
}

// weight returns an organisation's weight in a pool.
func (r *Reducer) weight(m *organisation, p *pool) float64 {
	if w := r.limitOf(m, p).Weight; w > 0 {
		return w
	}
	return m.spec.Weight
}

// level returns what an organisation has had in a pool by its weight, with its use of
// other pools counted in part.
func (r *Reducer) level(m *organisation, p *pool) float64 {
	here := r.ledger.Level(share.Account{Organisation: m.spec.Name, Pool: p.name}, r.now) / r.weight(m, p)
	all := r.ledger.Level(share.Account{Organisation: m.spec.Name}, r.now) / m.spec.Weight
	return here + r.options.consortium*max(all-here, 0)
}

// drainTime returns how long an organisation's queue takes to drain, as advice.
func (r *Reducer) drainTime(m *organisation) time.Duration {
	d := time.Duration(m.heldTotal/2) * m.leftEvery
	return min(max(d, leastDrain), mostDrain)
}

// hold queues a request by its rank.
func (r *Reducer) hold(q *request) {
	q.phase = phaseHeld
	mq := q.pool.queueOf(q.organisation)
	if len(mq.held) == 0 {
		mq.since = r.now
	}
	i, _ := slices.BinarySearchFunc(mq.held, q, byRank)
	mq.held = slices.Insert(mq.held, i, q)
	q.organisation.heldTotal++
	q.pool.held++
	r.wakeBy(min(q.deadline, r.now+holdTick))
}

func byRank(a, b *request) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// unhold takes a request out of its queue.
func (r *Reducer) unhold(q *request) {
	mq := q.pool.queueOf(q.organisation)
	if i := slices.Index(mq.held, q); i >= 0 {
		mq.held = slices.Delete(mq.held, i, i+1)
		q.organisation.heldTotal--
		q.pool.held--
	}
}

// expireHeld answers held requests whose deadline has passed.
func (r *Reducer) expireHeld() {
	for _, p := range r.poolList {
		for _, mq := range p.queues {
			r.expireQueue(mq)
		}
		if p.held > 0 {
			r.wakeBy(r.now + holdTick)
		}
	}
}

func (r *Reducer) expireQueue(mq *organisationQueue) {
	for i := len(mq.held) - 1; i >= 0; i-- {
		q := mq.held[i]
		if q.deadline <= r.now {
			r.unhold(q)
			r.finish(q, answer.KindDeadline, r.drainTime(q.organisation))
		}
	}
}
