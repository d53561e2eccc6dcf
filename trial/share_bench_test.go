package trial

import (
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/latency"
)

const (
	floodStart    = 30 * time.Second
	floodDuration = 100 * time.Second
	settleTime    = 10 * time.Second // between the start of the flood and the measurement of shares
)

// floodHosts maps the names of the cases to the indexes of the hosts that receive the flood;
// nil means all hosts.
var floodHosts = map[string][]int{"every": nil, "one": {0}}

// saturatedConfig returns a trial in which every organisation offers 1.5 times its share and
// one adds a flood of three times the capacity.
func saturatedConfig(d deployment, hosts []int) Config {
	c := d.config(1)
	c.WarmUp, c.Duration = floodStart+settleTime, floodStart+floodDuration
	for i := range c.Organisations {
		org := &c.Organisations[i]
		org.LoadFraction *= 1.5
		org.MaxQueued = 64
	}
	flood := c.Organisations[0]
	flood.LoadFraction, flood.Hosts, flood.Start = 3, hosts, floodStart
	c.Organisations = append(c.Organisations, flood)
	return c
}

// timeToFirstTokenOfOthers returns the time to first token over all organisations but the
// one that floods.
func timeToFirstTokenOfOthers(r Result) latency.Histogram {
	all := latency.NewHistogram()
	for name, org := range r.Organisations {
		if name != "organisation-0" {
			all.Merge(org.TimeToFirstToken)
		}
	}
	return all
}

// BenchmarkShare floods the hosts with requests of one organisation. It measures the share
// error while all organisations exceed their shares, and the time to first token of the
// others while these stay within their shares.
func BenchmarkShare(b *testing.B) {
	for _, d := range deployments {
		for _, from := range []string{"every", "one"} {
			b.Run(d.name+"/"+from, func(b *testing.B) {
				for range b.N {
					runFlood(b, d, floodHosts[from])
				}
			})
		}
	}
}

// runFlood runs the trials of BenchmarkShare for a deployment; hosts receive the flood.
func runFlood(b *testing.B, d deployment, hosts []int) {
	b.Helper()
	c := saturatedConfig(d, hosts)
	r := mustRun(b, c)
	for _, org := range c.Organisations[:10] {
		b.Logf("%s promised %.1f%% got service %.0f refused %d", org.Name, org.Weight, r.Organisations[org.Name].Service, r.Organisations[org.Name].Refused)
	}
	calm := d.config(0.9)
	calm.WarmUp, calm.Duration = floodStart, floodStart+floodDuration
	flood := d.config(0.9)
	flood.WarmUp, flood.Duration = floodStart, floodStart+floodDuration
	extra := flood.Organisations[0]
	extra.LoadFraction, extra.Hosts, extra.Start, extra.MaxQueued = 2, hosts, floodStart, 64
	flood.Organisations = append(flood.Organisations, extra)
	flood.Organisations[0].MaxQueued = 64
	flooded := mustRun(b, flood)
	without, with := timeToFirstTokenOfOthers(mustRun(b, calm)), timeToFirstTokenOfOthers(flooded)
	for _, q := range []float64{0.5, 0.9, 0.95, 0.99, 0.999} {
		b.Logf("time to first token of the other organisations: p%g %s without the flood, %s with it", 100*q, without.Quantile(q), with.Quantile(q))
	}
	b.ReportMetric(100*r.ShareError(c.Organisations), "share-error-pct")
	b.ReportMetric(with.Quantile(0.99).Seconds()/without.Quantile(0.99).Seconds(), "small-ttft-ratio")
	b.ReportMetric(with.Quantile(0.99).Seconds()*1000, "small-ttft-p99-ms")
	b.ReportMetric(float64(flooded.Preemptions), "preemptions")
}
