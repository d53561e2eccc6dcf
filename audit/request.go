package audit

import (
	"net/http"
	"slices"
	"time"
)

type (
	// request holds the observations about one request.
	request struct {
		sent           RequestSent
		sentAt         time.Time
		wasSent        bool // a RequestSent was recorded
		arrivals       []arrival
		runs           []run
		lastEvent      int // number of the last stream event that reached the caller; 0 if none
		response       ResponseEnded
		respondedAt    time.Time
		disconnectedAt time.Time
	}

	// arrival is the receipt of a request by a target.
	arrival struct {
		target string
		via    string // host from which it came; empty if unknown
		at     time.Time
	}

	// run is the work of one target on a request.
	run struct {
		target     string
		start, end time.Time // end is zero while the run is in progress
		failed     bool
	}
)

// request returns the observations about the request with the given ID. It creates an empty
// record on first use.
func (a *Audit) request(id string) *request {
	q := a.requests[id]
	if q == nil {
		q = &request{sent: RequestSent{ID: id}}
		a.requests[id] = q
	}
	return q
}

func (o RequestSent) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	q.sent, q.sentAt, q.wasSent = o, at, true
	a.sent = append(a.sent, q)
	a.hosts[o.Host] = true
	if o.Pool != "" {
		p := a.pool(o.Pool)
		p.sent = append(p.sent, at)
	}
}

// hostHadFault reports whether the host that received the request from its caller had a fault
// between the sending of the request and the time to, or another host that passed it on to a target had one
// since then.
func (q *request) hostHadFault(a *Audit, to time.Time) bool {
	return a.hadFault(q.sent.Host, q.sentAt, to) || slices.ContainsFunc(q.arrivals, func(r arrival) bool {
		return r.via != "" && r.via != q.sent.Host && a.hadFault(r.via, r.at, to)
	})
}

func (o RequestReceived) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	a.checkUnchanged(q, &o, at)
	a.checkTargetCountAndDeadline(q, &o, at)
	a.recordParts(q, &o, at)
	a.checkLimit(o.Target, q.sent.Host, o.ID, at)
	a.checkTold(q, &o, at)
	a.checkEvacuated(q, &o, at)
	a.checkCold(&o, at)
	if len(q.arrivals) > 0 {
		p := a.pool(o.Pool)
		p.retries = append(p.retries, at)
	}
	q.arrivals = append(q.arrivals, arrival{o.Target, o.Via, at})
	if leavingSince, leaving := a.leavingSince[o.Target]; leaving {
		late := leavingSince.Add(a.bounds.LeavingGrace + a.bounds.NetworkDelay)
		if at.After(late) && a.faultFree(q.sent.Host, leavingSince, at) {
			a.addViolation(GuaranteeDrained, o.ID, at, "reached %s %s after it was announced as leaving", o.Target, at.Sub(leavingSince))
		}
	}
	if !q.disconnectedAt.IsZero() && at.After(q.disconnectedAt.Add(a.bounds.CancelGrace)) && !q.hostHadFault(a, at) {
		a.addViolation(GuaranteeReleased, o.ID, at, "reached %s %s after its caller disconnected", o.Target, at.Sub(q.disconnectedAt))
	}
}

// checkUnchanged requires that a request which a target received was sent by a caller and has
// the same organisation, path and body, and no header that only the system may set.
func (a *Audit) checkUnchanged(q *request, o *RequestReceived, at time.Time) {
	switch {
	case !q.wasSent:
		a.addViolation(GuaranteeGenuine, o.ID, at, "reached %s, but no caller sent it", o.Target)
	case o.Organisation != q.sent.Organisation:
		a.addViolation(GuaranteeGenuine, o.ID, at, "reached %s for organisation %q, not %q", o.Target, o.Organisation, q.sent.Organisation)
	case o.Path != q.sent.Path || o.Body != q.sent.Body:
		a.addViolation(GuaranteeGenuine, o.ID, at, "reached %s with a changed path or body: %s %q", o.Target, o.Path, o.Body)
	case o.ForbiddenHeader != "":
		a.addViolation(GuaranteeGenuine, o.ID, at, "reached %s with a header that only the system may set: %s", o.Target, o.ForbiddenHeader)
	}
}

