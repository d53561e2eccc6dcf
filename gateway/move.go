package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// A CacheCopier copies the KV cache of running generations between engines.
	CacheCopier interface {
		// Copy copies the part of a generation's KV cache that the engine at from has added
		// since the previous copy to the engine at to. If last is set, the engine at from
		// stops the generation first.
		Copy(ctx context.Context, from, to netip.AddrPort, id string, last bool) (CopyResult, error)

		// Drop frees the copy with the given handle, which the engine at from made, at the
		// source and the destination.
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

	// move is the state of one move of a stream from the engine from to the engine to.
	move struct {
		effect    dispatch.Effect // decision of the reducer that started the move
		from, to  table.Target
		started   time.Time
		copiedAt  time.Time     // end of the latest copy that was made while the generation ran
		stoppedAt time.Time     // end of the final copy, made after the generation was stopped
		done      chan struct{} // closed when resumeAtBackup or migrate has returned

		mu             sync.Mutex
		handle         string         // identifier of the newest copy; empty if there is none
		stopping       bool           // the source engine has been or will be asked to stop the generation
		heldAtSource   bool           // the final copy is held at the source engine
		notFound       bool           // the source engine had no such generation
		backupResponse *http.Response // response of the backup, opened while the source engine still streamed; nil for a move without a backup
	}

	// placement records the engine that serves a stream and the move of the stream in
	// progress. The goroutine that forwards the stream shares it with the one that runs the
	// moves.
	placement struct {
		mu            sync.Mutex
		target        table.Target   // engine that serves the stream
		response      *http.Response // response that is being forwarded
		currentMove   *move          // move in progress or not yet used by the reader; nil if there is none
		ended         bool           // the stream has ended
		finishedMoves chan *move     // completed moves, for a reader that waits in requestMove; nil means that the stream cannot be moved
	}
)

const (
	copyTimeout   = 3 * time.Second        // of one copy; includes queueing behind other copies on the same links
	dropTimeout   = 500 * time.Millisecond // of freeing a copy; short, because unused copies also expire at the engines
	moveTimeout   = time.Second            // how long the reader of a broken stream waits for a move to start
	resumeTimeout = time.Second            // of the response headers of a backup while the source engine still streams
)

var (
	errResumeFailed   = eris.New("the generation could not be resumed from the copy of its KV cache")
	errResumeRejected = eris.New("the target refused to resume the generation")
)

// runMoves executes the moves that the reducer requests, one at a time, until moving is
// cancelled. Responses that it opens for the reader of the stream use the context streaming, and
// so remain open after moving is cancelled. A panic ends the stream, as it is not known whether the
// generation was stopped.
func (a *attempt) runMoves(moving, streaming context.Context) {
	defer func() {
		if p := recover(); p != nil {
			a.cancel(panicError(p))
		}
	}()
	for {
		select {
		case <-moving.Done():
			return
		case f := <-a.hostRequest.Moves():
			if f.Kind == dispatch.EffectNoMove {
				a.notifyReader(nil)
				continue
			}
			m := &move{effect: f, to: f.To, started: time.Now(), done: make(chan struct{})}
			a.placement.mu.Lock()
			m.from, a.placement.currentMove = a.placement.target, m
			a.placement.mu.Unlock()
			if f.ToBackup {
				a.resumeAtBackup(streaming, m)
			} else {
				a.migrate(moving, m)
			}
			close(m.done)
			a.notifyReader(m)
		}
	}
}

// notifyReader passes the completed move m to a reader that waits in requestMove. A nil m means
// that the stream cannot be moved.
func (a *attempt) notifyReader(m *move) {
	select {
	case a.placement.finishedMoves <- m:
	default:
	}
}

// resumeAtBackup resumes the stream at the engine that holds a backup of its KV cache, while the
// source engine still streams. It then closes the connection to the source engine, which makes
// the reader of the stream continue with the new response. The stream does not pause.
func (a *attempt) resumeAtBackup(ctx context.Context, m *move) {
	resp, err := a.openResumed(ctx, m, m.to, ResumePoint{Engine: m.to.Address, Handle: a.info.ID}, resumeTimeout)
	a.placement.mu.Lock()
	defer a.placement.mu.Unlock()
	if err != nil || a.placement.ended {
		if resp != nil {
			resp.Body.Close()
		}
		a.placement.currentMove = nil
		if err != nil && ctx.Err() == nil {
			a.logMove(event.MoveFailed, m, err.Error())
			a.hostRequest.MoveFailed(false)
		}
		return
	}
	m.mu.Lock()
	m.backupResponse = resp
	m.mu.Unlock()
	a.placement.response.Body.Close()
}

