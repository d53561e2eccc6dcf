// Package pace forecasts which streams of a pool of engines become late because of a pause between two of
// their events. The load pattern is a pool whose engines differ in speed by a factor of two: on a slow engine a
// prompt that is read beside a running stream makes the stream late with a probability of about 0.2, on a fast
// one with almost none. Streams with long outputs belong on the fast engines while these have capacity, and requests
// with short outputs, whose prompts are read beside them, do not.
//
// A Pool learns the probability from the ends of streams, and a Speed the speed of one engine from
// the progress of its streams. The package reads no clock.
package pace

import (
	"math"
	"slices"
	"time"
)

type (
	// A Pool holds what is learned of the streams and engines of one pool. The zero value is ready to use.
	Pool struct {
		buckets   [bucketCount]bucket
		objective time.Duration // pause objective of the latest stream that had one, times its events per token
		memory    float64       // decayed mean memory of the streams with an objective, in tokens
		prompts   float64       // decayed number of dispatched prompts
		promptsAt time.Duration // time to which prompts has decayed
		firstAt   time.Duration // time of the first dispatched prompt
		engines   int           // of the latest Refresh
		known     []time.Duration
		spread    Spread
		changes   int // consecutive calls of Refresh whose engines differ from what spread says of them
		scarcity  float64
	}

	// bucket holds decayed counts for a range of ratios.
	bucket struct{ misses, prompts float64 }

	// An Outcome is what is known of a stream that has ended.
	Outcome struct {
		Idle      time.Duration // idle interval of its engine; 0 if unknown
		Objective time.Duration // longest pause for which it is on time, divided by the tokens per event
		Prompts   int           // prompts that were dispatched to its engine while it ran
		Missed    bool          // whether a pause exceeded the objective
	}

	// An Engine describes an engine that accepts work.
	Engine struct {
		Idle    time.Duration // 0 if unknown
		Settled bool          // see Speed.Idle
		Memory  float64       // in tokens
		Streams int           // running streams with a pause objective
	}

	// A Spread describes how the engines of a pool differ in speed.
	Spread struct {
		Uneven                   bool
		Known                    int           // engines with a settled idle interval
		Fastest, Median, Slowest time.Duration // idle intervals of these engines
	}

	// A Load is a number of running streams that have the same pause objective.
	Load struct {
		Objective time.Duration // as in Outcome
		Streams   int
	}

	// A Candidate describes an engine as the target of one request.
	Candidate struct {
		Idle      time.Duration // idle interval of the engine; 0 if unknown
		Running   []Load        // running streams of the engine
		Reads     bool          // whether the engine reads a prompt for the request; false for a move
		Arriving  int           // streams with a pause objective that are moving to the engine
		Unread    time.Duration // time until the engine has read the prompts that wait there
		Pause     time.Duration // longest pause for which the request is on time; 0 if it has no objective
		Objective time.Duration // of the request, as in Outcome; 0 if it has none
		Memory    float64       // that the request takes, in tokens
		Residence time.Duration // expected time for which the request runs at the engine
	}
)

const (
	bucketCount   = 24
	bucketsPerOct = 2.0  // buckets for each doubling of the ratio
	lowestRatio   = 0.01 // ratio at the centre of the first bucket

	priorPrompts   = 8.0   // weight of the prior hazard, in prompts
	evidencePrompt = 400.0 // prompts after which the weight of a count has fallen by a factor of e

	unevenFactor = 1.5 // ratio of idle intervals from which a pool is uneven
	// confirmations is the number of consecutive calls of Refresh after which a pool becomes uneven, or even again. An
	// engine that reads many prompts may seem slow for a moment.
	confirmations = 4

	minKnown = 3 // engines with a settled interval below which no pool is uneven

	promptWindow = 10 * time.Second // time constant of the rate of prompts
	memoryWeight = 0.05             // weight of the latest stream in the mean memory

	// arrivalHazard is the probability that a prompt makes a stream late that is moving to its engine. An engine
	// continues a moved stream after the prompts that it has got before, and reading a prompt takes about as long as a
	// move.
	arrivalHazard = 0.8

	// priceShare is the fraction of the lateness that a fast engine's capacity saves which a request is charged for
	// taking it. Below 1 a long stream, which is charged for its capacity as well, keeps a gain from a fast engine.
	priceShare = 0.5
)

// Started records that a prompt has been dispatched to an engine of the pool, for a request with the given pause
// objective, or 0, and memory demand.
func (p *Pool) Started(now, objective time.Duration, memory float64) {
	if p.prompts == 0 {
		p.firstAt = now
	}
	p.decayPrompts(now)
	p.prompts++
	if objective == 0 {
		return
	}
	p.objective = objective
	if p.memory == 0 {
		p.memory = memory
	}
	p.memory += memoryWeight * (memory - p.memory)
}

func (p *Pool) decayPrompts(now time.Duration) {
	p.prompts *= math.Exp(-(now - p.promptsAt).Seconds() / promptWindow.Seconds())
	p.promptsAt = now
}