// checkTargetCountAndDeadline requires that a request reaches at most MaxAttempts targets, and
// that the deadline passed to a target is at most NetworkDelay later than the caller's. Targets that stopped or
// had a fault after they received the request are not counted. The number of targets of a
// stream is not limited.
func (a *Audit) checkTargetCountAndDeadline(q *request, o *RequestReceived, at time.Time) {
	if !q.wasSent {
		return
	}
	targets := map[string]bool{o.Target: true}
	for _, r := range q.arrivals {
		if _, stopped := a.stopped[r.target]; !stopped && !a.hadFault(r.target, r.at, at) {
			targets[r.target] = true
		}
	}
	if n := len(targets); n > q.sent.MaxAttempts && q.sent.EventCount == 0 {
		a.addViolation(GuaranteeBounded, o.ID, at, "reached %d targets, allowed are %d", n, q.sent.MaxAttempts)
	}
	remaining := q.sent.CallerTimeout - at.Sub(q.sentAt)
	if o.TimeLeft <= 0 || o.TimeLeft > remaining+a.bounds.NetworkDelay && !q.hostHadFault(a, at) {
		a.addViolation(GuaranteeBounded, o.ID, at, "reached %s with a deadline of %s, its caller has %s left", o.Target, o.TimeLeft, remaining)
	}
}

func (o RunStarted) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	a.checkPlacement(q, &o, at)
	if q.response.NotRun && !q.respondedAt.IsZero() {
		a.addViolation(GuaranteeHonest, o.ID, at, "runs at %s after it was reported to its caller as not run", o.Target)
	}
	if !o.Resumed && !q.sent.Idempotent && len(q.runs) > 0 {
		a.addViolation(GuaranteeOnce, o.ID, at, "runs again at %s, first at %s", o.Target, q.runs[0].target)
	}
	q.runs = append(q.runs, run{target: o.Target, start: at})
}

// checkPlacement requires that a request runs in the pool that the newest configuration gives
// for its route, and that its key is in a configuration. The pool of an earlier configuration is
// allowed for requests sent before hosts must have applied the newer one, and that of a newer one that
// was published meanwhile if the request's key was in force.
func (a *Audit) checkPlacement(q *request, o *RunStarted, at time.Time) {
	until, earlier := q.sent.EarlierPools[o.Pool]
	switch {
	case o.Pool == q.sent.Pool:
	case q.sent.Pool != "" && o.Pool == o.NewestPool && !o.NewestSince.Before(q.sentAt):
		// The route has been moved since the request was sent.
	case !earlier:
		a.addViolation(GuaranteePlaced, o.ID, at, "runs in pool %s, which no configuration allows", o.Pool)
	case a.configOverdue(q, until):
		a.addViolation(GuaranteeCurrent, o.ID, at, "runs in pool %s, but was sent %s after the change to %q", o.Pool, q.sentAt.Sub(until), q.sent.Pool)
	}
	if q.wasSent && q.sent.Organisation == "" {
		a.addViolation(GuaranteePlaced, o.ID, at, "runs at %s with a key that no configuration has", o.Target)
	}
}

func (o RunEnded) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	for i := range q.runs {
		r := &q.runs[i]
		if r.target == o.Target && r.end.IsZero() {
			r.end, r.failed = at, o.Failed
		}
	}
}

