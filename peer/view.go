// Package peer connects the entry hosts over QUIC with mutual TLS. It transmits heartbeats for
// failure detection, reports of soft state, which receivers discard unless it is renewed, and
// queries with their answers, such as for a table.
//
// A few hosts are all connected with each other. In a larger deployment the number of partners of
// a host is bounded: it is connected with the coordinators of its failure domain, and the
// coordinators of all domains with each other.
package peer

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

type (
	// A Peer describes another host as of its last heartbeat.
	Peer struct {
		Host          string
		Incarnation   string
		Domain        string
		Address       netip.AddrPort
		Stopping      bool      // the host accepts no new requests
		TableVersion  uint64    // version of the table in effect
		Revision      uint64    // newest revision of the published state that the host has
		Weight        int       // size of its machine; see Settings.Weight
		Young         bool      // the host started less than youngTime ago
		Members       int       // live hosts of its failure domain in the host's view, itself included
		Detached      bool      // the host has no connection to targets but through other hosts
		Unanswered    bool      // no target has answered the host recently on a connection of its own
		sequence      uint64    // sequence number of the last heartbeat
		lastHeartbeat time.Time // time at which the last heartbeat was received
		down          bool      // no heartbeat was received for DownAfter
	}

	// A View is one host's membership list of its peers, derived from their heartbeats. Its
	// methods take the current time as an argument. It is not safe for concurrent use.
	View struct {
		self        Peer
		peers       map[string]*Peer // hosts whose heartbeats it receives, by name
		listed      map[string]*Peer // coordinators listed in these heartbeats, by name
		domainHosts []string         // see DomainHosts
	}

	// A Change is a peer with its state after a heartbeat or after the lack of heartbeats.
	Change struct {
		Peer Peer
		Up   bool // whether the peer is up
	}
)

const (
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval = 250 * time.Millisecond

	// DownAfter is the time without a heartbeat after which a peer counts as down.
	DownAfter = 1500 * time.Millisecond

	// CapShareTTL is the time after its last heartbeat during which a peer still has a
	// share of the caps, which the hosts of a failure domain divide evenly. A longer time
	// leaves the share of a failed host unused for longer; a shorter one could let the hosts
	// exceed a cap in total.
	CapShareTTL = 10 * time.Second
)

// NewView returns an empty view for a host.
func NewView(self Peer) *View {
	return &View{self: self, peers: map[string]*Peer{}, listed: map[string]*Peer{}, domainHosts: []string{self.Host}}
}

// UpdateSelf updates the view's entry of its own host and DomainHosts.
func (v *View) UpdateSelf(stopping, young bool) {
	v.domainHosts = []string{v.self.Host}
	for host, p := range v.peers {
		if p.Domain == v.self.Domain {
			v.domainHosts = append(v.domainHosts, host)
		}
	}
	slices.Sort(v.domainHosts)
	v.self.Stopping, v.self.Young, v.self.Members = stopping, young, len(v.domainHosts)
}

// DomainHosts returns the names of the hosts of this host's failure domain with a heartbeat within
// CapShareTTL, this host included, sorted, as of the latest UpdateSelf. Callers must not change the
// slice.
func (v *View) DomainHosts() []string { return v.domainHosts }

// ApplyHeartbeat records a peer's heartbeat. It ignores duplicates, reordered heartbeats, those
// of an incarnation older than the recorded one, and those of a host with this host's name. It
// returns the peer, and true if the peer is new, was down or has a newer incarnation.
func (v *View) ApplyHeartbeat(p Peer, sequence uint64, now time.Time) (Change, bool) {
	old := v.peers[p.Host]
	if p.Host == v.self.Host || p.Host == "" {
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

// isNewerIncarnation reports whether incarnation a started after incarnation b. An incarnation
// is its start time as a number in text form: the longer text is the greater number, and texts
// of equal length compare in text order.
func isNewerIncarnation(a, b string) bool {
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a > b
}

// Expire marks the peers without a heartbeat for DownAfter as down and returns them, and
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

// Live returns the live peers, sorted by host name.
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

// NewestTable returns the live peer with the highest table version above the given one, if any.
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

// LivePart returns the live part of the hosts of a failure domain that the view has, from 0 to 1; 1 if it
// has none.
func (v *View) LivePart(domain string) float64 {
	live, all := 0, 0
	if domain == v.self.Domain {
		live, all = 1, 1
	}
	for _, p := range v.peers {
		if p.Domain != domain {
			continue
		}
		all++
		if !p.down {
			live++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(live) / float64(all)
}

// hostAt returns the name of the peer with an address, or an empty name.
func (v *View) hostAt(a netip.AddrPort) string {
	for host, p := range v.peers {
		if p.Address == a {
			return host
		}
	}
	return ""
}

// isUp reports whether the view receives heartbeats of a host.
func (v *View) isUp(host string) bool {
	p := v.peers[host]
	return p != nil && !p.down
}
