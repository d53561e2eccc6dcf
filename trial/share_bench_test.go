package trial

import (
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/latency"
)

const (
	floodStart    = 30 * time.Second
	floodDuration = 100 * time.Second
	settleTime    = 10 * time.Second // from the start of the flood to the start of the share measurement
)

// floodHosts maps the names of benchmark cases to the indexes of the hosts that receive the
// flood. A flood is a stream of requests of one organisation that exceeds its share by far.
// nil means all hosts.
var floodHosts = map[string][]int{"every": nil, "one": {0}}

// saturatedConfig returns a trial in which every organisation offers a load of 1.5 times its
// share, and the first one adds a flood of three times the capacity. hosts are the indexes of
// the hosts that receive the flood.
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

// timeToFirstTokenOfOthers returns the time to first token of all organisations except the
// first one, which sends the flood.
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
// error in a trial in which all organisations exceed their shares. In another trial, in which
// the other organisations stay within their shares, it measures their time to first token and
// compares it with a trial without the flood.
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

// runFlood runs the trials of BenchmarkShare for a deployment. hosts are the indexes of the
// hosts that receive the flood.
func runFlood(b *testing.B, d deployment, hosts []int) {
	b.Helper()
	c := saturatedConfig(d, hosts)
	r := mustRun(b, c)
	for _, org := range c.Organisations[:10] {
		b.Logf("%s promised %.1f%% got service %.0f refused %d", org.Name, org.Weight, r.Organisations[org.Name].ServiceCost, r.Organisations[org.Name].Refused)
	}
	noFlood := d.config(0.9)
	noFlood.WarmUp, noFlood.Duration = floodStart, floodStart+floodDuration
	flood := d.config(0.9)
	flood.WarmUp, flood.Duration = floodStart, floodStart+floodDuration
	extra := flood.Organisations[0]
	extra.LoadFraction, extra.Hosts, extra.Start, extra.MaxQueued = 2, hosts, floodStart, 64
	flood.Organisations = append(flood.Organisations, extra)
	flood.Organisations[0].MaxQueued = 64
	flooded := mustRun(b, flood)
	without, with := timeToFirstTokenOfOthers(mustRun(b, noFlood)), timeToFirstTokenOfOthers(flooded)
	for _, q := range []float64{0.5, 0.9, 0.95, 0.99, 0.999} {
		b.Logf("time to first token of the other organisations: p%g %s without the flood, %s with it", 100*q, without.Quantile(q), with.Quantile(q))
	}
	b.ReportMetric(100*r.ShareError(c.Organisations), "share-error-pct")
	b.ReportMetric(with.Quantile(0.99).Seconds()/without.Quantile(0.99).Seconds(), "small-ttft-ratio")
	b.ReportMetric(with.Quantile(0.99).Seconds()*1000, "small-ttft-p99-ms")
	b.ReportMetric(float64(flooded.Preemptions), "preemptions")
}
