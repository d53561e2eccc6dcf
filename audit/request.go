package audit

import (
	"net/http"
	"time"
)

type (
	// request holds the observations of one request.
	request struct {
		sent           RequestSent
		sentAt         time.Time
		wasSent        bool // a caller sent the request
		arrivals       []arrival
		runs           []run
		lastEvent      int // number of the last stream event that reached the caller; 0 if none
		response       ResponseEnded
		respondedAt    time.Time
		disconnectedAt time.Time
	}

	// arrival is the arrival of a request at a target.
	arrival struct {
		target string
		at     time.Time
	}

	// run is the work of one target on a request.
	run struct {
		target     string
		start, end time.Time // end is zero while the run is in progress
		failed     bool
	}
)

// request returns the record of a request and adds it if it is missing.
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
	if o.Pool != "" {
		p := a.pool(o.Pool)
		p.sent = append(p.sent, at)
	}
}

// hostDisturbed reports whether the host of the request was disturbed between the sending of
// the request and to.
func (q *request) hostDisturbed(a *Audit, to time.Time) bool {
	return a.disturbed(q.sent.Host, q.sentAt, to)
}

func (o RequestReceived) apply(a *Audit, at time.Time) {
	q := a.request(o.ID)
	a.checkGenuine(q, &o, at)
	a.checkTargetsAndTime(q, &o, at)
	if len(q.arrivals) > 0 {
		p := a.pool(o.Pool)
		p.retries = append(p.retries, at)
	}
	q.arrivals = append(q.arrivals, arrival{o.Target, at})
	if leavingSince, leaving := a.leavingSince[o.Target]; leaving {
		late := leavingSince.Add(a.bounds.LeavingGrace + a.bounds.NetworkDelay)
		if at.After(late) && a.undisturbed(q.sent.Host, leavingSince, at) {
			a.addViolation(GuaranteeDrained, o.ID, at, "reached %s %s after it was announced as leaving", o.Target, at.Sub(leavingSince))
		}
	}
	if !q.disconnectedAt.IsZero() && at.After(q.disconnectedAt.Add(a.bounds.CancelGrace)) && !q.hostDisturbed(a, at) {
		a.addViolation(GuaranteeReleased, o.ID, at, "reached %s %s after its caller disconnected", o.Target, at.Sub(q.disconnectedAt))
	}
}

