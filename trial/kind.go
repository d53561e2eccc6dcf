package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Kind is a kind of request of fixed size. Its requests arrive as a Poisson process.
	Kind struct {
		Name           string
		Rate           float64 // requests a second
		Prompt, Output int     // tokens
		Objective      time.Duration
		Hold           time.Duration // longest time until the dispatch
		Deadline       time.Duration // time after which the caller leaves
		Retries        int           // submissions after a refusal, each after its Retry-After
		OneSubject     bool          // all requests have the same subject
		Bursts         []Burst
	}

	// A Burst multiplies the rate of a kind for some time.
	Burst struct {
		From, To time.Duration
		Factor   float64
	}

	// A KindResult counts the requests of one kind by their outcome. A request that is submitted again
	// counts once.
	KindResult struct {
		Submitted, OnTime, Late, Failed int
		Refusals                        int // of all submissions
		Retried                         int // requests completed after a refusal, with the first token within the objective of their last submission
	}
)

// kind returns the counts of a kind, and adds them if there are none.
func (r *Result) kind(name string) *KindResult {
	k := r.Kinds[name]
	if k == nil {
		k = &KindResult{}
		r.Kinds[name] = k
	}
	return k
}

// routes returns a stream route for each kind, or nil without kinds.
func (c *Config) routes() *route.Map {
	var routes []route.Route
	for _, org := range c.Organisations {
		if org.Kind != nil {
			routes = append(routes, route.Route{
				Prefix: "/" + org.Kind.Name + "/", Kind: route.Stream, FirstByteObjective: org.Kind.Objective,
				Split: []route.WeightedPool{{Pool: modelName, Weight: 1}},
			})
		}
	}
	if routes == nil {
		return nil
	}
	return route.NewMap(routes)
}

// rateAt returns the rate of the kind at the given time, in requests a second.
func (k *Kind) rateAt(at time.Duration) float64 {
	rate := k.Rate
	for _, b := range k.Bursts {
		if b.From <= at && at < b.To {
			rate *= b.Factor
		}
	}
	return rate
}

// scheduleKind schedules the requests of an organisation's stream of one kind. Its rate is that at the time of the
// previous request. Its arrivals do not depend on how requests are served, so that policies are compared at equal load.
func (t *Trial) scheduleKind(org *Organisation) {
	rng := rand.New(rand.NewPCG(t.config.Seed, uint64(table.HashName(org.Name+"/"+org.Kind.Name))))
	var next func()
	next = func() {
		if org.End == 0 || t.now < org.End {
			t.submitKind(org)
			t.after(time.Duration(rng.ExpFloat64()/org.Kind.rateAt(t.now)*float64(time.Second)), next)
		}
	}
	t.at(org.Start+time.Duration(rng.ExpFloat64()/org.Kind.Rate*float64(time.Second)), next)
}

func (t *Trial) submitKind(org *Organisation) {
	t.nextID++
	t.result.kind(org.Kind.Name).Submitted++
	subject := uint64(t.nextID)
	if org.Kind.OneSubject {
		subject = math.MaxUint64
	}
	t.submitAgain(&request{
		id: t.nextID, organisation: org, outputTokens: org.Kind.Output, submittedAt: t.now, deadline: t.now + org.Kind.Deadline, subject: subject,
	})
}

// submitAgain submits a request of a kind to a random host. The caller leaves at its deadline.
func (t *Trial) submitAgain(c *request) {
	k := c.organisation.Kind
	c.resubmittedAt = t.now
	c.host = t.hosts[t.rng.IntN(len(t.hosts))]
	c.submit = dispatch.Submit{
		ID: c.id, Organisation: c.organisation.Name, Pool: modelName, NonIdempotent: true, Route: k.Name, PromptTokens: k.Prompt,
		Subject: c.subject, FirstTokenObjective: k.Objective, DispatchDeadline: epoch.Add(min(t.now+k.Hold, c.deadline)), CallerDeadline: epoch.Add(c.deadline),
	}
	t.requests[requestKey{c.host.index, c.id}] = c
	t.result.Submitted++
	t.at(c.deadline, func() { t.abandon(c) })
	t.reduce(c.host, c.submit)
}

// abandon ends a request whose caller has left.
func (t *Trial) abandon(c *request) {
	if c.finished {
		return
	}
	if c.engine != nil {
		c.engine.batch.Remove(c.sequence)
		delete(c.engine.requests, c.sequence)
	}
	t.finishRequest(c)
	t.result.kind(c.organisation.Kind.Name).Failed++
	t.reduce(c.host, dispatch.AbandonedByCaller{ID: c.id})
	t.reportStreamsSoon(c.host)
}

// recordFirstToken records whether the first token of a request of a kind came in time, counted from its first submission.
func (t *Trial) recordFirstToken(c *request) {
	if k := c.organisation.Kind; k != nil && c.deliveredTokens == 1 {
		c.onTime = t.now-c.submittedAt <= k.Objective
		c.retriedOnTime = c.retries > 0 && t.now-c.resubmittedAt <= k.Objective
	}
}

func (t *Trial) recordCompleted(c *request) {
	if c.organisation.Kind == nil {
		return
	}
	if k := t.result.kind(c.organisation.Kind.Name); c.onTime {
		k.OnTime++
	} else {
		k.Late++
		if c.retriedOnTime {
			k.Retried++
		}
	}
}

// recordRefused counts a refusal, and submits the request again after its Retry-After, which the gateway cuts to a quarter of
// the time that the caller has left.
func (t *Trial) recordRefused(c *request, f dispatch.Effect) {
	k := c.organisation.Kind
	if k == nil {
		return
	}
	counts := t.result.kind(k.Name)
	counts.Refusals++
	delay := min(f.RetryAfter, (c.deadline-t.now)/4)
	if c.retries >= k.Retries || f.Answer.Properties().Outcome != answer.OutcomeNotRun {
		counts.Failed++
		return
	}
	t.nextID++
	again := &request{id: t.nextID, organisation: c.organisation, outputTokens: k.Output, submittedAt: c.submittedAt, deadline: c.deadline, subject: c.subject, retries: c.retries + 1}
	t.after(delay, func() { t.submitAgain(again) })
}
