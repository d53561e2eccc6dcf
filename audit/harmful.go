package audit

import (
	"slices"
	"strings"
	"time"
)

type (
	// TargetCrashed is the crash of a target that began to answer a request with a part of a prompt
	// that crashes targets, or one that crashes targets itself. Part is then its RequestKey.
	TargetCrashed struct{ Target, Part string }

	// harmfulPart holds the crashes of targets by one part of prompts or one request, and the arrivals of
	// requests with that part and of repetitions of that request.
	harmfulPart struct {
		crashes  []time.Time
		arrivals []harmfulArrival
	}

	// harmfulArrival is the arrival at a target of a request with a part that crashes targets.
	harmfulArrival struct {
		id, host string
		at       time.Time
	}
)

const (
	maxHarmfulCrashes  = 5 // crashes by one part after which hosts must refuse requests with it
	maxRequestCrashes  = 3 // crashes by one request after which hosts must refuse its repetitions
	maxHarmfulArrivals = 3 // requests with the part, or repetitions of the request, that may reach targets later

	requestKeyPrefix = "request "
)

// RequestKey identifies a request and its repetitions, which have other identifiers.
func RequestKey(organisation, path, body string) string {
	return requestKeyPrefix + organisation + " " + path + " " + body
}

// allowedCrashes returns the number of crashes after which hosts must act.
func allowedCrashes(name string) int {
	if strings.HasPrefix(name, requestKeyPrefix) {
		return maxRequestCrashes
	}
	return maxHarmfulCrashes
}

// harmfulPart returns the history of a part of prompts. It creates an empty one on first use.
func (a *Audit) harmfulPart(name string) *harmfulPart {
	p := a.harmful[name]
	if p == nil {
		p = &harmfulPart{}
		a.harmful[name] = p
	}
	return p
}

func (o TargetCrashed) apply(a *Audit, at time.Time) {
	p := a.harmfulPart(o.Part)
	p.crashes = append(p.crashes, at)
}

// HarmfulCrashCount returns the number of targets that a part of prompts has crashed.
func (a *Audit) HarmfulCrashCount(part string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.harmfulPart(part).crashes)
}

// recordParts records the arrival of a request for each part of its prompt that requests share, and for
// the request itself if it has crashed a target.
func (a *Audit) recordParts(q *request, o *RequestReceived, at time.Time) {
	names := o.SharedParts
	if key := RequestKey(o.Organisation, o.Path, o.Body); a.harmful[key] != nil {
		names = append(slices.Clone(names), key)
	}
	for _, name := range names {
		p := a.harmfulPart(name)
		p.arrivals = append(p.arrivals, harmfulArrival{o.ID, q.sent.Host, at})
	}
}

// checkHarmful requires that a part or a request which has crashed allowedCrashes targets reaches targets at
// most maxHarmfulArrivals times more, from HarmfulDelay on. Requests whose host or the source of configuration
// had a fault in the HarmfulDelay before are not counted. At most one violation is reported for each part.
func (a *Audit) checkHarmful() {
	for name, p := range a.harmful {
		allowed := allowedCrashes(name)
		if len(p.crashes) < allowed {
			continue
		}
		slices.SortFunc(p.crashes, time.Time.Compare)
		from, late := p.crashes[allowed-1].Add(a.bounds.HarmfulDelay), 0
		for _, r := range p.arrivals {
			if !r.at.After(from) || !a.faultFree(r.host, r.at.Add(-a.bounds.HarmfulDelay), r.at) {
				continue
			}
			if late++; late > maxHarmfulArrivals {
				a.addViolation(GuaranteeBounded, r.id, r.at, "reached a target with part %s, which had crashed %d targets until %s", name, allowed, from)
				break
			}
		}
	}
}

// checkQuarantine requires that a request which a host refuses because it crashes targets has crashed one,
// itself or by a part of its prompt.
func (a *Audit) checkQuarantine(q *request, o *ResponseEnded, at time.Time) {
	if o.Quarantined && !q.isHarmful(a) {
		a.addViolation(GuaranteeAdmitted, o.ID, at, "refused as harmful, but neither it nor one of %v has crashed a target", q.sent.SharedParts)
	}
}

// isHarmful reports whether the request or a part of its prompt has crashed a target. Such a request need
// not be served.
func (q *request) isHarmful(a *Audit) bool {
	for _, name := range append(slices.Clone(q.sent.SharedParts), RequestKey(q.sent.Organisation, q.sent.Path, q.sent.Body)) {
		if p := a.harmful[name]; p != nil && len(p.crashes) > 0 {
			return true
		}
	}
	return false
}
