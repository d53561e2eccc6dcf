// Package audit checks a system of hosts against its guarantees by observations made outside
// the hosts: requests and responses at callers, requests and runs at targets, and published
// configurations. The caller passes the time of each observation and the package reads no
// clock, so tests, emulators and soak runs use the same checks in real and in virtual time.
package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

type (
	// An Audit collects observations and checks them. NewAudit returns one. It is safe for
	// concurrent use.
	Audit struct {
		bounds Bounds

		mu               sync.Mutex
		requests         map[string]*request        // by ID
		sent             []*request                 // requests with a RequestSent, in the order of recording
		hosts            map[string]bool            // names of the hosts that callers have sent requests to
		faults           map[string][]faultInterval // by name of the host or target, or ConfigSource
		evacuatedSince   map[string]time.Time       // times at which evacuations in force were requested, by failure domain
		leavingSince     map[string]time.Time       // times of the announcements that targets are leaving, by target
		stopped          map[string]time.Time       // times at which targets stopped, by target
		pools            map[string]*poolHistory    // by name of the pool
		harmful          map[string]*harmfulPart    // by name of the part
		limited          map[string]*limitedTarget  // targets that name a limit, by name
		cold             map[string]*coldTarget     // targets that are or were cold, by name
		brittle          map[string]*brittleTime    // pools whose targets are brittle, by name
		toldLeaving      map[hostTarget]time.Time   // times of the first responses to hosts in which targets say that they leave
		rests            map[hostTarget][]*restPeriod
		restarts         []time.Time     // times of HostsRestarted
		detached         []*detachedTime // in the order of their beginnings
		violations       []Violation     // violations that were decided when an observation was recorded
		observationCount int             // number of recorded observations
	}

	// Bounds are the tolerances of the checks. A zero bound tolerates nothing.
	Bounds struct {
		FaultGrace   time.Duration // time after the end of a fault during which the host, target or source is still exempt from checks
		LeavingGrace time.Duration // time after the announcement that a target is leaving during which it may still receive requests
		EvacuateTime time.Duration // time from the request to evacuate a failure domain until no request may reach its targets
		ApplyDelay   time.Duration // time from the publication of a configuration until all hosts must apply it
		NetworkDelay time.Duration // time for the transmission of a message between caller, host and target
		CancelGrace  time.Duration // time from a caller's disconnection or deadline until its request must have ended
		MoveOverlap  time.Duration // time during which both targets may run a request that moves from one to the other
		RetryWindow  time.Duration // length of the window over which retries are counted
		RetryRatio   float64       // retries allowed for each request to the pool
		RetryBurst   float64       // retries allowed in each window in addition to those by RetryRatio
		RecoveryTime time.Duration // time from HostsRestarted until requests must succeed again
		HarmfulDelay time.Duration // time after the last allowed crash by a part of prompts until requests with it must not be sent
		LimitDelay   time.Duration // time after a target began to name a limit until its hosts must keep to it
		ColdOverage  float64       // ratio to the rate of a cold target that the requests in a second may reach
		ColdSlack    float64       // requests in a second in addition

		DetachedDelay time.Duration // time after a host has lost its connections to all targets until it must serve requests again
	}

	// An Observation is an event seen outside the hosts. Only the types below implement it.
	Observation interface {
		apply(*Audit, time.Time)
	}

	// RequestSent is a request sent by a caller, with the values that the published
	// configurations give for it.
	RequestSent struct {
		ID            string
		Host          string
		Organisation  string // owner of the caller's key; empty if no configuration has the key
		Path, Body    string
		Pool          string               // pool of its route in the newest configuration; empty for none
		EarlierPools  map[string]time.Time // other pools of its route in earlier configurations, "" if one rejects it, with the time of their replacement
		Idempotent    bool                 // the request may run more than once
		Invalid       bool                 // the request is not valid, and hosts may refuse it
		MaxAttempts   int                  // largest number of targets that may receive it
		CallerTimeout time.Duration        // time that the caller waits for the end of the response
		RouteTimeout  time.Duration        // timeout of the route; 0 means none
		EventCount    int                  // number of events of the complete stream; 0 if the response is not a stream
		SharedParts   []string             // parts of its prompt that other requests may have, too
	}

	// RequestReceived is the arrival of a request at a target.
	RequestReceived struct {
		ID, Target, Pool string
		Domain           string // failure domain of the target
		Organisation     string
		Path, Body       string
		TimeLeft         time.Duration // time until the request's deadline, as the host passed it to the target
		SharedParts      []string      // parts of its prompt that other requests may have, too
		Via              string        // host from whose address it came; empty if unknown
		ForbiddenHeader  string        // header that only the system may set, with the value that the caller sent; empty if none arrived
	}

	// RunStarted is the start of a run. A run is the execution of a request by one target; a
	// request that is retried or moved has several.
	RunStarted struct {
		ID, Target, Pool string
		Resumed          bool      // the run continues from state copied from a run on another target
		NewestPool       string    // pool of the request's route in the newest configuration at that time; empty if unknown
		NewestSince      time.Time // when that configuration was published
	}

	// RunEnded is the end of a run: the target no longer executes the request.
	RunEnded struct {
		ID, Target string
		Failed     bool // the target aborted or corrupted its response
	}

	// EventReceived is the arrival of a stream event at the caller.
	EventReceived struct {
		ID     string
		Number int  // position in the stream, from 1
		Intact bool // the event is the same as the target sent
	}

	// ResponseEnded is the end of a response at the caller, or of the wait for it.
	ResponseEnded struct {
		ID       string
		Status   int  // HTTP status; 0 if there was no response
		NotRun   bool // the response states that no target has run or will run the request
		FromHost bool // the response was generated by the host, not by a target
		Intact   bool // the body is the complete body of a target with a valid seal
		Complete bool // the response ended without an error

		Quarantined bool // the host refused the request because it, or a part of its prompt, crashes targets
	}

	// CallerDisconnected is the disconnection of a caller before its response has ended.
	CallerDisconnected struct{ ID string }

	// TargetLeaving is the announcement that a target is about to stop.
	TargetLeaving struct{ Target string }

	// TargetStopped is the stop of a target.
	TargetStopped struct{ Target string }

	// Fault is the start or the end of a fault of a host, a target or the source of
	// configuration. A host that is stopped counts as faulty, too.
	Fault struct {
		Name  string // name of the host or target, or ConfigSource
		Ended bool   // this is the end of the fault; otherwise it is the start
	}

	// HostsRestarted is the end of a fault in which all hosts were stopped at the same time.
	HostsRestarted struct{}

	// faultInterval is the period of a fault. to is zero while the fault lasts.
	faultInterval struct{ from, to time.Time }

	// poolHistory holds the times at which callers sent requests for a pool, and at which
	// retries of requests reached its targets.
	poolHistory struct {
		sent    []time.Time
		retries []time.Time
	}
)

