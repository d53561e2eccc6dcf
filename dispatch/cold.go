package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/limit"
	"github.com/wigeonlink/wigeonlink/table"
)

// A target that was started during traffic, or whose caches were lost, is cold for a while: it takes a low rate of requests
// from all hosts together and crashes at a rate well above. Its places are given out like those of a target that names a limit.
// The load pattern is a domain whose evacuation is withdrawn: all its targets may be cold, and all hosts have requests for them.

// coldPatience bounds the time before its use at which a place at a cold target is given out. When another host begins to give
// out the places, those of the former one are used beside its own for so long.
const coldPatience = 250 * time.Millisecond

// coldSpec returns what the table says about cold targets of t's pool.
func (r *Reducer) coldSpec(t *targetState) table.ColdSpec {
	switch {
	case r.table == nil:
		return table.ColdSpec{}
	case t.spec.Kind == table.TargetService:
		return r.table.Services[t.spec.Service].Cold
	}
	return r.table.Models[t.spec.Model].Cold
}

// coldUntil returns the time until which the target is cold, by its entry in the list or because its domain was evacuated.
func (r *Reducer) coldUntil(t *targetState) time.Duration {
	return max(r.assumedColdUntil(t), r.sinceEpoch(t.spec.ColdUntil))
}

// assumedColdUntil returns the time until which the target counts as cold because the evacuation of its domain was withdrawn, or 0:
// it has had no traffic, and its entry may be older. Processes that have started since then are no exception, as clocks differ.
func (r *Reducer) assumedColdUntil(t *targetState) time.Duration {
	at, ok := r.withdrawals[t.spec.Domain]
	spec := r.coldSpec(t)
	if !ok || spec.Rate <= 0 {
		return 0
	}
	return at + spec.Time
}

// refreshCold brings coldRate up to date and emits the change.
func (r *Reducer) refreshCold(t *targetState) {
	rate, until := 0.0, r.coldUntil(t)
	if r.now < until {
		rate = r.coldSpec(t).Rate
		r.wakeBy(until)
	}
	if rate == t.coldRate {
		return
	}
	// Places that were given out at a higher rate would exceed the new one together.
	slower := rate > 0 && (t.coldRate == 0 || rate < t.coldRate)
	t.coldRate = rate
	if slower || !t.isLimited() {
		t.places = places{asked: t.places.asked}
	}
	r.emit(Effect{Kind: EffectCold, Target: t.spec.Name, Limit: r.questionLimit(t)})
}

// refreshColdTargets is refreshCold for all targets that are cold.
func (r *Reducer) refreshColdTargets() {
	for _, p := range r.poolList {
		for _, t := range p.targets {
			if t.coldRate > 0 {
				r.refreshCold(t)
			}
		}
	}
}

// recordWithdrawal counts the targets of a domain as cold whose evacuation was withdrawn at the given time.
func (r *Reducer) recordWithdrawal(domain string, at time.Duration) {
	r.withdrawals[domain] = at
	last := at
	for _, t := range r.targets {
		if t.spec.Domain == domain {
			last = max(last, r.assumedColdUntil(t))
		}
	}
	r.emit(Effect{Kind: EffectReadmitted, Domain: domain, At: r.epoch.Add(at), Within: last - at})
	for _, p := range r.poolList {
		for _, t := range p.targets {
			if t.spec.Domain == domain {
				r.refreshCold(t)
			}
		}
	}
}

// AssumedCold returns the targets that this host counts as cold although their entries in the list do not say so, with the end of that
// time, for hosts that have not received the withdrawal.
func (r *Reducer) AssumedCold() map[string]time.Time {
	out := map[string]time.Time{}
	for name, t := range r.targets {
		if until := r.assumedColdUntil(t); until > r.now {
			out[name] = r.epoch.Add(until)
		}
	}
	return out
}

// pacedRate returns the rate of places at the target: the lower one of its named limit and that of a cold target. It reports false
// if there is neither.
func (t *targetState) pacedRate() (rate float64, paced bool) {
	switch {
	case t.coldRate > 0 && t.limit.Named:
		return min(t.coldRate, t.limit.Rate), true
	case t.coldRate > 0:
		return t.coldRate, true
	}
	return t.limit.Rate, t.limit.Named
}

// questionLimit returns the limit of a question for a place. That of a cold target is stated as one that the target names, so
// that hosts of an earlier build keep to it, too, when they give out places.
func (r *Reducer) questionLimit(t *targetState) TargetLimit {
	l := r.limitOfTarget(t)
	if t.coldRate == 0 {
		return l
	}
	rate, _ := t.pacedRate()
	l.Record = limit.Record{Reading: limit.Reading{Named: true, Rate: rate}, At: r.clock()}
	l.Cold = max(r.coldUntil(t)-r.now, time.Millisecond)
	return l
}

// rateFor returns the rate of places at a target for the sender of a question, by what both have recorded, and the record of
// the named limit for the reply. It reports false if there is no limit.
func (t *targetState) rateFor(asked TargetLimit) (known limit.Record, rate float64, paced bool) {
	known = t.limit
	if asked.Cold == 0 {
		known.Merge(asked.Record)
	}
	rate, paced = known.Rate, known.Named
	for _, cold := range []float64{t.coldRate, coldRateOf(asked)} {
		if cold > 0 && (!paced || cold < rate) {
			rate, paced = cold, true
		}
	}
	return known, rate, paced
}

// coldRateOf returns the rate of a question about a cold target, 0 of others.
func coldRateOf(asked TargetLimit) float64 {
	if asked.Cold == 0 {
		return 0
	}
	return asked.Record.Rate
}

// takesMoves reports whether streams may move to the target although it is limited: it is cold and names no limit, so that its places
// are for all that begins there.
func (t *targetState) takesMoves() bool { return t.coldRate > 0 && !t.limit.Named && !t.brittle }

// askMovePlace asks for a place at a cold target for a stream that has no other destination.
func (r *Reducer) askMovePlace(q *request) {
	for _, t := range q.pool.targets {
		p := &t.places
		if !t.takesMoves() || q.runsAt(t) || !r.mayChoose(q, t) || p.asked || len(p.due) > 0 || p.blocked > r.now || p.askAfter > r.now+coldPatience {
			continue
		}
		p.asked = true
		r.emit(Effect{Kind: EffectReserve, ID: q.id, Name: q.name, Target: t.spec.Name, To: t.spec, Limit: r.questionLimit(t), Within: coldPatience})
		return
	}
}

// usableBackup returns the backup of q if the stream may continue there, else nil. A cold target gets nothing without a place.
func (r *Reducer) usableBackup(q *request) *targetState {
	if t := q.backup.target; r.canRunAt(t) && t.coldRate == 0 {
		return t
	}
	return nil
}
