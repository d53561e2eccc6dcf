// Package share keeps what each organisation was promised, what it used and what it
// was refused. Use is an exponentially decayed sum of service, so that it adds up
// over hosts, needs no agreed start, and forgets the dead by itself.
package share

import (
	"math"
	"slices"
	"time"
)

type (
	// A Ledger holds the use of every organisation. It is used by one goroutine at a
	// time.
	Ledger struct {
		window      time.Duration
		origins     map[string]*origin
		originOrder []string // names of the origins, as first seen
		local       map[Account]*usage
		remote      map[Account]*usage // sum of the other origins
	}

	// An Account is an organisation's use of one pool. An empty pool means all pools.
	Account struct{ Organisation, Pool string }

	// An Entry is one account's use as reported by another origin.
	Entry struct {
		Account Account
		Use     float64 // service units, decayed to the time of the report
		Holding float64 // service units a second, now being consumed
	}

	// usage is decayed service and the rate at which more is being consumed.
	usage struct {
		amount float64
		at     time.Duration
		rate   float64
	}

	// origin is another host and what its last report said.
	origin struct {
		sequence   uint64
		receivedAt time.Duration
		entries    map[Account]usage
	}
)

const (
	// DefaultWindow is the time constant with which use is forgotten.
	DefaultWindow = 30 * time.Second

	// ProjectionHorizon is how long the present rate of use is taken to go on.
	ProjectionHorizon = 5 * time.Second

	// RateExpiry is the age at which what a report says of the present is
	// dropped. What it says of the past decays.
	RateExpiry = 2 * time.Second

	negligibleUse = 1e-3 // service units below which an account is dropped
)

// NewLedger returns an empty ledger that forgets use with the time constant
// window; 0 means the default.
func NewLedger(window time.Duration) *Ledger {
	if window == 0 {
		window = DefaultWindow
	}
	return &Ledger{
		window:  window,
		origins: map[string]*origin{},
		local:   map[Account]*usage{},
		remote:  map[Account]*usage{},
	}
}

func (l *Ledger) decay(u usage, now time.Duration) float64 {
	age := now - u.at
	if age <= 0 || u.amount == 0 {
		return u.amount
	}
	return u.amount * math.Exp(-float64(age)/float64(l.window))
}

func (l *Ledger) add(m map[Account]*usage, a Account, amount, holding float64, now time.Duration) {
	u := m[a]
	if u == nil {
		u = &usage{}
		m[a] = u
	}
	u.amount = max(l.decay(*u, now)+amount, 0)
	u.at = max(u.at, now)
	u.rate = max(u.rate+holding, 0)
}

// Charge adds service used through this host, to the pool's account and to the
// account over all pools.
func (l *Ledger) Charge(organisation, pool string, service float64, now time.Duration) {
	l.add(l.local, Account{organisation, pool}, service, 0, now)
	l.add(l.local, Account{organisation, ""}, service, 0, now)
}

// AddRate changes the rate at which an organisation consumes service through this host.
func (l *Ledger) AddRate(organisation, pool string, rate float64, now time.Duration) {
	l.add(l.local, Account{organisation, pool}, 0, rate, now)
	l.add(l.local, Account{organisation, ""}, 0, rate, now)
}

// Use returns an account's decayed use over all hosts, in service units.
func (l *Ledger) Use(a Account, now time.Duration) float64 {
	sum := 0.0
	if u := l.local[a]; u != nil {
		sum += l.decay(*u, now)
	}
	if u := l.remote[a]; u != nil {
		sum += l.decay(*u, now)
	}
	return sum
}

// CurrentRate returns the rate at which an account consumes service over all hosts.
func (l *Ledger) CurrentRate(a Account) float64 {
	sum := 0.0
	if u := l.local[a]; u != nil {
		sum += u.rate
	}
	if u := l.remote[a]; u != nil {
		sum += u.rate
	}
	return sum
}

// ProjectedRate returns what an account is judged by, in service units a second: its decayed
// use, and what it consumes now as if that went on for Horizon. The past alone lags
// by the length of a generation; the present alone punishes every burst.
func (l *Ledger) ProjectedRate(a Account, now time.Duration) float64 {
	used, holding := 0.0, 0.0
	for _, accounts := range [...]map[Account]*usage{l.local, l.remote} {
		if u := accounts[a]; u != nil {
			used += l.decay(*u, now)
			holding += u.rate
		}
	}
	return (used + holding*ProjectionHorizon.Seconds()) / (l.window + ProjectionHorizon).Seconds()
}

// AverageRate returns an account's use as service units a second.
func (l *Ledger) AverageRate(a Account, now time.Duration) float64 {
	return l.Use(a, now) / l.window.Seconds()
}

// Report lists the accounts used through this host, for other hosts. Accounts
// with next to no use are dropped.
func (l *Ledger) Report(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(l.local))
	for a, u := range l.local {
		v := l.decay(*u, now)
		if v < negligibleUse && u.rate < negligibleUse {
			delete(l.local, a)
			continue
		}
		entries = append(entries, Entry{a, v, u.rate})
	}
	return entries
}

// Merge takes in another origin's report. A report replaces the origin's last;
// an older one is ignored and Merge reports false. The name of an origin includes
// its incarnation: what an earlier incarnation used stays until it has decayed.
func (l *Ledger) Merge(from string, sequence uint64, entries []Entry, now time.Duration) bool {
	o := l.origins[from]
	if o == nil {
		o = &origin{entries: map[Account]usage{}}
		l.origins[from] = o
		l.originOrder = append(l.originOrder, from)
	}
	if sequence <= o.sequence {
		return false
	}
	o.sequence, o.receivedAt = sequence, now
	l.removeOrigin(o, now)
	clear(o.entries)
	for _, e := range entries {
		if !plausible(e.Use) || !plausible(e.Holding) {
			continue
		}
		o.entries[e.Account] = usage{e.Use, now, e.Holding}
		l.add(l.remote, e.Account, e.Use, e.Holding, now)
	}
	return true
}

func plausible(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// removeOrigin takes an origin's remaining use out of the pooled sums.
func (l *Ledger) removeOrigin(o *origin, now time.Duration) {
	for a, u := range o.entries {
		l.add(l.remote, a, -l.decay(u, now), -u.rate, now)
		l.dropNegligible(a)
	}
}

func (l *Ledger) dropNegligible(a Account) {
	if u := l.remote[a]; u.amount < negligibleUse && u.rate < negligibleUse {
		delete(l.remote, a)
	}
}

// Expire drops the present rates of origins that have not reported for
// ReportExpiry, and origins of which nothing is left.
func (l *Ledger) Expire(now time.Duration) {
	l.originOrder = slices.DeleteFunc(l.originOrder, func(name string) bool {
		o := l.origins[name]
		if now-o.receivedAt < RateExpiry {
			return false
		}
		left := 0.0
		for a, u := range o.entries {
			l.add(l.remote, a, 0, -u.rate, now)
			u.rate = 0
			o.entries[a] = u
			left += l.decay(u, now)
		}
		if left >= negligibleUse {
			return false
		}
		l.removeOrigin(o, now)
		delete(l.origins, name)
		return true
	})
}
