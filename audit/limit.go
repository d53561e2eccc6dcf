package audit

import "time"

type (
	// TargetLimited is a change of the limit of requests a second that a target names in its responses.
	TargetLimited struct {
		Target string
		Rate   float64
		Ended  bool // the target names no limit any more; Rate is then 0
	}

	// LimitPassedOn is a response of a limited target to a request, which names its limit.
	LimitPassedOn struct{ ID, Target string }

	// limitedTarget holds what was observed of a target while it names a limit.
	limitedTarget struct {
		since    time.Time // time at which it began to name a limit
		rates    []limitedRate
		notified map[string]time.Time // time of the first response with the limit, by host
		arrivals []limitedArrival     // in the last limitWindow
		violated bool
	}

	limitedRate struct {
		at   time.Time
		rate float64
	}

	limitedArrival struct {
		at   time.Time
		host string
	}
)

const (
	limitWindow  = 4 * time.Second        // length of the window over which the requests to a limited target are counted
	limitOverage = 1.5                    // ratio to the limit that the requests in a window may reach
	limitSlack   = 5                      // requests in a window in addition
	limitNotice  = 500 * time.Millisecond // time after a host's first response with the limit from which its requests are counted
)

func (o TargetLimited) apply(a *Audit, at time.Time) {
	if o.Ended {
		delete(a.limited, o.Target)
		return
	}
	t := a.limited[o.Target]
	if t == nil {
		t = &limitedTarget{since: at, notified: map[string]time.Time{}}
		a.limited[o.Target] = t
	}
	t.rates = append(t.rates, limitedRate{at, o.Rate})
}

func (o LimitPassedOn) apply(a *Audit, at time.Time) {
	t, q := a.limited[o.Target], a.request(o.ID)
	if t == nil || !q.wasSent {
		return
	}
	if _, known := t.notified[q.sent.Host]; !known {
		t.notified[q.sent.Host] = at
	}
}

// checkLimit requires, from LimitDelay after a target began to name a limit, that it receives in a
// window no more than limitOverage times what the limit allows and limitSlack requests, summed over
// the hosts that got a response with the limit. Hosts with a fault are not counted. Of several limits
// in a window, the highest holds. At most one violation is reported for each period with a limit.
func (a *Audit) checkLimit(target, host, id string, at time.Time) {
	t := a.limited[target]
	if t == nil {
		return
	}
	t.arrivals = append(t.arrivals, limitedArrival{at, host})
	for at.Sub(t.arrivals[0].at) > limitWindow {
		t.arrivals = t.arrivals[1:]
	}
	if at.Sub(t.since) < a.bounds.LimitDelay || t.violated {
		return
	}
	n := 0
	for _, r := range t.arrivals {
		notified, ok := t.notified[r.host]
		if ok && r.at.Sub(notified) >= limitNotice && !a.hadFault(r.host, at.Add(-limitWindow), at) {
			n++
		}
	}
	if allowed := limitOverage*limitWindow.Seconds()*t.highestRate(at.Add(-limitWindow)) + limitSlack; float64(n) > allowed {
		t.violated = true
		a.addViolation(GuaranteeBounded, id, at, "%s names a limit and received %d requests within %s; allowed %.1f", target, n, limitWindow, allowed)
	}
}

// highestRate returns the highest limit that was in force after from.
func (t *limitedTarget) highestRate(from time.Time) float64 {
	highest := 0.0
	for i, r := range t.rates {
		if i+1 == len(t.rates) || t.rates[i+1].at.After(from) {
			highest = max(highest, r.rate)
		}
	}
	return highest
}
