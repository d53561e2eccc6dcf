package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
)

// queueReplay replays short streams to engines that keep each in their queue for a time before they answer it at once.
type queueReplay struct {
	*fleetTest
	queue    func(engine string) time.Duration
	ends     map[ID]time.Time // of the streams that were dispatched
	refused  map[ID]time.Time // when the others were refused
	next     ID
	answered map[ID]bool
	lastRun  time.Duration // Effect.Run of the latest dispatch
}

const (
	replayTokens = 12
	replayStep   = 25 * time.Millisecond
	replayRun    = 90 * time.Millisecond // from the end of the queue to the end of the stream
)

func newQueueReplay(t *testing.T, engines int, queue func(engine string) time.Duration) *queueReplay {
	return &queueReplay{
		fleetTest: newFleetTest(t, engines), queue: queue, next: 100,
		ends: map[ID]time.Time{}, refused: map[ID]time.Time{}, answered: map[ID]bool{},
	}
}

// submit sends a short stream, and records what becomes of it.
func (y *queueReplay) submit() ID {
	y.next++
	y.reduce(0, Submit{
		ID: y.next, Organisation: "one", Pool: "model", NonIdempotent: true, Route: "checks", PromptTokens: 400, MaxOutputTokens: replayTokens, MaxAttempts: 1,
		DispatchDeadline: y.now.Add(2 * time.Second), CallerDeadline: y.now.Add(6 * time.Second),
	})
	y.record()
	return y.next
}

func (y *queueReplay) record() {
	for _, e := range y.effects {
		switch e.Kind {
		case EffectDispatch:
			y.ends[e.ID], y.lastRun = y.now.Add(y.queue(e.Target)+replayRun), e.Run
		case EffectRefuse:
			y.Check(e.Answer, qt.Equals, answer.KindStopping)
			y.refused[e.ID] = y.now
		}
	}
	y.effects = y.effects[:0]
}

// run lets the time pass, with the engines' answers.
func (y *queueReplay) run(d time.Duration) {
	for end := y.now.Add(d); y.now.Before(end); {
		y.reduce(replayStep, Tick{})
		y.record()
		for id, at := range y.ends {
			switch {
			case y.answered[id]:
			case !y.now.Before(at):
				y.answered[id] = true
				y.reduce(0, Ended{ID: id})
				y.record()
			case !y.now.Before(at.Add(-replayRun / 2)):
				y.reduce(0, Progress{Samples: []Sample{{ID: id, Tokens: replayTokens / 2, LastToken: y.now}}})
				y.record()
			}
		}
	}
}

// A stopping host accepted short streams that then waited in the queues of full engines until they were cut off (review/9). It
// accepts those that end in time if they wait as others do, also if these still wait.
func TestStreamThatWaitsInQueueOutlastsStop(t *testing.T) {
	const (
		stop  = 7600 * time.Millisecond
		first = 3200 * time.Millisecond // after the signal
		last  = 6 * time.Second
		step  = 200 * time.Millisecond
	)
	cases := map[string]struct {
		queue  time.Duration
		before bool // whether streams were served before the signal
		least  int  // streams that the host accepts
	}{
		"engines without a queue":                   {0, true, 12},
		"engines without a queue, no stream before": {0, false, 12},
		"long queues":                                {2500 * time.Millisecond, true, 1},
		"long queues, no stream before":              {2500 * time.Millisecond, false, 6},
		"queues as long as what is left of the stop": {4 * time.Second, true, 0},
	}
	for name, q := range cases {
		y := newQueueReplay(t, 14, func(string) time.Duration { return q.queue })
		if q.before {
			y.submit()
			y.run(q.queue + time.Second)
		}
		until := y.now.Add(stop)
		y.reduce(0, Stop{Until: until})
		y.run(first)
		var late []ID
		for at := first; at < last; at += step {
			late = append(late, y.submit())
			y.run(step)
		}
		y.run(stop - last)
		cut, accepted := 0, 0
		for _, id := range late {
			if end, dispatched := y.ends[id]; dispatched {
				accepted++
				if end.After(until) {
					cut++
				}
			}
		}
		t.Logf("%s: %d of %d accepted, %d cut off", name, accepted, len(late), cut)
		y.Check(cut, qt.Equals, 0, qt.Commentf(name))
		y.Check(accepted >= q.least, qt.IsTrue, qt.Commentf("%s: %d accepted", name, accepted))
	}
}

// A stopping host refused streams that quick engines would have answered in time, since the engine with the lowest cost has
// a queue.
func TestStoppingHostUsesEnginesWithoutQueue(t *testing.T) {
	y := newQueueReplay(t, 6, func(engine string) time.Duration {
		if engine == "engine-0" || engine == "engine-2" {
			return 3 * time.Second
		}
		return 0
	})
	for range 12 {
		y.submit()
		y.run(100 * time.Millisecond)
	}
	y.run(4 * time.Second)
	until := y.now.Add(7600 * time.Millisecond)
	y.reduce(0, Stop{Until: until})
	y.run(4500 * time.Millisecond)
	for range 10 {
		id := y.submit()
		y.Check(y.ends[id].IsZero(), qt.IsFalse, qt.Commentf("%d is refused", id))
		y.Check(y.ends[id].After(until), qt.IsFalse)
		y.run(100 * time.Millisecond)
	}
}

// A stopping host relayed connections of streams for its peers that were still in the queue of their engine as it ended: the
// time for which a peer needs a connection did not contain the queue.
func TestRunOfRelayedStreamContainsQueue(t *testing.T) {
	const queue = 3 * time.Second
	y := newQueueReplay(t, 1, func(string) time.Duration { return queue })
	y.submit()
	y.Check(y.lastRun < queue, qt.IsTrue)
	y.run(queue + time.Second)
	y.submit()
	y.Check(y.lastRun >= queue, qt.IsTrue, qt.Commentf("%s", y.lastRun))
}
