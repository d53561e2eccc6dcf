package dispatch

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/target"
)

// crashWide lets an engine crash that has begun the given number of streams, each with the given number of parts of its own. It returns the
// bytes that the reducer has allocated since the crash, and the effects of its discovery.
func crashWide(t *testing.T, streams, parts int) (allocated uint64, suspected []Effect) {
	f := newFleetTest(t, 1)
	for n := range streams {
		q := Submit{ID: ID(1 + n), Organisation: "one", Pool: "model", NonIdempotent: true, Route: "reports", PromptTokens: 10, MaxOutputTokens: 20, MaxAttempts: 1}
		for i := range parts {
			q.Parts = append(q.Parts, quarantine.Part{Pool: "model", ID: uint64(n*parts + i)})
		}
		q.Parts = append(q.Parts, quarantine.Part{Pool: "model", ID: uint64(n), Organisation: "one"})
		f.reduce(0, q)
		f.requireEffect(EffectDispatch)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n := range streams {
		f.reduce(0, AttemptFailed{ID: ID(1 + n), Certainty: target.CertaintyUnknown, Ended: true})
	}
	f.reduce(10*time.Millisecond, Probed{Target: "engine-0", Gone: true})
	runtime.ReadMemStats(&after)
	for _, e := range f.effects {
		if e.Kind == EffectSuspected {
			suspected = append(suspected, e)
		}
	}
	return after.TotalAlloc - before.TotalAlloc, suspected
}

// The crash of an engine that runs prompts of thousands of parts stopped all decisions of the host for seconds: the parts were compared with each other,
// copied for each stream, and each was logged (review/8).
func TestCrashOfEngineWithWidePromptsStopsDecisions(t *testing.T) {
	const (
		streams = 24
		parts   = 1000
	)
	c := qt.New(t)
	half, _ := crashWide(t, streams/2, parts)
	whole, suspected := crashWide(t, streams, parts)
	c.Check(float64(whole) <= 2.5*float64(half), qt.IsTrue, qt.Commentf("%d and %d bytes for twice as many streams", half, whole))
	c.Check(suspected, qt.HasLen, maxSuspectedEffects)
	requests := 0
	for _, e := range suspected {
		if e.Part.IsRequest() {
			requests++
		}
	}
	c.Check(requests, qt.Equals, streams)
}

// BenchmarkCrashOfEngineWithWidePrompts measures the largest crash that callers can cause: an engine with 24 streams of
// gateway.MaxPromptParts parts each.
func BenchmarkCrashOfEngineWithWidePrompts(b *testing.B) {
	var parts partSet
	lists := make([][]quarantine.Part, 24)
	for n := range lists {
		for i := range 256 {
			lists[n] = append(lists[n], quarantine.Part{Pool: "model", ID: uint64(n<<16 + i)})
		}
	}
	for b.Loop() {
		parts = partSet{}
		for _, l := range lists {
			parts.add(l)
		}
		var list quarantine.List
		list.Crashed(benchEpoch, 1, parts.list)
	}
}