// ConfigSource is the Name in a Fault of the source of configuration.
const ConfigSource = "source"

// NewAudit returns an audit without observations.
func NewAudit(b Bounds) *Audit {
	return &Audit{
		bounds: b, requests: map[string]*request{}, hosts: map[string]bool{}, faults: map[string][]faultInterval{},
		leavingSince: map[string]time.Time{}, evacuatedSince: map[string]time.Time{}, stopped: map[string]time.Time{}, pools: map[string]*poolHistory{}, harmful: map[string]*harmfulPart{}, limited: map[string]*limitedTarget{},
		cold: map[string]*coldTarget{}, brittle: map[string]*brittleTime{}, toldLeaving: map[hostTarget]time.Time{}, rests: map[hostTarget][]*restPeriod{},
	}
}

// Record adds an observation made at a point in time.
func (a *Audit) Record(at time.Time, o Observation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observationCount++
	o.apply(a, at)
}

// ObservationCount returns the number of recorded observations.
func (a *Audit) ObservationCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.observationCount
}

// Check returns the violations recorded so far and those that are decided only once all
// observations are present, such as a missing response. A request in flight is a violation only
// if its deadline, including the bounds, is before now.
func (a *Audit) Check(now time.Time) []Violation {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := slices.Clone(a.violations)
	a.violations = nil
	for _, q := range a.sent {
		q.checkFinal(a, now)
	}
	a.checkRetries()
	a.checkRecovery()
	a.checkHarmful()
	a.checkDetached()
	found = append(found, a.violations...)
	a.violations = nil
	return found
}

