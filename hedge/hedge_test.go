package hedge

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// usable returns a situation in which a second attempt is sent.
func usable() Situation {
	return Situation{
		Organisation: "one", Elapsed: 100 * time.Millisecond, Left: time.Second, Objective: 150 * time.Millisecond,
		InFlight: true, AttemptsLeft: true, HasTarget: true, MayRetry: true,
	}
}

// learnedPolicy returns a policy that has learned a route whose responses take 30 to 60 ms.
func learnedPolicy(fraction float64) Policy {
	p := NewPolicy(fraction)
	for i := range 100 {
		p.Observe(replayKey, time.Duration(30+i%31)*time.Millisecond)
	}
	return p
}

// Guards against a cause that no longer prevents a second attempt, or that takes from the budget although nothing is sent.
func TestDecideNamesTheCause(t *testing.T) {
	cases := map[Verdict]func(*Situation){
		Ended:       func(s *Situation) { s.InFlight = false },
		Early:       func(s *Situation) { s.Elapsed = 40 * time.Millisecond },
		Deadline:    func(s *Situation) { s.Left = 20 * time.Millisecond },
		Attempts:    func(s *Situation) { s.AttemptsLeft = false },
		Suspected:   func(s *Situation) { s.Suspected = true },
		Held:        func(s *Situation) { s.Held = true },
		Capped:      func(s *Situation) { s.Capped = true },
		NoTarget:    func(s *Situation) { s.HasTarget = false },
		RetryBudget: func(s *Situation) { s.MayRetry = false },
	}
	c := qt.New(t)
	p := learnedPolicy(0.1)
	for want, change := range cases {
		s := usable()
		change(&s)
		c.Check(p.Decide(replayKey, s), qt.Equals, want)
	}
	c.Check(p.Decide(Key{"plain", "other"}, usable()), qt.Equals, Unlearned)
	c.Check(p.Decide(replayKey, usable()), qt.Equals, Send)
	c.Check(p.Decide(replayKey, usable()), qt.Equals, Budget)
	off := NewPolicy(0)
	c.Check(off.Decide(replayKey, usable()), qt.Equals, Budget)
}

// Guards against a delay that follows hangs once they are more frequent than the quantile, or that is below the usual time.
func TestDelayIsBounded(t *testing.T) {
	c := qt.New(t)
	p := learnedPolicy(0.05)
	delay, _ := p.Delay(replayKey, 150*time.Millisecond)
	c.Check(delay > 60*time.Millisecond && delay < 75*time.Millisecond, qt.IsTrue, qt.Commentf("%s", delay))
	for range 20 {
		p.Observe(replayKey, 3*time.Second)
	}
	delay, _ = p.Delay(replayKey, 150*time.Millisecond)
	c.Check(delay < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%s", delay))
}

// Guards against an organisation that uses the extra attempts which the requests of others have earned.
func TestBudgetIsFairBetweenOrganisations(t *testing.T) {
	c := qt.New(t)
	p := learnedPolicy(0.05)
	sent := map[string]int{}
	for n := range 10_000 {
		s := usable()
		if s.Organisation = "large"; n%5 == 0 {
			s.Organisation = "small"
		}
		p.Earn(replayKey.Pool, s.Organisation)
		if s.Organisation == "large" || n%100 == 0 { // all requests of the one and a twentieth of the other are slow
			if p.Decide(replayKey, s) == Send {
				sent[s.Organisation]++
			}
		}
	}
	c.Check(sent["large"] <= 401, qt.IsTrue, qt.Commentf("%v", sent)) // 0.05 x 8,000 + 1
	c.Check(sent["small"] >= 50, qt.IsTrue, qt.Commentf("%v", sent))
}
