package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// A Mover copies the memory of running streams between engines.
	Mover interface {
		// Copy copies a run's memory from one engine to another, what is new since the
		// last copy. A last copy stops the run first.
		Copy(ctx context.Context, from, to netip.AddrPort, id string, last bool) (Copied, error)

		// Drop frees a copy, at both ends.
		Drop(ctx context.Context, from netip.AddrPort, handle string) error
	}

	// Copied is what an engine says of a copy.
	Copied struct {
		Handle string // by which the run can go on; empty if there is no copy
		Kept   bool   // the other engine could not take it; the engine itself keeps it
		Over   bool   // the engine has no such run
	}

	// A Copy names the memory from which a request goes on.
	Copy struct {
		From   netip.AddrPort // engine that made it
		Handle string
		After  int // identifier of the last event that the caller has
	}

	// move is one move of a stream, under way.
	move struct {
		from, to table.Target
		began    time.Time
		mu       sync.Mutex
		handle   string        // of the newest copy at the other engine
		stopping bool          // the run may have been stopped
		kept     bool          // the copy is at the engine that the run left
		over     bool          // the engine had no such run
		done     chan struct{} // closed when nothing more is asked of the engine
		err      error
	}
)

const (
	copyTimeout  = 3 * time.Second        // a copy waits for others on the same links
	dropTimeout  = 500 * time.Millisecond // freeing a copy that lapses by itself anyway
	settleWait   = time.Second            // for a last copy once its stream has closed
	resumeWithin = time.Second            // for the head of an answer that goes on from a copy
)

var errNotMoved = eris.New("the run could not go on from the copy of its memory")

// follow carries out the moves that the reducer asks for, until ctx ends.
func (c *call) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.booking.Moves():
			c.carryOut(ctx, f)
		}
	}
}

// carryOut copies a run's memory ahead, then stops the run and copies what is new. The
// reader of the stream goes on from there.
func (c *call) carryOut(ctx context.Context, f dispatch.Effect) {
	c.mu.Lock()
	m := &move{from: c.at, to: f.To, began: time.Now(), done: make(chan struct{})}
	c.move = m
	c.mu.Unlock()
	defer close(m.done)
	first, err := c.copy(ctx, m, false)
	if err != nil || first.Over || first.Kept || first.Handle == "" {
		c.noMove(m, first, err)
		return
	}
	m.mu.Lock()
	m.handle, m.stopping = first.Handle, true
	m.mu.Unlock()
	last, err := c.copy(ctx, m, true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.err, m.over, m.kept = err, last.Over, last.Kept
	if last.Handle != "" {
		m.handle = last.Handle
	}
}

func (c *call) copy(ctx context.Context, m *move, last bool) (Copied, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return c.gateway.mover.Copy(ctx, m.from.Address, m.to.Address, c.envelope.ID, last)
}

// noMove tells that a stream stays where it is.
func (c *call) noMove(m *move, copied Copied, err error) {
	c.mu.Lock()
	if c.move == m {
		c.move = nil
	}
	c.mu.Unlock()
	detail := "no room at the other target"
	switch {
	case errors.Is(err, context.Canceled):
		return // the stream has ended meanwhile
	case err != nil:
		detail = err.Error()
	case copied.Over:
		detail = "the target has no such run"
	}
	c.logMove(event.MoveFailed, m, detail)
	c.booking.NotMoved(copied.Over)
}

func (c *call) logMove(n event.Number, m *move, detail string) {
	c.gateway.host.Log().Emit(n, event.Fields{
		Request: c.envelope.ID, Organisation: c.organisation, Target: m.from.Name, Detail: detail,
		Values: []any{"to", m.to.Name, "ms", time.Since(m.began).Milliseconds()},
	})
}

// moved opens the stream anew where a move has brought it, after it has closed at its
// old target. It returns nil if no move explains the end.
func (c *call) moved(ctx context.Context, clean bool) *http.Response {
	c.mu.Lock()
	m := c.move
	c.move = nil
	c.mu.Unlock()
	if m == nil {
		return nil
	}
	m.mu.Lock()
	stopping := m.stopping
	m.mu.Unlock()
	if clean && !stopping {
		c.drop(m)
		return nil
	}
	select {
	case <-m.done:
	case <-time.After(settleWait):
	case <-ctx.Done():
		return nil
	}
	m.mu.Lock()
	handle, kept, over := m.handle, m.kept, m.over
	m.mu.Unlock()
	if handle == "" || over && clean {
		c.booking.NotMoved(true)
		return nil
	}
	return c.resume(ctx, m, handle, kept)
}

// resume sends the request on to where the copy is.
func (c *call) resume(ctx context.Context, m *move, handle string, kept bool) *http.Response {
	to := m.to
	if kept {
		to = m.from
	}
	v := dispatch.Effect{Target: to.Name, To: to, Priority: c.priority}
	waiting := time.AfterFunc(resumeWithin, func() { c.abandon(errNotMoved) })
	defer waiting.Stop()
	copied := &Copy{From: m.from.Address, Handle: handle, After: c.events.last}
	resp, err := c.gateway.send.RoundTrip(c.order(ctx, v, copied))
	if err != nil {
		c.logMove(event.MoveFailed, m, err.Error())
		c.booking.NotMoved(true)
		return nil
	}
	reply := c.gateway.dialect.Reply(resp.StatusCode, resp.Header)
	if reply.NotRun || !reply.Proved || reply.ID != "" && reply.ID != c.envelope.ID || !isEvents(resp) || resp.StatusCode >= 300 {
		resp.Body.Close()
		c.logMove(event.MoveFailed, m, errNotMoved.Error()+": "+resp.Status)
		c.booking.NotMoved(true)
		return nil
	}
	c.events.rest = nil // the start of an event that comes again
	c.settle(m, to, kept)
	return resp
}

// settle notes where a stream goes on.
func (c *call) settle(m *move, to table.Target, kept bool) {
	if kept {
		c.logMove(event.MoveFailed, m, "the run goes on at its old target")
		c.booking.NotMoved(false)
		return
	}
	c.mu.Lock()
	c.at = to
	c.mu.Unlock()
	c.target, c.moves = to.Name, c.moves+1
	c.logMove(event.RequestMoved, m, "")
	c.booking.Moved()
}

// drop frees the copy of a stream that has ended without it.
func (c *call) drop(m *move) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout+copyTimeout)
		defer cancel()
		select {
		case <-m.done:
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		handle := m.handle
		m.mu.Unlock()
		if handle == "" {
			return
		}
		if err := c.gateway.mover.Drop(ctx, m.from.Address, handle); err != nil && !target.Unsent(err) {
			c.logMove(event.MoveFailed, m, "copy not freed: "+err.Error())
		}
	}()
}
