package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Directory lists the coordinators of all failure domains, as one host sees them. A domain
	// has up to coordinatorsPerDomain of them: the first one that is live places the requests of
	// the domain's hosts, the others stand by. Hosts do not agree on a directory; if they differ,
	// a domain has several hosts that place requests, each with the reports of only some of
	// the hosts.
	Directory struct {
		Domains map[string][]Peer // coordinators by failure domain, in order of precedence
		Hosts   int               // live hosts of all domains, this one included
	}
)

const (
	// coordinatorsPerDomain is the number of coordinators of a failure domain. A host that has
	// started recently and will take precedence over one of them is listed in addition.
	coordinatorsPerDomain = 2

	// youngTime is the time after its start during which a host ranks behind the others of its
	// domain. Until it takes precedence it receives the reports of the domain's hosts, from which
	// it records their streams.
	youngTime = 3 * time.Second

	// directoryExpiry is the time since its last heartbeat after which a coordinator that is
	// listed only in the heartbeats of other hosts is dropped. It is longer than DownAfter by the
	// time that an entry travels.
	directoryExpiry = DownAfter + 3*HeartbeatInterval
)

// comparePrecedence orders the hosts of a failure domain by how suitable they are as coordinators:
// hosts that stop or are young last, then larger machines first, then by a hash of the name.
func comparePrecedence(a, b *Peer) int {
	if c := cmp.Or(compareBool(a.Stopping, b.Stopping), compareBool(a.Young, b.Young)); c != 0 {
		return c
	}
	return compareSize(a, b)
}

// compareSize is comparePrecedence for hosts that neither stop nor are young.
func compareSize(a, b *Peer) int {
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(table.HashName(a.Host), table.HashName(b.Host)), cmp.Compare(a.Host, b.Host))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// MergeDirectory records the coordinators that a heartbeat lists. ages holds the time since the
// last heartbeat of each one.
func (v *View) MergeDirectory(listed []Peer, ages []time.Duration, now time.Time) {
	for i := range listed {
		p := listed[i]
		p.lastHeartbeat = now.Add(-ages[i])
		old := v.listed[p.Host]
		if p.Host == v.self.Host || old != nil && !old.lastHeartbeat.Before(p.lastHeartbeat) {
			continue
		}
		if old != nil && isNewerIncarnation(old.Incarnation, p.Incarnation) {
			continue
		}
		v.listed[p.Host] = &p
	}
}

// expireListed deletes the coordinators without a recent heartbeat.
func (v *View) expireListed(now time.Time) {
	maps.DeleteFunc(v.listed, func(_ string, p *Peer) bool { return now.Sub(p.lastHeartbeat) >= directoryExpiry })
}

// Directory returns the coordinators of all failure domains, chosen among this host, its live peers
// and the coordinators that other hosts list.
func (v *View) Directory() Directory {
	byDomain := map[string][]Peer{}
	known := map[string]bool{v.self.Host: true}
	byDomain[v.self.Domain] = append(byDomain[v.self.Domain], v.self)
	for host, p := range v.peers {
		if !p.down {
			known[host] = true
			byDomain[p.Domain] = append(byDomain[p.Domain], *p)
		}
	}
	for host, p := range v.listed {
		if !known[host] {
			byDomain[p.Domain] = append(byDomain[p.Domain], *p)
		}
	}
	d := Directory{Domains: make(map[string][]Peer, len(byDomain))}
	for domain, hosts := range byDomain {
		members := len(hosts)
		for i := range hosts {
			members = max(members, hosts[i].Members)
		}
		d.Hosts += members
		d.Domains[domain] = coordinatorsAmong(hosts)
	}
	return d
}

// coordinatorsAmong returns the coordinators of a failure domain: the first coordinatorsPerDomain
// hosts by comparePrecedence, followed by the young hosts that will precede one of them.
func coordinatorsAmong(hosts []Peer) []Peer {
	slices.SortFunc(hosts, func(a, b Peer) int { return comparePrecedence(&a, &b) })
	n := min(coordinatorsPerDomain, len(hosts))
	chosen := slices.Clone(hosts[:n])
	next := slices.DeleteFunc(slices.Clone(hosts[n:]), func(p Peer) bool {
		return !p.Young || p.Stopping || compareSize(&p, &chosen[n-1]) > 0
	})
	slices.SortFunc(next, func(a, b Peer) int { return compareSize(&a, &b) })
	return append(chosen, next[:min(coordinatorsPerDomain, len(next))]...)
}

// Position returns the position of a host among the coordinators of its failure domain, from 0, and
// false if it is not one of them.
func (d *Directory) Position(domain, host string) (int, bool) {
	i := slices.IndexFunc(d.Domains[domain], func(p Peer) bool { return p.Host == host })
	return i, i >= 0
}

// ReaderRank returns the position of a host in the order in which the hosts read the source of the
// published state, from 0: the first coordinator of each failure domain, then the second of each,
// and so on. All hosts that are no coordinators come after them with the same rank.
func (d *Directory) ReaderRank(domain, host string) int {
	own, ok := d.Position(domain, host)
	rank := 0
	for name, coordinators := range d.Domains {
		if !ok {
			rank += len(coordinators)
			continue
		}
		rank += min(len(coordinators), own)
		if name < domain && len(coordinators) > own {
			rank++
		}
	}
	return rank
}

// First returns the first coordinator of a failure domain, and false if there is none.
func (d *Directory) First(domain string) (Peer, bool) {
	coordinators := d.Domains[domain]
	if len(coordinators) == 0 {
		return Peer{}, false
	}
	return coordinators[0], true
}

// lowestDomain returns the first of the failure domains with coordinators, by name.
func (d *Directory) lowestDomain() string { return slices.Min(slices.Collect(maps.Keys(d.Domains))) }
