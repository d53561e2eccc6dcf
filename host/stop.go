package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
)

// Stop refuses new requests and waits until no request is in flight or ctx is done. It reports
// whether all requests ended; a second call reports false at once.
func (h *Host) Stop(ctx context.Context) bool {
	if h.stopping.Swap(true) {
		return false
	}
	close(h.stopSignal)
	h.log.Emit(event.HostStopping, event.Fields{})
	h.Post(dispatch.Stop{})
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

// Drain makes the host unready. Until the given time it still accepts requests that are sure
// to end before it stops, because senders need some time to notice that it is unready.
func (h *Host) Drain(until time.Time) {
	if !h.draining.Swap(true) {
		h.log.Emit(event.HostStopping, event.Fields{Values: []any{"open", h.InFlight(), "until_ms", time.Until(until).Milliseconds()}})
		h.Post(dispatch.Stop{Until: until})
	}
}
