package trial

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonlink/wigeonlink/standin"
)

var (
	seedFlag     = flag.Uint64("seed", 1, "seed of the first random trial")
	runsFlag     = flag.Int("runs", 12, "number of random trials")
	durationFlag = flag.Duration("duration", 8*time.Second, "virtual time of a random trial")
)

// randomConfig returns a random configuration of a trial: sizes, load, limits and faults. It
// depends only on the seed and on span, the length of the trial.
func randomConfig(seed uint64, span time.Duration) Config {
	r := rand.New(rand.NewPCG(seed, 3))
	c := Config{
		Hosts:              1 + r.IntN(6),
		Engines:            1 + r.IntN(8),
		Spec:               standin.Spec{MemoryTokens: 5000 + r.IntN(40_000), MaxSequences: 20 + r.IntN(200)},
		LoadFactor:         0.3 + 1.2*r.Float64(),
		Duration:           span,
		WarmUp:             time.Second,
		Seed:               seed,
		MedianOutput:       20 + 200*r.Float64(),
		MeanPrompt:         100 + r.IntN(600),
		LoadReportInterval: time.Duration(100+r.IntN(900)) * time.Millisecond,
		LoadReportDelay:    time.Duration(r.IntN(1500)) * time.Millisecond,
		PeerReportInterval: time.Duration(r.IntN(2)) * 100 * time.Millisecond,
		LinkDelay:          time.Duration(1+r.IntN(5000)) * time.Microsecond,
		EventsPerCheck:     50,
	}
	for i := range 2 + r.IntN(5) {
		org := Organisation{Name: fmt.Sprintf("m%d", i), Weight: 1 + float64(r.IntN(5)), LoadFraction: 0.1 + r.Float64()/2, MaxQueued: 5 + r.IntN(500)}
		if r.IntN(3) == 0 {
			org.MaxInFlight = c.Hosts + r.IntN(30)
		}
		c.Organisations = append(c.Organisations, org)
	}
	for range r.IntN(7) {
		f := Fault{At: time.Duration(r.Int64N(int64(span))), Kind: FaultKind(r.IntN(3))}
		f.Index = r.IntN(c.Engines)
		if f.Kind == FaultDropReports {
			f.Index, f.Duration = r.IntN(c.Hosts), time.Duration(r.Int64N(int64(span)))
		}
		c.Faults = append(c.Faults, f)
	}
	return c
}

// Random trials with faults must violate none of these invariants:
//   - Each token is delivered once and in order, and all tokens of a request are from one
//     attempt.
//   - A request is not dispatched again while an earlier attempt may still be running.
//   - A request that is refused as not run has not run.
//   - An engine receives no request more than leavingGrace after it was announced as leaving.
//   - No organisation exceeds its limit of requests in flight.
//   - The state of each reducer is consistent.
func TestRandomTrials(t *testing.T) {
	events := 0
	for i := range *runsFlag {
		seed := *seedFlag + uint64(i)
		c := randomConfig(seed, *durationFlag)
		trial, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		r, err := trial.Run()
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		events += r.Events + r.Tokens
	}
	t.Logf("%d events", events)
}

// The reducers enforce a limit of 3 requests in flight while the trial checks a limit of 1, so
// the trial must report a violation.
func TestTrialDetectsExceededInFlightLimit(t *testing.T) {
	c := randomConfig(1, *durationFlag)
	c.Organisations[0].MaxInFlight = 3
	trial, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	trial.config.Organisations[0].MaxInFlight = 1
	if _, err := trial.Run(); err == nil {
		t.Fatal("trial reported no violation of the limit of requests in flight")
	}
}