// checkStoppedAfterDisconnect requires that targets stop executing an idempotent request or a stream
// within CancelGrace after its caller disconnected. Other requests may run to completion.
func (q *request) checkStoppedAfterDisconnect(a *Audit, now time.Time) {
	if q.disconnectedAt.IsZero() || !q.sent.Idempotent && q.sent.EventCount == 0 {
		return
	}
	late := q.disconnectedAt.Add(a.bounds.CancelGrace)
	for i := range q.runs {
		r := &q.runs[i]
		to := r.endOr(now)
		if r.start.Before(q.disconnectedAt) && to.After(late) && !q.hostHadFault(a, to) && !a.targetFailed(r, q.sentAt, to) {
			a.addViolation(GuaranteeReleased, q.sent.ID, to, "%s worked on it until at least %s after its caller disconnected", r.target, to.Sub(q.disconnectedAt))
		}
	}
}

// endOr returns the end of the run, or now while the run is in progress.
func (r *run) endOr(now time.Time) time.Time {
	if r.end.IsZero() {
		return now
	}
	return r.end
}

// targetFailed reports whether the target of a run had stopped at or before the time to, or had a
// fault between from and to.
func (a *Audit) targetFailed(r *run, from, to time.Time) bool {
	at, stopped := a.stopped[r.target]
	return stopped && !at.After(to) || a.hadFault(r.target, from, to)
}

func (o EventReceived) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	if !o.Intact {
		a.addViolation(GuaranteeWhole, o.ID, at, "event %d differs from what the target sent", o.Number)
	}
	if o.Number != q.lastEvent+1 {
		a.addViolation(GuaranteeOrdered, o.ID, at, "event %d arrived after event %d", o.Number, q.lastEvent)
	}
	q.lastEvent = o.Number
}

func (o CallerDisconnected) apply(a *Audit, at time.Time) { a.request(o.ID).disconnectedAt = at }

func (o ResponseEnded) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	q.response, q.respondedAt = o, at
	a.checkQuarantine(q, &o, at)
	success := o.Status >= 200 && o.Status < 300
	if o.NotRun {
		for _, r := range q.runs {
			a.addViolation(GuaranteeHonest, o.ID, at, "reported as not run, but ran at %s", r.target)
		}
	}
	if success && o.Complete && !o.Intact {
		a.addViolation(GuaranteeWhole, o.ID, at, "successful response is not the complete response of the target")
	}
	if success && o.Complete && q.sent.EventCount > 0 && q.lastEvent != q.sent.EventCount {
		a.addViolation(GuaranteeOrdered, o.ID, at, "stream ended without error after %d of %d events", q.lastEvent, q.sent.EventCount)
	}
	a.checkAdmitted(q, &o, at)
	a.checkResponse(q, &o, at)
}

// checkAdmitted requires that a host rejects a valid request with a status of 300 to 499 only if
// an earlier configuration disallows it, and only if the request was sent before the host must
// have applied the newer configuration. The statuses 408, 421 and 429 are exempt because they
// do not mean that the request is invalid.
func (a *Audit) checkAdmitted(q *request, o *ResponseEnded, at time.Time) {
	switch o.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return
	}
	if !o.FromHost || o.Status < 300 || o.Status >= 500 || q.sent.Invalid || q.sent.Organisation == "" || q.sent.Pool == "" {
		return
	}
	until, earlier := q.sent.EarlierPools[""]
	switch {
	case !earlier:
		a.addViolation(GuaranteeAdmitted, o.ID, at, "rejected with status %d although all configurations allow it", o.Status)
	case a.configOverdue(q, until):
		a.addViolation(GuaranteeCurrent, o.ID, at, "rejected with status %d, but was sent %s after the change that allows it", o.Status, q.sentAt.Sub(until))
	}
}

// configOverdue reports whether the host must have applied a change of configuration before a
// request was sent: the request was sent later than ApplyDelay after the change, and neither the
// source nor the host had a fault in between.
func (a *Audit) configOverdue(q *request, changed time.Time) bool {
	return q.sentAt.After(changed.Add(a.bounds.ApplyDelay)) && a.faultFree(q.sent.Host, changed, q.sentAt)
}

