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
		At     netip.AddrPort // engine that made it; the engine that holds it, if it is a backup
		Handle string         // identifier of the request, if it is a backup
		After  int            // identifier of the last event that the caller has
	}

	// move is one move of a stream, under way.
	move struct {
		effect   dispatch.Effect
		from, to table.Target
		began    time.Time
		copied   time.Time     // when the first copy was done
		stopped  time.Time     // when the last copy was done
		done     chan struct{} // closed when nothing more is asked of the engines

		mu       sync.Mutex
		handle   string         // of the newest copy at the other engine
		stopping bool           // the run may have been stopped
		kept     bool           // the copy is at the engine that the run left
		over     bool           // the engine had no such run
		next     *http.Response // of the stream where it goes on, begun while the old one ran
	}

	// placement is where a stream is and where it goes. The reader of the stream and the
	// follower of its moves share it.
	placement struct {
		mu      sync.Mutex
		at      table.Target
		source  *http.Response // that is being read
		present *move          // nil for none
		over    bool           // the stream has ended
		ended   chan *move     // moves that are done, for a reader that has nothing to read
	}
)

const (
	copyTimeout  = 3 * time.Second        // a copy waits for others on the same links
	dropTimeout  = 500 * time.Millisecond // freeing a copy that lapses by itself anyway
	settleWait   = time.Second            // for a move, once its stream has closed
	resumeWithin = time.Second            // for the head of an answer that goes on from a copy
)

var (
	errNotMoved   = eris.New("the run could not go on from the copy of its memory")
	errNotResumed = eris.New("the target says that it did not go on with the run")
)

// follow carries out the moves that the reducer asks for, until following ends. What it
// opens for the reader lives as long as attempt.
func (c *call) follow(following, attempt context.Context) {
	for {
		select {
		case <-following.Done():
			return
		case f := <-c.booking.Moves():
			if f.Kind == dispatch.EffectStay {
				c.tellEnded(nil)
				continue
			}
			m := &move{effect: f, to: f.To, began: time.Now(), done: make(chan struct{})}
			c.placement.mu.Lock()
			m.from, c.placement.present = c.placement.at, m
			c.placement.mu.Unlock()
			if f.Ready {
				c.switchOver(attempt, m)
			} else {
				c.carryOver(following, m)
			}
			close(m.done)
			c.tellEnded(m)
		}
	}
}

// tellEnded wakes a reader that waits for a move; nil says that there is none.
func (c *call) tellEnded(m *move) {
	select {
	case c.placement.ended <- m:
	default:
	}
}

// switchOver opens the stream at its backup while it still runs, and then lets go of its
// old engine: the caller sees no pause.
func (c *call) switchOver(ctx context.Context, m *move) {
	resp, err := c.open(ctx, m, m.to, Copy{At: m.to.Address, Handle: c.envelope.ID})
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	if err != nil || c.placement.over {
		if resp != nil {
			resp.Body.Close()
		}
		c.placement.present = nil
		if err != nil && ctx.Err() == nil {
			c.logMove(event.MoveFailed, m, err.Error())
			c.booking.NotMoved(false)
		}
		return
	}
	m.mu.Lock()
	m.next = resp
	m.mu.Unlock()
	c.placement.source.Body.Close()
}

