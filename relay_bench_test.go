package wigeonlink_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
)

const (
	benchStreams         = 16
	benchTokenInterval   = 20 * time.Millisecond
	benchTokensPerStream = 250 // in a run at benchTokenInterval
	benchKey             = "bench"
	benchPacedRuns       = 3
)

// pacedEngine returns a handler that streams tokens at a constant rate. The prompt sets the
// number of tokens and the interval between them in nanoseconds; an interval of 0 means
// without delay. The handler writes and flushes each token separately.
func pacedEngine() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.NotFound(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		tokens, step := 0, 0
		if i := bytes.Index(body, []byte("stream ")); i >= 0 {
			fmt.Sscanf(string(body[i:]), "stream %d %d", &tokens, &step)
		}
		w.Header().Set(target.HeaderBoot, "bench")
		flush := http.NewResponseController(w)
		fmt.Fprintf(w, "data: {\"type\":\"response.created\",\"sequence_number\":0}\n\n")
		_ = flush.Flush()
		line := make([]byte, 0, 256)
		next := time.Now()
		for n := 1; n <= tokens; n++ {
			if step > 0 {
				next = next.Add(time.Duration(step))
				time.Sleep(time.Until(next))
			}
			line = append(line[:0], `data: {"type":"response.output_text.delta","sequence_number":`...)
			line = strconv.AppendInt(line, int64(n), 10)
			line = append(line, `,"delta":" token"}`+"\n\n"...)
			_, _ = w.Write(line)
			_ = flush.Flush()
		}
		fmt.Fprintf(w, "data: {\"type\":\"response.completed\",\"sequence_number\":%d,\"response\":{\"usage\":{\"input_tokens\":1,\"output_tokens\":%d}}}\n\n", tokens+1, tokens)
	})
}

// readTokens reads a stream to its end and returns the number of tokens. It records the
// times between tokens in microseconds in between, unless that is nil.
func readTokens(body io.Reader, between *hdrhistogram.Histogram) int {
	r := bufio.NewReaderSize(body, 64<<10)
	tokens := 0
	last := time.Time{}
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return tokens
		}
		if !bytes.HasPrefix(line, []byte("data: ")) || !bytes.Contains(line, []byte(`" token"`)) {
			continue
		}
		tokens++
		if now := time.Now(); between != nil {
			if !last.IsZero() {
				_ = between.RecordValue(now.Sub(last).Microseconds())
			}
			last = now
		}
	}
}

// benchPath is a path from the caller to the engine: direct, or through an entry host.
type benchPath struct {
	url    string // base URL of the engine or of the entry host
	direct bool
}

// run reads the given number of streams concurrently and returns the number of tokens
// received. It merges the times between tokens into between, unless that is nil.
func (p benchPath) run(b *testing.B, streams, tokens int, step time.Duration, between *hdrhistogram.Histogram) int {
	b.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	received := 0
	for range streams {
		all.Go(func() {
			own := hdrhistogram.New(1, 10_000_000, 3)
			n := readTokens(p.open(b, tokens, step), own)
			mu.Lock()
			defer mu.Unlock()
			received += n
			if between != nil {
				between.Merge(own)
			}
		})
	}
	all.Wait()
	if received != streams*tokens {
		b.Errorf("received %d tokens, engine sent %d", received, streams*tokens)
	}
	return received
}

