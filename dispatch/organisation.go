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
	// organisation is what this host records about one organisation.
	organisation struct {
		spec             table.Organisation
		heldTotal        int                     // held requests, over all pools
		inflight         int                     // requests in flight at targets, over all pools
		refused          int                     // requests refused since the organisation was added
		served           int                     // requests answered in full since then
		tokens           int                     // tokens delivered since then
		rateLimiters     map[string]*rateLimiter // by pool; the empty name stands for all pools together
		lastDispatch     time.Duration           // time of the latest dispatch of a held request
		dispatchInterval time.Duration           // decayed mean time between two dispatches of held requests
	}

	// rateLimiter implements the generic cell rate algorithm for one rate limit. next is the
	// theoretical arrival time of the next request.
	rateLimiter struct{ next time.Duration }

	// organisationQueue holds the held requests of one organisation in one pool.
	organisationQueue struct {
		organisation   *organisation
		held           []*request    // by rank
		lastEmpty      time.Duration // time when held was last empty
		inflight       int           // requests of the organisation in flight at the pool's targets
		normalisedRate float64       // normalisedRate of the organisation in the pool, when last computed
		urgentHeld     int           // memory that the prompts of the organisation's urgent streams hold at the pool's targets, in tokens
		share          float64       // fraction of the weights of the active organisations of the pool that is that of this one; valid within dispatchClass
		tooLarge       float64       // size of the smallest urgent request that was bypassed for lack of capacity; valid within dispatchClass
	}
)

const (
	rateBurst         = time.Second      // burst tolerance of a rate limit: time by which rateLimiter.next may be ahead of the current time
	minQueueDrain     = time.Second      // shortest retry delay that queueDrainTime returns
	maxQueueDrain     = 30 * time.Second // longest retry delay that queueDrainTime returns
	dispatchSmoothing = 0.2              // weight of the latest value in the mean time between two dispatches
)

// localCap returns this host's part of a cap on the requests in flight. The cap is divided evenly
// over the live hosts of the failure domain; the remainder goes to the hosts with the lowest
// indexes. The parts add up to the cap without coordination while all hosts have the same list of
// live hosts. The coordinator of a failure domain, which places the requests of all its hosts for
// engines, has the whole cap of an engine's pool.
func (r *Reducer) localCap(limit int, p *pool) int {
	if r.coordinates && !p.plain {
		return limit
	}
	n := limit / r.hosts
	if r.hostIndex < limit%r.hosts {
		n++
	}
	return n
}

// consumeRate counts one request against the organisation's rate limit over all pools and its rate
// limit in the pool. It returns false, and counts nothing, if one of them is exceeded.
func (r *Reducer) consumeRate(org *organisation, p *pool) bool {
	all, each := org.spec.RateLimit, r.limitOf(org, p).RateLimit
	if r.rateDelay(org, "", all) > 0 || r.rateDelay(org, p.name, each) > 0 {
		return false
	}
	r.advanceRate(org, "", all)
	r.advanceRate(org, p.name, each)
	return true
}

// rateDelay returns the time until the next request conforms to an organisation's rate limit in a
// pool, in requests a second. A limit of 0 means none.
func (r *Reducer) rateDelay(org *organisation, pool string, perSecond float64) time.Duration {
	limiter := org.rateLimiters[pool]
	if perSecond <= 0 || limiter == nil {
		return 0
	}
	return max(limiter.next-rateBurst-r.now, 0)
}

// advanceRate counts one request against this host's part of an organisation's rate limit in a
// pool.
func (r *Reducer) advanceRate(org *organisation, pool string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	limiter := org.rateLimiters[pool]
	if limiter == nil {
		limiter = &rateLimiter{}
		org.rateLimiters[pool] = limiter
	}
	step := time.Duration(float64(r.hosts) / perSecond * float64(time.Second))
	limiter.next = max(limiter.next, r.now) + step
}

