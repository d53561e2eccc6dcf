package trial

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/target"
)

// Capacity returns the tokens a second that the engines can generate when their
// memory is full of streams of the mean size: the streams that fit, by the time of
// a step with them in it and the prompts that their replacement costs.
func (c *Config) Capacity() float64 {
	spec := standin.NewBatch(c.Spec).Spec()
	mean, held := outputMoments(c.Median)
	prompt := float64(c.PromptMean)
	streams := float64(spec.Memory) / (prompt + held)
	fresh := prompt - prefixPart*prefixSize
	step := spec.Base.Seconds() + streams*(spec.PerSequence.Seconds()+fresh*spec.PerPrefill.Seconds()/mean)
	return float64(c.Engines) * streams / step
}

// outputMoments returns the mean output and the mean size that an output has while
// it is being generated.
func outputMoments(median float64) (mean, held float64) {
	const draws = 200_000
	random := newRandom(99)
	sum, squares := 0.0, 0.0
	for range draws {
		n := float64(standin.HeavyTail(random, median))
		sum += n
		squares += n * n
	}
	return sum / draws, squares / (2 * sum)
}

// arrive sends the calls of an organisation at the times of a Poisson process.
func (t *Trial) arrive(m *Organisation) {
	if m.Part <= 0 {
		return
	}
	mean, _ := outputMoments(t.config.Median)
	rate := t.config.Load * m.Part * t.config.Capacity() / mean
	var next func()
	next = func() {
		if m.To == 0 || t.now < m.To {
			t.submit(m)
			t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	t.at(m.From+time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), next)
}

func (t *Trial) submit(m *Organisation) {
	place := t.random.IntN(len(t.hosts))
	if len(m.Hosts) > 0 {
		place = m.Hosts[t.random.IntN(len(m.Hosts))]
	}
	t.nextID++
	c := &call{
		id:           t.nextID,
		host:         t.hosts[place],
		organisation: m,
		output:       standin.HeavyTail(t.random, t.config.Median),
		arrived:      t.now,
	}
	c.submit = dispatch.Submit{
		ID:           c.id,
		Organisation: m.Name,
		Pool:         modelName,
		Route:        "chat",
		Prompt:       1 + int(t.random.ExpFloat64()*float64(t.config.PromptMean-prefixSize/2)),
	}
	c.submit.Prompt = min(c.submit.Prompt, 8*t.config.PromptMean)
	if t.random.Float64() < prefixPart {
		c.submit.Prefix, c.submit.Shared = 1+t.random.Uint64N(prefixes), prefixSize
		c.submit.Prompt += prefixSize
	}
	if t.config.Oracle {
		c.submit.Output = c.output
	}
	t.calls[callKey{place, c.id}] = c
	t.result.Submitted++
	t.reduce(c.host, c.submit)
}

func (t *Trial) callOf(e *entry, id dispatch.ID) *call { return t.calls[callKey{e.place, id}] }

func (t *Trial) dispatched(e *entry, f dispatch.Effect) {
	c := t.callOf(e, f.ID)
	if c == nil || c.settled {
		t.fail("dispatch of settled request %d", f.ID)
		return
	}
	if c.delivered > 0 {
		t.fail("request %d sent again after %d tokens were delivered", f.ID, c.delivered)
		return
	}
	if c.sequence != nil {
		t.fail("request %d sent again while its first attempt may run", f.ID)
		return
	}
	c.attempt++
	if e.active[c.id] == nil {
		e.active[c.id] = c
		e.order = append(e.order, c.id)
	}
	g := t.engineOf(f.Target)
	c.out = true
	t.checkCap(c)
	t.after(t.config.Link, func() { g.add(t, c, f.Priority) })
}

// checkCap asserts that an organisation's requests in flight stay within its cap.
func (t *Trial) checkCap(c *call) {
	if c.organisation.Limit == 0 {
		return
	}
	n := 0
	for _, e := range t.hosts {
		for _, o := range e.active {
			if o.organisation == c.organisation && o.out {
				n++
			}
		}
	}
	if n > c.organisation.Limit {
		t.fail("organisation %s has %d requests in flight, its cap is %d", c.organisation.Name, n, c.organisation.Limit)
	}
}

func (t *Trial) engineOf(name string) *engine {
	for _, g := range t.engines {
		if g.name == name {
			return g
		}
	}
	t.fail("no engine %s", name)
	return t.engines[0]
}

// token delivers one token.
func (t *Trial) token(c *call) {
	gap := t.now - c.last
	if c.settled {
		t.fail("request %d got a token after its final answer", c.id)
		return
	}
	if c.tokens == 0 {
		gap = 0
	}
	c.tokens++
	c.delivered++
	c.last, c.queued = t.now, false
	if c.delivered != c.tokens {
		t.fail("request %d: %d tokens delivered, %d of its generation", c.id, c.delivered, c.tokens)
	}
	if t.now < t.config.Warm {
		return
	}
	t.result.token(c, gap, t.now-c.arrived)
}

func (r *Result) token(c *call, gap, first time.Duration) {
	r.Tokens++
	m := r.organisation(c.organisation.Name)
	m.Tokens++
	m.Service += 1 + float64(c.submit.Prompt+c.tokens)/1024
	if c.tokens == 1 {
		r.First.Record(first)
		m.First.Record(first)
		return
	}
	r.Between.Record(gap)
	m.Between.Record(gap)
	stall := max(gap-relay.StallFrom, 0)
	r.Stall += stall
	m.Stall += stall
}

func (t *Trial) ended(c *call, s *standin.Sequence) {
	if c.tokens != c.output {
		t.fail("request %d ended after %d of %d tokens", c.id, c.tokens, c.output)
	}
	t.settle(c)
	t.result.Whole++
	usage := target.Usage{Prompt: s.Prompt, Output: c.output, Cached: s.Cached}
	t.after(t.config.Link, func() { t.reduce(c.host, dispatch.Ended{ID: c.id, Usage: usage}) })
}

func (t *Trial) settle(c *call) {
	if c.settled {
		t.fail("request %d settled twice", c.id)
	}
	c.settled = true
	delete(c.host.active, c.id)
	delete(t.calls, callKey{c.host.place, c.id})
}

func (t *Trial) refused(e *entry, f dispatch.Effect) {
	c := t.callOf(e, f.ID)
	if c == nil {
		t.fail("refusal of unknown request %d", f.ID)
		return
	}
	outcome := f.Answer.Row().Outcome
	if outcome == answer.NotRun && (c.delivered > 0 || c.sequence != nil) {
		t.fail("request %d called not run with %d tokens delivered", c.id, c.delivered)
	}
	t.settle(c)
	t.result.Refused++
	t.result.organisation(c.organisation.Name).Refused++
}

// failed tells a host that an attempt is over.
func (t *Trial) failed(c *call, certainty target.Certainty, rebooted bool) {
	c.sequence, c.engine = nil, nil
	c.tokens, c.queued = 0, false
	delivered := c.delivered > 0
	t.after(t.config.Link, func() {
		c.out = false
		t.reduce(c.host, dispatch.Failed{ID: c.id, Certainty: certainty, Delivered: delivered, Rebooted: rebooted})
	})
}

func (t *Trial) cancelled(e *entry, f dispatch.Effect) {
	if c := t.callOf(e, f.ID); c != nil && c.engine != nil {
		c.engine.batch.Remove(c.sequence)
		delete(c.engine.calls, c.sequence)
		t.settle(c)
	}
}

// sorted returns calls by identifier.
func sorted(calls map[*standin.Sequence]*call) []*call {
	out := make([]*call, 0, len(calls))
	for _, c := range calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return int(a.id) - int(b.id) })
	return out
}
