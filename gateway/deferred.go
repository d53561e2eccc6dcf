package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

// deferredStart holds the beginning of a stream back until the stream is sure to end before a stopping host does, this one or
// one that relays its connection, or has ended. Until then its caller can still get an error in place of a part of the
// response. The zero value defers nothing.
type deferredStart struct {
	limit    dispatch.StopLimit // guarded by callPhase.mu
	response *http.Response     // with the status and header of the response; nil if nothing is held back
	events   []byte             // events that are held back
	first    time.Time          // arrival of the first event; zero before it
	early    int                // events that arrived with the first one
	duration time.Duration      // for which the response was deferred
	holds    atomic.Bool        // whether the response has not begun although events have arrived; safe for concurrent use
}

const (
	// maxDeferredBytes limits the events that are held back of a stream. Streams that end within a stop are shorter.
	maxDeferredBytes = 32 << 10

	// deferralReserve is the time before the end of its caller's patience at which a deferred response begins at the latest.
	deferralReserve = 250 * time.Millisecond
)

// mustDefer reports whether the events of the stream, of which the latest have just arrived, are held back. Events whose caller would
// leave meanwhile are not.
func (a *attempt) mustDefer() bool {
	if a.written.Load() {
		return false
	}
	d, limit := &a.deferred, a.startLimit()
	if limit.Until.IsZero() || len(d.events) >= maxDeferredBytes {
		return false
	}
	now := time.Now()
	if d.first.IsZero() {
		d.first, d.early = now, a.events.eventCount
	}
	pace := dispatch.StreamPace{
		Tokens: a.events.eventCount * a.tokensPerEvent, Later: (a.events.eventCount - d.early) * a.tokensPerEvent, Elapsed: now.Sub(d.first),
	}
	if limit.EndsInTime(now, pace) {
		return false
	}
	left := a.streamPatience() - deferralReserve - now.Sub(a.started)
	return left <= 0 || limit.Deferral(now, pace) <= left
}

// limitStart records that the connection of the stream ends at the given time, if that is not zero.
func (a *attempt) limitStart(end time.Time) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.deferred.limit = a.deferred.limit.Before(end)
}

func (a *attempt) startLimit() dispatch.StopLimit {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.deferred.limit
}

// add holds events of a response back.
func (d *deferredStart) add(resp *http.Response, events []byte) {
	if d.response == nil {
		d.response = resp
		d.holds.Store(true)
	}
	d.events = append(d.events, events...)
}

// beginStream sends the status and header of the stream's first response to the caller, which is resp if nothing was held
// back, and returns the events that were held back and then next, which are to be sent now.
func (a *attempt) beginStream(resp *http.Response, next []byte) []byte {
	d := &a.deferred
	if d.response != nil {
		resp, next = d.response, append(d.events, next...)
		d.response, d.events, d.duration = nil, nil, time.Since(d.first)
	}
	a.copyHeader(resp.Header)
	a.writeHeader(resp.StatusCode)
	d.holds.Store(false) // after writeHeader, so that endUnsent never takes the call for one without a response
	return next
}
