package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

// LeavingRead passes to the reducer that the target of a response to the request has said that it leaves.
func (r *Request) LeavingRead(target string) { r.host.Post(dispatch.LeavingRead{Target: target}) }

// logLeaver logs that a target has said that it leaves, to this host or to another one.
func (h *Host) logLeaver(f dispatch.Effect) {
	h.log.Emit(event.TargetLeaving, event.Fields{Target: f.Target, Values: []any{"by", "response", "own", f.Own}})
}

// shareLeavers sends the targets that have said that they leave to all partners, soon and in the background.
func (h *Host) shareLeavers() {
	if h.mesh == nil {
		return
	}
	h.leaverSharing.start(func() {
		var leavers []dispatch.Leaver
		h.Inspect(func(r *dispatch.Reducer) { leavers = r.Leavers() })
		if len(leavers) == 0 {
			return
		}
		report := &wire.Report{}
		for _, l := range leavers {
			report.Leavers = append(report.Leavers, leaverToWire(l))
		}
		h.mesh.Broadcast(context.Background(), report)
	})
}

// handleLeavers passes another host's leaving targets to the reducer.
func (h peerHandler) handleLeavers(r *wire.Report) {
	var e dispatch.PeerLeavers
	for _, l := range r.Leavers {
		e.Leavers = append(e.Leavers, leaverFromWire(l))
	}
	h.Post(e)
}

func leaverToWire(l dispatch.Leaver) *wire.Leaver {
	out := &wire.Leaver{Target: l.Target}
	if !l.StartTime.IsZero() {
		out.Boot = l.StartTime.UnixMilli()
	}
	return out
}

// leaverFromWire is the inverse of leaverToWire.
func leaverFromWire(l *wire.Leaver) dispatch.Leaver {
	in := dispatch.Leaver{Target: l.Target}
	if l.Boot != 0 {
		in.StartTime = time.UnixMilli(l.Boot)
	}
	return in
}

// RestAsked passes to the reducer that a target has asked for rest, and to the host through which the request went.
func (r *Request) RestAsked(t table.Target, rest time.Duration, via string) {
	r.host.Post(dispatch.RestAsked{Target: t.Name, StartTime: t.StartTime, Rest: rest})
	if via == "" {
		return
	}
	message := &wire.Rest{Target: t.Name, Left: uint32(min(rest, time.Hour).Milliseconds())}
	if !t.StartTime.IsZero() {
		message.Boot = t.StartTime.UnixMilli()
	}
	for _, p := range r.host.livePeers() {
		if p.Host == via {
			go r.host.mesh.Send(context.Background(), p, &wire.Report{Rests: []*wire.Rest{message}})
		}
	}
}

// handleRests passes to the reducer which targets have asked for a time without requests of this host.
func (h peerHandler) handleRests(r *wire.Report) {
	for _, m := range r.Rests {
		l := leaverFromWire(&wire.Leaver{Target: m.Target, Boot: m.Boot})
		h.Post(dispatch.RestAsked{Target: l.Target, StartTime: l.StartTime, Rest: time.Duration(m.Left) * time.Millisecond})
	}
}
