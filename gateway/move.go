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
	// A CacheCopier copies the KV cache of running generations between engines.
	CacheCopier interface {
		// Copy copies the part of a generation's KV cache that was added after the
		// previous copy. If last is set, the engine stops the generation first.
		Copy(ctx context.Context, from, to netip.AddrPort, id string, last bool) (CopyResult, error)

		// Drop frees a copy at both engines.
		Drop(ctx context.Context, from netip.AddrPort, handle string) error
	}

	// CopyResult is the source engine's response to a copy request.
	CopyResult struct {
		Handle       string // identifier of the copy to resume from; empty if there is no copy
		HeldAtSource bool   // the destination had no capacity; the copy is held at the source engine
		NotFound     bool   // the source engine has no such generation
	}

	// A ResumePoint identifies a copy of the KV cache from which a generation is resumed.
	ResumePoint struct {
		Engine netip.AddrPort // engine that made the copy; for a backup, the engine that holds it
		Handle string         // identifier of the copy; for a backup, of the request
		After  int            // identifier of the last event forwarded to the caller
	}

	// move is the state of one move of a stream to another engine.
	move struct {
		effect    dispatch.Effect
		from, to  table.Target
		started   time.Time
		copiedAt  time.Time     // end of the latest copy made while the generation ran
		stoppedAt time.Time     // end of the final copy
		done      chan struct{} // closed after the last request to the engines

		mu           sync.Mutex
		handle       string         // of the newest copy at the destination
		stopping     bool           // the generation may have been stopped
		heldAtSource bool           // the final copy is held at the source engine
		notFound     bool           // the source engine had no such generation
		next         *http.Response // stream from the backup, opened while the source still streamed
	}

	// placement records the engine that serves a stream and its current move. The goroutine
	// that reads the stream shares it with the one that runs the moves.
	placement struct {
		mu       sync.Mutex
		target   table.Target
		response *http.Response // being read
		current  *move          // nil if there is none
		ended    bool           // the stream has ended
		finished chan *move     // wakes a reader that waits for a move; nil means that there will be none
	}
)

const (
	copyTimeout   = 3 * time.Second        // includes queueing behind other copies on the same links
	dropTimeout   = 500 * time.Millisecond // short, because copies also expire at the engines
	moveTimeout   = time.Second            // wait for a move after the stream has closed
	resumeTimeout = time.Second            // wait for the response header of a resumed generation
)

var (
	errResumeFailed   = eris.New("the generation could not be resumed from the copy of its KV cache")
	errResumeRejected = eris.New("the target refused to resume the generation")
)

// runMoves executes the moves that the reducer requests until moving is cancelled. Responses
// that it opens for the reader are bound to the context attempt.
func (c *call) runMoves(moving, attempt context.Context) {
	for {
		select {
		case <-moving.Done():
			return
		case f := <-c.booking.Moves():
			if f.Kind == dispatch.EffectNoMove {
				c.notifyReader(nil)
				continue
			}
			m := &move{effect: f, to: f.To, started: time.Now(), done: make(chan struct{})}
			c.placement.mu.Lock()
			m.from, c.placement.current = c.placement.target, m
			c.placement.mu.Unlock()
			if f.ToBackup {
				c.resumeAtBackup(attempt, m)
			} else {
				c.migrate(moving, m)
			}
			close(m.done)
			c.notifyReader(m)
		}
	}
}

// notifyReader wakes a reader that waits for a move; nil means that the stream is not moved.
func (c *call) notifyReader(m *move) {
	select {
	case c.placement.finished <- m:
	default:
	}
}

// resumeAtBackup opens the stream at the engine that holds its backup while the source engine
// still streams, then closes the connection to the source. The caller sees no gap.
func (c *call) resumeAtBackup(ctx context.Context, m *move) {
	resp, err := c.openResumed(ctx, m, m.to, ResumePoint{Engine: m.to.Address, Handle: c.info.ID})
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	if err != nil || c.placement.ended {
		if resp != nil {
			resp.Body.Close()
		}
		c.placement.current = nil
		if err != nil && ctx.Err() == nil {
			c.logMove(event.MoveFailed, m, err.Error())
			c.booking.MoveFailed(false)
		}
		return
	}
	m.mu.Lock()
	m.next = resp
	m.mu.Unlock()
	c.placement.response.Body.Close()
}

