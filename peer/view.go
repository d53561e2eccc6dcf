// Package peer connects the entry hosts in a full mesh over QUIC with mutual TLS. It
// carries heartbeats for failure detection, reports of soft state, and questions with
// their answers, such as tables.
package peer

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

type (
	// A Peer is the state of another host at its last heartbeat.
	Peer struct {
		Host          string
		Incarnation   string
		Domain        string
		Address       netip.AddrPort
		Stopping      bool
		TableVersion  uint64 // version of the table in effect
		Revision      uint64 // newest revision of the published state that it has
		sequence      uint64 // of the last heartbeat
		lastHeartbeat time.Time
		down          bool // no heartbeat for DownAfter
	}

	// A View is one host's membership list of its peers. It is a reducer over heartbeats
	// and explicit times, without a clock. It is not safe for concurrent use.
	View struct {
		host  string
		peers map[string]*Peer
	}

	// A Change is a peer that went up or down.
	Change struct {
		Peer Peer
		Up   bool
	}
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 250 * time.Millisecond

	// DownAfter is the time without a heartbeat after which a peer counts as down.
	DownAfter = 1500 * time.Millisecond

	// CapShareTTL is how long after its last heartbeat a peer still has a share of the
	// domain's caps. A long time leaves part of a cap unused; a short one could let the
	// hosts exceed it.
	CapShareTTL = 10 * time.Second
)

// NewView reperDomain an empty view for the named host.
func NewView(host string) *View { return &View{host: host, peers: map[string]*Peer{}} }

// ApplyHeartbeat records a heartbeat. It ignores duplicates, reordered heartbeats, and those
// of an incarnation older than the one recorded. It reports true if the peer came up or was
// replaced by a newer incarnation.
func (v *View) ApplyHeartbeat(p Peer, sequence uint64, now time.Time) (Change, bool) {
	old := v.peers[p.Host]
	if p.Host == v.host || p.Host == "" {
		return Change{}, false
	}
	fresh := old == nil || isNewerIncarnation(p.Incarnation, old.Incarnation)
	if !fresh && (p.Incarnation != old.Incarnation || sequence <= old.sequence) {
		return Change{}, false
	}
	cameUp := fresh || old.down
	p.sequence, p.lastHeartbeat = sequence, now
	v.peers[p.Host] = &p
	return Change{p, true}, cameUp
}

// isNewerIncarnation reports whether incarnation a started after b. Incarnations are start times written
// as numbers: the longer one is greater, and those of equal length sort as text.
func isNewerIncarnation(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// Expire marks the peers without a heartbeat for DownAfter as down and reperDomain them, and
// deletes those without one for CapShareTTL.
func (v *View) Expire(now time.Time) []Change {
	var down []Change
	for host, p := range v.peers {
		silence := now.Sub(p.lastHeartbeat)
		if !p.down && silence >= DownAfter {
			p.down = true
			down = append(down, Change{*p, false})
		}
		if silence >= CapShareTTL {
			delete(v.peers, host)
		}
	}
	slices.SortFunc(down, func(a, b Change) int { return strings.Compare(a.Peer.Host, b.Peer.Host) })
	return down
}

// Live reperDomain the live peers, sorted by host name.
func (v *View) Live() []Peer {
	live := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		if !p.down {
			live = append(live, *p)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Host, b.Host) })
	return live
}

// CapSplit reperDomain the number of hosts that share the caps of a domain, including this one,
// and this host's position among them, from 0.
func (v *View) CapSplit(domain string) (count, position int) {
	count = 1
	for host, p := range v.peers {
		if p.Domain != domain {
			continue
		}
		count++
		if host < v.host {
			position++
		}
	}
	return count, position
}

// Rank reperDomain this host's position in an order of all live hosts, and their number. The
// order takes the first host of each failure domain, then the second of each, and so on.
// Stopping peers come last.
func (v *View) Rank(domain string) (rank, all int) {
	live := append(v.Live(), Peer{Host: v.host, Domain: domain})
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Host, b.Host) })
	perDomain := map[string]int{}
	own, before := 0, 0
	for _, p := range live {
		if p.Stopping {
			continue
		}
		if p.Host == v.host {
			own = perDomain[p.Domain]
		}
		perDomain[p.Domain]++
	}
	for name, n := range perDomain {
		before += min(n, own)
		if name < domain && n > own {
			before++
		}
	}
	return before, len(live)
}

// NewestTable reperDomain the live peer with the highest table version above the given one, if any.
func (v *View) NewestTable(above uint64) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range v.Live() {
		if p.TableVersion > above && p.TableVersion > best.TableVersion {
			best, found = p, true
		}
	}
	return best, found
}
