package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/standin"
)

// deployment is a deployment to simulate: its size, and the weights of tail latency and stall
// time of its organisations.
type deployment struct {
	name        string
	hosts       int
	engines     int
	linkDelay   time.Duration // one-way network delay
	tailWeight  float64
	stallWeight float64
}

var (
	deployments = []deployment{
		{"jalisco", 8, 12, 500 * time.Microsecond, 3, 1},
		{"bokmakierie", 7, 15, time.Millisecond, 1, 3},
	}

	smallMemorySpec = standin.Spec{MemoryTokens: 48_000}
	loadFactors     = []float64{0.7, 0.9, 1.0, 1.2}
)

// config returns the configuration of a trial of the deployment. load is Config.LoadFactor.
func (d deployment) config(load float64, opts ...dispatch.Option) Config {
	return Config{
		Hosts:              d.hosts,
		Engines:            d.engines,
		Spec:               smallMemorySpec,
		Organisations:      DefaultOrganisations(d.tailWeight, d.stallWeight),
		LoadFactor:         load,
		Duration:           90 * time.Second,
		WarmUp:             30 * time.Second,
		Seed:               1,
		MedianOutput:       120,
		MeanPrompt:         400,
		Options:            opts,
		LoadReportInterval: 500 * time.Millisecond,
		LoadReportDelay:    250 * time.Millisecond,
		PeerReportInterval: 100 * time.Millisecond,
		LinkDelay:          d.linkDelay,
	}
}

// mustRun runs a trial and fails the test or benchmark on an error.
func mustRun(tb testing.TB, c Config) Result {
	tb.Helper()
	t, err := New(c)
	if err != nil {
		tb.Fatal(err)
	}
	r, err := t.Run()
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// ratio returns a/b. If b is 0, it returns 1 for an a of 0, and a otherwise.
func ratio(a, b float64) float64 {
	if b == 0 {
		if a == 0 {
			return 1
		}
		return a
	}
	return a / b
}

func logResult(b *testing.B, name string, r Result) {
	b.Helper()
	b.Logf("%-15s tokens %d whole %d refused %d preempted %d stall %.1fs tbt p50 %s p95 %s p99 %s p99.9 %s ttft p50 %s p95 %s p99 %s",
		name, r.Tokens, r.Completed, r.Refused, r.Preemptions, r.StallTime.Seconds(),
		r.TimeBetweenTokens.Quantile(0.5), r.TimeBetweenTokens.Quantile(0.95), r.TimeBetweenTokens.Quantile(0.99), r.TimeBetweenTokens.Quantile(0.999),
		r.TimeToFirstToken.Quantile(0.5), r.TimeToFirstToken.Quantile(0.95), r.TimeToFirstToken.Quantile(0.99))
}

// BenchmarkPolicy compares the default policy, for each deployment and load factor, with the
// least-requests baseline and with the oracle, which has the actual output lengths.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range deployments {
		for _, load := range loadFactors {
			b.Run(fmt.Sprintf("%s/%.1f", d.name, load), func(b *testing.B) {
				for range b.N {
					comparePolicies(b, d, load)
				}
			})
		}
	}
}

// comparePolicies runs a trial of each policy. It reports measurements of the default policy
// relative to those of the least-requests baseline and of the oracle, and the calibration of
// its length forecasts.
func comparePolicies(b *testing.B, d deployment, load float64) {
	b.Helper()
	results := map[string]Result{}
	for _, p := range Policies() {
		c := d.config(load, p.Options...)
		c.Oracle = p.Oracle
		results[p.Name] = mustRun(b, c)
		logResult(b, p.Name, results[p.Name])
	}
	forecast, oracle, leastRequests := results["forecast"], results["oracle"], results["least-requests"]
	b.ReportMetric(ratio(float64(forecast.Preemptions), float64(leastRequests.Preemptions)), "preempt-ratio")
	b.ReportMetric(ratio(forecast.StallTime.Seconds(), leastRequests.StallTime.Seconds()), "stall-ratio")
	b.ReportMetric(ratio(forecast.TimeBetweenTokens.Quantile(0.99).Seconds(), leastRequests.TimeBetweenTokens.Quantile(0.99).Seconds()), "tbt-p99-ratio")
	b.ReportMetric(ratio(float64(forecast.Tokens), float64(leastRequests.Tokens)), "throughput-ratio")
	b.ReportMetric(max(
		ratio(float64(forecast.Preemptions+1), float64(oracle.Preemptions+1)),
		ratio(forecast.StallTime.Seconds()+1, oracle.StallTime.Seconds()+1),
		ratio(forecast.TimeBetweenTokens.Quantile(0.99).Seconds(), oracle.TimeBetweenTokens.Quantile(0.99).Seconds()),
	), "oracle-ratio")
	calibration := forecast.LengthCalibration
	b.ReportMetric(100*float64(calibration.BelowP50)/float64(calibration.Outputs), "below-p50-pct")
	b.ReportMetric(100*float64(calibration.BelowP90)/float64(calibration.Outputs), "below-p90-pct")
	b.ReportMetric(100*float64(calibration.BelowP99)/float64(calibration.Outputs), "below-p99-pct")
	b.ReportMetric(forecast.TimeToFirstToken.Quantile(0.99).Seconds()/max(leastRequests.TimeToFirstToken.Quantile(0.99).Seconds(), 1e-9), "ttft-p99-ratio")
}

// BenchmarkPeerReportInterval measures preemptions, stall time and latency of the default
// policy at several intervals between the reports of hosts to their peers.
func BenchmarkPeerReportInterval(b *testing.B) {
	for _, interval := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		b.Run(interval.String(), func(b *testing.B) {
			for range b.N {
				c := deployments[0].config(1.0)
				c.PeerReportInterval = interval
				r := mustRun(b, c)
				b.ReportMetric(float64(r.Preemptions), "preemptions")
				b.ReportMetric(r.StallTime.Seconds(), "stall-s")
				b.ReportMetric(float64(r.Tokens), "tokens")
				b.ReportMetric(1000*r.TimeBetweenTokens.Quantile(0.99).Seconds(), "tbt-p99-ms")
				b.ReportMetric(1000*r.TimeToFirstToken.Quantile(0.99).Seconds(), "ttft-p99-ms")
			}
		})
	}
}

// BenchmarkObjective compares organisations that weigh only the tail latency between tokens
// with organisations that weigh only stall time, at a load of 1.1 times the capacity.
func BenchmarkObjective(b *testing.B) {
	for range b.N {
		tail, stall := deployments[0], deployments[0]
		tail.tailWeight, tail.stallWeight = 1, 0
		stall.tailWeight, stall.stallWeight = 0, 1
		t, s := mustRun(b, tail.config(1.1)), mustRun(b, stall.config(1.1))
		b.ReportMetric(1000*t.TimeBetweenTokens.Quantile(0.99).Seconds(), "tail-tbt-p99-ms")
		b.ReportMetric(1000*s.TimeBetweenTokens.Quantile(0.99).Seconds(), "stall-tbt-p99-ms")
		b.ReportMetric(t.StallTime.Seconds(), "tail-stall-s")
		b.ReportMetric(s.StallTime.Seconds(), "stall-stall-s")
	}
}