func (p benchPath) open(b *testing.B, tokens int, step time.Duration) io.Reader {
	b.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"prompt":"stream %d %d","input":"stream %d %d"}`, tokens, step, tokens, step)
	path := "/v1/completions"
	if p.direct {
		path = "/v1/responses"
	}
	req, err := http.NewRequest(http.MethodPost, p.url+path, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("request failed: response %v, error %v", resp, err)
		return strings.NewReader("")
	}
	b.Cleanup(func() { resp.Body.Close() })
	return resp.Body
}

// benchPaths starts a paced engine and an entry host in front of it. It returns the direct
// path to the engine and the path through the host.
func benchPaths(b *testing.B) (direct, through benchPath) {
	b.Helper()
	engine := httptest.NewServer(pacedEngine())
	b.Cleanup(engine.Close)
	e, err := wigeonlink.NewEntry(wigeonlink.Settings{
		CallerAddress:   netip.MustParseAddrPort("127.0.0.1:0"),
		OperatorAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		SealKeys:        []string{fmt.Sprintf("%x", ticket.DeriveKey("bench"))},
	}, wigeonlink.WithHost(host.WithDispatch(dispatch.WithMemoryDeviations(0), dispatch.WithMaxLoadAge(0), dispatch.WithPrefillBurst(0))))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Kill)
	if err := e.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	sheet := fmt.Sprintf("kind,version,name,weight,key,model,domain,address,checks,memory\n"+
		"table,1\norganisation,,bench,1,%s\nmodel,,m\nengine,,e,,,m,d,%s,yes,1000000000\n",
		table.FormatKeyHash(benchKey), engine.Listener.Addr().(*net.TCPAddr).AddrPort())
	t, err := table.Read("bench.csv", strings.NewReader(sheet))
	if err != nil {
		b.Fatal(err)
	}
	e.Host().Post(dispatch.TableChange{Table: t})
	for !e.Host().Ready() {
		time.Sleep(time.Millisecond)
	}
	return benchPath{engine.URL, true}, benchPath{e.CallerURL(), false}
}

// processUsage returns the CPU time (user and system) and the number of heap allocations of
// this process since its start.
func processUsage() (time.Duration, uint64) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), m.Mallocs
}

// BenchmarkRelay measures the CPU time and the allocations of an entry host per token, and
// the time between tokens through it. The engine, the caller and the host share the process,
// so the CPU time of the host is that of the path through it minus that of the direct path
// to the engine. One operation is one token.
func BenchmarkRelay(b *testing.B) {
	direct, through := benchPaths(b)
	each := max(b.N/benchStreams, 1)
	cost := func(p benchPath) (time.Duration, float64) {
		p.run(b, benchStreams, 10, 0, nil) // warm-up: sets up connections that later streams reuse
		cpu, mallocs := processUsage()
		tokens := p.run(b, benchStreams, each, 0, nil)
		cpuAfter, mallocsAfter := processUsage()
		return (cpuAfter - cpu) / time.Duration(tokens), float64(mallocsAfter-mallocs) / float64(tokens)
	}
	b.ResetTimer()
	cpuDirect, allocsDirect := cost(direct)
	cpuThrough, allocsThrough := cost(through)
	b.StopTimer()
	hostCPU := max(cpuThrough-cpuDirect, 1)
	b.ReportMetric(float64(time.Second)/float64(hostCPU), "tokens/s")
	b.ReportMetric(float64(hostCPU.Nanoseconds()), "cpu-ns/token")
	b.ReportMetric(allocsThrough-allocsDirect, "allocs/token")
	if b.N < 10_000 {
		return // the testing package is still estimating b.N
	}
	directTimes, throughTimes := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	for range benchPacedRuns {
		var both sync.WaitGroup
		both.Go(func() { direct.run(b, benchStreams, benchTokensPerStream, benchTokenInterval, directTimes) })
		both.Go(func() { through.run(b, benchStreams, benchTokensPerStream, benchTokenInterval, throughTimes) })
		both.Wait()
	}
	b.ReportMetric(float64(throughTimes.ValueAtQuantile(99))/float64(directTimes.ValueAtQuantile(99)), "tbt-p99-ratio")
	b.ReportMetric(float64(throughTimes.ValueAtQuantile(99))/1000, "tbt-p99-ms")
}

// BenchmarkRelayPaced measures the CPU time of a host per token at the token rate for which
// the host is designed. At that rate the host reads, writes and flushes each token
// separately.
func BenchmarkRelayPaced(b *testing.B) {
	const (
		streams = 400
		tokens  = 100
		step    = 43 * time.Millisecond
	)
	direct, through := benchPaths(b)
	for range b.N {
		before, _ := processUsage()
		direct.run(b, streams, tokens, step, nil)
		between, _ := processUsage()
		through.run(b, streams, tokens, step, nil)
		after, _ := processUsage()
		hostCPU := (after - between) - (between - before)
		b.ReportMetric(float64(hostCPU.Nanoseconds())/(streams*tokens), "cpu-ns/token")
	}
}
