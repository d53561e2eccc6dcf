package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/pace"
)

type (
	// paceState is what a target records about the pauses of its streams.
	paceState struct {
		speed   pace.Speed
		idle    time.Duration // idle interval at the latest refresh of the pool; 0 if unknown
		running []pace.Load   // streams at the target that have a pause objective
		prompts int           // prompts dispatched to the target
		moving  int           // streams with a pause objective that are moving to the target
	}

	// poolPace is what a pool records about the pauses of its streams.
	poolPace struct {
		pace.Pool
		refreshedAt time.Duration // time of the latest refreshPace; 0 means never
		loggedAt    time.Duration // time of the latest EffectUneven; 0 means never
		logged      bool          // whether it said that the pool is uneven
	}
)

const (
	// minUnevenLog is the shortest time between two EffectUneven for a pool. It bounds the log while the intervals
	// are close to the limit.
	minUnevenLog = 5 * time.Second

	// paceRefresh is the time between two evaluations of whether a pool is uneven.
	paceRefresh = 250 * time.Millisecond

	// maxUnnoticedHazard is the hazard up to which prompts may queue at an engine beside its streams.
	maxUnnoticedHazard = 0.05

	// maxReadingFraction is the part of the objective for the first token that the reading of queued prompts may take.
	maxReadingFraction = 1.0 / 3

	lateStreamCost = 6.0 // cost of a stream that becomes late because of a pause, in seconds
)

// tokenObjective returns the pause objective of q per token of an event, or 0 if it has none.
func (r *Reducer) tokenObjective(q *request) time.Duration {
	if q.pauseObjective == 0 {
		return 0
	}
	return q.pauseObjective / time.Duration(max(r.engineOf(q).TokensPerEvent, 1))
}

// startPace records that q, which has been assigned to its target, has its prompt read there.
func (r *Reducer) startPace(q *request) {
	t := q.target
	q.paceObjective = r.tokenObjective(q)
	t.addPaced(q, 1)
	if q.plain {
		return
	}
	t.pace.prompts++
	q.paceTarget, q.promptsBefore = t, t.pace.prompts
	q.pool.pace.Started(r.now, q.paceObjective, float64(q.prompt)+q.expectedOutput/2)
}

// addPaced adds n streams with the objective of q to those that run at the target.
func (t *targetState) addPaced(q *request, n int) {
	if q.paceObjective == 0 {
		return
	}
	for i := range t.pace.running {
		if l := &t.pace.running[i]; l.Objective == q.paceObjective {
			l.Streams += n
			if l.Streams == 0 {
				t.pace.running = slices.Delete(t.pace.running, i, i+1)
			}
			return
		}
	}
	t.pace.running = append(t.pace.running, pace.Load{Objective: q.paceObjective, Streams: n})
}

// addMoving adds n streams to those with a pause objective that are moving to the target.
func (t *targetState) addMoving(q *request, n int) {
	if q.paceObjective > 0 {
		t.pace.moving += n
	}
}

// finishPace learns from the longest pause of a stream that is complete; 0 means that it is not known. A
// stream that has moved shows nothing: its prompts were read at another target, and the
// move may have made the pause.
func (r *Reducer) finishPace(q *request, longest time.Duration) {
	if q.paceObjective == 0 || longest == 0 || q.paceTarget != q.target {
		return
	}
	idle, _ := q.target.pace.speed.Idle()
	q.pool.pace.Finished(pace.Outcome{
		Idle: idle, Objective: q.paceObjective,
		Prompts: q.target.pace.prompts - q.promptsBefore, Missed: longest > q.pauseObjective,
	})
}

// observePace adds the progress of a stream to the speed of its target.
func (r *Reducer) observePace(q *request, tokens int, elapsed time.Duration) {
	t := q.target
	alone := r.options.stepBase + r.options.stepPerSequence
	beside := r.options.stepBase + time.Duration(max(t.reportedStreams(), 1)*float64(r.options.stepPerSequence))
	t.pace.speed.Observe(r.now, tokens, elapsed, float64(alone)/float64(max(beside, 1)))
}

// refreshPace evaluates, at most once in paceRefresh, how the targets of a pool differ in speed. Only those of the
// host's failure domain count: a host sees few streams and prompts at the others.
func (r *Reducer) refreshPace(p *pool) {
	if p.pace.refreshedAt != 0 && r.now-p.pace.refreshedAt < paceRefresh {
		return
	}
	p.pace.refreshedAt = max(r.now, 1)
	r.paceEngines = r.paceEngines[:0]
	for _, t := range p.targets {
		if !t.acceptsWork(r.now, r.options.maxLoadAge) {
			continue
		}
		idle, settled := t.pace.speed.Idle()
		t.pace.idle = idle
		if r.inOtherDomain(t) {
			continue
		}
		e := pace.Engine{Idle: idle, Settled: settled, Memory: float64(t.spec.Memory)}
		for _, l := range t.pace.running {
			e.Streams += l.Streams
		}
		r.paceEngines = append(r.paceEngines, e)
	}
	p.pace.Refresh(r.paceEngines)
	if s := p.pace.Spread(); s.Uneven != p.pace.logged && (p.pace.loggedAt == 0 || r.now-p.pace.loggedAt >= minUnevenLog) {
		p.pace.logged, p.pace.loggedAt = s.Uneven, r.now
		r.emit(Effect{Kind: EffectUneven, Name: p.name, Spread: s})
	}
}

// UnevenPools returns for each pool of engines whether it is uneven.
func (r *Reducer) UnevenPools() map[string]bool {
	out := map[string]bool{}
	for _, p := range r.poolList {
		if !p.plain {
			out[p.name] = p.pace.Uneven()
		}
	}
	return out
}

// expectedLate returns the expected number of streams that become late because of a pause if q is sent to t. It is 0
// in a pool whose engines are equally fast.
func (r *Reducer) expectedLate(q *request, t *targetState, c *Candidate) float64 {
	r.refreshPace(q.pool)
	if !q.pool.pace.Uneven() {
		return 0
	}
	remaining := max(c.ExpectedOutput-float64(q.tokens), 0)
	// The model of the target's interval contains intervals in which prompts were read.
	residence := time.Duration(remaining * float64(c.Interval))
	moves := q.target != nil
	f := pace.Candidate{
		Idle: t.pace.idle, Running: t.pace.running, Arriving: t.pace.moving, Reads: !moves, Objective: r.tokenObjective(q),
		Memory: float64(q.prompt+q.tokens) + remaining/2, Residence: residence,
	}
	if moves {
		f.Pause = q.pauseObjective
		f.Unread = time.Duration(t.pendingPrefill) * r.options.prefillPerToken
	} else {
		f.Residence += c.RequestPrefill
	}
	return q.pool.pace.Late(r.now, &f)
}

// readsUnnoticed reports whether t can read the prompt of q after those that wait there, in an uneven pool, without making
// running streams late. Without it, the fast engines would often be excluded because they read a prompt,
// and streams with long outputs sent to slow ones.
func (r *Reducer) readsUnnoticed(q *request, t *targetState) bool {
	p := &q.pool.pace
	if !p.Uneven() || t.pace.idle == 0 {
		return false
	}
	for _, l := range t.pace.running {
		if p.Hazard(t.pace.idle, l.Objective) > maxUnnoticedHazard {
			return false
		}
	}
	reading := time.Duration(t.pendingPrefill+q.prompt) * r.options.prefillPerToken
	return reading.Seconds() <= maxReadingFraction*q.firstTokenObjective.Seconds()
}
