package host

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

const (
	// probeDelay is the time after which a target that accepted a connection is probed again. A process
	// that ends may close its connections before its listener.
	probeDelay = 50 * time.Millisecond

	// probeTimeout is the timeout of the probes. A target that does not answer counts as not crashed.
	probeTimeout = 400 * time.Millisecond

	// shareDelay is the time for which changes of records that hosts share are collected before
	// they are sent.
	shareDelay = 20 * time.Millisecond
)

// sharing coalesces requests to send the records of one type to the peers. The zero value is ready for
// use.
type sharing struct{ due atomic.Bool }

// start calls send in the background after shareDelay, unless a call is due already.
func (s *sharing) start(send func()) {
	if !s.due.CompareAndSwap(false, true) {
		return
	}
	go func() {
		pause.For(context.Background(), shareDelay)
		s.due.Store(false)
		send()
	}()
}

// probe finds out whether the process of a target has ended, and passes the result to the reducer. Nobody
// listens at the address of a process that has ended; one that is silent or resets connections still lives.
func (h *Host) probe(t table.Target) {
	if !h.MaySend(t) {
		h.Post(dispatch.Probed{Target: t.Name})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := h.connect(ctx, t)
	if err == nil {
		pause.For(ctx, probeDelay)
		err = h.connect(ctx, t)
	}
	gone := errors.Is(err, syscall.ECONNREFUSED)
	fields := event.Fields{Target: t.Name, Values: []any{"gone", gone}}
	if err != nil {
		fields.Detail = err.Error()
	}
	h.log.Emit(event.TargetProbed, fields)
	h.Post(dispatch.Probed{Target: t.Name, Gone: gone})
}

// connect opens a connection to a target and closes it.
func (h *Host) connect(ctx context.Context, t table.Target) error {
	c, err := h.network.Dial(ctx, t.Address)
	if err == nil {
		_ = c.Close() // nothing was sent
	}
	return err
}

// shareSuspects sends the records of suspected requests and prompt parts to all partners, soon and in the
// background.
func (h *Host) shareSuspects() {
	if h.mesh == nil {
		return
	}
	h.suspectSharing.start(func() {
		now := time.Now()
		var records []quarantine.Record
		h.Inspect(func(r *dispatch.Reducer) { records = r.SuspectRecords(now) })
		if len(records) > 0 {
			h.mesh.Broadcast(context.Background(), &wire.Report{Suspects: suspectsToWire(records, now)})
		}
	})
}

// logPart logs a change of what is known about a request or a prompt part.
func (h *Host) logPart(f dispatch.Effect) {
	n := event.PartSuspected
	switch f.Kind {
	case dispatch.EffectQuarantined:
		n = event.PartQuarantined
	case dispatch.EffectCleared:
		n = event.PartCleared
	}
	h.log.Emit(n, event.Fields{Target: f.Target, Values: partValues(f.Part)})
}

// partValues returns a part as key-value pairs for the event log.
func partValues(p quarantine.Part) []any {
	if p.IsRequest() {
		return []any{"pool", p.Pool, "digest", strconv.FormatUint(p.ID, 16), "caller", p.Organisation}
	}
	return []any{"pool", p.Pool, "part", strconv.FormatUint(p.ID, 16)}
}

// handleSuspects passes another host's records of suspected requests and prompt parts to the reducer.
func (h peerHandler) handleSuspects(r *wire.Report) {
	h.Post(dispatch.Suspects{Records: suspectsFromWire(r.Suspects, time.Now())})
}

// suspectsToWire returns records in the form of messages between hosts. Times become ages, as the
// clocks of hosts differ.
func suspectsToWire(records []quarantine.Record, now time.Time) []*wire.Suspect {
	out := make([]*wire.Suspect, 0, len(records))
	for _, r := range records {
		s := &wire.Suspect{Pool: r.Part.Pool, Part: r.Part.ID, Organisation: r.Part.Organisation, Answered: r.Answered}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, &wire.Crash{Target: c.Target, Age: uint32(max(now.Sub(c.At), 0).Milliseconds()), Excused: c.Excused})
		}
		out = append(out, s)
	}
	return out
}

// suspectsFromWire is the inverse of suspectsToWire.
func suspectsFromWire(suspects []*wire.Suspect, now time.Time) []quarantine.Record {
	out := make([]quarantine.Record, 0, len(suspects))
	for _, s := range suspects {
		r := quarantine.Record{Part: quarantine.Part{Pool: s.Pool, ID: s.Part, Organisation: s.Organisation}, Answered: s.Answered}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, quarantine.Crash{Target: c.Target, At: now.Add(-time.Duration(c.Age) * time.Millisecond), Excused: c.Excused})
		}
		out = append(out, r)
	}
	return out
}