// Finished learns from a stream that has ended. A stream without prompts beside it shows nothing.
func (p *Pool) Finished(o Outcome) {
	if o.Idle == 0 || o.Objective == 0 || o.Prompts == 0 {
		return
	}
	ratio, n := ratioOf(o.Idle, o.Objective), float64(o.Prompts)
	misses := 0.0
	if o.Missed {
		// The expected number of prompts that made the stream late, given that at least one did.
		h := p.hazard(ratio)
		misses = n * h / (1 - math.Pow(1-h, n))
	}
	i, upper := position(ratio)
	for k, weight := range [2]float64{1 - upper, upper} {
		b := &p.buckets[i+k]
		keep := math.Exp(-weight * n / evidencePrompt)
		b.misses = b.misses*keep + weight*misses
		b.prompts = b.prompts*keep + weight*n
	}
}

// Refresh takes over the engines that accept work.
func (p *Pool) Refresh(engines []Engine) {
	p.engines, p.known = len(engines), p.known[:0]
	for _, e := range engines {
		if e.Settled {
			p.known = append(p.known, e.Idle)
		}
	}
	was := p.spread.Uneven
	p.spread = Spread{Uneven: was, Known: len(p.known)}
	if len(p.known) == 0 {
		return
	}
	slices.Sort(p.known)
	s := &p.spread
	s.Fastest, s.Median, s.Slowest = p.known[0], p.known[len(p.known)/2], p.known[len(p.known)-1]
	differs := len(p.known) >= minKnown && p.objective > 0 &&
		(float64(s.Slowest) >= unevenFactor*float64(s.Median) || float64(s.Median) >= unevenFactor*float64(s.Fastest))
	if differs == was {
		p.changes = 0
	} else if p.changes++; p.changes >= confirmations {
		s.Uneven, p.changes = differs, 0
	}
	if s.Uneven {
		p.scarcity = p.scarcityOf(engines)
	}
}

// scarcityOf returns the fraction of the memory of the engines with a hazard below the mean that the running streams
// with an objective would take, at most 1.
func (p *Pool) scarcityOf(engines []Engine) float64 {
	mean := p.Hazard(0, p.objective)
	streams, memory := 0, 0.0
	for _, e := range engines {
		streams += e.Streams
		if e.Idle > 0 && p.Hazard(e.Idle, p.objective) < mean {
			memory += e.Memory
		}
	}
	if memory == 0 {
		return 1
	}
	return min(1, float64(streams)*p.memory/memory)
}

// Uneven reports whether the engines of the latest Refresh differ so much in speed that the choice of an engine
// depends on it.
func (p *Pool) Uneven() bool { return p.spread.Uneven }

// Spread describes the engines of the latest Refresh.
func (p *Pool) Spread() Spread { return p.spread }

// Hazard returns the probability that a prompt that is read beside a stream with the given objective makes it late,
// on an engine with the given idle interval. For an unknown interval, 0, it is the mean over the engines of
// the pool whose interval is settled.
func (p *Pool) Hazard(idle, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	if idle > 0 {
		return p.hazard(ratioOf(idle, objective))
	}
	sum := 0.0
	for _, d := range p.known {
		sum += p.hazard(ratioOf(d, objective))
	}
	return sum / float64(max(len(p.known), 1))
}

// Late returns the expected number of streams that become late if the request is sent to the candidate: running
// streams, the request's own, and a part of those that would have been on time in the capacity that it takes.
func (p *Pool) Late(now time.Duration, c *Candidate) float64 {
	late := 0.0
	if c.Reads {
		for _, l := range c.Running {
			late += float64(l.Streams) * p.Hazard(c.Idle, l.Objective)
		}
		late += arrivalHazard * float64(c.Arriving)
	}
	rate := p.promptRate(now)
	if c.Objective > 0 {
		onTime := math.Pow(1-p.Hazard(c.Idle, c.Objective), rate*c.Residence.Seconds())
		if !c.Reads {
			onTime *= 1 - min(c.Unread.Seconds()/c.Pause.Seconds(), 1)
		}
		late += 1 - onTime
	}
	saved := p.Hazard(0, p.objective) - p.Hazard(c.Idle, p.objective)
	if saved > 0 && p.memory > 0 {
		late += priceShare * p.scarcity * saved * rate * c.Residence.Seconds() * c.Memory / p.memory
	}
	return late
}

// promptRate returns the prompts per second that one engine is expected to read.
func (p *Pool) promptRate(now time.Duration) float64 {
	if p.prompts == 0 || p.engines == 0 {
		return 0
	}
	constant := promptWindow.Seconds()
	observed := max(constant*(1-math.Exp(-(now-p.firstAt).Seconds()/constant)), 1)
	return p.prompts * math.Exp(-(now-p.promptsAt).Seconds()/constant) / observed / float64(p.engines)
}

func ratioOf(idle, objective time.Duration) float64 { return float64(idle) / float64(objective) }

// position returns the bucket below the ratio and the weight of the one above it.
func position(ratio float64) (index int, upper float64) {
	x := bucketsPerOct * math.Log2(max(ratio, lowestRatio)/lowestRatio)
	x = min(x, bucketCount-1.001)
	return int(x), x - math.Floor(x)
}

// hazard returns the learned probability at a ratio, with a prior that equals the ratio.
func (p *Pool) hazard(ratio float64) float64 {
	i, upper := position(ratio)
	misses := (1-upper)*p.buckets[i].misses + upper*p.buckets[i+1].misses
	prompts := (1-upper)*p.buckets[i].prompts + upper*p.buckets[i+1].prompts
	return min((misses+priorPrompts*ratio)/(prompts+priorPrompts), maxHazard)
}

const maxHazard = 0.95 // bounds the hazard below 1, so that no logarithm or division is undefined
