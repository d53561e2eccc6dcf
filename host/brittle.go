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

// BrittleRead passes to the reducer what a response to the request says about refusals that its target survives.
func (r *Request) BrittleRead(e dispatch.BrittleRead) { r.host.Post(e) }

// releasePlace reports a free place at a brittle target to the arbiter of the target's failure domain.
func (h *Host) releasePlace(f dispatch.Effect) {
	_, from, local, err := h.askArbiter(f.To.Domain, &wire.Question{Release: &wire.Release{Target: f.Target, Domain: f.To.Domain, Lease: f.Lease, Refused: f.Refused}})
	switch {
	case local:
		h.Post(dispatch.PlaceReleased{Target: f.Target, Lease: f.Lease, Refused: f.Refused})
	case err != nil:
		// The place ends by itself after a while.
		h.log.Emit(event.PeerRefused, event.Fields{Peer: from, Target: f.Target, Detail: "a place was not given back: " + err.Error()})
	}
}

// answerRelease records that a place is free, or passes that on to the arbiter.
func (h *Host) answerRelease(ctx context.Context, q *wire.Release) {
	relayed := q.Relayed
	q.Relayed = true
	if _, local := h.relayToArbiter(ctx, q.Domain, relayed, &wire.Question{Release: q}); local {
		h.Post(dispatch.PlaceReleased{Target: q.Target, Lease: q.Lease, Refused: q.Refused})
	}
}

// logFragility logs a change of what the targets of a pool say about refusals.
func (h *Host) logFragility(f dispatch.Effect) {
	record := f.Fragility.Record
	h.log.Emit(event.TargetsBrittle, event.Fields{Values: []any{
		"pool", f.Name, "brittle", record.Named, "refusals", record.Rate, "own", f.Own, "age_ms", time.Since(record.At).Milliseconds(),
	}})
}

// shareFragilities sends the records of brittle pools to all partners, soon and in the background.
func (h *Host) shareFragilities() {
	if h.mesh == nil {
		return
	}
	h.brittleSharing.start(func() {
		now := time.Now()
		var records []dispatch.PoolFragility
		h.Inspect(func(r *dispatch.Reducer) { records = r.Fragilities(now) })
		if len(records) == 0 {
			return
		}
		report := &wire.Report{}
		for _, f := range records {
			report.Fragilities = append(report.Fragilities, &wire.Fragility{
				Pool: f.Pool, Named: f.Record.Named, Refusals: f.Record.Rate,
				Age: uint32(min(max(now.Sub(f.Record.At).Milliseconds(), 0), math.MaxUint32)),
			})
		}
		h.mesh.Broadcast(context.Background(), report)
	})
}

// handleFragilities passes another host's records of brittle pools to the reducer.
func (h peerHandler) handleFragilities(r *wire.Report) {
	now := time.Now()
	var e dispatch.PeerFragilities
	for _, f := range r.Fragilities {
		e.Records = append(e.Records, dispatch.PoolFragility{Pool: f.Pool, Record: limit.Record{
			Reading: limit.Reading{Named: f.Named, Rate: f.Refusals}, At: now.Add(-time.Duration(f.Age) * time.Millisecond),
		}})
	}
	h.Post(e)
}
