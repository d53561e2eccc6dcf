package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/standin"
)

// user is the size of one of the users.
type user struct {
	name    string
	hosts   int
	engines int
	link    time.Duration
	tail    float64
	stall   float64
}

var (
	users = []user{
		{"jalisco", 8, 12, 500 * time.Microsecond, 3, 1},
		{"bokmakierie", 7, 15, time.Millisecond, 1, 3},
	}

	crowded = standin.Spec{Memory: 48_000}
	loads   = []float64{0.7, 0.9, 1.0, 1.2}
)

// config returns the trial of a user at a load.
func (u user) config(load float64, opts ...dispatch.Option) Config {
	return Config{
		Hosts:         u.hosts,
		Engines:       u.engines,
		Spec:          crowded,
		Organisations: Consortium(u.tail, u.stall),
		Load:          load,
		Span:          90 * time.Second,
		Warm:          30 * time.Second,
		Seed:          1,
		Median:        120,
		PromptMean:    400,
		Options:       opts,
		LoadEvery:     500 * time.Millisecond,
		LoadLag:       250 * time.Millisecond,
		PeerEvery:     100 * time.Millisecond,
		Link:          u.link,
	}
}

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
		name, r.Tokens, r.Whole, r.Refused, r.Preemptions, r.Stall.Seconds(),
		r.Between.Quantile(0.5), r.Between.Quantile(0.95), r.Between.Quantile(0.99), r.Between.Quantile(0.999),
		r.First.Quantile(0.5), r.First.Quantile(0.95), r.First.Quantile(0.99))
}

// BenchmarkPolicy compares the policy with least requests and with an oracle that
// knows the lengths, at the sizes of both users.
func BenchmarkPolicy(b *testing.B) {
	for _, u := range users {
		for _, load := range loads {
			b.Run(fmt.Sprintf("%s/%.1f", u.name, load), func(b *testing.B) {
				for range b.N {
					comparePolicies(b, u, load)
				}
			})
		}
	}
}

func comparePolicies(b *testing.B, u user, load float64) {
	b.Helper()
	played := map[string]Result{}
	for _, p := range Policies() {
		c := u.config(load, p.Options...)
		c.Oracle = p.Oracle
		played[p.Name] = mustRun(b, c)
		logResult(b, p.Name, played[p.Name])
	}
	ours, oracle, least := played["forecast"], played["oracle"], played["least-requests"]
	b.ReportMetric(ratio(float64(ours.Preemptions), float64(least.Preemptions)), "preempt-ratio")
	b.ReportMetric(ratio(ours.Stall.Seconds(), least.Stall.Seconds()), "stall-ratio")
	b.ReportMetric(ratio(ours.Between.Quantile(0.99).Seconds(), least.Between.Quantile(0.99).Seconds()), "tbt-p99-ratio")
	b.ReportMetric(ratio(float64(ours.Tokens), float64(least.Tokens)), "throughput-ratio")
	b.ReportMetric(max(
		ratio(float64(ours.Preemptions+1), float64(oracle.Preemptions+1)),
		ratio(ours.Stall.Seconds()+1, oracle.Stall.Seconds()+1),
		ratio(ours.Between.Quantile(0.99).Seconds(), oracle.Between.Quantile(0.99).Seconds()),
	), "oracle-ratio")
	tally := ours.Tally
	b.ReportMetric(100*float64(tally.BelowP50)/float64(tally.Outputs), "below-p50-pct")
	b.ReportMetric(100*float64(tally.BelowP90)/float64(tally.Outputs), "below-p90-pct")
	b.ReportMetric(100*float64(tally.BelowP99)/float64(tally.Outputs), "below-p99-pct")
	b.ReportMetric(ours.First.Quantile(0.99).Seconds()/max(least.First.Quantile(0.99).Seconds(), 1e-9), "ttft-p99-ratio")
}

// BenchmarkReports measures what slower reports between hosts cost the policy.
func BenchmarkReports(b *testing.B) {
	for _, every := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		b.Run(every.String(), func(b *testing.B) {
			for range b.N {
				c := users[0].config(1.0)
				c.PeerEvery = every
				r := mustRun(b, c)
				b.ReportMetric(float64(r.Preemptions), "preemptions")
				b.ReportMetric(r.Stall.Seconds(), "stall-s")
				b.ReportMetric(float64(r.Tokens), "tokens")
				b.ReportMetric(1000*r.Between.Quantile(0.99).Seconds(), "tbt-p99-ms")
				b.ReportMetric(1000*r.First.Quantile(0.99).Seconds(), "ttft-p99-ms")
			}
		})
	}
}

// BenchmarkObjective compares organisations that weigh only the tail of time between tokens
// with organisations that weigh only stall time, above capacity.
func BenchmarkObjective(b *testing.B) {
	for range b.N {
		tail, stall := users[0], users[0]
		tail.tail, tail.stall = 1, 0
		stall.tail, stall.stall = 0, 1
		t, s := mustRun(b, tail.config(1.1)), mustRun(b, stall.config(1.1))
		b.ReportMetric(1000*t.Between.Quantile(0.99).Seconds(), "tail-tbt-p99-ms")
		b.ReportMetric(1000*s.Between.Quantile(0.99).Seconds(), "stall-tbt-p99-ms")
		b.ReportMetric(t.Stall.Seconds(), "tail-stall-s")
		b.ReportMetric(s.Stall.Seconds(), "stall-stall-s")
	}
}
