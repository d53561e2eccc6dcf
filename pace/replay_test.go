package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type (
	// replay is the load of the package comment without a network: the engines of one failure domain, each
	// replaced after 20 s.
	replay struct {
		rng     *rand.Rand
		pool    Pool
		now     time.Duration
		engines []*replayEngine
		speeds  [2]time.Duration // token intervals of a fast and a slow engine
		paced   bool             // whether the choice counts the expected late streams
		result  replayResult
	}

	replayEngine struct {
		Speed
		interval time.Duration
		ends     time.Duration
		prompts  int
		streams  []*replayStream
	}

	replayStream struct {
		long    bool
		end     time.Duration
		prompts int // of the engine when the stream began
		late    bool
	}

	replayResult struct{ long, late, longFast, short, shortFast, choices int }
)

const (
	replayEngines   = 11
	replayObjective = 180 * time.Millisecond / 4
	replayHazard    = 0.2 // of a slow engine
	replayFast      = 4 * time.Millisecond
	replaySlow      = 8500 * time.Microsecond
)

func (r *replay) newEngine() *replayEngine {
	interval := r.speeds[1]
	if r.rng.IntN(4) == 0 {
		interval = r.speeds[0]
	}
	return &replayEngine{interval: interval, ends: r.now + time.Duration(10+r.rng.IntN(20))*time.Second}
}

// run replays the load for the given time and returns what became of the streams.
func (r *replay) run(life time.Duration) replayResult {
	const tick = 20 * time.Millisecond
	for range replayEngines {
		r.engines = append(r.engines, r.newEngine())
	}
	for ; r.now < life; r.now += tick {
		for i, e := range r.engines {
			if e.ends <= r.now {
				r.engines[i] = r.newEngine()
				continue
			}
			r.step(e, tick)
		}
		if r.now%(250*time.Millisecond) < tick {
			r.refresh()
		}
		for _, long := range []bool{true, false} {
			if r.rng.Float64() < 2.5*tick.Seconds() {
				r.place(long)
			}
		}
	}
	return r.result
}

// step delivers the tokens of an engine's streams and ends those that are complete.
func (r *replay) step(e *replayEngine, tick time.Duration) {
	running := e.streams[:0]
	for _, s := range e.streams {
		elapsed := time.Duration(float64(tick) * (0.8 + 0.4*r.rng.Float64()))
		if r.rng.Float64() < 0.1 {
			elapsed *= 2 // a prompt is read
		}
		if e.isSlowed(r.now) {
			elapsed = elapsed * 5 / 2
		}
		e.Observe(r.now, 4, elapsed*4*e.interval/tick, 1)
		if s.end > r.now {
			running = append(running, s)
			continue
		}
		if s.long {
			idle, _ := e.Idle()
			r.pool.Finished(Outcome{Idle: idle, Objective: replayObjective, Prompts: e.prompts - s.prompts, Missed: s.late})
			r.result.long++
			if s.late {
				r.result.late++
			}
			if e.interval == replayFast {
				r.result.longFast++
			}
		}
	}
	e.streams = running
}

// isSlowed reports whether the engine is slowed down for the 600 ms that contain the given time: one such period in seven is.
func (e *replayEngine) isSlowed(now time.Duration) bool {
	return (int(now/(600*time.Millisecond))*2654435761+int(e.ends.Seconds())*40503)%7 == 0
}

func (e *replayEngine) longStreams() (n int) {
	for _, s := range e.streams {
		if s.long {
			n++
		}
	}
	return n
}

func (r *replay) refresh() {
	engines := make([]Engine, len(r.engines))
	for i, e := range r.engines {
		idle, settled := e.Idle()
		engines[i] = Engine{Idle: idle, Settled: settled, Memory: 26_851, Streams: e.longStreams()}
	}
	r.pool.Refresh(engines)
}

