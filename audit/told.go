package audit

import "time"

type (
	// LeavingPassedOn is a response by which a target says that it leaves.
	LeavingPassedOn struct {
		ID, Target string
		Via        string // host to whose address the response went; empty for the one that the caller sent the request to
	}

	// RestPassedOn is a refusal by which a target asks the host that receives it to send nothing for a while.
	RestPassedOn struct {
		ID, Target, Via string
		Rest            time.Duration
	}

	// hostTarget is a host and a target that has announced something in a response to it.
	hostTarget struct{ host, target string }

	// restPeriod is a time for which a target has asked a host to send no requests.
	restPeriod struct {
		from, to time.Time
		arrivals int
	}
)

const (
	restNotice   = 500 * time.Millisecond // time after a refusal from which requests count
	restArrivals = 2                      // requests that may reach the target in a rest in spite of it
)

// hostOf returns the host by which a request came to a target, or went back.
func (a *Audit) hostOf(id, via string) string {
	if via != "" {
		return via
	}
	return a.request(id).sent.Host
}

func (o LeavingPassedOn) apply(a *Audit, at time.Time) {
	key := hostTarget{a.hostOf(o.ID, o.Via), o.Target}
	if _, known := a.toldLeaving[key]; !known {
		a.toldLeaving[key] = at
	}
}

func (o RestPassedOn) apply(a *Audit, at time.Time) {
	key := hostTarget{a.hostOf(o.ID, o.Via), o.Target}
	a.rests[key] = append(a.rests[key], &restPeriod{from: at.Add(restNotice), to: at.Add(o.Rest)})
}

// checkTold requires that a host sends a target no request that its caller sent later than LeavingGrace after the
// target announced to the host that it leaves, and at most restArrivals in a time of rest. A fault of the host since then
// excuses it.
func (a *Audit) checkTold(q *request, o *RequestReceived, at time.Time) {
	key := hostTarget{a.hostOf(o.ID, o.Via), o.Target}
	if since, told := a.toldLeaving[key]; told && q.sentAt.After(since.Add(a.bounds.LeavingGrace)) && !a.hadFault(key.host, since, at) {
		a.addViolation(GuaranteeDrained, o.ID, at, "reached %s %s after it had told %s that it leaves", o.Target, at.Sub(since), key.host)
	}
	for _, r := range a.rests[key] {
		if at.Before(r.from) || !at.Before(r.to) {
			continue
		}
		if r.arrivals++; r.arrivals == restArrivals+1 && !a.hadFault(key.host, r.from.Add(-restNotice), at) {
			a.addViolation(GuaranteeBounded, o.ID, at, "reached %s, which had asked %s for rest until %s, as number %d", o.Target, key.host, r.to.Format("15:04:05.000"), r.arrivals)
		}
	}
}
