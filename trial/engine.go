package trial

import (
	"fmt"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// engine is an emulated engine in virtual time.
	engine struct {
		index            int
		name             string
		batch            *standin.Batch
		calls            map[*standin.Sequence]*call
		stepScheduled    bool // the end of a step is scheduled
		bootCount        int
		leaving          bool
		leavingSince     time.Duration
		preemptionOffset int // subtracted from the counter of the batch to count only preemptions after the warm-up
	}

	// call is a request and the state of its current attempt.
	call struct {
		id              dispatch.ID
		host            *host
		organisation    *Organisation
		submit          dispatch.Submit
		outputTokens    int
		submittedAt     time.Duration
		sequence        *standin.Sequence
		engine          *engine
		attempts        int
		attemptTokens   int
		lastTokenAt     time.Duration
		queued          bool
		inFlight        bool // from the dispatch of an attempt until its host learns that it failed
		finished        bool // the caller has received its final answer
		deliveredTokens int
	}
)

func (e *engine) bootID() string { return fmt.Sprintf("%s-%d", e.name, e.bootCount) }

// load returns a load report of the engine.
func (e *engine) load() target.Load {
	return target.Load{
		Boot:           e.bootID(),
		UsedTokens:     e.batch.Used(),
		CapacityTokens: e.batch.Spec().Memory,
		Running:        e.batch.Running(),
		Waiting:        e.batch.Waiting(),
		Preemptions:    e.batch.Counts().Preemptions,
		Leaving:        e.leaving,
	}
}

// add starts an attempt of a request. It fails the attempt if the batch rejects it, and the
// trial if the engine has been leaving for longer than leavingGrace.
func (e *engine) add(t *Trial, c *call, priority int) {
	c.sequence = &standin.Sequence{
		PromptTokens: c.submit.PromptTokens,
		OutputTokens: c.outputTokens,
		PrefixHash:   c.submit.PrefixHash,
		PrefixTokens: c.submit.PrefixTokens,
		Priority:     priority,
	}
	c.engine, c.queued = e, true
	if e.leaving && t.now-e.leavingSince > leavingGrace {
		t.fail("engine %s received a request %s after it was announced as leaving", e.name, t.now-e.leavingSince)
	}
	if !e.batch.Add(c.sequence) {
		t.failAttempt(c, target.CertaintyNotRun, false)
		return
	}
	e.calls[c.sequence] = c
	e.scheduleStep(t)
}

// leavingGrace is how long an engine may still receive requests after it was announced as leaving.
const leavingGrace = 3 * time.Second

// scheduleStep runs the next step of the batch and schedules its end, unless a step is in
// progress or the batch is idle. The end of a step is ignored if the engine restarted in
// the meantime.
func (e *engine) scheduleStep(t *Trial) {
	if e.stepScheduled || e.batch.Idle() {
		return
	}
	e.stepScheduled = true
	out := e.batch.Step()
	tokens := append([]*standin.Sequence(nil), out.Tokens...)
	ended := append([]*standin.Sequence(nil), out.Finished...)
	boot := e.bootCount
	t.after(out.Duration, func() {
		if e.bootCount != boot {
			return
		}
		e.stepScheduled = false
		e.deliver(t, tokens, ended)
		e.scheduleStep(t)
	})
}

// deliver passes on the tokens and the completed sequences of a step.
func (e *engine) deliver(t *Trial, tokens, ended []*standin.Sequence) {
	for _, s := range tokens {
		if c := e.calls[s]; c != nil {
			t.deliverToken(c)
		}
	}
	for _, s := range ended {
		c := e.calls[s]
		if c == nil {
			continue
		}
		delete(e.calls, s)
		t.completeCall(c, s)
	}
}

// restart fails all attempts on the engine and starts an empty batch under a new boot ID.
func (e *engine) restart(t *Trial) {
	lost := e.calls
	e.bootCount++
	e.preemptionOffset -= e.batch.Counts().Preemptions
	e.batch = standin.NewBatch(t.config.Spec)
	e.calls = map[*standin.Sequence]*call{}
	e.stepScheduled = false
	for _, c := range sortedByID(lost) {
		t.failAttempt(c, target.CertaintyLost, true)
	}
}
