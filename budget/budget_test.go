package budget

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// client opens an account whose end is counted.
func client(c *qt.C, b *Budget, at time.Time, ended *atomic.Int64) *Account {
	var a *Account
	a, ok := b.Open(at, func() {
		ended.Add(1)
		a.Close()
	})
	c.Assert(ok, qt.IsTrue)
	return a
}

// eventually waits until ends, which are called in goroutines, have had their effect.
func eventually(c *qt.C, f func() bool) {
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// The part of a crowd that holds the most memory for the longest time is ended, and an ordinary client, or a request at its target, is not.
func TestCostliestConnectionsAreEndedFirst(t *testing.T) {
	c := qt.New(t)
	const mb = 1 << 20
	b := NewBudget(Limits{Memory: 8 * mb})
	var slow, recent, atTarget, ordinary atomic.Int64
	for range 4 {
		c.Assert(client(c, b, start, &slow).Hold(Head, mb, start), qt.IsTrue)
	}
	settled := client(c, b, start, &atTarget)
	c.Assert(settled.Hold(Body, mb, start), qt.IsTrue)
	settled.Settle()
	now := start.Add(3 * time.Second)
	c.Assert(client(c, b, now, &recent).Hold(Answer, mb, now), qt.IsTrue)
	a := client(c, b, now, &ordinary)
	c.Assert(a.Hold(Head, 4<<10, now), qt.IsTrue)
	eventually(c, func() bool { return a.Hold(Body, mb, now) })
	c.Assert(b.Usage().Memory <= 8*mb, qt.IsTrue)
	c.Assert(slow.Load(), qt.Equals, int64(1))
	c.Assert(recent.Load()+atTarget.Load()+ordinary.Load(), qt.Equals, int64(0))
}

// A connection that holds the most itself is refused in place of others, and what cannot be ended is not exceeded.
func TestCostliestConnectionIsRefusedItself(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(Limits{Memory: 1 << 20})
	var ended atomic.Int64
	other, a := client(c, b, start, &ended), client(c, b, start, &ended)
	c.Assert(other.Hold(Head, 100, start), qt.IsTrue)
	c.Assert(a.Hold(Head, 800<<10, start), qt.IsTrue)
	c.Assert(a.Hold(Head, 1100<<10, start.Add(time.Second)), qt.IsFalse)
	a.Settle()
	c.Assert(other.Hold(Head, 200<<10, start.Add(time.Second)), qt.IsFalse)
	a.Close()
	a.Close()
	c.Assert(other.Hold(Head, 200<<10, start.Add(time.Second)), qt.IsTrue)
	c.Assert(b.Usage(), qt.Equals, Usage{Memory: 200<<10 + ConnectionCost, Connections: 1})
}

// At the limit of connections, those that send no complete head make room for new ones, before those that are idle between two requests.
func TestConnectionsThatSendNoRequestMakeRoom(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(Limits{Connections: 8, Requests: 1})
	var silent, idle, busy atomic.Int64
	ordinary := client(c, b, start, &idle)
	ordinary.Wait(start.Add(time.Second))
	running := client(c, b, start, &busy)
	c.Assert(running.Begin(start), qt.IsTrue)
	c.Assert(ordinary.Begin(start), qt.IsFalse) // the limit of requests
	for range 6 {
		client(c, b, start.Add(time.Second), &silent)
	}
	_, ok := b.Open(start.Add(1100*time.Millisecond), func() {})
	c.Assert(ok, qt.IsFalse, qt.Commentf("all others are as new as a client that is about to send"))
	newcomer := client(c, b, start.Add(2*time.Second), &silent)
	eventually(c, func() bool { return silent.Load() == 1 })
	c.Assert(idle.Load()+busy.Load(), qt.Equals, int64(0))
	running.End()
	c.Assert(newcomer.Begin(start.Add(2*time.Second)), qt.IsTrue)
}

// A host of 112 MB with 4,100 descriptors has room for a single head, body and answer of the largest legal size.
func TestLargestLegalRequestFits(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(HostLimits(112<<20, 3900))
	var ended atomic.Int64
	a := client(c, b, start, &ended)
	c.Assert(a.Hold(Head, 16_384*HeadByteCost+4096*HeadLineCost, start), qt.IsTrue)
	a.Settle()
	c.Assert(a.Begin(start), qt.IsTrue)
	c.Assert(a.Hold(Body, 8<<20, start), qt.IsTrue)
	a.Settle()
	c.Assert(a.Hold(Answer, 2<<20, start), qt.IsTrue)
	a.Wait(start)
	c.Assert(b.Usage().Memory, qt.Equals, int64(ConnectionCost))
}
