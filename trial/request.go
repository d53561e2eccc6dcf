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

// Capacity returns the estimated output rate of all engines, in tokens per second, while
// running sequences of mean size fill the KV cache. A step generates one token for each
// sequence that fits, and computes the uncached prompt tokens of the sequences that replace
// the finished ones. The rate of an engine is the number of sequences that fit, divided by
// the duration of such a step.
func (c *Config) Capacity() float64 {
	spec := standin.NewBatch(c.Spec).Spec()
	mean, held := outputMoments(c.MedianOutput)
	prompt := float64(c.MeanPrompt)
	streams := float64(spec.MemoryTokens) / (prompt + held)
	uncached := prompt - prefixProbability*prefixTokens
	step := spec.BaseStepTime.Seconds() + streams*(spec.StepTimePerSequence.Seconds()+uncached*spec.StepTimePerPromptToken.Seconds()/mean)
	return float64(c.Engines) * streams / step
}

// outputMoments estimates two values, in tokens, for output lengths of the given median: the
// mean output length, and the mean number of output tokens that a running sequence has
// generated so far, at a random time. The second is E[n²]/(2·E[n]) for output lengths n.
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

// scheduleArrivals schedules the requests of an organisation's stream as a Poisson process
// between org.Start and org.End.
func (t *Trial) scheduleArrivals(org *Organisation) {
	if org.Kind != nil {
		t.scheduleKind(org)
		return
	}
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

// submit creates a request of random prompt and output length and submits it to one of the
// hosts of the organisation's stream.
func (t *Trial) submit(org *Organisation) {
	hostIndex := t.rng.IntN(len(t.hosts))
	if len(org.Hosts) > 0 {
		hostIndex = org.Hosts[t.rng.IntN(len(org.Hosts))]
	}
	t.nextID++
	c := &request{
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
	t.requests[requestKey{hostIndex, c.id}] = c
	t.result.Submitted++
	t.reduce(c.host, c.submit)
}

// findRequest returns an unfinished request, or nil.
func (t *Trial) findRequest(h *host, id dispatch.ID) *request {
	return t.requests[requestKey{h.index, id}]
}

// handleDispatch sends a request to an engine, which receives it after the link delay. It
// fails the trial if the request is finished, has delivered tokens, or has another attempt
// that may still be running.
func (t *Trial) handleDispatch(h *host, f dispatch.Effect) {
	c := t.findRequest(h, f.ID)
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

// checkInFlightLimit fails the trial if the stream of a request has more than MaxInFlight
// requests in flight over all hosts.
func (t *Trial) checkInFlightLimit(c *request) {
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

// deliverToken delivers one token of a request to its caller and, after the warm-up, records
// its latency. It fails the trial if the request is finished, or if the token is not from the
// attempt that delivered the earlier tokens.
func (t *Trial) deliverToken(c *request) {
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
	t.recordFirstToken(c)
	c.lastTokenAt, c.queued = t.now, false
	if c.deliveredTokens != c.attemptTokens {
		t.fail("request %d: %d tokens delivered, but its attempt generated %d", c.id, c.deliveredTokens, c.attemptTokens)
	}
	if t.now < t.config.WarmUp {
		return
	}
	t.result.recordToken(c, gap, t.now-c.submittedAt)
}

// recordToken adds a token of a request to the result. gap is the time since the previous
// token of the request, first the time since its submission.
func (r *Result) recordToken(c *request, gap, first time.Duration) {
	r.Tokens++
	org := r.organisation(c.organisation.Name)
	org.Tokens++
	org.ServiceCost += 1 + float64(c.submit.PromptTokens+c.attemptTokens)/1024
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

// completeRequest finishes a request whose generation is complete, and reports the token
// usage to the host of the request after the link delay.
func (t *Trial) completeRequest(c *request, s *standin.Sequence) {
	if c.attemptTokens != c.outputTokens {
		t.fail("request %d completed after %d of %d tokens", c.id, c.attemptTokens, c.outputTokens)
	}
	t.finishRequest(c)
	t.recordCompleted(c)
	t.result.Completed++
	usage := target.Usage{Prompt: s.PromptTokens, Output: c.outputTokens, Cached: s.CachedTokens}
	t.after(t.config.LinkDelay, func() {
		t.reduce(c.host, dispatch.Ended{ID: c.id, Usage: usage})
		t.reportStreamsSoon(c.host)
	})
}

// finishRequest marks a request as finished, that is, its caller has the final answer, and
// removes it from the trial. It fails the trial if the request was finished already.
func (t *Trial) finishRequest(c *request) {
	if c.finished {
		t.fail("request %d finished twice", c.id)
	}
	c.finished = true
	delete(c.host.dispatched, c.id)
	delete(t.requests, requestKey{c.host.index, c.id})
}

// handleRefusal finishes a refused request. It fails the trial if the answer has the outcome
// "not run" although a token was delivered or an attempt may be running.
func (t *Trial) handleRefusal(h *host, f dispatch.Effect) {
	c := t.findRequest(h, f.ID)
	if c == nil {
		t.fail("refusal of unknown request %d", f.ID)
		return
	}
	outcome := f.Answer.Properties().Outcome
	if outcome == answer.OutcomeNotRun && (c.deliveredTokens > 0 || c.sequence != nil) {
		t.fail("request %d refused as not run, with %d tokens delivered", c.id, c.deliveredTokens)
	}
	t.finishRequest(c)
	t.recordRefused(c, f)
	t.result.Refused++
	t.result.organisation(c.organisation.Name).Refused++
}

// failAttempt ends the current attempt of a request, and reports the failure to the host of
// the request after the link delay. certainty says whether the attempt may have run.
func (t *Trial) failAttempt(c *request, certainty target.Certainty, rebooted bool) {
	c.sequence, c.engine = nil, nil
	c.attemptTokens, c.queued = 0, false
	delivered := c.deliveredTokens > 0
	t.after(t.config.LinkDelay, func() {
		c.inFlight = false
		t.reduce(c.host, dispatch.AttemptFailed{ID: c.id, Certainty: certainty, Delivered: delivered, Rebooted: rebooted})
		t.reportStreamsSoon(c.host)
	})
}

// handleCancel removes a cancelled request from its engine and finishes it. It ignores
// a request without an attempt on an engine.
func (t *Trial) handleCancel(h *host, f dispatch.Effect) {
	if c := t.findRequest(h, f.ID); c != nil && c.engine != nil {
		c.engine.batch.Remove(c.sequence)
		delete(c.engine.requests, c.sequence)
		t.finishRequest(c)
	}
}

// sortedByID returns the requests of an engine ordered by ID.
func sortedByID(requests map[*standin.Sequence]*request) []*request {
	out := make([]*request, 0, len(requests))
	for _, c := range requests {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *request) int { return int(a.id) - int(b.id) })
	return out
}
