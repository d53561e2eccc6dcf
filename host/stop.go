package host

import (
	"cmp"
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
)

// Stop refuses new requests, waits until no request is in flight, and hands over the ticket records to
// a peer. It reports false if ctx is done before the last request has ended, and immediately if Stop
// was called before.
func (h *Host) Stop(ctx context.Context) bool {
	if h.stopping.Swap(true) {
		return false
	}
	close(h.stopSignal)
	h.stopRecord.begin(time.Now(), h.InFlightCount())
	h.log.Emit(event.HostStopping, event.Fields{})
	until, _ := ctx.Deadline() // zero if there is none
	h.Post(dispatch.Stop{Until: until, Closed: true})
	select {
	case <-h.inFlight.drained():
		h.handOverTickets(ctx)
		h.log.Emit(event.HostStopped, event.Fields{})
		return true
	case <-ctx.Done():
		return false
	}
}

// Draining reports whether Drain or Stop has been called.
func (h *Host) Draining() bool { return h.draining.Load() || h.stopping.Load() }

// Drain makes the host not ready. Until the given time it still accepts requests that are certain to
// end by then, because senders of requests need some time to detect that it is not ready.
func (h *Host) Drain(until time.Time) {
	h.drainUntil.Store(&until)
	if !h.draining.Swap(true) {
		open := h.InFlightCount()
		h.stopRecord.begin(time.Now(), open)
		h.log.Emit(event.HostStopping, event.Fields{Values: []any{
			"open", open, "until_ms", time.Until(until).Milliseconds(), "until", until.UTC().Format(time.RFC3339Nano),
		}})
		h.Post(dispatch.Stop{Until: until})
	}
}

// relayReserve is the time before the stop of a host from which it opens no connections for peers that do not
// say for how long they need them: it leaves most calls time to end.
const relayReserve = 2 * time.Second

// mayRelay reports whether the host opens connections for peers. A stopping host does, since it may be the only
// one with connections to targets, if they are not needed for longer than it has left. needed is 0 if the peer does not
// say.
func (h *Host) mayRelay(now time.Time, needed time.Duration) bool {
	if h.stopping.Load() || h.relaysEnded.Load() {
		return false
	}
	until := h.drainUntil.Load()
	return until == nil || now.Add(cmp.Or(needed, relayReserve)).Before(*until)
}

// EndRelays refuses to open connections for peers from now on, and waits for those that are open, until the stop that
// Drain has announced. It does not wait if there was none.
func (h *Host) EndRelays(ctx context.Context) {
	h.relaysEnded.Store(true)
	until := h.drainUntil.Load()
	if until == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, *until)
	defer cancel()
	select {
	case <-h.inFlight.drained():
	case <-ctx.Done():
	}
}
