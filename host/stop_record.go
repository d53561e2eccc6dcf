package host

import (
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
)

type (
	// stopRecord holds when the host began to stop, and counts its requests from then on. The zero value is that of a
	// host that does not stop.
	stopRecord struct {
		begun                         atomic.Pointer[time.Time] // nil before the host has begun to stop
		inFlight                      atomic.Int64              // requests in flight at that time
		accepted, dispatched, refused atomic.Int64              // since then
	}

	// StopCounts are numbers of requests of a stopping host. All are 0 before its stop.
	StopCounts struct {
		InFlight   int // in flight when the stop began
		Accepted   int // accepted since then
		Dispatched int // dispatches since then
		Refused    int // refused since then
	}
)

// maxHeldLines limits the lines about requests that are held when a stop begins.
const maxHeldLines = 256

func (s *stopRecord) begin(now time.Time, inFlight int) {
	if s.begun.CompareAndSwap(nil, &now) {
		s.inFlight.Store(int64(inFlight))
	}
}

// count increments a counter if the stop has begun.
func (s *stopRecord) count(n *atomic.Int64) {
	if s.begun.Load() != nil {
		n.Add(1)
	}
}

// StopCounts returns the numbers of requests since the host began to stop.
func (h *Host) StopCounts() StopCounts {
	s := &h.stopRecord
	return StopCounts{int(s.inFlight.Load()), int(s.accepted.Load()), int(s.dispatched.Load()), int(s.refused.Load())}
}

// StopBegun returns the time at which the host began to stop, and false if it has not.
func (h *Host) StopBegun() (time.Time, bool) {
	if begun := h.stopRecord.begun.Load(); begun != nil {
		return *begun, true
	}
	return time.Time{}, false
}

// StopTimeLeft returns the time between at and the announced end of the host, and false if none is announced.
func (h *Host) StopTimeLeft(at time.Time) (time.Duration, bool) {
	if until := h.drainUntil.Load(); until != nil {
		return until.Sub(at), true
	}
	return 0, false
}

// StopValues returns the time since the host began to stop, and the time until its end, as key-value pairs for the
// event log. It returns nil if the host does not stop.
func (h *Host) StopValues(now time.Time) []any {
	begun, stopping := h.StopBegun()
	if !stopping {
		return nil
	}
	out := []any{"since_stop_ms", now.Sub(begun).Milliseconds()}
	if left, announced := h.StopTimeLeft(now); announced {
		out = append(out, "stop_left_ms", left.Milliseconds())
	}
	return out
}

// requestStopValues returns StopValues with what the stop means for a request.
func (h *Host) requestStopValues(r *Request) []any {
	out := h.StopValues(time.Now())
	if out == nil {
		return nil
	}
	return append(out, "estimate_ms", r.RunEstimate().Milliseconds(), "arrived", h.Arrival(r.submitted))
}

// RunEstimate returns the assumed time from the dispatch of the request to its end; see dispatch.Reducer.RunEstimate.
func (r *Request) RunEstimate() time.Duration { return time.Duration(r.estimate.Load()) }

// SubmittedAt returns the time of Submit or Attach.
func (r *Request) SubmittedAt() time.Time { return r.submitted }

// Arrival returns "before" or "after" for a request that arrived at the given time, before the host began to stop or
// since then.
func (h *Host) Arrival(at time.Time) string {
	if begun, stopping := h.StopBegun(); stopping && !at.Before(begun) {
		return "after"
	}
	return "before"
}

// logHeld logs the requests that are held when the host begins to stop, and one that is accepted since then and not
// dispatched at once, after the reducer has processed the message.
func (h *Host) logHeld(m message) {
	if _, stopping := h.StopBegun(); !stopping {
		return
	}
	switch e := m.event.(type) {
	case dispatch.Stop:
		lines := 0
		for _, r := range h.requests {
			if r.target == "" && lines < maxHeldLines {
				lines++
				h.logHeldRequest(r)
			}
		}
	case dispatch.Submit:
		r := h.requests[e.ID]
		if r == nil {
			return // refused
		}
		h.stopRecord.accepted.Add(1)
		if r.target == "" {
			h.logHeldRequest(r)
		}
	}
}

func (h *Host) logHeldRequest(r *Request) {
	h.log.Emit(event.RequestHeld, event.Fields{
		Request: r.Name, Organisation: r.Submit.Organisation,
		Values: append([]any{"held_ms", time.Since(r.submitted).Milliseconds()}, h.requestStopValues(r)...),
	})
}
