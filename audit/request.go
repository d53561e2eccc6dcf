package audit

import (
	"net/http"
	"time"
)

type (
	// request is what was seen of one request.
	request struct {
		asked    Asked
		askedAt  time.Time
		known    bool // it was asked by a caller
		reached  []arrival
		runs     []run
		passed   int // number of the last event
		answer   Answered
		answered time.Time
		quit     time.Time
	}

	// arrival is one Reached.
	arrival struct {
		target string
		at     time.Time
	}

	// run is work at one target.
	run struct {
		target   string
		from, to time.Time // to is zero while it goes on
		broken   bool
	}
)

func (a *Audit) request(id string) *request {
	q := a.requests[id]
	if q == nil {
		q = &request{asked: Asked{ID: id}}
		a.requests[id] = q
	}
	return q
}

func (o Asked) note(a *Audit, at time.Time) {
	q := a.request(o.ID)
	q.asked, q.askedAt, q.known = o, at, true
	a.order = append(a.order, q)
	if o.Pool != "" {
		p := a.pool(o.Pool)
		p.asked = append(p.asked, at)
	}
}

// touched reports whether a failure of the request's host touches it, from when it was sent
// to a time.
func (q *request) touched(a *Audit, to time.Time) bool {
	return a.disturbed(q.asked.Host, q.askedAt, to)
}

func (o Reached) note(a *Audit, at time.Time) {
	q := a.request(o.ID)
	a.checkGenuine(q, &o, at)
	a.checkHandedOn(q, &o, at)
	if len(q.reached) > 0 {
		p := a.pool(o.Pool)
		p.repeats = append(p.repeats, at)
	}
	q.reached = append(q.reached, arrival{o.Target, at})
	if left, leaving := a.leaving[o.Target]; leaving {
		late := left.Add(a.bounds.Drain + a.bounds.Slack)
		if at.After(late) && a.calm(q.asked.Host, left, at) {
			a.breach(PromiseDrained, o.ID, at, "reached %s %s after its leaving", o.Target, at.Sub(left))
		}
	}
	if !q.quit.IsZero() && at.After(q.quit.Add(a.bounds.Release)) && !q.touched(a, at) {
		a.breach(PromiseReleased, o.ID, at, "reached %s %s after its caller left", o.Target, at.Sub(q.quit))
	}
}

func (a *Audit) checkGenuine(q *request, o *Reached, at time.Time) {
	switch {
	case !q.known:
		a.breach(PromiseGenuine, o.ID, at, "reached %s; no caller sent it", o.Target)
	case o.Organisation != q.asked.Organisation:
		a.breach(PromiseGenuine, o.ID, at, "reached %s for organisation %q, not %q", o.Target, o.Organisation, q.asked.Organisation)
	case o.Path != q.asked.Path || o.Body != q.asked.Body:
		a.breach(PromiseGenuine, o.ID, at, "reached %s changed: %s %q", o.Target, o.Path, o.Body)
	case o.Foreign != "":
		a.breach(PromiseGenuine, o.ID, at, "reached %s with the caller's %s", o.Target, o.Foreign)
	}
}

// checkHandedOn asserts the bounds of targets and time. Targets that are gone do not count.
func (a *Audit) checkHandedOn(q *request, o *Reached, at time.Time) {
	if !q.known {
		return
	}
	others := map[string]bool{o.Target: true}
	for _, r := range q.reached {
		if _, gone := a.ended[r.target]; !gone && !a.disturbed(r.target, r.at, at) {
			others[r.target] = true
		}
	}
	if n := len(others); n > q.asked.Targets && q.asked.Events == 0 {
		a.breach(PromiseBounded, o.ID, at, "reached %d targets of %d", n, q.asked.Targets)
	}
	left := q.asked.Within - at.Sub(q.askedAt)
	if o.Within <= 0 || o.Within > left+a.bounds.Slack && !q.touched(a, at) {
		a.breach(PromiseBounded, o.ID, at, "reached %s with %s of %s left", o.Target, o.Within, left)
	}
}

