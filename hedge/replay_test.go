package hedge

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type (
	// replay is a plain service in virtual time: four targets of eight slots, a work time of 30 to 60 ms that a function prolongs, an
	// objective of 150 ms and a timeout of 3 s. As in package dispatch, the target with the fewest attempts in flight is chosen, and one
	// that has lost against a second attempt less often for some seconds.
	replay struct {
		policy   Policy
		random   *rand.Rand
		requests int
		interval time.Duration                                               // mean time between two requests
		delayOf  func(r *replay, at time.Duration, target int) time.Duration // beyond the usual work time
		events   []replayEvent

		running   [replayTargets]int
		overtaken [replayTargets]float64       // decayed rate of attempts that lost against a second one
		recorded  [replayTargets]time.Duration // time of the latest change of overtaken

		extra, won int
		work       time.Duration // time for which targets worked
		took       []time.Duration
		history    []replayRequest // submissions and extra attempts in order
	}

	replayEvent struct {
		at time.Duration
		do func()
	}

	replayRequest struct {
		organisation string
		extra        bool // an extra attempt, not a submission
	}
)

const (
	replayTargets = 4
	replaySlots   = 8
	replayTimeout = 3 * time.Second
	replayGoal    = 150 * time.Millisecond
)

var replayKey = Key{"plain", "lookup"}

func (r *replay) schedule(at time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(r.events, at, func(e replayEvent, at time.Duration) int { return cmp.Compare(e.at, at) })
	r.events = slices.Insert(r.events, i, replayEvent{at, do})
}

// serviceTime returns the time that a target takes for a request from the given time on.
func (r *replay) serviceTime(at time.Duration, target int) time.Duration {
	return 30*time.Millisecond + time.Duration(r.random.Int64N(int64(30*time.Millisecond))) + r.delayOf(r, at, target)
}

// run replays the requests and returns the 99th percentile of the time to their responses.
func (r *replay) run() time.Duration {
	r.random = rand.New(rand.NewPCG(7, 9))
	r.arrive(0, 0)
	for len(r.events) > 0 {
		e := r.events[0]
		r.events = r.events[1:]
		e.do()
	}
	slices.Sort(r.took)
	return r.took[len(r.took)*99/100]
}

// arrive submits the nth request, and schedules the next one.
func (r *replay) arrive(n int, at time.Duration) {
	if n < r.requests {
		r.submit(at, []string{"large", "large", "large", "small"}[n%4])
		next := at + time.Duration(r.random.ExpFloat64()*float64(r.interval))
		r.schedule(next, func() { r.arrive(n+1, next) })
	}
}

// submit sends a request to the target with the fewest attempts in flight, and to another one after the policy's delay.
func (r *replay) submit(at time.Duration, organisation string) {
	r.policy.Earn(replayKey.Pool, organisation)
	r.history = append(r.history, replayRequest{organisation, false})
	first := r.choose(at, -1)
	end := at + min(r.serviceTime(at, first), replayTimeout)
	r.running[first]++
	delay, known := r.policy.Delay(replayKey, replayGoal)
	if !known || at+delay >= end {
		r.schedule(end, func() { r.finish(at, at, end, first) })
		return
	}
	r.schedule(at+delay, func() { r.hedge(at, at+delay, end, first, organisation) })
}

func (r *replay) hedge(at, now, end time.Duration, first int, organisation string) {
	second := r.choose(now, first)
	verdict := r.policy.Decide(replayKey, Situation{
		Organisation: organisation, Elapsed: now - at, Left: at + replayTimeout - now, Objective: replayGoal,
		InFlight: true, AttemptsLeft: true, HasTarget: r.running[second] < replaySlots, MayRetry: true,
	})
	if verdict != Send {
		r.schedule(end, func() { r.finish(at, at, end, first) })
		return
	}
	r.extra++
	r.history = append(r.history, replayRequest{organisation, true})
	r.running[second]++
	secondEnd := now + r.serviceTime(now, second)
	over := min(end, secondEnd)
	r.schedule(over, func() {
		if secondEnd < end {
			r.won++
			rate := r.overtakenAt(first, over)
			r.overtaken[first], r.recorded[first] = rate+0.2*(1-rate), over
			r.policy.ObserveUnfinished(replayKey, over-at, replayGoal)
			r.finish(at, now, over, second)
			r.running[first]--
			r.work += over - at
			return
		}
		r.finish(at, at, over, first)
		r.running[second]--
		r.work += over - now
	})
}