// migrate copies the KV cache while the generation runs, then stops the generation and copies
// the rest. The source engine then ends the stream, and its reader resumes the generation from
// the copy.
func (a *attempt) migrate(ctx context.Context, m *move) {
	plan := copyPlan{maxGap: a.route.GapObjective, deadline: m.effect.At}
	for {
		copyStart := time.Now()
		copied, err := a.copyCache(ctx, m, false)
		if err != nil || copied.NotFound || copied.HeldAtSource || copied.Handle == "" {
			a.abandonMove(m, copied, err)
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
	if err := a.withhold(m.to); err != nil {
		a.abandonMove(m, CopyResult{}, err) // a stopped generation could go on nowhere if its own domain is evacuated, too
		return
	}
	last, err := a.copyCache(ctx, m, true)
	if err != nil {
		a.logMove(event.MoveFailed, m, "final copy: "+err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notFound, m.heldAtSource, m.stoppedAt = last.NotFound, last.HeldAtSource, time.Now()
	if last.Handle != "" {
		m.handle = last.Handle
	}
}

// copyCache copies the part of the KV cache that the previous copy lacks. If last is set, the
// source engine stops the generation first.
func (a *attempt) copyCache(ctx context.Context, m *move, last bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return a.gateway.copier.Copy(ctx, m.from.Address, m.to.Address, a.info.ID, last)
}

// abandonMove ends a move because a copy failed while the generation ran. It logs the reason and
// reports the failed move to the reducer; the source engine continues to serve the stream. After
// the end of the stream it does nothing.
func (a *attempt) abandonMove(m *move, copied CopyResult, err error) {
	a.placement.mu.Lock()
	if a.placement.currentMove == m {
		a.placement.currentMove = nil
	}
	a.placement.mu.Unlock()
	detail := "the destination has no capacity for the copy"
	switch {
	case errors.Is(err, context.Canceled):
		return // the stream has ended
	case err != nil:
		detail = err.Error()
	case copied.NotFound:
		detail = "the source target has no such generation"
	}
	a.logMove(event.MoveFailed, m, detail)
	a.hostRequest.MoveFailed(copied.NotFound)
}

// logMove logs the end of a move with the durations of its steps; detail is the cause of a
// failure.
func (a *attempt) logMove(n event.Number, m *move, detail string) {
	m.mu.Lock()
	copied, stopped := m.copiedAt, m.stoppedAt
	m.mu.Unlock()
	values := []any{"to", m.to.Name, "backup", m.effect.ToBackup, "ms", time.Since(m.started).Milliseconds()}
	if !stopped.IsZero() {
		values = append(values, "copy_ms", copied.Sub(m.started).Milliseconds(),
			"last_ms", stopped.Sub(copied).Milliseconds(), "resume_ms", time.Since(stopped).Milliseconds())
	}
	a.gateway.host.Log().Emit(n, event.Fields{
		Request: a.info.ID, Organisation: a.organisation, Target: m.from.Name, Detail: detail, Values: values,
	})
}

// nextResponse returns the response that continues a stream whose current response has ended, or
// nil if no engine continues it. end is what that end proves about the stream. stopped reports whether
// the response may have ended only because the generation was stopped for a move.
func (a *attempt) nextResponse(ctx context.Context, end streamEnd) (next *http.Response, stopped bool) {
	m := a.takeMove()
	if m == nil && end == streamBroken {
		m = a.requestMove(ctx)
		a.takeMove()
	}
	if m == nil {
		return nil, false
	}
	if end != streamBroken && !m.mayHaveStopped() {
		a.freeCopy(m)
		return nil, false
	}
	// Each step of the move has a timeout. Until the final copy is complete, no engine can resume the generation.
	select {
	case <-m.done:
	case <-ctx.Done():
		return nil, true
	}
	m.mu.Lock()
	next, handle, heldAtSource, notFound := m.backupResponse, m.handle, m.heldAtSource, m.notFound
	m.mu.Unlock()
	if next != nil {
		a.completeMove(m, m.to, false)
		return next, false
	}
	ended := notFound && end != streamBroken // the generation ended before it could be stopped
	if m.effect.ToBackup || handle == "" || ended {
		if !m.effect.ToBackup {
			a.hostRequest.MoveFailed(true)
		}
		return nil, !ended
	}
	return a.resumeFromCopy(ctx, m, handle, heldAtSource), true
}

// takeMove returns the move in progress and clears it, so that no other step completes it again.
// It returns nil if there is none.
func (a *attempt) takeMove() *move {
	a.placement.mu.Lock()
	defer a.placement.mu.Unlock()
	m := a.placement.currentMove
	a.placement.currentMove = nil
	return m
}

// mayHaveStopped reports whether the move may be the reason why the source engine's response has
// ended.
func (m *move) mayHaveStopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping || m.backupResponse != nil
}

// requestMove reports a broken stream to the reducer and waits for the resulting move. It returns
// nil if the reducer does not move the stream or moveTimeout has passed.
func (a *attempt) requestMove(ctx context.Context) *move {
	if a.gateway.copier == nil {
		return nil
	}
	select {
	case <-a.placement.finishedMoves: // discards the result of an earlier move
	default:
	}
	a.hostRequest.StreamBroken()
	select {
	case m := <-a.placement.finishedMoves:
		return m
	case <-time.After(moveTimeout):
	case <-ctx.Done():
	}
	return nil
}

// resumeFromCopy resumes a generation that was stopped for a move, or whose connection broke
// during a move, from the copy with the given handle: at the destination or, if the destination
// refuses, at the source engine. heldAtSource means that only the source engine holds the copy,
// so that the generation can be resumed only there.
func (a *attempt) resumeFromCopy(ctx context.Context, m *move, handle string, heldAtSource bool) *http.Response {
	to := m.to
	if heldAtSource {
		to = m.from
	}
	point := ResumePoint{Engine: m.from.Address, Handle: handle}
	resp, err := a.openResumed(ctx, m, to, point, a.streamTimeout())
	if err != nil && !heldAtSource && !a.gateway.host.MaySend(m.from) {
		resp, err = a.resumeAgain(ctx, m, point, err)
	}
	if !heldAtSource && (target.Unsent(err) || errors.Is(err, errResumeRejected)) {
		// The destination has not resumed the generation, and the source engine still holds the
		// KV cache.
		a.logMove(event.MoveFailed, m, err.Error())
		heldAtSource = true
		resp, err = a.openResumed(ctx, m, m.from, point, a.streamTimeout())
	}
	if err != nil {
		a.logMove(event.MoveFailed, m, err.Error())
		a.hostRequest.MoveFailed(true)
		return nil
	}
	a.completeMove(m, m.to, heldAtSource)
	return resp
}

// openResumed sends the caller's request to engine and returns the response, in which engine
// resumes the generation from the copy that point identifies, after the last event forwarded. The response
// headers must arrive within timeout.
func (a *attempt) openResumed(ctx context.Context, m *move, engine table.Target, point ResumePoint, timeout time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errResumeFailed) })
	point.After = int(a.lastEvent.Load())
	if err := a.withhold(engine); err != nil {
		return nil, eris.Wrap(errResumeRejected, err.Error())
	}
	decision := dispatch.Effect{Target: engine.Name, To: engine, Priority: m.effect.Priority, Backup: m.effect.Backup, Run: m.effect.Run}
	sent := time.Now()
	via := ""
	ctx = traceRelay(ctx, func(c *detour.Conn) {
		via = c.Via
		a.limitStart(c.End())
	})
	resp, err := a.sendResumed(ctx, decision, &point)
	if !timer.Stop() && err == nil {
		resp.Body.Close()
		return nil, errResumeFailed
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	if !network.IsFinalStatus(resp.StatusCode) {
		resp.Body.Close()
		cancel(errResumeFailed)
		return nil, eris.Wrap(errResumeFailed, resp.Status)
	}
	reply := a.parseResponse(resp, decision, sent, via)
	if reply.NotExecuted || !reply.HasProof || reply.ID != "" && reply.ID != a.info.ID || isEncoded(resp) || !isEventStream(resp) || resp.StatusCode >= 300 {
		resp.Body.Close()
		cancel(errResumeFailed)
		if reply.NotExecuted {
			return nil, eris.Wrap(errResumeRejected, resp.Status)
		}
		return nil, eris.Wrap(errResumeFailed, resp.Status)
	}
	return resp, nil
}

// sendResumed sends the request. A connection through a host that may stop before the stream ends is used only if there is no other:
// the caller has a part of the stream already.
func (a *attempt) sendResumed(ctx context.Context, decision dispatch.Effect, point *ResumePoint) (*http.Response, error) {
	resp, err := a.gateway.transport.RoundTrip(a.newRequest(ctx, decision, point))
	if decision.Run > 0 && a.isRelayed() && target.Unsent(err) && ctx.Err() == nil {
		decision.Run = 0
		return a.gateway.transport.RoundTrip(a.newRequest(ctx, decision, point))
	}
	return resp, err
}

// completeMove prepares the stream for the response of the engine that resumed it. If atSource is
// set, that is the source engine, and the move is reported as failed. Otherwise completeMove
// records to as the stream's engine and reports the move as successful.
func (a *attempt) completeMove(m *move, to table.Target, atSource bool) {
	a.events.resume()
	if atSource {
		a.logMove(event.MoveFailed, m, "the generation was resumed at its source target")
		a.hostRequest.MoveFailed(false)
		return
	}
	a.placement.mu.Lock()
	a.placement.target = to
	a.placement.mu.Unlock()
	a.state.mu.Lock()
	a.target, a.moveCount = to.Name, a.moveCount+1
	a.state.mu.Unlock()
	a.logMove(event.RequestMoved, m, "")
	a.hostRequest.MoveSucceeded()
}

// freeCopy frees, in the background, the copy of a KV cache that is no longer needed because the
// stream was complete before its move.
func (a *attempt) freeCopy(m *move) {
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
		if err := a.gateway.copier.Drop(ctx, m.from.Address, handle); err != nil && !target.Unsent(err) {
			a.logMove(event.MoveFailed, m, "freeing the copy: "+err.Error())
		}
	}()
}
