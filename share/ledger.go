// Package share accounts for the service that each organisation uses. Use is an exponentially
// decayed sum of service units. Such sums can be added over hosts, need no common start time,
// and vanish without cleanup when an organisation or host no longer exists.
package share

import (
	"math"
	"slices"
	"time"
)

type (
	// A Ledger holds the use of every organisation: what was used through this host, and what
	// other hosts have reported. It is not safe for concurrent use. All times are durations
	// since an epoch that the caller chooses.
	Ledger struct {
		window      time.Duration      // time constant of the decay
		origins     map[string]*origin // by name
		originOrder []string           // names of the origins, in order of their first report
		local       map[Account]*usage // use through this host
		remote      map[Account]*usage // sum over all origins
	}

	// An Account identifies an organisation's use of one pool. An empty Pool means all pools.
	Account struct{ Organisation, Pool string }

	// An Entry is the reported use of one account through one host.
	Entry struct {
		Account Account
		Use     float64 // service units, decayed to the time of the report
		Rate    float64 // service units a second, at the time of the report
	}

	// usage is the use of one account.
	usage struct {
		amount float64       // service units, decayed to at
		at     time.Duration // time of the last change
		rate   float64       // current rate, in service units a second
	}

	// origin is another host with its latest report.
	origin struct {
		sequence   uint64
		receivedAt time.Duration
		entries    map[Account]usage
	}
)

const (
	// DefaultWindow is the default time constant of the decay.
	DefaultWindow = 30 * time.Second

	// ProjectionHorizon is the time for which the current rate is assumed to continue.
	ProjectionHorizon = 5 * time.Second

	// RateExpiry is the age from which the current rates in a report are discarded. The
	// report's past use remains and decays.
	RateExpiry = 2 * time.Second

	negligibleUse = 1e-3 // service units, and service units a second, below which an account is dropped
)

// NewLedger returns an empty ledger. window is the time constant of the decay; 0 means
// DefaultWindow.
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

// decay returns the amount of u as decayed to now, in service units.
func (l *Ledger) decay(u usage, now time.Duration) float64 {
	age := now - u.at
	if age <= 0 || u.amount == 0 {
		return u.amount
	}
	return u.amount * math.Exp(-float64(age)/float64(l.window))
}

// add adds an amount and a rate to an account of m. Neither becomes negative.
func (l *Ledger) add(m map[Account]*usage, a Account, amount, rate float64, now time.Duration) {
	u := m[a]
	if u == nil {
		u = &usage{}
		m[a] = u
	}
	u.amount = max(l.decay(*u, now)+amount, 0)
	u.at = max(u.at, now)
	u.rate = max(u.rate+rate, 0)
}

// Charge adds service units used through this host to the organisation's account of the pool
// and to that of all pools.
func (l *Ledger) Charge(organisation, pool string, service float64, now time.Duration) {
	l.add(l.local, Account{organisation, pool}, service, 0, now)
	l.add(l.local, Account{organisation, ""}, service, 0, now)
}

// AddRate adds rate, in service units a second, to the current rate of an organisation through
// this host. A negative rate subtracts.
func (l *Ledger) AddRate(organisation, pool string, rate float64, now time.Duration) {
	l.add(l.local, Account{organisation, pool}, 0, rate, now)
	l.add(l.local, Account{organisation, ""}, 0, rate, now)
}

// Use returns the decayed use of an account over all hosts, in service units.
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

// CurrentRate returns the current rate of an account over all hosts, in service units a second.
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

// ProjectedRate returns the rate by which the shares of accounts are compared, in service units
// a second: the mean of the decayed use and of the current rate continued for
// ProjectionHorizon. The decayed use alone lags by the length of a generation; the current rate
// alone penalises every burst.
func (l *Ledger) ProjectedRate(a Account, now time.Duration) float64 {
	used, rate := 0.0, 0.0
	for _, accounts := range [...]map[Account]*usage{l.local, l.remote} {
		if u := accounts[a]; u != nil {
			used += l.decay(*u, now)
			rate += u.rate
		}
	}
	return (used + rate*ProjectionHorizon.Seconds()) / (l.window + ProjectionHorizon).Seconds()
}

// AverageRate returns the decayed mean rate of an account over all hosts, in service units a
// second.
func (l *Ledger) AverageRate(a Account, now time.Duration) float64 {
	return l.Use(a, now) / l.window.Seconds()
}

// Report returns the use through this host, for the reports to other hosts. It drops accounts
// with negligible use.
func (l *Ledger) Report(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(l.local))
	for a, u := range l.local {
		amount := l.decay(*u, now)
		if amount < negligibleUse && u.rate < negligibleUse {
			delete(l.local, a)
			continue
		}
		entries = append(entries, Entry{a, amount, u.rate})
	}
	return entries
}

// Merge replaces the previous report of an origin. It ignores a report whose sequence number is
// not higher than the previous one's, and returns false. The name of an origin includes its
// incarnation; the use of an earlier incarnation therefore remains until it has decayed.
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
		if !plausible(e.Use) || !plausible(e.Rate) {
			continue
		}
		o.entries[e.Account] = usage{e.Use, now, e.Rate}
		l.add(l.remote, e.Account, e.Use, e.Rate, now)
	}
	return true
}

func plausible(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// removeOrigin subtracts an origin's remaining use from the remote sums.
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

// Expire discards the current rates of origins that have not reported for RateExpiry, and
// removes those whose use has decayed to a negligible amount.
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
