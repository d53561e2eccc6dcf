package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/table"
)

// statusTimeout is the timeout of one status query. It equals the interval between two queries of
// the same target, which the reducer schedules.
const statusTimeout = 400 * time.Millisecond

// reportTargetListAge passes the time since the source last confirmed the list of targets to the
// reducer, which requests status queries when the list is stale. It does nothing on a host without a
// StatusQuerier.
func (h *Host) reportTargetListAge(timer *time.Timer) {
	if h.statusQuerier != nil && h.syncer != nil && h.HasTargets() {
		h.reduce(dispatch.FleetUnconfirmed{Age: h.syncer.Age()}, timer)
	}
}

// queryLeaving asks a target whether it is about to stop and passes a positive reply to the reducer.
func (h *Host) queryLeaving(t table.Target) {
	if !h.MaySend(t) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	leaving, left, err := h.statusQuerier.Leaving(ctx, t.Address)
	switch {
	case err != nil:
		// A failed query is only logged, because the streams on the target fail, too, if the
		// target is unreachable.
		h.log.Emit(event.TargetTold, event.Fields{Target: t.Name, Detail: err.Error()})
		return
	case !leaving:
		return
	}
	h.log.Emit(event.TargetTold, event.Fields{Target: t.Name, Values: []any{"leaving", true, "left_ms", left.Milliseconds()}})
	h.Post(dispatch.LeavingReply{Target: t.Name, Leaving: true, Remaining: left})
}
