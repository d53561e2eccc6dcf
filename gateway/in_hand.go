package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// phase is what a call is doing.
	phase uint8

	// endCause is how a call ended, or which side ended its connection.
	endCause uint8

	// callsInHand holds the calls whose handlers run, and counts those that have ended since the host began to stop. The
	// zero value is ready for use.
	callsInHand struct {
		mu      sync.Mutex
		calls   map[*call]struct{}
		ended   [endCauseCount]int
		closing atomic.Bool // the connections of all calls are being closed by the stop
	}

	// callPhase is the part of a call's state that the end of a stop reads while the call runs. Its handler
	// writes call.latest, attempt.target, attempt.via and the fields here only with mu held.
	callPhase struct {
		mu         sync.Mutex
		phase      phase
		dispatched time.Time // time of the latest dispatch
		cut        bool      // the call has a line of event.RequestCut
	}

	// connKey is the key of a caller's connection in the context of its requests.
	connKey struct{}
)

const (
	phaseHead    phase = iota // the headers are checked
	phaseBody                 // the body is read
	phaseHeld                 // the request waits for a target
	phaseRunning              // the request has been sent to a target
	phaseMoving               // as phaseRunning, and a move of the stream is in progress
	phaseCount
)

const (
	endComplete      endCause = iota // the response is complete
	endRefused                       // the host has sent an error in place of a response
	endCaller                        // the caller closed its connection
	endStop                          // the host closed the connection at the end of its stop
	endIdleClose                     // the host closed the connection as idle
	endTimeLimit                     // a time limit of the host, on the request or on a write, has passed
	endWriteError                    // a write to the caller failed
	endLimit                         // the host closed the connection for its part of the memory budget
	endFailedAttempt                 // the host broke the response off, since no target completes it
	endCauseCount
)

// errHostStopped is the cause of the end of an attempt of which the host has sent nothing to the caller before it stops.
var errHostStopped = eris.New("the host stops before the target has answered")

// maxCutLines limits the lines about requests that the end of a stop cuts off.
const maxCutLines = 256

var (
	phaseNames    = [...]string{"head", "body", "held", "running", "moving"}
	endCauseNames = [...]string{"complete", "refused", "caller", "stop", "idle_close", "time_limit", "write_error", "limit", "failed_attempt"}
)

// String returns the name of the phase in logs and metrics.
func (p phase) String() string { return phaseNames[p] }

// String returns the name of the cause in logs and metrics.
func (e endCause) String() string { return endCauseNames[e] }

// ConnContext makes a caller's connection available to the calls on it. It is to be set as http.Server.ConnContext.
func (g *Gateway) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (s *callsInHand) add(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[*call]struct{}{}
	}
	s.calls[c] = struct{}{}
}

func (s *callsInHand) remove(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

func (s *callsInHand) countEnd(e endCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[e]++
}

// enter sets the phase of the call.
func (c *call) enter(p phase) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.phase = p
}

// CutRequests logs each request in hand as one that the end of the host's stop cuts off; the caller of CutRequests closes
// the connections then, of which begun have a request. It returns the numbers of these and of the requests that have
// ended since the stop began as key-value pairs for the event log.
func (g *Gateway) CutRequests(begun int) []any {
	g.inHand.closing.Store(true)
	g.inHand.mu.Lock()
	defer g.inHand.mu.Unlock()
	var cut [phaseCount]int
	lines := 0
	for c := range g.inHand.calls {
		p, fields := c.describe(time.Now())
		cut[p]++
		if lines++; lines <= maxCutLines {
			c.markCut()
			g.host.Log().Emit(event.RequestCut, fields)
		}
	}
	n := g.host.StopCounts()
	values := []any{"in_flight", n.InFlight, "accepted", n.Accepted, "dispatched", n.Dispatched, "refused", n.Refused, "cut", len(g.inHand.calls)}
	for p, count := range cut {
		if count > 0 {
			values = append(values, "cut_"+phase(p).String(), count)
			g.observer.RequestsCut(phase(p).String(), count)
		}
	}
	if unread := begun - len(g.inHand.calls); unread > 0 {
		values = append(values, "unread", unread)
	}
	if relayed := g.host.InFlightCount() - cut[phaseHeld] - cut[phaseRunning] - cut[phaseMoving]; relayed > 0 {
		values = append(values, "relayed", relayed)
	}
	for e, count := range g.inHand.ended {
		if count > 0 {
			values = append(values, "ended_"+endCause(e).String(), count)
		}
	}
	return values
}

// EndUnanswered ends the attempts of all requests to which their targets have sent no response. Their callers get an error of unknown
// outcome in place of a connection that closes without a response.
func (g *Gateway) EndUnanswered() { g.endUnsent(false) }

// EndDeferred does the same for all streams whose responses are deferred, and returns their number.
func (g *Gateway) EndDeferred() int { return g.endUnsent(true) }

// endUnsent ends the attempts of all calls to whose callers nothing has been sent and whose responses are, or are not, deferred.
func (g *Gateway) endUnsent(deferred bool) int {
	g.inHand.mu.Lock()
	defer g.inHand.mu.Unlock()
	n := 0
	for c := range g.inHand.calls {
		if c.isDeferred() == deferred && c.endUnanswered() {
			n++
		}
	}
	return n
}

func (c *call) isDeferred() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.latest.deferred.holds.Load()
}

