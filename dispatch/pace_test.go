package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/pace"
)

// askPaced is ask for a stream that is late if it pauses for more than 45 ms.
func askPaced(origin string, id ID, output int) PlacementAsked {
	a := ask(origin, id)
	a.PauseObjective, a.KnownOutputTokens = 45*time.Millisecond, output
	return a
}

// runStreams lets a stream run on each engine for four seconds, with the given intervals between tokens.
func (r *reducerTest) runStreams(intervals map[string]time.Duration) {
	e := HostStreams{Origin: "runner/1"}
	id := ID(1)
	for name := range intervals {
		e.Streams = append(e.Streams, StreamState{
			ID: id, Organisation: "organisation-0", Pool: "model-0", Route: "chat", Target: name, PromptTokens: 100, KnownOutput: 5000,
			PauseObjective: 45 * time.Millisecond,
		})
		id++
	}
	for range 40 {
		e.Sequence++
		for i := range e.Streams {
			e.Streams[i].Tokens += int(100 * time.Millisecond / intervals[e.Streams[i].Target])
		}
		e.Streams = append([]StreamState(nil), e.Streams...)
		r.reduce(100*time.Millisecond, e)
		r.reducer.refreshPace(r.reducer.pools["model-0"]) // as a choice of a target does
	}
}

// Guards against streams with long outputs that are placed at slow engines while fast ones have capacity, and against a
// changed choice among engines that are equally fast.
func TestLongStreamsGoToFastEngines(t *testing.T) {
	cases := []struct {
		name      string
		fast      time.Duration
		placement map[string]int
	}{
		{"uneven", 4 * time.Millisecond, map[string]int{"engine-0000": 4}},
		{"even", 8 * time.Millisecond, map[string]int{"engine-0000": 1, "engine-0001": 1, "engine-0002": 1, "engine-0003": 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newCoordinator(t, 4, WithPrefillBurst(0))
			intervals := map[string]time.Duration{"engine-0000": tc.fast}
			for i := 1; i < 4; i++ {
				intervals[fmt.Sprintf("engine-%04d", i)] = 9 * time.Millisecond
			}
			r.runStreams(intervals)
			placement := map[string]int{}
			for i := range 4 {
				r.reduce(time.Millisecond, askPaced(fmt.Sprint("host-", i), 1, 700))
				placement[r.placed(fmt.Sprint("host-", i), 1).Target]++
			}
			r.Check(placement, qt.DeepEquals, tc.placement)
		})
	}
}

// Guards against a hazard that is learned from a stream whose pause was stated by another host, but not counted.
func TestPausesOfOtherHostsStreamsAreLearned(t *testing.T) {
	r := newCoordinator(t, 1)
	p := &r.reducer.pools["model-0"].pace
	before := p.Hazard(10*time.Millisecond, 45*time.Millisecond)
	for i := range ID(40) {
		origin := fmt.Sprint("host-", i)
		r.reduce(time.Millisecond, askPaced(origin, 1, 700))
		r.placed(origin, 1)
		r.reduce(time.Millisecond, ask(origin, 2)) // its prompt is read beside the stream
		stream := StreamState{ID: 1, Organisation: "organisation-0", Pool: "model-0", Target: "engine-0000", PromptTokens: 100}
		for n := range uint64(5) {
			stream.Tokens += 10
			r.reduce(100*time.Millisecond, HostStreams{Origin: origin, Sequence: n + 1, Streams: []StreamState{stream}})
		}
		finished := FinishedStream{ID: 1, Tokens: 50, LongestPause: time.Second}
		r.reduce(time.Millisecond, HostStreams{Origin: origin, Sequence: 6, Finished: []FinishedStream{finished, {ID: 2, Tokens: 1}}})
	}
	r.Check(p.Hazard(10*time.Millisecond, 45*time.Millisecond) > 2*before, qt.IsTrue)
}

// Guards against streams that are sent to slow engines because the only fast one reads a prompt, which delays no stream there.
func TestPromptsQueueAtFastEngine(t *testing.T) {
	r := newCoordinator(t, 4)
	r.runStreams(map[string]time.Duration{
		"engine-0000": 4 * time.Millisecond, "engine-0001": 9 * time.Millisecond, "engine-0002": 9 * time.Millisecond, "engine-0003": 9 * time.Millisecond,
	})
	p := &r.reducer.pools["model-0"].pace
	p.Finished(pace.Outcome{Idle: 4 * time.Millisecond, Objective: 45 * time.Millisecond, Prompts: 50})
	for i := range 2 {
		a := askPaced(fmt.Sprint("host-", i), 1, 700)
		a.PromptTokens = 3000
		r.reduce(time.Millisecond, a)
		r.Check(r.placed(fmt.Sprint("host-", i), 1).Target, qt.Equals, "engine-0000")
	}
}
