package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
)

// Stop takes no new requests and waits until the open ones have ended, or until
// ctx ends. It reports whether nothing was left.
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

// Draining reports whether the host is about to stop, or stopping.
func (h *Host) Draining() bool { return h.draining.Load() || h.stopping.Load() }

// Drain makes the host unready while it goes on taking requests that are sure to end
// before it does: whoever sends callers to it takes some time to notice.
func (h *Host) Drain(until time.Time) {
	if !h.draining.Swap(true) {
		h.log.Emit(event.HostStopping, event.Fields{Values: []any{"open", h.Active(), "until_ms", time.Until(until).Milliseconds()}})
		h.Post(dispatch.Stop{Until: until})
	}
}
