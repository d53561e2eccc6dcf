package dispatch

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

var benchEpoch = time.Unix(1_700_000_000, 0)

// fataler is implemented by *testing.T, *testing.B and *rapid.T.
type fataler interface {
	Helper()
	Fatal(...any)
}

// benchTable returns a table with the given numbers of organisations, models and engines. Engine i
// serves model i modulo the number of models.
func benchTable(tb fataler, organisations, models, engines int) *table.Table {
	tb.Helper()
	var b strings.Builder
	b.WriteString("kind,version,name,weight,key,model,domain,address,checks,memory,queue\ntable,1\n")
	for i := range models {
		fmt.Fprintf(&b, "model,,model-%d\n", i)
	}
	for i := range organisations {
		fmt.Fprintf(&b, "organisation,,organisation-%d,%d,%s,,,,,,100000\n", i, 1+i%5, table.FormatKeyHash(fmt.Sprint(i)))
	}
	for i := range engines {
		fmt.Fprintf(&b, "engine,,engine-%04d,,,model-%d,d,127.0.0.1:%d,yes,1000000\n", i, i%models, i+1)
	}
	t, err := table.Read("bench.csv", strings.NewReader(b.String()))
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

// A decisionLoop drives a reducer with a constant number of requests in flight: the benchmarks
// submit a request and end the oldest one in turn.
type decisionLoop struct {
	reducer       *Reducer
	now           time.Time
	id            ID
	running       []ID // dispatched requests, oldest first
	organisations []string
	models        []string
}

func newDecisionLoop(tb testing.TB, organisations, models, engines, running int) *decisionLoop {
	tb.Helper()
	l := &decisionLoop{reducer: NewReducer(WithPrefillBurst(0), WithMaxLoadAge(0)), now: benchEpoch}
	l.reducer.Reduce(l.now, TableChange{Table: benchTable(tb, organisations, models, engines)})
	for i := range organisations {
		l.organisations = append(l.organisations, fmt.Sprintf("organisation-%d", i))
	}
	for i := range models {
		l.models = append(l.models, fmt.Sprintf("model-%d", i))
	}
	for range running {
		l.submit(tb)
	}
	return l
}

// submit submits a request, which must be dispatched at once.
func (l *decisionLoop) submit(tb testing.TB) {
	l.id++
	l.now = l.now.Add(time.Millisecond)
	n := int(l.id)
	effects := l.reducer.Reduce(l.now, Submit{
		ID:           l.id,
		Organisation: l.organisations[n%len(l.organisations)],
		Pool:         l.models[n%len(l.models)],
		Route:        "chat",
		PromptTokens: 300 + n%200,
	})
	if len(effects) == 0 || effects[0].Kind != EffectDispatch {
		tb.Fatalf("request %d was not dispatched: effects %v", l.id, effects)
	}
	l.running = append(l.running, l.id)
}

// endOldest ends the request that was dispatched first.
func (l *decisionLoop) endOldest() {
	id := l.running[0]
	l.running = l.running[1:]
	l.reducer.Reduce(l.now, Ended{ID: id, Usage: target.Usage{Prompt: 300, Output: 20 + int(id)%400}})
}

// BenchmarkDecide measures one decision: the submission and dispatch of a request, and the end
// of an older one.
func BenchmarkDecide(b *testing.B) {
	for _, s := range []struct{ organisations, models, engines int }{
		{10, 1, 18}, {10, 1, 64}, {100, 8, 128}, {400, 8, 512}, {1600, 8, 957}, {1600, 8, 6700},
	} {
		b.Run(fmt.Sprintf("organisations=%d/models=%d/targets=%d", s.organisations, s.models, s.engines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := newDecisionLoop(b, s.organisations, s.models, s.engines, 400)
			for range 4 * s.organisations { // warm-up: creates the state of every organisation and model
				l.submit(b)
				l.endOldest()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.submit(b)
				l.endOldest()
			}
			b.StopTimer()
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "state-KiB")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkProgress measures the processing of one stream's sample with a new token. One operation
// in 400 reduces a Progress event with a sample of each of the 400 streams.
func BenchmarkProgress(b *testing.B) {
	const streams = 400
	l := newDecisionLoop(b, 10, 1, 18, streams)
	samples := make([]Sample, streams)
	for i, id := range l.running {
		samples[i].ID = id
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		if n%streams == 0 {
			l.now = l.now.Add(40 * time.Millisecond)
			for i := range samples {
				samples[i].Tokens, samples[i].LastToken = n/streams+1, l.now
			}
			l.reducer.Reduce(l.now, Progress{Samples: samples})
		}
	}
}
