package experiment_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/experiment"
)

// smallPlan returns a plan with two loads and two seeds whose trials are short.
func smallPlan() experiment.Plan {
	p := experiment.DefaultPlan()
	p.Hosts, p.Engines, p.Span, p.Loads, p.Seeds = 2, 3, 6*time.Second, []float64{0.8, 1.1}, 2
	return p
}

// Two runs of a plan return equal rows, ordered by load and then by policy.
func TestRunIsDeterministic(t *testing.T) {
	c := qt.New(t)
	p := smallPlan()
	first, err := p.Run(context.Background())
	c.Assert(err, qt.IsNil)
	second, err := p.Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.DeepEquals, first)
	c.Assert(first, qt.HasLen, 2*len(p.Policies))
	for i, r := range first {
		c.Check(r.Policy, qt.Equals, p.Policies[i%len(p.Policies)].Name)
		c.Check(r.Load, qt.Equals, p.Loads[i/len(p.Policies)])
		c.Check(r.Tokens > 0 && r.Completed > 0, qt.IsTrue)
	}
}

func TestWriteReportAndTable(t *testing.T) {
	c := qt.New(t)
	p := smallPlan()
	p.Reclaim = 2 * time.Second
	rows, err := p.Run(context.Background())
	c.Assert(err, qt.IsNil)
	var page, table bytes.Buffer
	c.Assert(experiment.WriteReport(&page, &p, rows), qt.IsNil)
	c.Check(bytes.Count(page.Bytes(), []byte("<svg")), qt.Equals, 5)
	c.Check(bytes.Count(page.Bytes(), []byte("<tr>")), qt.Equals, len(rows)+1)
	c.Check(page.String(), qt.Contains, "an engine lost every 2s")
	experiment.WriteTable(&table, rows)
	c.Check(table.String(), qt.Contains, "least-requests")
}

func TestInvalidPlans(t *testing.T) {
	cases := map[string]func(*experiment.Plan){
		"0 hosts, 3 engines, 2 seeds: each must be at least 1":                                      func(p *experiment.Plan) { p.Hosts = 0 },
		"prompts of 400 tokens and outputs of 120 tokens do not fit an engine memory of 300 tokens": func(p *experiment.Plan) { p.Memory = 300 },
		"span 1ms is shorter than 1s":                                                               func(p *experiment.Plan) { p.Span = time.Millisecond },
		"plan has no loads or no policies":                                                          func(p *experiment.Plan) { p.Loads = nil },
		"load -1 is not positive":                                                                   func(p *experiment.Plan) { p.Loads = []float64{-1} },
	}
	for want, change := range cases {
		p := smallPlan()
		change(&p)
		_, err := p.Run(context.Background())
		qt.Check(t, err, qt.ErrorMatches, want)
	}
}
