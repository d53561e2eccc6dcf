package audit

import "time"

type (
	// TargetCold is the announcement that a target is cold for a time, or that it is not.
	TargetCold struct {
		Target string
		Rate   float64 // requests a second that it takes meanwhile
		Left   time.Duration
	}

	// coldTarget is what was observed of a target since it became cold.
	coldTarget struct {
		from, to time.Time
		rate     float64
		arrivals []time.Time // in the last coldWindow
		violated bool
	}
)

// coldWindow is the length of the window over which the requests to a cold target are counted.
const coldWindow = time.Second

func (o TargetCold) apply(a *Audit, at time.Time) {
	a.cold[o.Target] = &coldTarget{from: at, to: at.Add(o.Left), rate: o.Rate}
}

// checkCold requires that a target which has been cold for longer than ApplyDelay gets no more than ColdOverage times its rate
// and ColdSlack requests in any coldWindow, from all hosts together. At most one violation is reported for each cold time.
func (a *Audit) checkCold(o *RequestReceived, at time.Time) {
	t := a.cold[o.Target]
	if t == nil || t.violated || at.Before(t.from.Add(a.bounds.ApplyDelay)) || at.After(t.to) {
		return
	}
	t.arrivals = append(t.arrivals, at)
	for at.Sub(t.arrivals[0]) >= coldWindow {
		t.arrivals = t.arrivals[1:]
	}
	if allowed := a.bounds.ColdOverage*t.rate + a.bounds.ColdSlack; float64(len(t.arrivals)) > allowed {
		t.violated = true
		a.addViolation(GuaranteeBounded, o.ID, at, "%s is cold and received %d requests within %s; allowed %.1f", o.Target, len(t.arrivals), coldWindow, allowed)
	}
}
