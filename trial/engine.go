package trial

import (
	"fmt"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// engine is one stand-in engine in virtual time.
	engine struct {
		place   int
		name    string
		batch   *standin.Batch
		calls   map[*standin.Sequence]*call
		busy    bool // a step is scheduled
		boots   int
		leaving bool
		leftAt  time.Duration
		before  int // preemptions before the measuring began
	}

	// call is one request and its generation.
	call struct {
		id           dispatch.ID
		host         *entry
		organisation *Organisation
		submit       dispatch.Submit
		output       int
		arrived      time.Duration
		sequence     *standin.Sequence
		engine       *engine
		attempt      int
		tokens       int
		last         time.Duration
		queued       bool
		out          bool // an attempt is under way, as its host knows
		settled      bool // the caller has its final answer
		delivered    int
	}
)

func (g *engine) boot() string { return fmt.Sprintf("%s-%d", g.name, g.boots) }

func (g *engine) load() target.Load {
	return target.Load{
		Boot:        g.boot(),
		Used:        g.batch.Used(),
		Total:       g.batch.Spec().Memory,
		Running:     g.batch.Running(),
		Waiting:     g.batch.Waiting(),
		Preemptions: g.batch.Counts().Preemptions,
		Leaving:     g.leaving,
	}
}

// add takes an order.
func (g *engine) add(t *Trial, c *call, priority int) {
	c.sequence = &standin.Sequence{
		Prompt:   c.submit.Prompt,
		Output:   c.output,
		Prefix:   c.submit.Prefix,
		Shared:   c.submit.Shared,
		Priority: priority,
	}
	c.engine, c.queued = g, true
	if g.leaving && t.now-g.leftAt > leaveLag {
		t.fail("engine %s got new work %s after it began to leave", g.name, t.now-g.leftAt)
	}
	if !g.batch.Add(c.sequence) {
		t.failed(c, target.CertainNotRun, false)
		return
	}
	g.calls[c.sequence] = c
	g.kick(t)
}

// leaveLag is how long after the start of its leaving an engine may get new work.
const leaveLag = 3 * time.Second

// kick makes sure that a step is scheduled.
func (g *engine) kick(t *Trial) {
	if g.busy || g.batch.Idle() {
		return
	}
	g.busy = true
	out := g.batch.Step()
	tokens := append([]*standin.Sequence(nil), out.Tokens...)
	ended := append([]*standin.Sequence(nil), out.Ended...)
	boot := g.boots
	t.after(out.Took, func() {
		if g.boots != boot {
			return
		}
		g.busy = false
		g.deliver(t, tokens, ended)
		g.kick(t)
	})
}

func (g *engine) deliver(t *Trial, tokens, ended []*standin.Sequence) {
	for _, s := range tokens {
		if c := g.calls[s]; c != nil {
			t.token(c)
		}
	}
	for _, s := range ended {
		c := g.calls[s]
		if c == nil {
			continue
		}
		delete(g.calls, s)
		t.ended(c, s)
	}
}

// die loses everything and comes back under a new boot identifier.
func (g *engine) die(t *Trial) {
	lost := g.calls
	g.boots++
	g.before -= g.batch.Counts().Preemptions
	g.batch = standin.NewBatch(t.config.Spec)
	g.calls = map[*standin.Sequence]*call{}
	g.busy = false
	for _, c := range sorted(lost) {
		t.failed(c, target.CertainLost, true)
	}
}