// finish ends a request whose answer, sent at began, has come from a target.
func (r *replay) finish(at, began, end time.Duration, target int) {
	r.running[target]--
	r.took = append(r.took, end-at)
	r.work += end - began
	if end-at < replayTimeout {
		r.policy.Observe(replayKey, end-began)
	}
}

// choose returns the target with the lowest cost except one.
func (r *replay) choose(at time.Duration, except int) int {
	best, lowest := -1, math.Inf(1)
	start := r.random.IntN(replayTargets)
	for i := range replayTargets {
		k := (start + i) % replayTargets
		cost := float64(r.running[k]) + 12*r.overtakenAt(k, at)
		if k != except && cost < lowest {
			best, lowest = k, cost
		}
	}
	return best
}

func (r *replay) overtakenAt(target int, at time.Duration) float64 {
	return r.overtaken[target] * math.Exp(-(at-r.recorded[target]).Seconds()/4)
}

// largestOverdraft returns the most by which the extra attempts since the start, or those of an organisation in a stretch of its
// consecutive requests, exceed the fraction of the requests.
func (r *replay) largestOverdraft(fraction float64) float64 {
	total, largest := 0.0, 0.0
	current := map[string]float64{}
	for _, e := range r.history {
		if e.extra {
			total++
			current[e.organisation]++
		} else {
			total -= fraction
			current[e.organisation] = max(current[e.organisation]-fraction, 0)
		}
		largest = max(largest, total, current[e.organisation])
	}
	return largest
}

func pausing(_ *replay, at time.Duration, target int) time.Duration {
	if into := at % (4 * time.Second); target == 0 && into < time.Second {
		return time.Second - into
	}
	return 0
}

func oneSlow(r *replay, _ time.Duration, target int) time.Duration {
	if target == 0 && r.random.IntN(10) == 0 {
		return 2 * time.Second
	}
	return 0
}

func allSlow(_ *replay, at time.Duration, _ int) time.Duration {
	if at > 60*time.Second {
		return 200 * time.Millisecond
	}
	return 0
}

func heavyTail(r *replay, _ time.Duration, _ int) time.Duration {
	return time.Duration(float64(4*time.Millisecond) * (math.Pow(r.random.Float64(), -1/1.1) - 1)) // Pareto
}

// Replays of a service without and with extra attempts. They guard against a rule that does not shorten the slowest
// answers, that sends more than the budget in any stretch of requests, or that adds work where all targets are slow.
func TestReplays(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		delayOf  func(*replay, time.Duration, int) time.Duration
		fraction float64
		gain     float64 // least ratio of the 99th percentiles without and with extra attempts
		work     float64 // largest ratio of the targets' work with and without
	}{
		{"one target pauses", 50 * time.Millisecond, pausing, 0.05, 5, 1},
		{"one target is slow", 50 * time.Millisecond, oneSlow, 0.05, 10, 1},
		{"all targets are slow", 10 * time.Millisecond, allSlow, 0.05, 0.99, 1.01},
		{"heavy tail", 10 * time.Millisecond, heavyTail, 0.05, 1.3, 1.02},
		{"heavy tail, small budget", 10 * time.Millisecond, heavyTail, 0.02, 1.1, 1.01},
		{"no fault", 10 * time.Millisecond, func(*replay, time.Duration, int) time.Duration { return 0 }, 0.05, 0.99, 1.001},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			without := replay{requests: 20_000, interval: tc.interval, delayOf: tc.delayOf}
			with := replay{requests: 20_000, interval: tc.interval, delayOf: tc.delayOf, policy: NewPolicy(tc.fraction)}
			before, after := without.run(), with.run()
			work := with.work.Seconds() / without.work.Seconds()
			t.Logf("p99 %d ms -> %d ms, p99.9 %d -> %d ms, extra attempts %.4f of the requests, won %.2f of them, work x %.3f",
				before.Milliseconds(), after.Milliseconds(), without.took[19_980].Milliseconds(), with.took[19_980].Milliseconds(),
				float64(with.extra)/20_000, float64(with.won)/max(float64(with.extra), 1), work)
			c.Check(before.Seconds()/after.Seconds() >= tc.gain, qt.IsTrue)
			c.Check(work <= tc.work, qt.IsTrue)
			c.Check(with.largestOverdraft(tc.fraction) <= 1+1e-9, qt.IsTrue, qt.Commentf("%g", with.largestOverdraft(tc.fraction)))
		})
	}
}