// rateRetryAfter returns the delay after which a request refused by a rate limit may be
// retried.
func (r *Reducer) rateRetryAfter(org *organisation, p *pool) time.Duration {
	if p == nil {
		return 0
	}
	return max(r.rateDelay(org, "", org.spec.RateLimit), r.rateDelay(org, p.name, r.limitOf(org, p).RateLimit), time.Millisecond)
}

// limitOf returns the limits that the table sets for an organisation in a pool.
func (r *Reducer) limitOf(org *organisation, p *pool) table.Limit {
	return r.table.Limits[table.LimitKey{Organisation: org.spec.Name, Model: p.name}]
}

// atInflightCap reports whether an organisation has as many requests in flight from this host as
// its cap over all pools or its cap in the pool allows.
func (r *Reducer) atInflightCap(org *organisation, p *pool) bool {
	if c := org.spec.MaxInFlight; c > 0 && org.inflight >= r.localCap(c, p) {
		return true
	}
	c := r.limitOf(org, p).MaxInFlight
	return c > 0 && p.queueOf(org).inflight >= r.localCap(c, p)
}

// weight returns the weight by which an organisation's share of a pool is determined: the one for
// the pool if set, or else the organisation's own.
func (r *Reducer) weight(org *organisation, p *pool) float64 {
	if w := r.limitOf(org, p).Weight; w > 0 {
		return w
	}
	return org.spec.Weight
}

// normalisedRate returns an organisation's projected service rate in a pool divided by its weight
// there, plus otherPoolsWeight times the amount by which its rate over all pools, divided by its
// own weight, exceeds that value. Held requests are dispatched in the order of their
// organisations' normalised rates, lowest first.
func (r *Reducer) normalisedRate(org *organisation, p *pool) float64 {
	here := r.ledger.ProjectedRate(share.Account{Organisation: org.spec.Name, Pool: p.name}, r.now) / r.weight(org, p)
	all := r.ledger.ProjectedRate(share.Account{Organisation: org.spec.Name}, r.now) / org.spec.Weight
	return here + r.options.otherPoolsWeight*max(all-here, 0)
}

// sortQueues sets queueOrder to the queues with held requests, sorted by normalisedRate.
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

// restoreOrder sorts queueOrder again after the normalisedRate of its first queue has grown.
func (r *Reducer) restoreOrder(p *pool) {
	for i := 0; i+1 < len(p.queueOrder) && p.queueOrder[i].normalisedRate > p.queueOrder[i+1].normalisedRate; i++ {
		p.queueOrder[i], p.queueOrder[i+1] = p.queueOrder[i+1], p.queueOrder[i]
	}
}

// queueDrainTime estimates the time until half of an organisation's held requests are dispatched,
// from minQueueDrain to maxQueueDrain. It serves as the retry delay of a refused request.
func (r *Reducer) queueDrainTime(org *organisation) time.Duration {
	d := time.Duration(org.heldTotal/2) * org.dispatchInterval
	return min(max(d, minQueueDrain), maxQueueDrain)
}

// enqueue holds a request: it inserts the request into its organisation's queue by rank, and
// requests a Tick for the next attempt to dispatch it.
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
	r.recordUrgentArrival(q)
	r.wakeBy(min(q.holdDeadline, r.now+heldRetryInterval))
}

func byRank(a, b *request) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.id, b.id))
}

// dequeue removes a request from its organisation's queue, if it is held there.
func (r *Reducer) dequeue(q *request) {
	queue := q.pool.queueOf(q.organisation)
	if i := slices.Index(queue.held, q); i >= 0 {
		queue.held = slices.Delete(queue.held, i, i+1)
		q.organisation.heldTotal--
		q.pool.held--
	}
}

// expireHeld refuses the held requests whose holdDeadline has passed, or before which no target will accept them, and
// requests a Tick for the others.
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
		switch q := queue.held[i]; {
		case q.holdDeadline <= r.now:
			r.dequeue(q)
			r.refuse(q, answer.KindDeadline, r.retryAfter(q))
		case r.unavailableUntil(q.holdDeadline, q.pool):
			r.dequeue(q)
			r.refuse(q, answer.KindNoTarget, r.noTargetRetryAfter(q.pool))
		}
	}
}