// carryOver copies a run's memory ahead, then stops the run and copies what is new. The
// reader of the stream goes on from there.
func (c *call) carryOver(ctx context.Context, m *move) {
	plan := copyPlan{gap: c.route.Gap, latest: m.effect.At}
	for {
		began := time.Now()
		ahead, err := c.copy(ctx, m, false)
		if err != nil || ahead.Over || ahead.Kept || ahead.Handle == "" {
			c.noMove(m, ahead, err)
			return
		}
		m.mu.Lock()
		m.handle, m.copied = ahead.Handle, time.Now()
		m.stopping = plan.stop(m.copied, m.copied.Sub(began))
		stopping := m.stopping
		m.mu.Unlock()
		if stopping {
			break
		}
	}
	last, err := c.copy(ctx, m, true)
	if err != nil {
		c.logMove(event.MoveFailed, m, "last copy: "+err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.over, m.kept, m.stopped = last.Over, last.Kept, time.Now()
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
	c.placement.mu.Lock()
	if c.placement.present == m {
		c.placement.present = nil
	}
	c.placement.mu.Unlock()
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
	m.mu.Lock()
	copied, stopped := m.copied, m.stopped
	m.mu.Unlock()
	values := []any{"to", m.to.Name, "backup", m.effect.Ready, "ms", time.Since(m.began).Milliseconds()}
	if !stopped.IsZero() {
		values = append(values, "copy_ms", copied.Sub(m.began).Milliseconds(),
			"last_ms", stopped.Sub(copied).Milliseconds(), "resume_ms", time.Since(stopped).Milliseconds())
	}
	c.gateway.host.Log().Emit(n, event.Fields{
		Request: c.envelope.ID, Organisation: c.organisation, Target: m.from.Name, Detail: detail, Values: values,
	})
}

// nextSource returns the stream where it goes on, after it has closed at its old target, or
// nil if it does not. clean reports whether the target ended it as if it were whole.
func (c *call) nextSource(ctx context.Context, clean bool) *http.Response {
	m := c.takeMove()
	if m == nil && !clean {
		m = c.askNextSource(ctx)
		c.takeMove()
	}
	if m == nil {
		return nil
	}
	if clean && !m.begun() {
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
	next, handle, kept, over := m.next, m.handle, m.kept, m.over
	m.mu.Unlock()
	if next != nil {
		c.settle(m, m.to, false)
		return next
	}
	if m.effect.Ready || handle == "" || over && clean {
		if !m.effect.Ready {
			c.booking.NotMoved(true)
		}
		return nil
	}
	return c.resume(ctx, m, handle, kept)
}

// takeMove returns the move that is under way, which is the caller's from now on.
func (c *call) takeMove() *move {
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	m := c.placement.present
	c.placement.present = nil
	return m
}

// begun reports whether the stream's old engine may have been told to end it.
func (m *move) begun() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping || m.next != nil
}

// askNextSource asks the reducer where a stream that has broken off goes on.
func (c *call) askNextSource(ctx context.Context) *move {
	if c.gateway.mover == nil {
		return nil
	}
	select {
	case <-c.placement.ended: // of an earlier move
	default:
	}
	c.booking.Broken()
	select {
	case m := <-c.placement.ended:
		return m
	case <-time.After(settleWait):
	case <-ctx.Done():
	}
	return nil
}

// resume goes on from a copy whose run has been stopped.
func (c *call) resume(ctx context.Context, m *move, handle string, kept bool) *http.Response {
	to := m.to
	if kept {
		to = m.from
	}
	from := Copy{At: m.from.Address, Handle: handle}
	resp, err := c.open(ctx, m, to, from)
	if !kept && (target.Unsent(err) || errors.Is(err, errNotResumed)) {
		// The engine that stopped the run has its memory still, and nothing used the copy.
		c.logMove(event.MoveFailed, m, err.Error())
		kept = true
		resp, err = c.open(ctx, m, m.from, from)
	}
	if err != nil {
		c.logMove(event.MoveFailed, m, err.Error())
		c.booking.NotMoved(true)
		return nil
	}
	c.settle(m, m.to, kept)
	return resp
}

// open sends the request to where a copy of its memory is.
func (c *call) open(ctx context.Context, m *move, to table.Target, from Copy) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	waiting := time.AfterFunc(resumeWithin, func() { cancel(errNotMoved) })
	from.After = int(c.lastEvent.Load())
	v := dispatch.Effect{Target: to.Name, To: to, Priority: m.effect.Priority, Backup: m.effect.Backup}
	resp, err := c.gateway.send.RoundTrip(c.order(ctx, v, &from))
	if !waiting.Stop() && err == nil {
		resp.Body.Close()
		return nil, errNotMoved
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	reply := c.gateway.dialect.Reply(resp.StatusCode, resp.Header)
	if reply.NotRun || !reply.Proved || reply.ID != "" && reply.ID != c.envelope.ID || !isEvents(resp) || resp.StatusCode >= 300 {
		resp.Body.Close()
		cancel(errNotMoved)
		if reply.NotRun {
			return nil, eris.Wrap(errNotResumed, resp.Status)
		}
		return nil, eris.Wrap(errNotMoved, resp.Status)
	}
	return resp, nil
}

// settle notes where a stream goes on.
func (c *call) settle(m *move, to table.Target, kept bool) {
	c.events.rejoin()
	if kept {
		c.logMove(event.MoveFailed, m, "the run goes on at its old target")
		c.booking.NotMoved(false)
		return
	}
	c.placement.mu.Lock()
	c.placement.at = to
	c.placement.mu.Unlock()
	c.target, c.moves = to.Name, c.moves+1
	c.logMove(event.RequestMoved, m, "")
	c.booking.Moved()
}

// drop frees the copy of a stream that has ended without it.
func (c *call) drop(m *move) {
	if m.effect.Ready {
		return // backups are freed by the end of their run
	}
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
