// Package experiment compares dispatch policies. It simulates each policy at several loads
// with package trial, and writes the results as a text table or an HTML report.
package experiment

import (
	"context"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/trial"
)

type (
	// A Plan describes the trials of an experiment: one for each policy, load and seed. The
	// zero value is invalid; start from DefaultPlan.
	Plan struct {
		Hosts    int           // number of entry hosts
		Engines  int           // number of engines
		Memory   int           // KV cache capacity of an engine, in tokens
		Prompt   int           // mean prompt length, in tokens
		Median   float64       // median output length, in tokens
		Loads    []float64     // offered loads, as fractions of trial.Config.Capacity
		Seeds    int           // number of trials per policy and load, with the random seeds 1 to Seeds
		Span     time.Duration // virtual duration of a trial, warm-up included
		Reclaim  time.Duration // interval at which one engine, each in turn, restarts and loses its requests; 0 disables restarts
		Policies []trial.Policy
	}

	// A Row holds the results of one policy at one load: counts and StallTime are sums over
	// the trials of all seeds, the quantiles and ShareError are of the merged results. The
	// fields have the meaning of those of trial.Result.
	Row struct {
		Policy            string
		Load              float64 // offered load, as in Plan.Loads
		Tokens            int
		Completed         int
		Refused           int
		Preemptions       int
		StallTime         time.Duration
		TimeToFirstToken  [2]time.Duration // median and 99th percentile
		TimeBetweenTokens [2]time.Duration // median and 99th percentile
		ShareError        float64          // see trial.Result.ShareError; 0.1 means 10 percent
	}
)

const (
	warmUpDivisor      = 3 // the warm-up of a trial is Plan.Span divided by this
	peerReportInterval = 100 * time.Millisecond
	loadReportInterval = 500 * time.Millisecond
	loadReportDelay    = 250 * time.Millisecond
	linkDelay          = 500 * time.Microsecond
)

// DefaultPlan returns a plan that runs all policies of package trial in a small deployment,
// at loads around its capacity.
func DefaultPlan() Plan {
	return Plan{
		Hosts: 8, Engines: 12, Memory: 48_000, Prompt: 400, Median: 120,
		Loads: []float64{0.7, 0.9, 1, 1.2}, Seeds: 1, Span: time.Minute, Policies: trial.Policies(),
	}
}

// Check returns an error if the plan is invalid.
func (p *Plan) Check() error {
	switch {
	case p.Hosts < 1 || p.Engines < 1 || p.Seeds < 1:
		return eris.Errorf("%d hosts, %d engines, %d seeds: each must be at least 1", p.Hosts, p.Engines, p.Seeds)
	case p.Memory <= p.Prompt || p.Prompt < 1 || p.Median < 1:
		return eris.Errorf("prompts of %d tokens and outputs of %g tokens do not fit an engine memory of %d tokens", p.Prompt, p.Median, p.Memory)
	case p.Span < time.Second:
		return eris.Errorf("span %s is shorter than 1s", p.Span)
	case len(p.Loads) == 0 || len(p.Policies) == 0:
		return eris.New("plan has no loads or no policies")
	}
	for _, l := range p.Loads {
		if l <= 0 {
			return eris.Errorf("load %g is not positive", l)
		}
	}
	return nil
}

// Run runs the trials of the plan, several concurrently. It returns a row for each load and
// policy, ordered by load and then by policy, both in the order of the plan. Equal plans
// return equal rows.
func (p *Plan) Run(ctx context.Context) ([]Row, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(p.Loads)*len(p.Policies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range rows {
		group.Go(func() error {
			load, policy := p.Loads[i/len(p.Policies)], &p.Policies[i%len(p.Policies)]
			row, err := p.runPolicy(ctx, policy, load)
			rows[i] = row
			return eris.Wrapf(err, "%s at load %g", policy.Name, load)
		})
	}
	return rows, group.Wait()
}

// runPolicy runs the trials of one policy at one load, one for each seed, and merges their
// results.
func (p *Plan) runPolicy(ctx context.Context, policy *trial.Policy, load float64) (Row, error) {
	row := Row{Policy: policy.Name, Load: load}
	var sum trial.Result
	for seed := range p.Seeds {
		if err := ctx.Err(); err != nil {
			return row, err
		}
		t, err := trial.New(p.config(policy, load, uint64(seed+1)))
		if err != nil {
			return row, err
		}
		r, err := t.Run()
		if err != nil {
			return row, err
		}
		if seed == 0 {
			sum = r
			continue
		}
		sum.Add(&r)
	}
	row.Tokens, row.Completed, row.Refused = sum.Tokens, sum.Completed, sum.Refused
	row.Preemptions, row.StallTime = sum.Preemptions, sum.StallTime
	row.TimeToFirstToken = [2]time.Duration{sum.TimeToFirstToken.Quantile(0.5), sum.TimeToFirstToken.Quantile(0.99)}
	row.TimeBetweenTokens = [2]time.Duration{sum.TimeBetweenTokens.Quantile(0.5), sum.TimeBetweenTokens.Quantile(0.99)}
	row.ShareError = sum.ShareError(organisations())
	return row, nil
}

// config returns the configuration of the trial of a policy at a load with a seed.
func (p *Plan) config(policy *trial.Policy, load float64, seed uint64) trial.Config {
	c := trial.Config{
		Hosts: p.Hosts, Engines: p.Engines, Spec: standin.Spec{MemoryTokens: p.Memory}, LoadFactor: load,
		Duration: p.Span, WarmUp: p.Span / warmUpDivisor, Seed: seed, MedianOutput: p.Median, MeanPrompt: p.Prompt,
		Oracle: policy.Oracle, Options: policy.Options,
		Organisations:      organisations(),
		LoadReportInterval: loadReportInterval, LoadReportDelay: loadReportDelay, PeerReportInterval: peerReportInterval, LinkDelay: linkDelay,
	}
	if p.Reclaim > 0 {
		for at, i := p.Reclaim, 0; at < p.Span; at, i = at+p.Reclaim, i+1 {
			c.Faults = append(c.Faults, trial.Fault{At: at, Kind: trial.FaultRestart, Index: i % p.Engines})
		}
	}
	return c
}

// organisations returns the organisations that offer the load in every trial.
func organisations() []trial.Organisation { return trial.DefaultOrganisations(1, 1) }
