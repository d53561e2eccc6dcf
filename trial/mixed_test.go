package trial

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/standin"
)

// mixedLoad returns the load of package precedence: 4 hosts, each of which places requests at 44 engines, and ten
// organisations, one of which sends 40% of two kinds of requests.
func mixedLoad(seed uint64) Config {
	c := Config{
		Hosts: 4, Scattered: true, Engines: 32, Seed: seed, Duration: 60 * time.Second,
		Spec: standin.Spec{
			MemoryTokens: 26_851, MaxSequences: 24, MaxPrefillTokens: 112,
			BaseStepTime: 8500 * time.Microsecond, StepTimePerSequence: 120 * time.Microsecond, StepTimePerPromptToken: 71 * time.Microsecond,
		},
		LoadReportInterval: 500 * time.Millisecond, LoadReportDelay: 50 * time.Millisecond, PeerReportInterval: 100 * time.Millisecond,
		LinkDelay: time.Millisecond, EventsPerCheck: 2000,
		Options: []dispatch.Option{dispatch.WithMaxLoadAge(0), dispatch.WithStepTime(7*time.Millisecond, 120*time.Microsecond, 71*time.Microsecond)},
	}
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for i := range 10 {
		part := 0.6 / 9
		if i == 0 {
			part = 0.4
		}
		long := Kind{
			Name: "long", Rate: 24 * part, Prompt: 3000, Output: 748, Objective: seconds(4), Hold: seconds(8), Deadline: seconds(24),
			Bursts: []Burst{{seconds(12), seconds(18), 2.4}},
		}
		short := Kind{
			Name: "short", Rate: 27 * part, Prompt: 2200, Output: 8, Objective: seconds(1.5), Hold: seconds(2), Deadline: seconds(6),
			Bursts: []Burst{{seconds(24), seconds(34), 2.5}},
		}
		if i == 1 {
			long.Bursts = append(long.Bursts, Burst{seconds(36), seconds(42.5), 7.5})
			short.Bursts = append(short.Bursts, Burst{seconds(36), seconds(42.5), 7.5})
		}
		for _, k := range []*Kind{&long, &short} {
			c.Organisations = append(c.Organisations, Organisation{Name: fmt.Sprint("o", i), Weight: 1, Kind: k, End: 48 * time.Second})
		}
	}
	return c
}

// runMixed runs a load with and without the rules for mixed pools, and returns the counts by kind.
func runMixed(t *testing.T, c Config) (before, after map[string]*KindResult) {
	after = runKinds(t, c)
	c.Unrouted = true
	return runKinds(t, c), after
}

// runKinds runs a load and returns the counts by kind.
func runKinds(t *testing.T, c Config) map[string]*KindResult {
	tr, err := New(c)
	qt.Assert(t, err, qt.IsNil)
	result, err := tr.Run()
	qt.Assert(t, err, qt.IsNil)
	for name, k := range result.Kinds {
		t.Logf("seed %d unrouted=%v %s: %+v, %d preemptions", c.Seed, c.Unrouted, name, *k, result.Preemptions)
	}
	return result.Kinds
}

// domainLoad is a quarter of mixedLoad in one failure domain of 8 engines, with a coordinator.
func domainLoad(seed uint64) Config {
	c := mixedLoad(seed)
	c.Hosts, c.Scattered, c.Engines = 3, false, 8
	for _, org := range c.Organisations {
		org.Kind.Rate /= 4
	}
	return c
}

// shortValue is the value of a short request on time, in long ones: its value per token and second of memory is a
// hundred times that of a long one, which holds 40 times as many token seconds.
const shortValue = 2.5

