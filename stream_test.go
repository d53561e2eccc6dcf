package wigeonlink_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/standin"
)

const length = 30 // tokens

func prompt(tokens int) string { return fmt.Sprintf("report [length=%d]", tokens) }

func throw(c *qt.C, consortium *demo.Consortium, f standin.Fault) {
	c.Helper()
	for _, e := range consortium.Engines {
		c.Assert(e.Fault(f), qt.IsTrue)
	}
}

func TestStreamIsWholeWhenItsLinkBreaksAtAnyToken(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c)
	for n := 1; n <= length; n++ {
		throw(c, consortium, standin.Fault{Kind: standin.FaultBreak, Token: n})
		var s stream
		s.read(c, ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, prompt(length)), 0)
		s.checkWhole(c, length)
	}
	onlyOnce(c, consortium)
}

func TestStreamIsWholeWhenItsConnectionFallsSilent(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c)
	for n := 1; n < length; n += 7 {
		var s stream
		resp := ask(c, &s, consortium.Entry(1).CallerURL(), consortium.Organisations[1].Key, prompt(400))
		throw(c, consortium, standin.Fault{Kind: standin.FaultSilent})
		s.read(c, resp, 0)
		s.checkWhole(c, 400)
	}
	onlyOnce(c, consortium)
}

func TestCallerGoesOnAtAnotherHostFromAnyToken(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c)
	for n := 1; n <= length; n++ {
		var s stream
		key := consortium.Organisations[n%3].Key
		s.read(c, ask(c, &s, consortium.Entry(0).CallerURL(), key, prompt(length)), n)
		// The other host of the domain, and a host of the other domain.
		for i := 1; !s.done; i++ {
			s.read(c, ask(c, &s, consortium.Entry(i%4).CallerURL(), key, prompt(length)), 0)
		}
		s.checkWhole(c, length)
	}
	onlyOnce(c, consortium)
}

func TestCallerGoesOnWhenItsHostIsKilled(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c)
	var s stream
	key := consortium.Organisations[0].Key
	resp := ask(c, &s, consortium.Entry(0).CallerURL(), key, prompt(300))
	s.read(c, resp, 20)
	consortium.Entry(0).Kill()
	s.read(c, ask(c, &s, consortium.Entry(1).CallerURL(), key, prompt(300)), 0)
	s.checkWhole(c, 300)
}

func TestRebootedEngineIsAnHonestError(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	for _, tokens := range []int{1, 5, 50} {
		var s stream
		resp := ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, prompt(5000))
		s.readThrough(c, resp, tokens, func() { throw(c, consortium, standin.Fault{Kind: standin.FaultReboot}) })
		c.Assert(s.done, qt.IsFalse)
		c.Assert(s.err, qt.IsNotNil)
		c.Assert(s.err.Code, qt.Equals, answer.KindTargetLost.String())
		c.Assert(s.err.Outcome, qt.Equals, answer.Partial.String())
		s.checkTokens(c)
	}
}

func TestRefusedOrderIsTriedElsewhereOnce(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(4, 1))
	// Engines 1 and 3 are of the first domain.
	c.Assert(consortium.Engines[0].Fault(standin.Fault{Kind: standin.FaultRefuse}), qt.IsTrue)
	whole := 0
	for range 10 {
		var s stream
		resp := ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, prompt(5))
		if resp.StatusCode != 200 {
			// The retry budget of a fresh host is small; the answer says not run.
			c.Assert(resp.Header.Get(answer.HeaderOutcome), qt.Equals, answer.NotRun.String())
			resp.Body.Close()
			continue
		}
		s.read(c, resp, 0)
		s.checkWhole(c, 5)
		whole++
	}
	c.Assert(whole >= 5, qt.IsTrue)
	onlyOnce(c, consortium)
}

func TestCancelledByCallerLeavesNothingBehind(t *testing.T) {
	c := newC(t)
	impatient := wigeonlink.WithHost(host.WithDispatch(dispatch.WithGrace(time.Second)))
	consortium := startDemo(c, demo.WithSizes(2, 1), demo.WithEntry(impatient))
	var s stream
	s.read(c, ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, prompt(8000)), 3)
	waitUntil(c, "the generation is cancelled", func() bool { return consortium.Engines[0].Busy() == 0 })
	waitUntil(c, "the books are empty", func() bool { return consortium.Entry(0).Host().Active() == 0 })
}