// migrate copies the KV cache while the generation runs, then stops the generation and copies
// the rest. The reader of the stream resumes from the final copy.
func (c *call) migrate(ctx context.Context, m *move) {
	plan := copyPlan{maxGap: c.route.GapObjective, deadline: m.effect.At}
	for {
		copyStart := time.Now()
		copied, err := c.copy(ctx, m, false)
		if err != nil || copied.NotFound || copied.HeldAtSource || copied.Handle == "" {
			c.abandonMove(m, copied, err)
			return
		}
		m.mu.Lock()
		m.handle, m.copiedAt = copied.Handle, time.Now()
		m.stopping = plan.shouldStop(m.copiedAt, m.copiedAt.Sub(copyStart))
		stopping := m.stopping
		m.mu.Unlock()
		if stopping {
			break
		}
	}
	last, err := c.copy(ctx, m, true)
	if err != nil {
		c.logMove(event.MoveFailed, m, "final copy: "+err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notFound, m.heldAtSource, m.stoppedAt = last.NotFound, last.HeldAtSource, time.Now()
	if last.Handle != "" {
		m.handle = last.Handle
	}
}

func (c *call) copy(ctx context.Context, m *move, last bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return c.gateway.copier.Copy(ctx, m.from.Address, m.to.Address, c.info.ID, last)
}

// abandonMove reports to the log and the reducer that a stream is not moved.
func (c *call) abandonMove(m *move, copied CopyResult, err error) {
	c.placement.mu.Lock()
	if c.placement.current == m {
		c.placement.current = nil
	}
	c.placement.mu.Unlock()
	detail := "the destination has no capacity for the copy"
	switch {
	case errors.Is(err, context.Canceled):
		return // the stream has ended
	case err != nil:
		detail = err.Error()
	case copied.NotFound:
		detail = "the source target has no such generation"
	}
	c.logMove(event.MoveFailed, m, detail)
	c.booking.MoveFailed(copied.NotFound)
}

func (c *call) logMove(n event.Number, m *move, detail string) {
	m.mu.Lock()
	copied, stopped := m.copiedAt, m.stoppedAt
	m.mu.Unlock()
	values := []any{"to", m.to.Name, "backup", m.effect.ToBackup, "ms", time.Since(m.started).Milliseconds()}
	if !stopped.IsZero() {
		values = append(values, "copy_ms", copied.Sub(m.started).Milliseconds(),
			"last_ms", stopped.Sub(copied).Milliseconds(), "resume_ms", time.Since(stopped).Milliseconds())
	}
	c.gateway.host.Log().Emit(n, event.Fields{
		Request: c.info.ID, Organisation: c.organisation, Target: m.from.Name, Detail: detail, Values: values,
	})
}

// nextResponse returns the response that continues a stream whose connection has ended, or nil
// if there is none. clean means that the connection ended without an error.
func (c *call) nextResponse(ctx context.Context, clean bool) *http.Response {
	m := c.takeMove()
	if m == nil && !clean {
		m = c.requestMove(ctx)
		c.takeMove()
	}
	if m == nil {
		return nil
	}
	if clean && !m.mayHaveStopped() {
		c.freeCopy(m)
		return nil
	}
	select {
	case <-m.done:
	case <-time.After(moveTimeout):
	case <-ctx.Done():
		return nil
	}
	m.mu.Lock()
	next, handle, heldAtSource, notFound := m.next, m.handle, m.heldAtSource, m.notFound
	m.mu.Unlock()
	if next != nil {
		c.completeMove(m, m.to, false)
		return next
	}
	if m.effect.ToBackup || handle == "" || notFound && clean {
		if !m.effect.ToBackup {
			c.booking.MoveFailed(true)
		}
		return nil
	}
	return c.resumeFromCopy(ctx, m, handle, heldAtSource)
}

// takeMove clears the current move and returns it, so that it is completed only once.
func (c *call) takeMove() *move {
	c.placement.mu.Lock()
	defer c.placement.mu.Unlock()
	m := c.placement.current
	c.placement.current = nil
	return m
}

// mayHaveStopped reports whether the move may have ended the stream at the source engine.
func (m *move) mayHaveStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping || m.next != nil
}

// requestMove asks the reducer for an engine that can continue a broken stream. It returns nil
// if there is none.
func (c *call) requestMove(ctx context.Context) *move {
	if c.gateway.copier == nil {
		return nil
	}
	select {
	case <-c.placement.finished: // discards the result of an earlier move
	default:
	}
	c.booking.StreamBroken()
	select {
	case m := <-c.placement.finished:
		return m
	case <-time.After(moveTimeout):
	case <-ctx.Done():
	}
	return nil
}

// resumeFromCopy resumes a stopped generation from the copy handle, at the destination or, if
// it refuses, at the source engine. heldAtSource means that the source holds the copy.
func (c *call) resumeFromCopy(ctx context.Context, m *move, handle string, heldAtSource bool) *http.Response {
	to := m.to
	if heldAtSource {
		to = m.from
	}
	point := ResumePoint{Engine: m.from.Address, Handle: handle}
	resp, err := c.openResumed(ctx, m, to, point)
	if !heldAtSource && (target.Unsent(err) || errors.Is(err, errResumeRejected)) {
		// The source engine still holds the KV cache, and no engine has used the copy.
		c.logMove(event.MoveFailed, m, err.Error())
		heldAtSource = true
		resp, err = c.openResumed(ctx, m, m.from, point)
	}
	if err != nil {
		c.logMove(event.MoveFailed, m, err.Error())
		c.booking.MoveFailed(true)
		return nil
	}
	c.completeMove(m, m.to, heldAtSource)
	return resp
}

// openResumed sends the request to engine, which resumes the generation at point.
func (c *call) openResumed(ctx context.Context, m *move, engine table.Target, point ResumePoint) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(resumeTimeout, func() { cancel(errResumeFailed) })
	point.After = int(c.lastEvent.Load())
	decision := dispatch.Effect{Target: engine.Name, To: engine, Priority: m.effect.Priority, Backup: m.effect.Backup}
	resp, err := c.gateway.transport.RoundTrip(c.newRequest(ctx, decision, &point))
	if !timer.Stop() && err == nil {
		resp.Body.Close()
		return nil, errResumeFailed
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	reply := c.gateway.dialect.ParseResponse(resp.StatusCode, resp.Header)
	if reply.NotExecuted || !reply.HasProof || reply.ID != "" && reply.ID != c.info.ID || !isEventStream(resp) || resp.StatusCode >= 300 {
		resp.Body.Close()
		cancel(errResumeFailed)
		if reply.NotExecuted {
			return nil, eris.Wrap(errResumeRejected, resp.Status)
		}
		return nil, eris.Wrap(errResumeFailed, resp.Status)
	}
	return resp, nil
}

// completeMove records the target that continues a stream. atSource means that the source
// target has resumed it.
func (c *call) completeMove(m *move, to table.Target, atSource bool) {
	c.events.resume()
	if atSource {
		c.logMove(event.MoveFailed, m, "the generation was resumed at its source target")
		c.booking.MoveFailed(false)
		return
	}
	c.placement.mu.Lock()
	c.placement.target = to
	c.placement.mu.Unlock()
	c.target, c.moves = to.Name, c.moves+1
	c.logMove(event.RequestMoved, m, "")
	c.booking.MoveSucceeded()
}

// freeCopy frees the copy of a stream that ended before the copy was used. It runs in the
// background.
func (c *call) freeCopy(m *move) {
	if m.effect.ToBackup {
		return // the engines free a backup when its generation ends
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
		if err := c.gateway.copier.Drop(ctx, m.from.Address, handle); err != nil && !target.Unsent(err) {
			c.logMove(event.MoveFailed, m, "freeing the copy: "+err.Error())
		}
	}()
}