func (o Ran) note(a *Audit, at time.Time) {
	q := a.request(o.ID)
	a.checkPlace(q, &o, at)
	if q.answer.NotRun && !q.answered.IsZero() {
		a.breach(PromiseHonest, o.ID, at, "runs at %s after its caller was told that it never will", o.Target)
	}
	if !o.Copied && !q.asked.Repeatable && len(q.runs) > 0 {
		a.breach(PromiseOnce, o.ID, at, "runs again at %s, first at %s", o.Target, q.runs[0].target)
	}
	q.runs = append(q.runs, run{target: o.Target, from: at})
}

func (a *Audit) checkPlace(q *request, o *Ran, at time.Time) {
	until, older := q.asked.Older[o.Pool]
	switch {
	case o.Pool == q.asked.Pool:
	case !older:
		a.breach(PromisePlaced, o.ID, at, "runs in pool %s, which no configuration allows", o.Pool)
	case a.overdue(q, until):
		a.breach(PromiseCurrent, o.ID, at, "runs in pool %s, %s after the change to %q", o.Pool, q.askedAt.Sub(until), q.asked.Pool)
	}
	if q.known && q.asked.Organisation == "" {
		a.breach(PromisePlaced, o.ID, at, "runs at %s with a key that no configuration has", o.Target)
	}
}

func (o Ceased) note(a *Audit, at time.Time) {
	q := a.request(o.ID)
	for i := range q.runs {
		r := &q.runs[i]
		if r.target == o.Target && r.to.IsZero() {
			r.to, r.broken = at, o.Broken
		}
	}
}

// checkReleased asserts that work ends soon after its caller has left.
func (q *request) checkReleased(a *Audit, now time.Time) {
	if q.quit.IsZero() || !q.asked.Repeatable && q.asked.Events == 0 {
		return
	}
	late := q.quit.Add(a.bounds.Release)
	for i := range q.runs {
		r := &q.runs[i]
		to := r.until(now)
		if r.from.Before(q.quit) && to.After(late) && !q.touched(a, to) && !a.gone(r, q.askedAt, to) {
			a.breach(PromiseReleased, q.asked.ID, to, "%s worked on it until %s after its caller left, or longer", r.target, to.Sub(q.quit))
		}
	}
}

// until returns when the work ended, or now if it goes on.
func (r *run) until(now time.Time) time.Time {
	if r.to.IsZero() {
		return now
	}
	return r.to
}

// gone reports whether the target of a run has ended or failed meanwhile.
func (a *Audit) gone(r *run, from, to time.Time) bool {
	at, ended := a.ended[r.target]
	return ended && !at.After(to) || a.disturbed(r.target, from, to)
}

func (o Passed) note(a *Audit, at time.Time) {
	q := a.request(o.ID)
	if !o.Sound {
		a.breach(PromiseWhole, o.ID, at, "event %d is not what the target made", o.Number)
	}
	if o.Number != q.passed+1 {
		a.breach(PromiseOrdered, o.ID, at, "event %d after %d", o.Number, q.passed)
	}
	q.passed = o.Number
}

func (o Quit) note(a *Audit, at time.Time) { a.request(o.ID).quit = at }

func (o Answered) note(a *Audit, at time.Time) {
	q := a.request(o.ID)
	q.answer, q.answered = o, at
	success := o.Status >= 200 && o.Status < 300
	if o.NotRun {
		for _, r := range q.runs {
			a.breach(PromiseHonest, o.ID, at, "called not run; it ran at %s", r.target)
		}
	}
	if success && o.Complete && !o.Sound {
		a.breach(PromiseWhole, o.ID, at, "a success that is not the target's whole answer")
	}
	if success && o.Complete && q.asked.Events > 0 && q.passed != q.asked.Events {
		a.breach(PromiseOrdered, o.ID, at, "ended whole after %d of %d events", q.passed, q.asked.Events)
	}
	a.checkAdmitted(q, &o, at)
	a.checkEnd(q, &o, at)
}