// endUnanswered ends the attempts of the call if it has one and nothing has been sent to its caller, and reports whether it does.
func (c *call) endUnanswered() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.phase != phaseRunning || c.written.Load() {
		return false
	}
	c.endAttempts(errHostStopped)
	return true
}

func (c *call) markCut() {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.cut = true
}

func (c *call) isCut() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.state.cut
}

// describe returns the phase of the call and the fields of its line in the event log. It may be called while the handler of
// the call runs.
func (c *call) describe(now time.Time) (phase, event.Fields) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p := c.state.phase
	values := append([]any{"ms", now.Sub(c.started).Milliseconds(), "arrived", c.gateway.host.Arrival(c.started)}, c.gateway.host.StopValues(now)...)
	if p == phaseHead {
		return p, event.Fields{Values: append(values, "phase", p.String())} // the handler writes the other fields
	}
	f := event.Fields{Request: c.info.ID, Organisation: c.organisation, Target: c.latest.target, TableVersion: c.tableVersion}
	values = append(values, "route", c.route.Name, "kind", c.route.Kind.String(), "bytes", c.bodyBytes.Load())
	if p >= phaseHeld {
		until := now
		if c.attemptCount > 0 {
			until = c.state.dispatched
		}
		values = append(values, "held_ms", until.Sub(c.hostRequest.SubmittedAt()).Milliseconds(), "attempts", c.attemptCount,
			"estimate_ms", c.hostRequest.RunEstimate().Milliseconds())
	}
	if p >= phaseHeld && c.attemptCount > 0 {
		values = append(values, c.latest.progressValues(now, c.state.dispatched)...)
	}
	if p == phaseRunning && c.latest.moving() {
		p = phaseMoving
	}
	f.Values = append(values, "phase", p.String())
	return p, f
}

// progressValues returns the progress of the attempt, which was dispatched at the given time, as key-value pairs for the
// event log.
func (a *attempt) progressValues(now, dispatched time.Time) []any {
	values := []any{"run_ms", now.Sub(dispatched).Milliseconds(), "events", a.lastEvent.Load()}
	if last := a.hostRequest.Progress.LastToken(); !last.IsZero() {
		values = append(values, "silent_ms", now.Sub(last).Milliseconds())
	}
	if left, announced := a.gateway.host.StopTimeLeft(dispatched); announced {
		values = append(values, "left_at_dispatch_ms", left.Milliseconds())
	}
	if a.via != "" {
		values = append(values, "via", a.via)
	}
	return values
}

// moving reports whether a move of the stream is in progress.
func (a *attempt) moving() bool {
	a.placement.mu.Lock()
	defer a.placement.mu.Unlock()
	return a.placement.currentMove != nil
}

// setPath records that the connection to the target goes through another host.
func (a *attempt) setPath(c *detour.Conn) {
	a.limitStart(c.End())
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.via = c.Via
}

// isRelayed reports whether the connection of the attempt goes through another host.
func (a *attempt) isRelayed() bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.via != ""
}

// recordWriteError records the first error of a write to the caller.
func (c *call) recordWriteError(err error) {
	if c.failedWrite == nil {
		c.failedWrite = err
	}
}

// endedBy returns how the call ended. e is the error that ended it, or nil if its response is complete.
func (c *call) endedBy(e *answer.Error) endCause {
	switch {
	case c.failedWrite != nil:
		return c.connEndOf(c.failedWrite, endWriteError)
	case c.r.Context().Err() != nil && e != nil:
		return c.connEndOf(c.closedByHost(), endCaller)
	case e == nil:
		return endComplete
	case errors.Is(e, net.ErrClosed), errors.Is(e, network.ErrEnded), errors.Is(e, io.ErrUnexpectedEOF) && c.hostRequest == nil:
		return c.connEndOf(e, endCaller)
	case c.written.Load() && !time.Now().Before(c.deadline):
		return endTimeLimit
	case c.written.Load():
		return endFailedAttempt
	}
	return endRefused
}

// connEndOf returns the cause of the end of the connection, by the error of an operation on it; otherwise if the error
// shows none.
func (c *call) connEndOf(err error, otherwise endCause) endCause {
	switch {
	case c.gateway.inHand.closing.Load():
		return endStop
	case errors.Is(err, network.ErrEnded):
		return endLimit
	case errors.Is(err, net.ErrClosed):
		return endIdleClose
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endTimeLimit
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		return endCaller
	}
	return otherwise
}

// closedByHost returns an error if this host has closed the connection of the call, which has ended.
func (c *call) closedByHost() error {
	conn, ok := c.r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return conn.SetWriteDeadline(time.Now()) // no more writes follow on a connection that has ended
}

// recordConnEnd logs the end of the caller's connection, unless the response is complete, the host has answered or the
// request has been logged as cut off.
func (c *call) recordConnEnd(by endCause, e *answer.Error) {
	if _, stopping := c.gateway.host.StopBegun(); stopping {
		c.gateway.inHand.countEnd(by)
	}
	if by == endComplete || by == endRefused || c.isCut() {
		return
	}
	p, fields := c.describe(time.Now())
	if p == phaseHead {
		fields.Request, fields.Organisation = c.info.ID, c.organisation
	}
	switch {
	case c.failedWrite != nil:
		fields.Detail = c.failedWrite.Error()
	case e != nil:
		fields.Detail = e.Error()
	}
	fields.Values = append(fields.Values, "ended_by", by.String(), "status", c.status)
	c.gateway.host.Log().Emit(event.ConnectionEnded, fields)
}
