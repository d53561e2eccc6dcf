package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// parts returns parts of prompts to one pool.
func parts(ids ...uint64) []Part {
	out := make([]Part, 0, len(ids))
	for _, id := range ids {
		out = append(out, Part{Pool: "model", ID: id})
	}
	return out
}

func at(d time.Duration) time.Time { return start.Add(d) }

// Three targets crash as they begin to answer requests with part 7. The prompts share part 1, which is
// cleared by another request.
func Example() {
	var l List
	for i := range 3 {
		now := time.Date(2026, 12, 4, 12, 0, i, 0, time.UTC)
		l.Answered(now, parts(1))
		fmt.Println(l.Crashed(now, uint64(i), parts(1, 7)))
	}
	now := time.Date(2026, 12, 4, 12, 0, 3, 0, time.UTC)
	fmt.Println(l.Find(now, parts(1, 7)))
	fmt.Println(l.Find(now, parts(1, 8)))
	// Output:
	// []
	// []
	// [{model 7 }]
	// {model 7 } 14m59s
	// { 0 } 0s
}

// TestCrashes replays crashes and answers. Each step is at a second; a crash has a target.
func TestCrashes(t *testing.T) {
	const answer = 0
	type step struct {
		at     time.Duration
		target uint64 // answer means that an answer got past its beginning
	}
	second := time.Second
	cases := []struct {
		name  string
		steps []step
		want  bool
	}{
		{"two crashes", []step{{0, 1}, {second, 2}}, false},
		{"three crashes", []step{{0, 1}, {second, 2}, {2 * second, 3}}, true},
		{"a rack", []step{{0, 1}, {second / 10, 2}, {second / 5, 3}, {second / 4, 4}}, false},
		{"three racks", []step{{0, 1}, {0, 2}, {second, 3}, {second, 4}, {2 * second, 5}}, true},
		{"one target again and again", []step{{0, 1}, {second, 1}, {2 * second, 1}}, false},
		{"an answer between", []step{{0, 1}, {second, 2}, {2 * second, answer}, {3 * second, 3}}, false},
		{"an answer before", []step{{0, answer}, {second, 1}, {2 * second, 2}, {3 * second, 3}}, false},
		{"many crashes after an answer", []step{{0, answer}, {second, 1}, {2 * second, 2}, {3 * second, 3}, {4 * second, 4}, {5 * second, 5}}, true},
	}
	for _, q := range cases {
		t.Run(q.name, func(t *testing.T) {
			var l List
			for _, s := range q.steps {
				if s.target == answer {
					l.Answered(at(s.at), parts(7))
				} else {
					l.Crashed(at(s.at), s.target, parts(7))
				}
			}
			_, left := l.Find(at(10*second), parts(6, 7))
			qt.Check(t, left > 0, qt.Equals, q.want)
		})
	}
}

// A part that crashes the targets of one pool is not cleared by answers of another, nor quarantined there.
func TestPoolsAreSeparate(t *testing.T) {
	c := qt.New(t)
	var l List
	for i := range 3 {
		l.Answered(at(time.Duration(i)*time.Second), []Part{{Pool: "other", ID: 7}})
		l.Crashed(at(time.Duration(i)*time.Second), uint64(i), parts(7))
	}
	_, left := l.Find(at(3*time.Second), parts(7))
	c.Check(left > 0, qt.IsTrue)
	_, left = l.Find(at(3*time.Second), []Part{{Pool: "other", ID: 7}})
	c.Check(left, qt.Equals, time.Duration(0))
}

// A quarantine ends some time after the latest crash. One more crash then starts it again, and an answer
// clears the part.
func TestQuarantineEnds(t *testing.T) {
	c := qt.New(t)
	var l List
	for i := range 3 {
		l.Crashed(at(time.Duration(i)*time.Second), uint64(i), parts(7))
	}
	after := 2*time.Second + quarantineTime
	_, left := l.Find(at(after), parts(7))
	c.Assert(left, qt.Equals, time.Duration(0))
	c.Assert(l.Crashed(at(after), 9, parts(7)), qt.DeepEquals, parts(7))
	after += quarantineTime
	c.Assert(l.Answered(at(after), parts(7)), qt.DeepEquals, parts(7))
	c.Assert(l.Crashed(at(after+time.Second), 10, parts(7)), qt.HasLen, 0)
}

