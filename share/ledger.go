// Package share accounts for the service that each organisation uses, in service units that the
// caller defines. The use is a sum of service units in which older ones count exponentially less.
// Such sums can be added over hosts, need no common start time, and decay to nothing without
// cleanup when an organisation or host no longer exists.
package share

import (
	"math"
	"slices"
	"time"
)

type (
	// A Ledger holds the use of every organisation: its use through this host, and its use through
	// other hosts as they reported it. It is not safe for concurrent use. All times are durations
	// since an epoch that the caller chooses.
	Ledger struct {
		window      time.Duration      // time constant of the decay
		origins     map[string]*origin // by name
		originOrder []string           // names of the origins, in order of their first report
		local       map[Account]*usage // use through this host, by account
		remote      map[Account]*usage // use through all other hosts, by account
	}

	// An Account identifies an organisation's use of one pool. An empty Pool stands for its use
	// of all pools together.
	Account struct{ Organisation, Pool string }

	// An Entry is the use of one account through one host, as that host reports it.
	Entry struct {
		Account Account
		Use     float64 // service units, decayed to the time of the report
		Rate    float64 // rate of use at the time of the report, in service units a second
	}

	// usage is the use recorded for one account.
	usage struct {
		amount float64       // service units, decayed to at
		at     time.Duration // time to which amount is decayed
		rate   float64       // current rate, in service units a second
	}

	// origin holds the latest report of another host.
	origin struct {
		sequence   uint64            // sequence number of the report
		receivedAt time.Duration     // time when the report arrived
		entries    map[Account]usage // reported use, by account
	}
)

const (
	// DefaultWindow is the default time constant of the decay.
	DefaultWindow = 30 * time.Second

	// ProjectionHorizon is the time for which ProjectedRate assumes the current rate to continue.
	ProjectionHorizon = 5 * time.Second

	// RateExpiry is the age of a host's latest report from which the current rates in it are
	// discarded. The use in the report remains and decays.
	RateExpiry = 2 * time.Second

	negligibleUse = 1e-3 // use in service units, and rate in service units a second, below which an account is removed
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

// decay returns u.amount after its decay from u.at to now, in service units.
func (l *Ledger) decay(u usage, now time.Duration) float64 {
	age := now - u.at
	if age <= 0 || u.amount == 0 {
		return u.amount
	}
	return u.amount * math.Exp(-float64(age)/float64(l.window))
}

// add adds an amount, in service units, and a rate, in service units a second, to an account of m.
// A negative sum becomes 0.
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

// AddRate adds rate, in service units a second, to the current rate of an organisation's use of the
// pool, and of all pools, through this host. A negative rate is subtracted.
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

// CurrentRate returns the current rate of an account's use over all hosts, in service units a
// second.
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
// a second: the decayed use, plus the use within ProjectionHorizon at the current rate, divided by
// the decay window plus ProjectionHorizon. The decayed use alone lags by the duration of a
// generation; the current rate alone penalises every burst.
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

// AverageRate returns the decayed mean rate of an account's use over all hosts, in service units a
// second.
func (l *Ledger) AverageRate(a Account, now time.Duration) float64 {
	return l.Use(a, now) / l.window.Seconds()
}

// Report returns the decayed use and the rate of each account through this host, to be sent to the
// other hosts. It omits accounts whose use and rate are negligible and deletes them from the ledger.
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

// Merge replaces the previous report of another host, the origin from, by entries. It ignores a
// report whose sequence number is not higher than that of the previous one, and returns false. The
// name of an origin includes the host's incarnation; the use reported by an earlier incarnation
// therefore remains until it has decayed. Entries with a value that is negative, infinite or not a
// number are ignored.
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
	l.subtractOrigin(o, now)
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

// plausible reports whether v is a finite value of at least 0.
func plausible(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// subtractOrigin subtracts an origin's reported rates and its use, decayed to now, from the remote
// accounts.
func (l *Ledger) subtractOrigin(o *origin, now time.Duration) {
	for a, u := range o.entries {
		l.add(l.remote, a, -l.decay(u, now), -u.rate, now)
		l.dropNegligible(a)
	}
}

// dropNegligible removes a remote account with negligible use and rate.
func (l *Ledger) dropNegligible(a Account) {
	if u := l.remote[a]; u.amount < negligibleUse && u.rate < negligibleUse {
		delete(l.remote, a)
	}
}

// Expire discards the current rates of the origins that have not reported for RateExpiry, and
// removes those among them whose use has decayed to a negligible amount.
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
		l.subtractOrigin(o, now)
		delete(l.origins, name)
		return true
	})
}
