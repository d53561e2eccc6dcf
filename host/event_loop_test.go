package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/table"
)

// slowObserver takes a time for each effect.
type slowObserver struct {
	nopObserver
	effect time.Duration
	events []time.Duration // times of all events
}

func (o *slowObserver) Effect(dispatch.Effect)          { time.Sleep(o.effect) }
func (o *slowObserver) EventReduced(took time.Duration) { o.events = append(o.events, took) }

// runLoop runs a test with a host that is ready, in virtual time.
func runLoop(t *testing.T, f func(c *qt.C, h *Host), opts ...Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := NewHost(event.NewLog("host"), opts...)
		h.table.Store(table.NewTable(1))
		ctx, cancel := context.WithCancel(t.Context())
		go h.Run(ctx)
		f(qt.New(t), h)
		cancel()
		<-h.done
	})
}

// numbersOf returns the numbers of the host's events so far of the group of those of its process.
func numbersOf(h *Host) []event.Number {
	var out []event.Number
	for _, r := range h.Log().Records() {
		if r.Number < event.RequestSubmitted {
			out = append(out, r.Number)
		}
	}
	return out
}

// The readiness check of a host whose event loop did not answer succeeded, and its log had no reason for the missing answers (review/8).
func TestStalledEventLoopIsNotReady(t *testing.T) {
	runLoop(t, func(c *qt.C, h *Host) {
		c.Check(h.Ready(), qt.IsTrue)
		go h.Inspect(func(*dispatch.Reducer) { time.Sleep(4 * time.Second) })
		time.Sleep(loopAnswerTime + 2*loopAskInterval)
		c.Check(h.Ready(), qt.IsFalse)
		c.Check(numbersOf(h), qt.DeepEquals, []event.Number{event.HostStalled})
		time.Sleep(2 * time.Second)
		c.Check(h.Ready(), qt.IsTrue)
		c.Check(numbersOf(h), qt.Contains, event.HostResponsive)
	})
}

// Work that keeps the loop busy for longer, but in parts, does not take the host out of rotation.
func TestBusyEventLoopIsReady(t *testing.T) {
	runLoop(t, func(c *qt.C, h *Host) {
		for range 20 {
			go func() {
				for range 5 {
					h.Inspect(func(*dispatch.Reducer) { time.Sleep(50 * time.Millisecond) })
				}
			}()
		}
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			c.Check(h.Ready(), qt.IsTrue)
		}
		c.Check(numbersOf(h), qt.HasLen, 0)
	})
}

// A slow event is logged with its kind, others are not, and all are measured.
func TestSlowEventIsLogged(t *testing.T) {
	o := &slowObserver{effect: 30 * time.Millisecond}
	runLoop(t, func(c *qt.C, h *Host) {
		h.Post(dispatch.Evacuations{Domains: []string{"one"}})
		time.Sleep(time.Second)
		c.Check(numbersOf(h), qt.HasLen, 0)
		o.effect = 200 * time.Millisecond
		h.Post(dispatch.Evacuations{Domains: []string{"one", "two"}})
		time.Sleep(time.Second)
		c.Assert(numbersOf(h), qt.DeepEquals, []event.Number{event.EventSlow})
		var slowest time.Duration
		h.Inspect(func(*dispatch.Reducer) {
			for _, took := range o.events {
				slowest = max(slowest, took)
			}
		})
		c.Check(slowest >= o.effect, qt.IsTrue)
		for _, r := range h.Log().Records() {
			if r.Number == event.EventSlow {
				c.Check(r.Values[:4], qt.DeepEquals, []any{"kind", "Evacuations", "ms", slowest.Milliseconds()})
			}
		}
	}, WithObserver(o))
}