// ServedCount returns the number of sent requests that got a complete successful response, and the
// number of all sent requests.
func (a *Audit) ServedCount() (served, sent int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.sent {
		if q.succeeded() {
			served++
		}
	}
	return served, len(a.sent)
}

func (a *Audit) addViolation(g Guarantee, id string, at time.Time, format string, args ...any) {
	a.violations = append(a.violations, Violation{g, id, at, fmt.Sprintf(format, args...)})
}

// hadFault reports whether a fault of the named host, target or source overlaps the interval
// between from and to, or ended less than FaultGrace before from.
func (a *Audit) hadFault(name string, from, to time.Time) bool {
	for _, f := range a.faults[name] {
		if !f.from.After(to) && (f.to.IsZero() || f.to.Add(a.bounds.FaultGrace).After(from)) {
			return true
		}
	}
	return false
}

func (o Fault) apply(a *Audit, at time.Time) {
	intervals := a.faults[o.Name]
	if !o.Ended {
		a.faults[o.Name] = append(intervals, faultInterval{from: at})
		return
	}
	for i := range intervals {
		if intervals[i].to.IsZero() {
			intervals[i].to = at
			return
		}
	}
}

func (o TargetLeaving) apply(a *Audit, at time.Time) {
	if _, known := a.leavingSince[o.Target]; !known {
		a.leavingSince[o.Target] = at
	}
}

func (o TargetStopped) apply(a *Audit, at time.Time) {
	a.stopped[o.Target] = at
	TargetLeaving(o).apply(a, at)
}

func (HostsRestarted) apply(a *Audit, at time.Time) { a.restarts = append(a.restarts, at) }

// pool returns the history of the named pool. It creates an empty one on first use.
func (a *Audit) pool(name string) *poolHistory {
	p := a.pools[name]
	if p == nil {
		p = &poolHistory{}
		a.pools[name] = p
	}
	return p
}

// checkRetries requires that each pool received no more retries within any RetryWindow than
// RetryRatio times the number of requests, plus RetryBurst. The number of requests is that of
// the window or of the preceding window, whichever is larger. At most one violation is reported
// for each pool.
func (a *Audit) checkRetries() {
	for name, p := range a.pools {
		first := 0
		for last, at := range p.retries {
			for p.retries[first].Before(at.Add(-a.bounds.RetryWindow)) {
				first++
			}
			requests := max(countBetween(p.sent, at.Add(-a.bounds.RetryWindow), at), countBetween(p.sent, at.Add(-2*a.bounds.RetryWindow), at.Add(-a.bounds.RetryWindow)))
			if n := last - first + 1; float64(n) > a.bounds.RetryRatio*float64(requests)+a.bounds.RetryBurst {
				a.addViolation(GuaranteeBounded, "", at, "pool %s received %d retries within %s for %d requests", name, n, a.bounds.RetryWindow, requests)
				break
			}
		}
	}
}

// countBetween returns how many of the sorted times are in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	high, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return high - low
}

// checkRecovery requires that at least a quarter of the requests sent later than RecoveryTime
// after a restart of all hosts succeed, not counting harmful ones and those whose host had another fault. It applies only if at least a quarter of those sent
// before the restart succeeded.
func (a *Audit) checkRecovery() {
	for _, at := range a.restarts {
		var before, after, servedBefore, servedAfter int
		from := at.Add(a.bounds.RecoveryTime)
		for _, q := range a.sent {
			switch ok := q.succeeded(); {
			case q.isHarmful(a):
			case q.sentAt.After(from) && a.hadFault(q.sent.Host, q.sentAt, q.endOr(q.sentAt)):
			case q.sentAt.After(from):
				after++
				if ok {
					servedAfter++
				}
			case q.sentAt.Before(at):
				before++
				if ok {
					servedBefore++
				}
			}
		}
		if 4*servedBefore >= before && before > 0 && 4*servedAfter < after {
			a.addViolation(GuaranteeRecovered, "", from, "%d of %d requests served after the restart of all hosts", servedAfter, after)
		}
	}
}