// An answer clears a part also for the crashes that other hosts report later.
func TestAnswerExcusesEarlierCrashes(t *testing.T) {
	c := qt.New(t)
	var here, there List
	for i := range 2 {
		there.Crashed(at(time.Duration(i)*time.Second), uint64(i), parts(7))
	}
	here.Answered(at(1500*time.Millisecond), parts(7))
	_, quarantined := here.Merge(at(2*time.Second), there.Records(at(2*time.Second)))
	c.Assert(quarantined, qt.HasLen, 0)
	there.Merge(at(2*time.Second), here.Records(at(2*time.Second)))
	c.Assert(there.Crashed(at(3*time.Second), 3, parts(7)), qt.HasLen, 0)
}

// randomEvents applies crashes and answers to random lists.
func randomEvents(hosts []List, random *rand.Rand) {
	for n := range 30 {
		now := at(time.Duration(n) * 400 * time.Millisecond)
		l := &hosts[random.IntN(len(hosts))]
		prompt := parts(uint64(random.IntN(4)), uint64(4+random.IntN(4)))
		if random.IntN(5) == 0 {
			l.Answered(now, prompt)
		} else {
			l.Crashed(now, random.Uint64(), prompt)
		}
	}
}

// Hosts that exchange their records in any order, some of them twice, have the same quarantines in the end.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	end := at(12 * time.Second)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		hosts := make([]List, 4)
		randomEvents(hosts, random)
		for _, i := range append(random.Perm(len(hosts)), random.Perm(len(hosts))...) {
			for j := range hosts {
				hosts[j].Merge(end, hosts[i].Records(end))
			}
		}
		for i := range hosts {
			changed, _ := hosts[i].Merge(end, hosts[0].Records(end))
			qt.Assert(t, changed, qt.IsFalse)
			for p := range uint64(8) {
				_, want := hosts[0].Find(end, parts(p))
				_, got := hosts[i].Find(end, parts(p))
				qt.Assert(t, got > 0, qt.Equals, want > 0, qt.Commentf("seed %d, part %d", seed, p))
			}
		}
	}
}

// runningRequest is a request that has not begun to be answered.
type runningRequest struct {
	parts  []Part
	target int
	begins time.Duration
}

// randomCrashes returns the targets, of the given number, that crash together.
func randomCrashes(targets int, random *rand.Rand) map[int]bool {
	lost := map[int]bool{}
	for range 1 + random.IntN(targets/3) {
		lost[random.IntN(targets)] = true
	}
	return lost
}

// Targets crash often, at random, while requests with a hundred parts of which
// some are popular run. No part may be quarantined.
func TestRandomCrashesQuarantineNothing(t *testing.T) {
	const targets, span = 12, 10 * time.Minute
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		var l List
		var running []runningRequest
		crash := time.Second
		for now := time.Duration(0); now < span; now += 50 * time.Millisecond {
			if random.IntN(4) == 0 { // five requests a second
				p := uint64(2 + min(int(random.ExpFloat64()*15), 100))
				running = append(running, runningRequest{parts(1, p), random.IntN(targets), now + 400*time.Millisecond})
			}
			var lost map[int]bool
			if now >= crash {
				lost = randomCrashes(targets, random)
				crash = now + time.Duration(random.ExpFloat64()*float64(2*time.Second))
			}
			running = slices.DeleteFunc(running, func(q runningRequest) bool {
				if lost[q.target] {
					incarnation := uint64(now)<<8 | uint64(q.target)
					qt.Assert(t, l.Crashed(at(now), incarnation, q.parts), qt.HasLen, 0, qt.Commentf("seed %d at %s", seed, now))
				} else if now >= q.begins {
					l.Answered(at(now), q.parts)
				}
				return lost[q.target] || now >= q.begins
			})
		}
	}
}

// The records take bounded memory if parts never repeat, and those of quarantined parts are kept.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	var l List
	for i := range 3 {
		l.Crashed(at(time.Duration(i)*time.Second), uint64(i), parts(7))
	}
	for i := range uint64(20_000) {
		now := at(3*time.Second + time.Duration(i)*time.Millisecond)
		l.Crashed(now, 100+i, parts(1000+i))
		l.Answered(now, parts(50_000+i))
	}
	c.Check(len(l.records) <= maxRecords, qt.IsTrue)
	c.Check(len(l.answered.current)+len(l.answered.previous) <= 2*maxRecentParts, qt.IsTrue)
	_, left := l.Find(at(30*time.Second), parts(7))
	c.Check(left > 0, qt.IsTrue)
	for i := range uint64(100) {
		l.Crashed(at(time.Minute+time.Duration(i)*time.Second), 100_000+i, parts(7))
	}
	c.Check(l.records[Part{Pool: "model", ID: 7}].Crashes, qt.HasLen, maxCrashesOfRecord)
}
