package host

import (
	"context"
	"strconv"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/wire"
)

// trialDomain is the failure domain whose arbiter allows trials: none in particular, as a harmful request
// crashes the targets of all domains.
const trialDomain = ""

// try asks whether a suspected request may be sent to a target, and passes the result to the reducer.
// If the arbiter cannot be reached, this host decides by itself.
func (h *Host) try(f dispatch.Effect) {
	asked := dispatch.TrialRequest{Asker: h.origin() + "/" + strconv.FormatUint(uint64(f.ID), 10), Part: f.Part, Crashes: f.Crashes, Life: f.Within}
	a, from, local, err := h.askArbiter(trialDomain, &wire.Question{Trial: trialToWire(asked)})
	if err == nil && !local && (a.Tried == nil || a.Tried.Declined) {
		err = errDeclined
	}
	fields := event.Fields{Request: f.Name, Peer: from}
	var reply dispatch.TrialReply
	switch {
	case err != nil:
		fields.Detail = err.Error()
		reply = h.allowTrial(asked)
	case local:
		reply = h.allowTrial(asked)
	default:
		reply = dispatch.TrialReply{Granted: a.Tried.Granted, Wait: time.Duration(a.Tried.Wait) * time.Millisecond}
	}
	fields.Values = append(partValues(f.Part), "crashes", f.Crashes, "granted", reply.Granted, "wait_ms", reply.Wait.Milliseconds())
	h.log.Emit(event.TrialAsked, fields)
	reply.ID = f.ID
	h.Post(reply)
}

// allowTrial decides about a trial as the reducer does.
func (h *Host) allowTrial(q dispatch.TrialRequest) (reply dispatch.TrialReply) {
	h.Inspect(func(r *dispatch.Reducer) { reply = r.AllowTrial(q, time.Now()) })
	return reply
}

// answerTrial answers another host's question for a trial.
func (h *Host) answerTrial(ctx context.Context, q *wire.Trial) *wire.Tried {
	relayed := q.Relayed
	q.Relayed = true
	a, local := h.relayToArbiter(ctx, trialDomain, relayed, &wire.Question{Trial: q})
	switch {
	case local:
		reply := h.allowTrial(trialFromWire(q))
		return &wire.Tried{Granted: reply.Granted, Wait: uint32(reply.Wait.Milliseconds())}
	case a == nil || a.Tried == nil:
		return &wire.Tried{Declined: true}
	}
	return a.Tried
}

func trialToWire(q dispatch.TrialRequest) *wire.Trial {
	return &wire.Trial{
		Pool: q.Part.Pool, Part: q.Part.ID, Organisation: q.Part.Organisation, Crashes: uint32(q.Crashes),
		Life: uint32(q.Life.Milliseconds()), Asker: q.Asker,
	}
}

// trialFromWire is the inverse of trialToWire.
func trialFromWire(q *wire.Trial) dispatch.TrialRequest {
	return dispatch.TrialRequest{
		Asker: q.Asker, Part: quarantine.Part{Pool: q.Pool, ID: q.Part, Organisation: q.Organisation},
		Crashes: int(q.Crashes), Life: time.Duration(q.Life) * time.Millisecond,
	}
}
