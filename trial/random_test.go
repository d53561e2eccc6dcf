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
	seedFlag = flag.Uint64("seed", 1, "seed of the first random trial")
	runsFlag = flag.Int("runs", 12, "random trials")
	spanFlag = flag.Duration("duration", 8*time.Second, "virtual time of a random trial")
)

// randomConfig draws sizes, load, caps and faults.
func randomConfig(seed uint64, span time.Duration) Config {
	r := rand.New(rand.NewPCG(seed, 3))
	c := Config{
		Hosts:      1 + r.IntN(6),
		Engines:    1 + r.IntN(8),
		Spec:       standin.Spec{Memory: 5000 + r.IntN(40_000), Most: 20 + r.IntN(200)},
		Load:       0.3 + 1.2*r.Float64(),
		Span:       span,
		Warm:       time.Second,
		Seed:       seed,
		Median:     20 + 200*r.Float64(),
		PromptMean: 100 + r.IntN(600),
		LoadEvery:  time.Duration(100+r.IntN(900)) * time.Millisecond,
		LoadLag:    time.Duration(r.IntN(1500)) * time.Millisecond,
		PeerEvery:  time.Duration(r.IntN(2)) * 100 * time.Millisecond,
		Link:       time.Duration(1+r.IntN(5000)) * time.Microsecond,
		Check:      50,
	}
	for i := range 2 + r.IntN(5) {
		m := Organisation{Name: fmt.Sprintf("m%d", i), Weight: 1 + float64(r.IntN(5)), Part: 0.1 + r.Float64()/2, Queue: 5 + r.IntN(500)}
		if r.IntN(3) == 0 {
			m.Limit = c.Hosts + r.IntN(30)
		}
		c.Organisations = append(c.Organisations, m)
	}
	for range r.IntN(7) {
		f := Fault{At: time.Duration(r.Int64N(int64(span))), Kind: FaultKind(r.IntN(3))}
		f.Target = r.IntN(c.Engines)
		if f.Kind == FaultMute {
			f.Target, f.For = r.IntN(c.Hosts), time.Duration(r.Int64N(int64(span)))
		}
		c.Faults = append(c.Faults, f)
	}
	return c
}

// Random trials with faults break no invariant: tokens once, in order, from one
// generation; nothing sent again that may run; "not run" true; no new work to an
// engine that has been leaving for seconds; caps kept; books complete.
func TestRandomTrials(t *testing.T) {
	events := 0
	for i := range *runsFlag {
		seed := *seedFlag + uint64(i)
		c := randomConfig(seed, *spanFlag)
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

// A cap that is broken on purpose is seen.
func TestTrialSeesABrokenCap(t *testing.T) {
	c := randomConfig(1, *spanFlag)
	c.Organisations[0].Limit = 3
	trial, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	trial.config.Organisations[0].Limit = 1
	if _, err := trial.Run(); err == nil {
		t.Fatal("nothing was seen")
	}
}
