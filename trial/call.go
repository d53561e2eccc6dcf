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

// Capacity returns the output rate of all engines, in tokens per second, while their memory
// is full of streams of mean size: the number of streams that fit, divided by the duration
// of a step that decodes one token of each and prefills the prompts of the streams that
// replace finished ones.
func (c *Config) Capacity() float64 {
	spec := standin.NewBatch(c.Spec).Spec()
	mean, held := outputMoments(c.MedianOutput)
	prompt := float64(c.MeanPrompt)
	streams := float64(spec.Memory) / (prompt + held)
	uncached := prompt - prefixProbability*prefixTokens
	step := spec.BaseStepTime.Seconds() + streams*(spec.PerSequence.Seconds()+uncached*spec.PerPromptToken.Seconds()/mean)
	return float64(c.Engines) * streams / step
}

// outputMoments returns the mean output length and the mean number of output tokens that a
// stream holds during its generation.
func outputMoments(median float64) (mean, held float64) {
	const samples = 200_000
	random := newRandom(99)
	sum, squares := 0.0, 0.0
	for range samples {
		n := float64(standin.LogNormalLength(random, median))
		sum += n
		squares += n * n
	}
	return sum / samples, squares / (2 * sum)
}

// scheduleArrivals submits the requests of a stream as a Poisson process.
func (t *Trial) scheduleArrivals(org *Organisation) {
	if org.LoadFraction <= 0 {
		return
	}
	mean, _ := outputMoments(t.config.MedianOutput)
	rate := t.config.LoadFactor * org.LoadFraction * t.config.Capacity() / mean
	var next func()
	next = func() {
		if org.End == 0 || t.now < org.End {
			t.submit(org)
			t.after(time.Duration(t.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
	}
	t.at(org.Start+time.Duration(t.rng.ExpFloat64()/rate*float64(time.Second)), next)
}

// submit samples a request and submits it to one of the hosts of the stream.
func (t *Trial) submit(org *Organisation) {
	hostIndex := t.rng.IntN(len(t.hosts))
	if len(org.Hosts) > 0 {
		hostIndex = org.Hosts[t.rng.IntN(len(org.Hosts))]
	}
	t.nextID++
	c := &call{
		id:           t.nextID,
		host:         t.hosts[hostIndex],
		organisation: org,
		outputTokens: standin.LogNormalLength(t.rng, t.config.MedianOutput),
		submittedAt:  t.now,
	}
	c.submit = dispatch.Submit{
		ID:           c.id,
		Organisation: org.Name,
		Pool:         modelName,
		Route:        "chat",
		PromptTokens: 1 + int(t.rng.ExpFloat64()*float64(t.config.MeanPrompt-prefixTokens/2)),
	}
	c.submit.PromptTokens = min(c.submit.PromptTokens, 8*t.config.MeanPrompt)
	if t.rng.Float64() < prefixProbability {
		c.submit.PrefixHash, c.submit.PrefixTokens = 1+t.rng.Uint64N(prefixCount), prefixTokens
		c.submit.PromptTokens += prefixTokens
	}
	if t.config.Oracle {
		c.submit.KnownOutputTokens = c.outputTokens
	}
	t.calls[callKey{hostIndex, c.id}] = c
	t.result.Submitted++
	t.reduce(c.host, c.submit)
}

func (t *Trial) findCall(h *host, id dispatch.ID) *call { return t.calls[callKey{h.index, id}] }

// handleDispatch checks that a request may be dispatched and sends it to its engine.
func (t *Trial) handleDispatch(h *host, f dispatch.Effect) {
	c := t.findCall(h, f.ID)
	if c == nil || c.finished {
		t.fail("dispatch of finished request %d", f.ID)
		return
	}
	if c.deliveredTokens > 0 {
		t.fail("request %d dispatched again after %d tokens were delivered", f.ID, c.deliveredTokens)
		return
	}
	if c.sequence != nil {
		t.fail("request %d dispatched again while an earlier attempt may still be running", f.ID)
		return
	}
	c.attempts++
	if h.dispatched[c.id] == nil {
		h.dispatched[c.id] = c
		h.dispatchOrder = append(h.dispatchOrder, c.id)
	}
	e := t.findEngine(f.Target)
	c.inFlight = true
	t.checkInFlightLimit(c)
	t.after(t.config.LinkDelay, func() { e.add(t, c, f.Priority) })
}

// checkInFlightLimit fails the trial if a request stream has more than MaxInFlight requests
// in flight over all hosts.
func (t *Trial) checkInFlightLimit(c *call) {
	if c.organisation.MaxInFlight == 0 {
		return
	}
	n := 0
	for _, h := range t.hosts {
		for _, o := range h.dispatched {
			if o.organisation == c.organisation && o.inFlight {
				n++
			}
		}
	}
	if n > c.organisation.MaxInFlight {
		t.fail("organisation %s has %d requests in flight, its limit is %d", c.organisation.Name, n, c.organisation.MaxInFlight)
	}
}

func (t *Trial) findEngine(name string) *engine {
	for _, e := range t.engines {
		if e.name == name {
			return e
		}
	}
	t.fail("dispatch to unknown engine %s", name)
	return t.engines[0]
}

// deliverToken delivers one token to the caller and records its latency after the warm-up.
func (t *Trial) deliverToken(c *call) {
	gap := t.now - c.lastTokenAt
	if c.finished {
		t.fail("request %d received a token after its final answer", c.id)
		return
	}
	if c.attemptTokens == 0 {
		gap = 0
	}
	c.attemptTokens++
	c.deliveredTokens++
	c.lastTokenAt, c.queued = t.now, false
	if c.deliveredTokens != c.attemptTokens {
		t.fail("request %d: %d tokens delivered, but its attempt generated %d", c.id, c.deliveredTokens, c.attemptTokens)
	}
	if t.now < t.config.WarmUp {
		return
	}
	t.result.recordToken(c, gap, t.now-c.submittedAt)
}

// recordToken adds a token to the result. gap is the time since the previous token, first
// the time since the submission of the request.
func (r *Result) recordToken(c *call, gap, first time.Duration) {
	r.Tokens++
	org := r.organisation(c.organisation.Name)
	org.Tokens++
	org.Service += 1 + float64(c.submit.PromptTokens+c.attemptTokens)/1024
	if c.attemptTokens == 1 {
		r.TimeToFirstToken.Record(first)
		org.TimeToFirstToken.Record(first)
		return
	}
	r.TimeBetweenTokens.Record(gap)
	org.TimeBetweenTokens.Record(gap)
	stall := max(gap-relay.StallThreshold, 0)
	r.StallTime += stall
	org.StallTime += stall
}

// completeCall finishes a request whose generation is complete and reports its usage to its
// host.
func (t *Trial) completeCall(c *call, s *standin.Sequence) {
	if c.attemptTokens != c.outputTokens {
		t.fail("request %d completed after %d of %d tokens", c.id, c.attemptTokens, c.outputTokens)
	}
	t.finishCall(c)
	t.result.Completed++
	usage := target.Usage{Prompt: s.PromptTokens, Output: c.outputTokens, Cached: s.CachedTokens}
	t.after(t.config.LinkDelay, func() { t.reduce(c.host, dispatch.Ended{ID: c.id, Usage: usage}) })
}

// finishCall removes a request that has its final answer.
func (t *Trial) finishCall(c *call) {
	if c.finished {
		t.fail("request %d finished twice", c.id)
	}
	c.finished = true
	delete(c.host.dispatched, c.id)
	delete(t.calls, callKey{c.host.index, c.id})
}

// handleRefusal finishes a refused request. An answer with the outcome "not run" requires
// that no token was delivered and no attempt is running.
func (t *Trial) handleRefusal(h *host, f dispatch.Effect) {
	c := t.findCall(h, f.ID)
	if c == nil {
		t.fail("refusal of unknown request %d", f.ID)
		return
	}
	outcome := f.Answer.Row().Outcome
	if outcome == answer.NotRun && (c.deliveredTokens > 0 || c.sequence != nil) {
		t.fail("request %d refused as not run, with %d tokens delivered", c.id, c.deliveredTokens)
	}
	t.finishCall(c)
	t.result.Refused++
	t.result.organisation(c.organisation.Name).Refused++
}

// failAttempt ends the current attempt of a request and reports its failure to the host.
func (t *Trial) failAttempt(c *call, certainty target.Certainty, rebooted bool) {
	c.sequence, c.engine = nil, nil
	c.attemptTokens, c.queued = 0, false
	delivered := c.deliveredTokens > 0
	t.after(t.config.LinkDelay, func() {
		c.inFlight = false
		t.reduce(c.host, dispatch.AttemptFailed{ID: c.id, Certainty: certainty, Delivered: delivered, Rebooted: rebooted})
	})
}

// handleCancel removes a cancelled request from its engine and finishes it.
func (t *Trial) handleCancel(h *host, f dispatch.Effect) {
	if c := t.findCall(h, f.ID); c != nil && c.engine != nil {
		c.engine.batch.Remove(c.sequence)
		delete(c.engine.calls, c.sequence)
		t.finishCall(c)
	}
}

// sortedByID returns calls ordered by request ID.
func sortedByID(calls map[*standin.Sequence]*call) []*call {
	out := make([]*call, 0, len(calls))
	for _, c := range calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return int(a.id) - int(b.id) })
	return out
}