// place sends a request to the engine at the lowest cost: that of fewest streams and, if the replay is paced, of the
// expected late streams.
func (r *replay) place(long bool) {
	memory, tokens, objective := 2200.0, 10, time.Duration(0)
	if long {
		memory, tokens, objective = 3400, 740, replayObjective
	}
	r.result.choices++
	var best *replayEngine
	lowest := 0.0
	start := r.rng.IntN(len(r.engines))
	for i := range r.engines {
		e := r.engines[(start+i)%len(r.engines)]
		if len(e.streams) >= 7 {
			continue
		}
		cost := 0.1 * float64(len(e.streams))
		if r.paced && r.pool.Uneven() {
			idle, _ := e.Idle()
			cost += 6 * r.pool.Late(r.now, &Candidate{
				Idle: idle, Running: []Load{{replayObjective, e.longStreams()}}, Reads: true,
				Objective: objective, Memory: memory, Residence: 200*time.Millisecond + time.Duration(tokens)*8*time.Millisecond,
			})
		}
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return
	}
	for _, s := range best.streams {
		s.late = s.late || best.interval == replaySlow && r.rng.Float64() < replayHazard
	}
	best.prompts++
	r.pool.Started(r.now, objective, memory)
	if !long {
		r.result.short++
		if best.interval == replayFast {
			r.result.shortFast++
		}
	}
	best.streams = append(best.streams, &replayStream{
		long: long, end: r.now + 200*time.Millisecond + time.Duration(tokens)*best.interval, prompts: best.prompts,
	})
}

func newReplay(seed uint64, fast time.Duration, paced bool) *replay {
	return &replay{rng: rand.New(rand.NewPCG(seed, 1)), speeds: [2]time.Duration{fast, replaySlow}, paced: paced}
}

// Guards against streams with long outputs that are spread over slow engines although the fast ones have
// capacity for them, and against short requests that take this capacity.
func TestUnevenEngines(t *testing.T) {
	c := qt.New(t)
	var plain, paced replayResult
	for seed := range uint64(5) {
		plain.add(newReplay(seed, replayFast, false).run(100 * time.Second))
		paced.add(newReplay(seed, replayFast, true).run(100 * time.Second))
	}
	c.Logf("without: %+v, with: %+v", plain, paced)
	c.Check(fraction(paced.late, paced.long) < 0.6*fraction(plain.late, plain.long), qt.IsTrue)
	c.Check(fraction(paced.longFast, paced.long) > 1.3*fraction(plain.longFast, plain.long), qt.IsTrue)
	c.Check(fraction(paced.shortFast, paced.short) < fraction(plain.shortFast, plain.short), qt.IsTrue)
}

// Guards against a choice that changes in a pool of equal engines because of noise in their intervals.
func TestEvenEngines(t *testing.T) {
	c := qt.New(t)
	r := newReplay(1, replaySlow, true)
	c.Check(r.run(100*time.Second), qt.Equals, newReplay(1, replaySlow, false).run(100*time.Second))
	c.Check(r.pool.Uneven(), qt.IsFalse)
}

func (r *replayResult) add(o replayResult) {
	r.long, r.late, r.longFast = r.long+o.long, r.late+o.late, r.longFast+o.longFast
	r.short, r.shortFast, r.choices = r.short+o.short, r.shortFast+o.shortFast, r.choices+o.choices
}

func fraction(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// Guards against moves to engines that must read prompts before they continue the stream, and against prompts at engines
// to which a stream is moving.
func TestMovesAndPromptsAreKeptApart(t *testing.T) {
	c := qt.New(t)
	r := newReplay(1, replayFast, true)
	r.run(20 * time.Second)
	late := func(arriving int, unread time.Duration, reads bool) float64 {
		return r.pool.Late(r.now, &Candidate{
			Idle: replayFast, Arriving: arriving, Unread: unread, Reads: reads, Objective: replayObjective, Pause: 4 * replayObjective, Residence: time.Second,
		})
	}
	c.Check(late(0, 0, false) < 0.1, qt.IsTrue)
	c.Check(late(0, 4*replayObjective, false), qt.Equals, 1.0)
	c.Check(late(1, 0, true) > 0.7, qt.IsTrue)
	c.Check(late(1, 0, false) < 0.1, qt.IsTrue)
}
