package audit

import "time"

// DomainEvacuated is the request to evacuate a failure domain, or its withdrawal.
type DomainEvacuated struct {
	Domain    string
	Withdrawn bool
}

func (o DomainEvacuated) apply(a *Audit, at time.Time) {
	if o.Withdrawn {
		delete(a.evacuatedSince, o.Domain)
		return
	}
	if _, known := a.evacuatedSince[o.Domain]; !known {
		a.evacuatedSince[o.Domain] = at
	}
}

// checkEvacuated requires that no request reaches a target of a domain later than EvacuateTime after the request to
// evacuate it. Faults excuse only a host that cannot have read of it in time: the source had a fault when the evacuation was
// requested, or the host has had one since and less than EvacuateTime ago.
func (a *Audit) checkEvacuated(q *request, o *RequestReceived, at time.Time) {
	since, evacuated := a.evacuatedSince[o.Domain]
	read := since.Add(a.bounds.EvacuateTime)
	if !evacuated || !at.After(read) || a.hadFault(ConfigSource, since, read) || a.hadFault(q.sent.Host, at.Add(-a.bounds.EvacuateTime), at) {
		return
	}
	a.addViolation(GuaranteeDrained, o.ID, at, "reached %s %s after the evacuation of %s was requested", o.Target, at.Sub(since), o.Domain)
}
