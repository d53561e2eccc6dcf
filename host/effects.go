package host

import (
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
)

// perform performs an effect of the reducer. An effect for a request that has ended is dropped.
func (h *Host) perform(f dispatch.Effect, timer *time.Timer) {
	if f.Kind == dispatch.EffectTimer {
		timer.Reset(time.Until(f.At))
		return
	}
	if h.performShared(f) {
		return
	}
	if f.Remote != "" {
		h.performRemote(f)
		return
	}
	r := h.requests[f.ID]
	if r == nil || h.performExtra(r, f) {
		return
	}
	switch f.Kind {
	case dispatch.EffectDispatch:
		r.target = f.Target
		h.log.Emit(event.RequestDispatched, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Target: f.Target,
			Values: append(append(h.basisValues(f.Basis), "backup", f.Backup.Name), h.requestStopValues(r)...),
		})
		h.stopRecord.count(&h.stopRecord.dispatched)
		r.deliver(f)
	case dispatch.EffectPlace:
		go h.place(f.Placement)
	case dispatch.EffectRefuse:
		delete(h.requests, f.ID)
		h.logReadmission(f, r.Name)
		h.log.Emit(event.RequestRefused, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Detail: f.Answer.String(),
			Values: append(append(h.basisValues(f.Basis), "retry_ms", f.RetryAfter.Milliseconds()), h.requestStopValues(r)...),
		})
		h.stopRecord.count(&h.stopRecord.refused)
		r.deliver(f)
	case dispatch.EffectMove:
		r.moveTarget = f.To.Name
		h.log.Emit(event.MoveAsked, event.Fields{
			Request: r.Name, Organisation: r.Submit.Organisation, Target: f.Target,
			Values: append(append(h.basisValues(f.Basis), "to", f.To.Name, "backup", f.ToBackup, "next_backup", f.Backup.Name), h.requestStopValues(r)...),
		})
		r.deliverMove(f)
	case dispatch.EffectNoMove:
		r.deliverMove(f)
	case dispatch.EffectResume:
		r.Progress.Reconnect()
	case dispatch.EffectCancel:
		delete(h.requests, f.ID)
		h.log.Emit(event.RequestCancelled, event.Fields{Request: r.Name, Target: f.Target})
		r.cancel()
	}
}

// performShared performs an effect that concerns no single request. It reports false for the others.
func (h *Host) performShared(f dispatch.Effect) bool {
	switch f.Kind {
	case dispatch.EffectQueryLeaving:
		go h.queryLeaving(f.To)
	case dispatch.EffectProbe:
		go h.probe(f.To)
	case dispatch.EffectShareSuspects:
		h.shareSuspects()
	case dispatch.EffectSuspected, dispatch.EffectQuarantined, dispatch.EffectCleared:
		h.logPart(f)
	case dispatch.EffectReserve:
		go h.reserve(f)
	case dispatch.EffectTrial:
		go h.try(f)
	case dispatch.EffectCold:
		h.logCold(f)
	case dispatch.EffectLimited:
		h.logLimit(f)
	case dispatch.EffectShareLimits:
		h.shareLimits()
	case dispatch.EffectBrittle:
		h.logFragility(f)
	case dispatch.EffectShareFragilities:
		h.shareFragilities()
	case dispatch.EffectRelease:
		go h.releasePlace(f)
	case dispatch.EffectUneven:
		h.log.Emit(event.EnginesUneven, event.Fields{Values: []any{
			"pool", f.Name, "uneven", f.Spread.Uneven, "known", f.Spread.Known,
			"fastest_us", f.Spread.Fastest.Microseconds(), "median_us", f.Spread.Median.Microseconds(), "slowest_us", f.Spread.Slowest.Microseconds(),
		}})
	case dispatch.EffectEvacuated, dispatch.EffectEmptied, dispatch.EffectReadmitted:
		h.logEvacuation(f)
	case dispatch.EffectLeaver:
		h.logLeaver(f)
	case dispatch.EffectShareLeavers:
		h.shareLeavers()
	default:
		return false
	}
	return true
}

// basisValues returns the inputs of a decision of the reducer, and the age of the list of targets,
// as key-value pairs for the event log.
func (h *Host) basisValues(b dispatch.Basis) []any {
	out := []any{
		"attempt", b.Attempt, "held_ms", b.HeldFor.Milliseconds(), "streams", b.Streams,
		"targets", b.Targets, "open", b.AcceptingTargets, "room", b.TargetsWithCapacity, "table_in_force", b.TableVersion,
	}
	if b.WaitCause != dispatch.WaitNone {
		out = append(out, "waited_for", b.WaitCause.String())
	}
	if b.Excluded > 0 {
		out = append(out, "excluded", b.Excluded)
	}
	if b.ExpectedLate > 0 {
		out = append(out, "expected_late", b.ExpectedLate)
	}
	if b.Readmission.Returning {
		out = append(out, "returning", true)
	}
	if b.OtherDomain {
		out = append(out, "away", true)
	}
	if h.syncer != nil {
		out = append(out, "fleet", b.FleetRevision, "fleet_age_ms", h.syncer.Age().Milliseconds())
	}
	return out
}

// logReadmission logs a refusal that states when capacity is forecast to be available.
func (h *Host) logReadmission(f dispatch.Effect, request string) {
	if b := f.Basis.Readmission; b.Promised {
		h.log.Emit(event.ReturnPromised, event.Fields{Request: request, Values: []any{
			"retry_ms", f.RetryAfter.Milliseconds(), "forecast_ms", b.Wait.Milliseconds(), "hopeless", b.Hopeless, "returning", b.Returning, "origin", f.Remote,
		}})
	}
}

// deliver sends a decision to the goroutine that calls WaitDecision. It does not block: the buffer has
// space for all decisions about one request.
func (r *Request) deliver(f dispatch.Effect) {
	select {
	case r.decisions <- f:
	default:
	}
}
