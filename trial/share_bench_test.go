package trial

import (
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/latency"
)

const (
	floodFrom = 30 * time.Second
	floodSpan = 100 * time.Second
	settled   = 10 * time.Second // after the flood begins, until shares are measured
)

// floodHosts are the hosts that the flooding organisation calls.
var floodHosts = map[string][]int{"every": nil, "one": {0}}

// saturated returns a trial in which every organisation wants more than its share, and one
// far more.
func saturated(u user, hosts []int) Config {
	c := u.config(1)
	c.Warm, c.Span = floodFrom+settled, floodFrom+floodSpan
	for i := range c.Organisations {
		m := &c.Organisations[i]
		m.Part *= 1.5
		m.Queue = 64
	}
	flood := c.Organisations[0]
	flood.Part, flood.Hosts, flood.From = 3, hosts, floodFrom
	c.Organisations = append(c.Organisations, flood)
	return c
}

// firstOfSmall returns the time to first token of the organisations that do not flood.
func firstOfSmall(r Result) latency.Histogram {
	all := latency.NewHistogram()
	for name, m := range r.Organisations {
		if name != "organisation-0" {
			all.Merge(m.First)
		}
	}
	return all
}

// BenchmarkShare floods from one organisation, and measures the error of the shares when
// all want more than theirs, and the time to first token of the others when they
// keep within theirs.
func BenchmarkShare(b *testing.B) {
	for _, u := range users {
		for _, from := range []string{"every", "one"} {
			b.Run(u.name+"/"+from, func(b *testing.B) {
				for range b.N {
					floodShares(b, u, floodHosts[from])
				}
			})
		}
	}
}

func floodShares(b *testing.B, u user, hosts []int) {
	b.Helper()
	c := saturated(u, hosts)
	r := mustRun(b, c)
	for _, m := range c.Organisations[:10] {
		b.Logf("%s promised %.1f%% got service %.0f refused %d", m.Name, m.Weight, r.Organisations[m.Name].Service, r.Organisations[m.Name].Refused)
	}
	calm := u.config(0.9)
	calm.Warm, calm.Span = floodFrom, floodFrom+floodSpan
	flood := u.config(0.9)
	flood.Warm, flood.Span = floodFrom, floodFrom+floodSpan
	extra := flood.Organisations[0]
	extra.Part, extra.Hosts, extra.From, extra.Queue = 2, hosts, floodFrom, 64
	flood.Organisations = append(flood.Organisations, extra)
	flood.Organisations[0].Queue = 64
	flooded := mustRun(b, flood)
	without, with := firstOfSmall(mustRun(b, calm)), firstOfSmall(flooded)
	for _, q := range []float64{0.5, 0.9, 0.95, 0.99, 0.999} {
		b.Logf("small organisations' time to first token: p%g %s without the flood, %s with it", 100*q, without.Quantile(q), with.Quantile(q))
	}
	b.ReportMetric(100*r.ShareError(c.Organisations), "share-error-pct")
	b.ReportMetric(with.Quantile(0.99).Seconds()/without.Quantile(0.99).Seconds(), "small-ttft-ratio")
	b.ReportMetric(with.Quantile(0.99).Seconds()*1000, "small-ttft-p99-ms")
	b.ReportMetric(float64(flooded.Preemptions), "preemptions")
}