// faultFree reports whether neither the source of configuration nor the host had a fault
// between from and to.
func (a *Audit) faultFree(host string, from, to time.Time) bool {
	return !a.hadFault(ConfigSource, from, to) && !a.hadFault(host, from, to)
}

// checkResponse requires that a request ends with a complete response within CancelGrace after
// its deadline. It exempts invalid requests, requests whose host had a fault, and incomplete
// responses after a failure of a target, the caller's disconnection or the deadline.
func (a *Audit) checkResponse(q *request, o *ResponseEnded, at time.Time) {
	if q.hostHadFault(a, at) || q.sent.Invalid {
		return
	}
	if late := q.sentAt.Add(q.responseTimeout() + a.bounds.CancelGrace); at.After(late) {
		a.addViolation(GuaranteeAnswered, o.ID, at, "ended %s after its deadline", at.Sub(late)+a.bounds.CancelGrace)
		return
	}
	if o.Status != 0 && o.Complete || !q.disconnectedAt.IsZero() || !at.Before(q.sentAt.Add(q.responseTimeout())) {
		return
	}
	if !q.anyTargetFailed(a, at) {
		a.addViolation(GuaranteeAnswered, o.ID, at, "ended incomplete with status %d after %d events, without a failure of host or target", o.Status, q.lastEvent)
	}
}

// responseTimeout returns the shorter of the caller's timeout and the timeout of the route.
func (q *request) responseTimeout() time.Duration {
	if q.sent.RouteTimeout > 0 {
		return min(q.sent.CallerTimeout, q.sent.RouteTimeout)
	}
	return q.sent.CallerTimeout
}

// anyTargetFailed reports whether a target that received the request stopped, had a fault or
// failed its run before the time at.
func (q *request) anyTargetFailed(a *Audit, at time.Time) bool {
	for i := range q.runs {
		if q.runs[i].failed || a.targetFailed(&q.runs[i], q.sentAt, at) {
			return true
		}
	}
	for _, r := range q.arrivals {
		if _, stopped := a.stopped[r.target]; stopped || a.hadFault(r.target, q.sentAt, at) {
			return true
		}
	}
	return false
}

// checkFinal makes the checks that need all observations about the request: those for a missing
// response, for work after the caller's disconnection and for simultaneous runs.
func (q *request) checkFinal(a *Audit, now time.Time) {
	if q.respondedAt.IsZero() && q.disconnectedAt.IsZero() {
		late := q.sentAt.Add(q.responseTimeout() + a.bounds.CancelGrace)
		if now.After(late) && !q.hostHadFault(a, now) {
			a.addViolation(GuaranteeAnswered, q.sent.ID, now, "no response")
		}
	}
	q.checkStoppedAfterDisconnect(a, now)
	q.checkOverlap(a, now)
}

// checkOverlap requires that a target stops working on a request that is not idempotent within
// MoveOverlap after the next run of the request starts on another target.
func (q *request) checkOverlap(a *Audit, now time.Time) {
	if q.sent.Idempotent {
		return
	}
	for i := 1; i < len(q.runs); i++ {
		previous, at := &q.runs[i-1], q.runs[i].start
		to := previous.endOr(now)
		if to.Sub(at) > a.bounds.MoveOverlap && !a.targetFailed(previous, at, to) && !q.hostHadFault(a, to) {
			a.addViolation(GuaranteeOnce, q.sent.ID, at, "continues at %s while %s worked on it for another %s", q.runs[i].target, previous.target, to.Sub(at))
		}
	}
}

// endOr returns the end of the response, or another time if it has not ended.
func (q *request) endOr(other time.Time) time.Time {
	if q.respondedAt.IsZero() {
		return other
	}
	return q.respondedAt
}

// succeeded reports whether the caller received a complete response with a 2xx status.
func (q *request) succeeded() bool {
	return q.response.Status >= 200 && q.response.Status < 300 && q.response.Complete
}
