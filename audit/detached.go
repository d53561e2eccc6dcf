package audit

import (
	"slices"
	"time"
)

type (
	// HostDetached is the beginning or the end of a time in which a host has no connection to any target,
	// while callers, the other hosts and the source of configuration reach it.
	HostDetached struct {
		Host  string
		Ended bool
	}

	// detachedTime is a time in which at least one host is detached.
	detachedTime struct {
		from, to time.Time                  // to is zero while it lasts
		hosts    map[string][]faultInterval // by name of the host
		open     int                        // hosts that are detached now
	}

	// firstAttempts counts requests and those of them that were served.
	firstAttempts struct{ sent, served int }
)

const (
	detachedServedPart  = 2.0 / 3  // least part of the share of requests served at the other hosts that detached hosts must serve
	detachedFailures    = 10       // requests that may fail at detached hosts in any case
	detachedFailurePart = 1.0 / 50 // of all requests that may fail there in addition
)

func (o HostDetached) apply(a *Audit, at time.Time) {
	if n := len(a.detached); n == 0 || !a.detached[n-1].to.IsZero() {
		if o.Ended {
			return
		}
		a.detached = append(a.detached, &detachedTime{from: at, hosts: map[string][]faultInterval{}})
	}
	d := a.detached[len(a.detached)-1]
	intervals := d.hosts[o.Host]
	n := len(intervals)
	detached := n > 0 && intervals[n-1].to.IsZero()
	switch {
	case !o.Ended && !detached:
		d.hosts[o.Host] = append(intervals, faultInterval{from: at})
		d.open++
	case o.Ended && detached:
		intervals[n-1].to = at
		if d.open--; d.open == 0 {
			d.to = at
		}
	}
}

// checkDetached requires, from DetachedDelay after a host was detached, that detached hosts serve requests
// at least detachedServedPart as often as the others, unless no more than detachedFailures and
// detachedFailurePart of all requests fail there. Requests at hosts with a fault are not counted, nor harmful
// ones and those whose callers disconnect, nor those at detached hosts while each other host is detached, too, or has
// a fault: no path to a target is left then.
func (a *Audit) checkDetached() {
	for _, d := range a.detached {
		var there, elsewhere firstAttempts
		for _, q := range a.sent {
			if q.sentAt.Before(d.from.Add(a.bounds.DetachedDelay)) || !d.to.IsZero() && q.sentAt.After(d.to) || !q.counts(a) {
				continue
			}
			detached, since := d.detachedAt(q.sent.Host, q.sentAt)
			switch {
			case !detached:
				elsewhere.add(q)
			case q.sentAt.Sub(since) >= a.bounds.DetachedDelay && a.hasAttachedHost(d, q.sentAt, q.respondedAt):
				there.add(q)
			}
		}
		failures := there.sent - there.served
		allowed := detachedFailures + detachedFailurePart*float64(there.sent+elsewhere.sent)
		if float64(failures) > allowed && there.part() < detachedServedPart*elsewhere.part() {
			a.addViolation(GuaranteeReachable, "", d.from, "hosts without a connection to targets served %d of %d requests, the others %d of %d",
				there.served, there.sent, elsewhere.served, elsewhere.sent)
		}
	}
}

// hasAttachedHost reports whether one of the hosts that callers have sent requests to is neither detached nor has
// a fault between two times.
func (a *Audit) hasAttachedHost(d *detachedTime, from, to time.Time) bool {
	for name := range a.hosts {
		detached := slices.ContainsFunc(d.hosts[name], func(i faultInterval) bool {
			return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from))
		})
		if !detached && !a.hadFault(name, from, to) {
			return true
		}
	}
	return false
}

// counts reports whether the request belongs to those of which hosts without faults serve most.
func (q *request) counts(a *Audit) bool {
	return !q.sent.Invalid && q.sent.Organisation != "" && q.sent.Pool != "" && q.disconnectedAt.IsZero() && !q.isHarmful(a) &&
		!q.respondedAt.IsZero() && !q.hostHadFault(a, q.respondedAt)
}

// detachedAt reports whether a host is detached at a time, and since when.
func (d *detachedTime) detachedAt(host string, at time.Time) (detached bool, since time.Time) {
	for _, i := range d.hosts[host] {
		if !at.Before(i.from) && (i.to.IsZero() || !at.After(i.to)) {
			return true, i.from
		}
	}
	return false, time.Time{}
}

func (f *firstAttempts) add(q *request) {
	f.sent++
	if q.succeeded() {
		f.served++
	}
}

// part returns the served part of the requests, 0 if there are none.
func (f *firstAttempts) part() float64 {
	if f.sent == 0 {
		return 0
	}
	return float64(f.served) / float64(f.sent)
}
