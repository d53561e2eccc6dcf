// Package experiment plays load patterns against model engines in virtual time, with the
// policies to compare, and reports the differences.
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
	// A Plan is what is played. The zero value is not valid; begin with DefaultPlan.
	Plan struct {
		Hosts    int
		Engines  int
		Memory   int       // tokens of an engine
		Prompt   int       // mean, in tokens
		Median   float64   // output in tokens
		Loads    []float64 // of what the engines can generate
		Seeds    int
		Span     time.Duration
		Reclaim  time.Duration // between two engines that are taken away; 0 means none are
		Policies []trial.Policy
	}

	// A Row is what one policy did at one load, over all seeds.
	Row struct {
		Policy      string
		Load        float64
		Tokens      int
		Whole       int
		Refused     int
		Preemptions int
		Stall       time.Duration
		First       [2]time.Duration // 50 and 99 of 100 to the first token
		Between     [2]time.Duration // 50 and 99 of 100 between tokens
		Shares      float64          // largest relative error of an organisation's part of the service
	}
)

const (
	warmPart    = 3 // part of the span before anything is measured
	reportEvery = 100 * time.Millisecond
	loadEvery   = 500 * time.Millisecond
	loadLag     = 250 * time.Millisecond
	linkDelay   = 500 * time.Microsecond
)

// DefaultPlan returns a small deployment at loads around its capacity.
func DefaultPlan() Plan {
	return Plan{
		Hosts: 8, Engines: 12, Memory: 48_000, Prompt: 400, Median: 120,
		Loads: []float64{0.7, 0.9, 1, 1.2}, Seeds: 1, Span: time.Minute, Policies: trial.Policies(),
	}
}

// Check returns why a plan cannot be played.
func (p *Plan) Check() error {
	switch {
	case p.Hosts < 1 || p.Engines < 1 || p.Seeds < 1:
		return eris.Errorf("%d hosts, %d engines, %d seeds: each must be at least 1", p.Hosts, p.Engines, p.Seeds)
	case p.Memory <= p.Prompt || p.Prompt < 1 || p.Median < 1:
		return eris.Errorf("prompts of %d tokens and outputs of %g do not fit engines of %d", p.Prompt, p.Median, p.Memory)
	case p.Span < time.Second:
		return eris.Errorf("a span of %s is too short", p.Span)
	case len(p.Loads) == 0 || len(p.Policies) == 0:
		return eris.New("no loads or no policies")
	}
	for _, l := range p.Loads {
		if l <= 0 {
			return eris.Errorf("load %g is not positive", l)
		}
	}
	return nil
}

// Run plays the plan, several trials at a time. Rows come by load, then in the order of the
// policies. The same plan gives the same rows.
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
			row, err := p.play(ctx, policy, load)
			rows[i] = row
			return eris.Wrapf(err, "%s at load %g", policy.Name, load)
		})
	}
	return rows, group.Wait()
}

// play runs one policy at one load with every seed.
func (p *Plan) play(ctx context.Context, policy *trial.Policy, load float64) (Row, error) {
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
	row.Tokens, row.Whole, row.Refused = sum.Tokens, sum.Whole, sum.Refused
	row.Preemptions, row.Stall = sum.Preemptions, sum.Stall
	row.First = [2]time.Duration{sum.First.Quantile(0.5), sum.First.Quantile(0.99)}
	row.Between = [2]time.Duration{sum.Between.Quantile(0.5), sum.Between.Quantile(0.99)}
	row.Shares = sum.ShareError(consortium())
	return row, nil
}

func (p *Plan) config(policy *trial.Policy, load float64, seed uint64) trial.Config {
	c := trial.Config{
		Hosts: p.Hosts, Engines: p.Engines, Spec: standin.Spec{Memory: p.Memory}, Load: load,
		Span: p.Span, Warm: p.Span / warmPart, Seed: seed, Median: p.Median, PromptMean: p.Prompt,
		Oracle: policy.Oracle, Options: policy.Options,
		Organisations: consortium(),
		LoadEvery:     loadEvery, LoadLag: loadLag, PeerEvery: reportEvery, Link: linkDelay,
	}
	if p.Reclaim > 0 {
		for at, i := p.Reclaim, 0; at < p.Span; at, i = at+p.Reclaim, i+1 {
			c.Faults = append(c.Faults, trial.Fault{At: at, Kind: trial.FaultDie, Target: i % p.Engines})
		}
	}
	return c
}

// consortium returns the organisations of every trial.
func consortium() []trial.Organisation { return trial.Consortium(1, 1) }