// checkGenuine requires that a request at a target is one that a caller sent, unchanged.
func (a *Audit) checkGenuine(q *request, o *RequestReceived, at time.Time) {
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

// checkTargetsAndTime requires that a request reaches no more targets than allowed and passes
// on no more time than its caller has left. Stopped and disturbed targets do not count. The
// number of targets of a stream is not limited.
func (a *Audit) checkTargetsAndTime(q *request, o *RequestReceived, at time.Time) {
	if !q.wasSent {
		return
	}
	targets := map[string]bool{o.Target: true}
	for _, r := range q.arrivals {
		if _, stopped := a.stopped[r.target]; !stopped && !a.disturbed(r.target, r.at, at) {
			targets[r.target] = true
		}
	}
	if n := len(targets); n > q.sent.MaxAttempts && q.sent.EventCount == 0 {
		a.addViolation(GuaranteeBounded, o.ID, at, "reached %d targets, allowed are %d", n, q.sent.MaxAttempts)
	}
	remaining := q.sent.CallerTimeout - at.Sub(q.sentAt)
	if o.TimeLeft <= 0 || o.TimeLeft > remaining+a.bounds.NetworkDelay && !q.hostDisturbed(a, at) {
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

// checkPlacement requires that a request runs in the pool of the newest configuration and with
// a known key. The pool of an earlier configuration is allowed until the change must be
// applied.
func (a *Audit) checkPlacement(q *request, o *RunStarted, at time.Time) {
	until, earlier := q.sent.EarlierPools[o.Pool]
	switch {
	case o.Pool == q.sent.Pool:
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

// checkReleased requires that an idempotent request or a stream stops running within
// CancelGrace after its caller disconnected.
func (q *request) checkReleased(a *Audit, now time.Time) {
	if q.disconnectedAt.IsZero() || !q.sent.Idempotent && q.sent.EventCount == 0 {
		return
	}
	late := q.disconnectedAt.Add(a.bounds.CancelGrace)
	for i := range q.runs {
		r := &q.runs[i]
		to := r.endOr(now)
		if r.start.Before(q.disconnectedAt) && to.After(late) && !q.hostDisturbed(a, to) && !a.targetFailed(r, q.sentAt, to) {
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

// targetFailed reports whether the target of a run had stopped by to, or was disturbed between
// from and to.
func (a *Audit) targetFailed(r *run, from, to time.Time) bool {
	at, stopped := a.stopped[r.target]
	return stopped && !at.After(to) || a.disturbed(r.target, from, to)
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

// checkAdmitted requires that a host rejects a request with a redirect or a client error only
// if a configuration disallows it, and no longer once a change that allows it must be
// applied. The statuses 408, 421 and 429 do not mean that the request is invalid and are
// exempt.
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

// configOverdue reports whether a request was sent so late after a change of configuration
// that its host must have applied the change: later than ApplyDelay, with neither the source
// nor the host disturbed since the change.
func (a *Audit) configOverdue(q *request, changed time.Time) bool {
	return q.sentAt.After(changed.Add(a.bounds.ApplyDelay)) && a.undisturbed(q.sent.Host, changed, q.sentAt)
}

// undisturbed reports whether neither the source nor the host was disturbed between from and
// to.
func (a *Audit) undisturbed(host string, from, to time.Time) bool {
	return !a.disturbed(ConfigSource, from, to) && !a.disturbed(host, from, to)
}

// checkResponse requires that a request ends with a complete response in time, unless its
// host or a target that received it failed.
func (a *Audit) checkResponse(q *request, o *ResponseEnded, at time.Time) {
	if q.hostDisturbed(a, at) || q.sent.Invalid {
		return
	}
	if late := q.sentAt.Add(q.timeout() + a.bounds.CancelGrace); at.After(late) {
		a.addViolation(GuaranteeAnswered, o.ID, at, "ended %s after its deadline", at.Sub(late)+a.bounds.CancelGrace)
		return
	}
	if o.Status != 0 && o.Complete || !q.disconnectedAt.IsZero() || !at.Before(q.sentAt.Add(q.timeout())) {
		return
	}
	if !q.anyTargetFailed(a, at) {
		a.addViolation(GuaranteeAnswered, o.ID, at, "ended incomplete with status %d after %d events, without a failure of host or target", o.Status, q.lastEvent)
	}
}

// timeout returns the shorter of the time that the caller waits and the timeout of the route.
func (q *request) timeout() time.Duration {
	if q.sent.RouteTimeout > 0 {
		return min(q.sent.CallerTimeout, q.sent.RouteTimeout)
	}
	return q.sent.CallerTimeout
}

// anyTargetFailed reports whether a target that received the request stopped, was disturbed
// or failed the run before at.
func (q *request) anyTargetFailed(a *Audit, at time.Time) bool {
	for i := range q.runs {
		if q.runs[i].failed || a.targetFailed(&q.runs[i], q.sentAt, at) {
			return true
		}
	}
	for _, r := range q.arrivals {
		if _, stopped := a.stopped[r.target]; stopped || a.disturbed(r.target, q.sentAt, at) {
			return true
		}
	}
	return false
}

// checkFinal makes the checks that need all observations of the request.
func (q *request) checkFinal(a *Audit, now time.Time) {
	if q.respondedAt.IsZero() && q.disconnectedAt.IsZero() {
		late := q.sentAt.Add(q.timeout() + a.bounds.CancelGrace)
		if now.After(late) && !q.hostDisturbed(a, now) {
			a.addViolation(GuaranteeAnswered, q.sent.ID, now, "no response")
		}
	}
	q.checkReleased(a, now)
	q.checkOverlap(a, now)
}

// checkOverlap requires that a target stops working on a request within MoveOverlap after the
// request continues on another target.
func (q *request) checkOverlap(a *Audit, now time.Time) {
	if q.sent.Idempotent {
		return
	}
	for i := 1; i < len(q.runs); i++ {
		before, at := &q.runs[i-1], q.runs[i].start
		to := before.endOr(now)
		if to.Sub(at) > a.bounds.MoveOverlap && !a.targetFailed(before, at, to) && !q.hostDisturbed(a, to) {
			a.addViolation(GuaranteeOnce, q.sent.ID, at, "continues at %s while %s worked on it for another %s", q.runs[i].target, before.target, to.Sub(at))
		}
	}
}

// succeeded reports whether the request has a complete successful response.
func (q *request) succeeded() bool {
	return q.response.Status >= 200 && q.response.Status < 300 && q.response.Complete
}
