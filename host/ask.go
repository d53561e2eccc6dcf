package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/table"
)

// statusTimeout bounds how long a target is asked; the next question comes then.
const statusTimeout = 400 * time.Millisecond

// reportListAge tells the reducer how old the list of targets is, if targets can be asked instead.
func (h *Host) reportListAge(timer *time.Timer) {
	if h.asker != nil && h.syncer != nil && h.Listed() {
		h.reduce(dispatch.Blind{Age: h.syncer.Age()}, timer)
	}
}

// queryLeaving asks a target whether it is leaving.
func (h *Host) queryLeaving(t table.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	leaving, left, err := h.asker.Leaving(ctx, t.Address)
	switch {
	case err != nil:
		// Nothing follows from silence: the streams there show whether it lives.
		h.log.Emit(event.TargetTold, event.Fields{Target: t.Name, Detail: err.Error()})
		return
	case !leaving:
		return
	}
	h.log.Emit(event.TargetTold, event.Fields{Target: t.Name, Values: []any{"leaving", true, "left_ms", left.Milliseconds()}})
	h.Post(dispatch.Told{Target: t.Name, Leaving: true, Left: left})
}
