package host

import (
	"context"
	"math"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/wire"
)

// reserveRetryDelay is the time after a question without an answer in which no place at the target is
// asked for.
const reserveRetryDelay = 300 * time.Millisecond

// LimitRead passes to the reducer what a response to the request says about its target's limit.
func (r *Request) LimitRead(e dispatch.LimitRead) { r.host.Post(e) }

// reserve asks for a place at a target, and passes the result to the reducer.
func (h *Host) reserve(f dispatch.Effect) {
	began := time.Now()
	reply, from, err := h.askForPlace(f)
	fields := event.Fields{Request: f.Name, Target: f.Target, Peer: from, Values: []any{
		"ms", time.Since(began).Milliseconds(), "limit", f.Limit.Record.Rate, "within_ms", f.Within.Milliseconds(),
		"granted", reply.Granted, "wait_ms", reply.Wait.Milliseconds(),
	}}
	if err != nil {
		fields.Detail = err.Error()
		reply = dispatch.PlaceReply{Wait: reserveRetryDelay, Later: true, Limit: dispatch.TargetLimit{Target: f.Target, StartTime: f.To.StartTime}}
	}
	h.log.Emit(event.PlaceAsked, fields)
	reply.ID = f.ID
	h.Post(reply)
}

// askForPlace asks the arbiter of the target's failure domain, which gives out its places. It also returns
// that host's name, which is empty for this one.
func (h *Host) askForPlace(f dispatch.Effect) (reply dispatch.PlaceReply, from string, err error) {
	a, from, local, err := h.askArbiter(f.To.Domain, &wire.Question{Reserve: &wire.Reserve{
		Limit: limitToWire(f.Limit, time.Now()), Domain: f.To.Domain, Within: uint32(f.Within.Milliseconds()), Name: f.Name, Origin: h.name, Brittle: f.Brittle, Cold: uint32(f.Limit.Cold.Milliseconds()),
	}})
	switch {
	case err != nil:
		return reply, from, err
	case local:
		return h.givePlace(f.Limit, f.Brittle, f.Within, f.To.Domain), "", nil
	case a.Reserved == nil || a.Reserved.Declined:
		return reply, from, errDeclined
	}
	reply = placeReplyFromWire(a.Reserved, time.Now())
	if f.Limit.Cold > 0 {
		// An earlier build replies with the rate of the question as one that the target names.
		reply.Limit.Record = limit.Record{}
	}
	return reply, from, nil
}

// givePlace gives out a place at a target of a failure domain as the reducer decides.
func (h *Host) givePlace(l dispatch.TargetLimit, brittle bool, within time.Duration, domain string) (reply dispatch.PlaceReply) {
	part := 1.0
	if h.mesh != nil {
		part = h.mesh.LivePart(domain)
	}
	h.Inspect(func(r *dispatch.Reducer) { reply = r.Reserve(l, brittle, within, part, time.Now()) })
	return reply
}

// answerReserve answers another host's question for a place.
func (h *Host) answerReserve(ctx context.Context, q *wire.Reserve) *wire.Reserved {
	if q.Limit == nil {
		return &wire.Reserved{Declined: true}
	}
	relayed := q.Relayed
	q.Relayed = true
	a, local := h.relayToArbiter(ctx, q.Domain, relayed, &wire.Question{Reserve: q})
	switch {
	case local:
		now := time.Now()
		asked := limitFromWire(q.Limit, now)
		asked.Cold = time.Duration(q.Cold) * time.Millisecond
		return placeReplyToWire(h.givePlace(asked, q.Brittle, time.Duration(q.Within)*time.Millisecond, q.Domain), now)
	case a == nil || a.Reserved == nil:
		return &wire.Reserved{Declined: true}
	}
	return a.Reserved
}

// shareLimits sends the records of limits to all partners, soon and in the background.
func (h *Host) shareLimits() {
	if h.mesh == nil {
		return
	}
	h.limitSharing.start(func() {
		now := time.Now()
		var records []dispatch.TargetLimit
		h.Inspect(func(r *dispatch.Reducer) { records = r.LimitRecords(now) })
		if len(records) == 0 {
			return
		}
		report := &wire.Report{}
		for _, l := range records {
			report.Limits = append(report.Limits, limitToWire(l, now))
		}
		h.mesh.Broadcast(context.Background(), report)
	})
}

// handleLimits passes another host's records of limits to the reducer.
func (h peerHandler) handleLimits(r *wire.Report) {
	now := time.Now()
	var e dispatch.PeerLimits
	for _, l := range r.Limits {
		e.Limits = append(e.Limits, limitFromWire(l, now))
	}
	h.Post(e)
}

// logLimit logs a change of a target's limit.
func (h *Host) logLimit(f dispatch.Effect) {
	record := f.Limit.Record
	h.log.Emit(event.TargetLimited, event.Fields{Target: f.Target, Values: []any{
		"limited", record.Named, "limit", record.Rate, "own", f.Own, "age_ms", time.Since(record.At).Milliseconds(),
	}})
}

// logCold logs that a target has become cold, or is cold no longer.
func (h *Host) logCold(f dispatch.Effect) {
	rate := 0.0
	if f.Limit.Cold > 0 {
		rate = f.Limit.Record.Rate
	}
	h.log.Emit(event.TargetCold, event.Fields{Target: f.Target, Values: []any{"cold", f.Limit.Cold > 0, "left_ms", f.Limit.Cold.Milliseconds(), "rate", rate}})
}

// limitToWire returns a record in the form of messages between hosts. Times become ages, as the clocks of
// hosts differ.
func limitToWire(l dispatch.TargetLimit, now time.Time) *wire.Limit {
	out := &wire.Limit{
		Target: l.Target, Named: l.Record.Named, Rate: l.Record.Rate, Age: uint32(min(max(now.Sub(l.Record.At).Milliseconds(), 0), math.MaxUint32)),
	}
	if !l.StartTime.IsZero() {
		out.Boot = l.StartTime.UnixMilli()
	}
	return out
}

// limitFromWire is the inverse of limitToWire.
func limitFromWire(l *wire.Limit, now time.Time) dispatch.TargetLimit {
	in := dispatch.TargetLimit{Target: l.Target, Record: limit.Record{
		Reading: limit.Reading{Named: l.Named, Rate: l.Rate}, At: now.Add(-time.Duration(l.Age) * time.Millisecond),
	}}
	if l.Boot != 0 {
		in.StartTime = time.UnixMilli(l.Boot)
	}
	return in
}

func placeReplyToWire(r dispatch.PlaceReply, now time.Time) *wire.Reserved {
	return &wire.Reserved{Granted: r.Granted, Wait: uint32(r.Wait.Microseconds()), Later: r.Later, Lease: r.Lease, Limit: limitToWire(r.Limit, now)}
}

// placeReplyFromWire is the inverse of placeReplyToWire.
func placeReplyFromWire(r *wire.Reserved, now time.Time) dispatch.PlaceReply {
	reply := dispatch.PlaceReply{Granted: r.Granted, Later: r.Later, Lease: r.Lease, Wait: time.Duration(r.Wait) * time.Microsecond}
	if r.Limit != nil {
		reply.Limit = limitFromWire(r.Limit, now)
	}
	return reply
}
