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
		spec             table.Organisation
		heldTotal        int
		inflight         int
		refused          int
		served           int
		tokens           int
		rates            map[string]*rateLimiter // by pool; the empty pool is all
		lastDispatch     time.Duration           // when a held request last got room
		dispatchInterval time.Duration           // decayed time between two such
	}

	// rateLimiter is a generic cell rate: the time at which the next request conforms.
	rateLimiter struct{ next time.Duration }

	// organisationQueue is an organisation's held requests of one pool, by rank.
	organisationQueue struct {
		organisation   *organisation
		held           []*request
		lastEmpty      time.Duration // when the queue was last empty
		inflight       int
		normalisedRate float64 // use by weight, when last computed
	}
)

const (
	rateBurst         = time.Second // of requests that may come at once
	minQueueDrain     = time.Second
	maxQueueDrain     = 30 * time.Second
	dispatchSmoothing = 0.2
)

// localCap returns this host's part of a cap on a count: an even split over the
// live hosts of the domain, the remainder by place. Only the sum over hosts
// counts, so a cap holds without agreement as long as hosts know each other.
func (r *Reducer) localCap(limit int) int {
	n := limit / r.hosts
	if r.hostIndex < limit%r.hosts {
		n++
	}
	return n
}

// consumeRate takes one request out of the organisation's rates. It reports false, and
// takes nothing, if a rate is used up.
func (r *Reducer) consumeRate(org *organisation, p *pool) bool {
	all, each := org.spec.Rate, r.limitOf(org, p).Rate
	if r.rateDelay(org, "", all) > 0 || r.rateDelay(org, p.name, each) > 0 {
		return false
	}
	r.advanceRate(org, "", all)
	r.advanceRate(org, p.name, each)
	return true
}

// rateDelay returns how long until the next request conforms to a rate.
func (r *Reducer) rateDelay(org *organisation, pool string, perSecond float64) time.Duration {
	c := org.rates[pool]
	if perSecond <= 0 || c == nil {
		return 0
	}
	return max(c.next-rateBurst-r.now, 0)
}

func (r *Reducer) advanceRate(org *organisation, pool string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	c := org.rates[pool]
	if c == nil {
		c = &rateLimiter{}
		org.rates[pool] = c
	}
	step := time.Duration(float64(r.hosts) / perSecond * float64(time.Second))
	c.next = max(c.next, r.now) + step
}

// rateRetryAfter returns when a refused request may come back.
func (r *Reducer) rateRetryAfter(org *organisation, p *pool) time.Duration {
	if p == nil {
		return 0
	}
	return max(r.rateDelay(org, "", org.spec.Rate), r.rateDelay(org, p.name, r.limitOf(org, p).Rate), time.Millisecond)
}

func (r *Reducer) limitOf(org *organisation, p *pool) table.Limit {
	return r.table.Limits[table.LimitKey{Organisation: org.spec.Name, Model: p.name}]
}

// atInflightCap reports whether an organisation has all the requests in flight that it may.
func (r *Reducer) atInflightCap(org *organisation, p *pool) bool {
	if c := org.spec.Inflight; c > 0 && org.inflight >= r.localCap(c) {
		return true
	}
	c := r.limitOf(org, p).Inflight
	return c > 0 && p.queueOf(org).inflight >= r.localCap(c)
}

// weight returns an organisation's weight in a pool.
func (r *Reducer) weight(org *organisation, p *pool) float64 {
	if w := r.limitOf(org, p).Weight; w > 0 {
		return w
	}
	return org.spec.Weight
}

// normalisedRate returns what an organisation has had in a pool by its weight, with its use of
// other pools counted in part.
func (r *Reducer) normalisedRate(org *organisation, p *pool) float64 {
	here := r.ledger.ProjectedRate(share.Account{Organisation: org.spec.Name, Pool: p.name}, r.now) / r.weight(org, p)
	all := r.ledger.ProjectedRate(share.Account{Organisation: org.spec.Name}, r.now) / org.spec.Weight
	return here + r.options.otherPoolsWeight*max(all-here, 0)
}

// queueDrainTime returns how long an organisation's queue takes to drain, as advice.
func (r *Reducer) queueDrainTime(org *organisation) time.Duration {
	d := time.Duration(org.heldTotal/2) * org.dispatchInterval
	return min(max(d, minQueueDrain), maxQueueDrain)
}

// enqueue queues a request by its rank.
func (r *Reducer) enqueue(q *request) {
	q.phase = phaseHeld
	queue := q.pool.queueOf(q.organisation)
	if len(queue.held) == 0 {
		queue.lastEmpty = r.now
	}
	i, _ := slices.BinarySearchFunc(queue.held, q, byRank)
	queue.held = slices.Insert(queue.held, i, q)
	q.organisation.heldTotal++
	q.pool.held++
	r.wakeBy(min(q.holdDeadline, r.now+heldRetryInterval))
}

func byRank(a, b *request) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// dequeue takes a request out of its queue.
func (r *Reducer) dequeue(q *request) {
	queue := q.pool.queueOf(q.organisation)
	if i := slices.Index(queue.held, q); i >= 0 {
		queue.held = slices.Delete(queue.held, i, i+1)
		q.organisation.heldTotal--
		q.pool.held--
	}
}

// expireHeld answers held requests whose deadline has passed.
func (r *Reducer) expireHeld() {
	for _, p := range r.poolList {
		for _, queue := range p.queues {
			r.expireQueue(queue)
		}
		if p.held > 0 {
			r.wakeBy(r.now + heldRetryInterval)
		}
	}
}

func (r *Reducer) expireQueue(queue *organisationQueue) {
	for i := len(queue.held) - 1; i >= 0; i-- {
		q := queue.held[i]
		if q.holdDeadline <= r.now {
			r.dequeue(q)
			r.finish(q, answer.KindDeadline, r.queueDrainTime(q.organisation))
		}
	}
}