// checkAdmitted looks at answers that call a request improper.
func (a *Audit) checkAdmitted(q *request, o *Answered, at time.Time) {
	switch o.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return
	}
	if !o.Own || o.Status < 300 || o.Status >= 500 || q.asked.Improper || q.asked.Organisation == "" || q.asked.Pool == "" {
		return
	}
	until, older := q.asked.Older[""]
	switch {
	case !older:
		a.breach(PromiseAdmitted, o.ID, at, "turned away with %d though every configuration allows it", o.Status)
	case a.overdue(q, until):
		a.breach(PromiseCurrent, o.ID, at, "turned away with %d, %s after the change that allows it", o.Status, q.askedAt.Sub(until))
	}
}

// overdue reports whether a request was asked so long after a change that it must be in
// force, with neither the source nor the request's host in trouble since.
func (a *Audit) overdue(q *request, changed time.Time) bool {
	return q.askedAt.After(changed.Add(a.bounds.Apply)) && a.calm(q.asked.Host, changed, q.askedAt)
}

// calm reports whether neither the source nor a host was in trouble.
func (a *Audit) calm(host string, from, to time.Time) bool {
	return !a.disturbed(Source, from, to) && !a.disturbed(host, from, to)
}

// checkEnd asserts that a request ends with an answer, and in time, unless its host or the
// target at work failed.
func (a *Audit) checkEnd(q *request, o *Answered, at time.Time) {
	if q.touched(a, at) || q.asked.Improper {
		return
	}
	if late := q.askedAt.Add(q.patience() + a.bounds.Release); at.After(late) {
		a.breach(PromiseAnswered, o.ID, at, "ended %s after its deadline", at.Sub(late)+a.bounds.Release)
		return
	}
	if o.Status != 0 && o.Complete || !q.quit.IsZero() || !at.Before(q.askedAt.Add(q.patience())) {
		return
	}
	if !q.failedTarget(a, at) {
		a.breach(PromiseAnswered, o.ID, at, "broke off with status %d after %d events, though host and target are sound", o.Status, q.passed)
	}
}

// patience is how long the caller waits, as far as the configuration lets it.
func (q *request) patience() time.Duration {
	if q.asked.Timeout > 0 {
		return min(q.asked.Within, q.asked.Timeout)
	}
	return q.asked.Within
}

// failedTarget reports whether a target that was handed the request has failed meanwhile.
func (q *request) failedTarget(a *Audit, at time.Time) bool {
	for i := range q.runs {
		if q.runs[i].broken || a.gone(&q.runs[i], q.askedAt, at) {
			return true
		}
	}
	for _, r := range q.reached {
		if _, ended := a.ended[r.target]; ended || a.disturbed(r.target, q.askedAt, at) {
			return true
		}
	}
	return false
}

// finish checks what only the end shows.
func (q *request) finish(a *Audit, now time.Time) {
	if q.answered.IsZero() && q.quit.IsZero() {
		late := q.askedAt.Add(q.patience() + a.bounds.Release)
		if now.After(late) && !q.touched(a, now) {
			a.breach(PromiseAnswered, q.asked.ID, now, "no answer at all")
		}
	}
	q.checkReleased(a, now)
	q.checkOverlap(a, now)
}

// checkOverlap asserts that the target before lets go of a request that goes on elsewhere.
func (q *request) checkOverlap(a *Audit, now time.Time) {
	if q.asked.Repeatable {
		return
	}
	for i := 1; i < len(q.runs); i++ {
		before, at := &q.runs[i-1], q.runs[i].from
		to := before.until(now)
		if to.Sub(at) > a.bounds.Overlap && !a.gone(before, at, to) && !q.touched(a, to) {
			a.breach(PromiseOnce, q.asked.ID, at, "goes on at %s while %s worked on it for %s more", q.runs[i].target, before.target, to.Sub(at))
		}
	}
}

func (q *request) served() bool {
	return q.answer.Status >= 200 && q.answer.Status < 300 && q.answer.Complete
}
