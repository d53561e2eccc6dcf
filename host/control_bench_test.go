package host

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/credential"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/table"
)

const (
	benchOrganisations = 10
	benchTargets       = 18
	benchStreams       = 40              // running streams on each host
	benchWarmup        = 2 * time.Second // before the measurement
	peerSettleTime     = 8 * time.Second // in which the hosts close the connections that only their start needed
	benchDuration      = 5 * time.Second // of the measurement
)

// benchTable returns a table in its published encoding, with the given version and numbers of
// organisations and targets.
func benchTable(version, organisations, targets int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "kind,version,name,weight,key,model,domain,address,checks,memory\ntable,%d\nmodel,,m\n", version)
	for i := range organisations {
		fmt.Fprintf(&b, "organisation,,organisation-%d,%d,%s\n", i, 1+i%7, table.FormatKeyHash(fmt.Sprint(i)))
	}
	for i := range targets {
		fmt.Fprintf(&b, "engine,,engine-%d,,,m,d0,127.0.0.1:%d,yes,100000\n", i, 1+i)
	}
	return []byte(b.String())
}

// A cluster is a set of hosts in one process, on an in-memory network.
type cluster struct {
	hosts []*Host
	stop  context.CancelFunc
}

// newCluster starts n hosts in the given number of failure domains, and waits until the directory of
// each counts all.
func newCluster(b *testing.B, n, domains int) *cluster {
	b.Helper()
	issuer, err := credential.NewIssuer()
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	wires := network.NewVirtual(500 * time.Microsecond)
	c := &cluster{stop: stop}
	b.Cleanup(stop)
	seeds := []netip.AddrPort{}
	for i := range n {
		name := fmt.Sprintf("host-%03d", i)
		cert, err := issuer.Issue(name)
		if err != nil {
			b.Fatal(err)
		}
		domain := fmt.Sprint("d", i%domains)
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		h := NewHost(event.NewLog(name, event.WithRingSize(256)),
			WithLoadInterval(time.Hour),
			WithDispatch(dispatch.WithMaxLoadAge(0), dispatch.WithPrefillBurst(0), dispatch.WithMaxHold(time.Hour)))
		m, err := h.Join(peer.Settings{
			Domain: domain, Listen: netip.AddrPortFrom(address, 7200), Network: wires.At(address),
			Seeds: slices.Clone(seeds), Credential: cert,
		})
		if err != nil {
			b.Fatal(err)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, m.Address())
		}
		go h.Run(ctx)
		go m.Run(ctx)
		c.hosts = append(c.hosts, h)
	}
	c.wait(b, "every host counts all hosts", func(h *Host) bool { d := h.mesh.Directory(); return d.Hosts == n })
	return c
}

// wait waits until all hosts satisfy a condition, and fails the benchmark after about a minute.
func (c *cluster) wait(b *testing.B, condition string, holds func(*Host) bool) {
	b.Helper()
	for range 60_000 {
		if !slices.ContainsFunc(c.hosts, func(h *Host) bool { return !holds(h) }) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.Fatalf("timed out waiting until %s", condition)
}

// cpuTime returns the user and system time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the memory used by heap objects and stacks after a garbage collection, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkControl measures the CPU time, memory and traffic of the control plane (heartbeats and
// reports) for hosts that have running streams but receive no requests.
func BenchmarkControl(b *testing.B) {
	for _, domains := range []int{1, 6} {
		for _, n := range []int{8, 64, 300} {
			b.Run(fmt.Sprintf("hosts=%d/domains=%d", n, domains), func(b *testing.B) {
				for range b.N {
					measureControl(b, n, domains)
				}
			})
		}
	}
}

// measureControl makes one measurement of BenchmarkControl with n hosts.
func measureControl(b *testing.B, n, domains int) {
	b.Helper()
	before := heapBytes()
	c := newCluster(b, n, domains)
	for _, h := range c.hosts {
		h.LoadTable(benchTable(1, benchOrganisations, benchTargets))
		for i := range benchStreams {
			h.Submit(dispatch.Submit{Organisation: fmt.Sprintf("organisation-%d", i%benchOrganisations), Pool: "m", PromptTokens: 300})
		}
	}
	time.Sleep(benchWarmup + peerSettleTime)
	sent := c.bytesSent()
	cpuBefore := cpuTime()
	time.Sleep(benchDuration)
	used := cpuTime() - cpuBefore
	bytes := c.bytesSent() - sent
	after := heapBytes()
	c.stop()
	span := benchDuration.Seconds()
	b.ReportMetric(float64(bytes)/span/float64(n), "B/s/host")
	b.ReportMetric(100*used.Seconds()/span/float64(n), "core-pct/host")
	b.ReportMetric(float64(after-before)/float64(n), "heap-B/host")
	links, most := 0, 0
	for _, h := range c.hosts {
		links += h.mesh.LinkCount()
		most = max(most, h.mesh.LinkCount())
	}
	b.ReportMetric(float64(links)/float64(n), "links/host")
	b.ReportMetric(float64(most), "links-most")
}

// bytesSent returns the number of bytes that all hosts have sent to peers.
func (c *cluster) bytesSent() int64 {
	sum := int64(0)
	for _, h := range c.hosts {
		sum += h.mesh.Traffic().BytesSent.Load()
	}
	return sum
}

// BenchmarkTable loads tables on one host, as if the host watched the published table, and measures
// the time until each table is in effect on each host.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := newCluster(b, n, 1)
			var took []time.Duration
			b.ResetTimer()
			for version := range b.N {
				took = append(took, c.propagate(version+1)...)
			}
			b.StopTimer()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*999/1000].Microseconds())/1000, "inforce-p999-ms")
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "inforce-p50-ms")
			// Each watching host makes one blocking query in 20 s for each of two keys.
			b.ReportMetric(float64(c.countTableWatchers())*2/20, "reads/s")
			b.ReportMetric(float64(len(compress(benchTable(1, 1600, 1000)))), "sheet-B")
		})
	}
}

// propagate loads a table of the given version on one host, and returns for each host the time until
// the table was in effect.
func (c *cluster) propagate(version int) []time.Duration {
	data := benchTable(version, 1600, 1000)
	started := time.Now()
	c.hosts[version%len(c.hosts)].LoadTable(data)
	var took []time.Duration
	for _, h := range c.hosts {
		for h.Table() == nil || h.Table().Version < uint64(version) {
			time.Sleep(200 * time.Microsecond)
		}
		took = append(took, time.Since(started))
	}
	return took
}

// countTableWatchers returns the number of hosts that would watch the published table.
func (c *cluster) countTableWatchers() int {
	n := 0
	for _, h := range c.hosts {
		if h.WatchesTable() {
			n++
		}
	}
	return n
}
