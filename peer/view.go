// Package peer connects the entry hosts with each other: heartbeats and suspicion,
// soft state, tables and questions, over QUIC with certificates on both ends.
package peer

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

type (
	// A Peer is another host, as its last heartbeat tells.
	Peer struct {
		Host          string
		Incarnation   string
		Domain        string
		Address       netip.AddrPort
		Stopping      bool
		Table         uint64 // version in force
		Revision      uint64 // newest of what is published that it knows
		sequence      uint64
		lastHeartbeat time.Time
		down          bool // no heartbeat for DeadAfter
	}

	// A View is what a host knows of the others. It is a reducer over heartbeats and
	// time, without a clock of its own, and used by one goroutine at a time.
	View struct {
		host  string
		peers map[string]*Peer
	}

	// A Change is a peer that came or went.
	Change struct {
		Peer Peer
		Up   bool
	}
)

const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 250 * time.Millisecond

	// DownAfter is the silence after which a peer is no longer live.
	DownAfter = 1500 * time.Millisecond

	// CapShareTTL is how long after its last heartbeat a host still counts for the
	// split of caps: a cap is rather used in part than exceeded.
	CapShareTTL = 10 * time.Second
)

// NewView returns a view of a host that has heard nobody.
func NewView(host string) *View { return &View{host: host, peers: map[string]*Peer{}} }

// ApplyHeartbeat takes in a heartbeat. Repeated and late ones are ignored; so are those of an
// incarnation that a later one has replaced, as incarnations rise.
func (v *View) ApplyHeartbeat(p Peer, sequence uint64, now time.Time) (Change, bool) {
	old := v.peers[p.Host]
	if p.Host == v.host || p.Host == "" {
		return Change{}, false
	}
	fresh := old == nil || newer(p.Incarnation, old.Incarnation)
	if !fresh && (p.Incarnation != old.Incarnation || sequence <= old.sequence) {
		return Change{}, false
	}
	came := fresh || old.down
	p.sequence, p.lastHeartbeat = sequence, now
	v.peers[p.Host] = &p
	return Change{p, true}, came
}

// newer reports whether incarnation a began after b. Incarnations are start times in
// a base that keeps their order among texts of one length.
func newer(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// Expire returns the peers that have been silent for too long.
func (v *View) Expire(now time.Time) []Change {
	var gone []Change
	for host, p := range v.peers {
		silent := now.Sub(p.lastHeartbeat)
		if !p.down && silent >= DownAfter {
			p.down = true
			gone = append(gone, Change{*p, false})
		}
		if silent >= CapShareTTL {
			delete(v.peers, host)
		}
	}
	slices.SortFunc(gone, func(a, b Change) int { return strings.Compare(a.Peer.Host, b.Peer.Host) })
	return gone
}

// Live returns the live peers by name.
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

// CapSplit returns how many hosts share the caps of a domain, this one included, and
// this one's place among them.
func (v *View) CapSplit(domain string) (count, place int) {
	count = 1
	for host, p := range v.peers {
		if p.Domain != domain {
			continue
		}
		count++
		if host < v.host {
			place++
		}
	}
	return count, place
}

// Rank returns a host's place in an order of all live hosts in which the first ones of
// each failure domain come first, and the number of live hosts. A stopping host comes
// after all others.
func (v *View) Rank(domain string) (rank, all int) {
	live := append(v.Live(), Peer{Host: v.host, Domain: domain})
	slices.SortFunc(live, func(a, b Peer) int { return strings.Compare(a.Host, b.Host) })
	turns := map[string]int{}
	own, before := 0, 0
	for _, p := range live {
		if p.Stopping {
			continue
		}
		if p.Host == v.host {
			own = turns[p.Domain]
		}
		turns[p.Domain]++
	}
	for name, n := range turns {
		before += min(n, own)
		if name < domain && n > own {
			before++
		}
	}
	return before, len(live)
}

// NewestTable returns the live peer with the highest table version above have.
func (v *View) NewestTable(have uint64) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range v.Live() {
		if p.Table > have && p.Table > best.Table {
			best, found = p, true
		}
	}
	return best, found
}