// Urgent requests wait behind long ones, and for peers, although engines have room for them.
func TestUrgentRequestsGoFirst(t *testing.T) {
	var values [2]float64
	var shorts, shortsOnTime int
	for _, c := range []Config{mixedLoad(1), domainLoad(1), domainLoad(2), domainLoad(3)} {
		before, after := runMixed(t, c)
		for i, k := range []map[string]*KindResult{before, after} {
			values[i] += shortValue*float64(k["short"].OnTime) + float64(k["long"].OnTime)
		}
		shorts += after["short"].Submitted
		shortsOnTime += after["short"].OnTime
		qt.Check(t, after["long"].OnTime > before["long"].OnTime*8/10, qt.IsTrue)
	}
	qt.Check(t, values[1] > 1.2*values[0], qt.IsTrue, qt.Commentf("%v", values))
	qt.Check(t, shortsOnTime > shorts*9/10, qt.IsTrue, qt.Commentf("%d of %d", shortsOnTime, shorts))
}

// Callers that are refused in a burst come back. Without an order they find no memory again: a promise and precedence
// before the requests that arrived after the refusal let most of them be served.
func TestRefusedCallersAreServedOnReturn(t *testing.T) {
	refusals, failed := 0, [2]int{}
	for seed := range uint64(4) {
		c := domainLoad(seed + 5)
		c.Engines, c.Duration = 11, 45*time.Second
		for i := range c.Organisations {
			o := &c.Organisations[i]
			o.End, o.Kind.Retries, o.Kind.Bursts = 36*time.Second, 1, nil
			if o.Kind.Name == "long" {
				o.Kind.Bursts = []Burst{{12 * time.Second, 18 * time.Second, 2.4}}
			}
		}
		before, after := runMixed(t, c)
		failed[0] += before["long"].Failed + before["short"].Failed
		failed[1] += after["long"].Failed + after["short"].Failed
		refusals += after["long"].Refusals + after["short"].Refusals
	}
	qt.Check(t, failed[1] < failed[0]/4, qt.IsTrue, qt.Commentf("%v", failed))
	qt.Check(t, failed[1] < refusals/8, qt.IsTrue, qt.Commentf("%d of %d", failed[1], refusals))
}

// Under a load of about twice the capacity, a part of the requests of each organisation, of each kind, of the largest tenth
// of a kind and of callers that come back, or repeat one subject, is served, also if one organisation states a short
// objective for all of its requests.
func TestMixedPoolStarvesNone(t *testing.T) {
	for seed := range uint64(4) {
		c := mixedLoad(10 + seed)
		c.Hosts, c.Scattered, c.Engines, c.Organisations, c.Duration = 3, false, 4, nil, 160*time.Second
		for i := range 4 {
			org := fmt.Sprint("o", i)
			kinds := []Kind{
				{Name: org + "/long", Rate: 1.3, Prompt: 3000, Output: 748, Objective: 4 * time.Second, Hold: 8 * time.Second},
				{Name: org + "/largest", Rate: 0.15, Prompt: 9000, Output: 748, Objective: 4 * time.Second, Hold: 8 * time.Second},
				{Name: org + "/short", Rate: 2, Prompt: 2200, Output: 8, Objective: 1500 * time.Millisecond, Hold: 2 * time.Second},
			}
			if i == 3 {
				kinds[0].Rate, kinds[0].Objective, kinds[0].Hold = 3, 1500*time.Millisecond, 2*time.Second
			}
			for _, k := range kinds {
				k.Deadline, k.Retries, k.OneSubject = 24*time.Second, i%2, i >= 2
				c.Organisations = append(c.Organisations, Organisation{Name: org, Weight: 1, Kind: &k, End: 150 * time.Second})
			}
		}
		after := runKinds(t, c)
		for name, k := range after {
			qt.Check(t, k.OnTime+k.Late > 0 && k.OnTime+k.Late >= k.Submitted/20, qt.IsTrue, qt.Commentf("%s: %+v", name, *k))
		}
		others := 0
		for _, name := range []string{"o0/long", "o1/long", "o2/long"} {
			others += after[name].OnTime + after[name].Late
		}
		short := after["o3/long"] // o3 states a short objective
		qt.Check(t, 3*(short.OnTime+short.Late) <= others*3/2, qt.IsTrue, qt.Commentf("%+v, others %d", *short, others))
	}
}
