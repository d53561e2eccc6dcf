package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/table"
)

// statusTimeout is the timeout of one status query, equal to the interval between queries of
// one target.
const statusTimeout = 400 * time.Millisecond

// reportTargetListAge passes the age of the list of targets to the reducer. It does nothing on a host
// that cannot query targets for their status.
func (h *Host) reportTargetListAge(timer *time.Timer) {
	if h.statusQuerier != nil && h.syncer != nil && h.HasTargets() {
		h.reduce(dispatch.FleetUnconfirmed{Age: h.syncer.Age()}, timer)
	}
}

// queryLeaving queries a target whether it is about to stop and passes a positive answer to the
// reducer.
func (h *Host) queryLeaving(t table.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	leaving, left, err := h.statusQuerier.Leaving(ctx, t.Address)
	switch {
	case err != nil:
		// A failed query is only logged: the streams on the target show whether it is alive.
		h.log.Emit(event.TargetTold, event.Fields{Target: t.Name, Detail: err.Error()})
		return
	case !leaving:
		return
	}
	h.log.Emit(event.TargetTold, event.Fields{Target: t.Name, Values: []any{"leaving", true, "left_ms", left.Milliseconds()}})
	h.Post(dispatch.LeavingReply{Target: t.Name, Leaving: true, Left: left})
}
