package host

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// evacuations holds the failure domains that are to be evacuated, and those at other hosts. The zero value is ready
	// for use.
	evacuations struct {
		mu      sync.Mutex
		domains map[string]bool
		peers   map[string]peerEvacuations // by host

		withdrawals map[string]withdrawal // by failure domain
	}

	// withdrawal is when the evacuation of a failure domain was withdrawn, and until when its targets count as cold.
	withdrawal struct{ at, until time.Time }

	// peerEvacuations is what a host has stated in its latest heartbeat.
	peerEvacuations struct {
		domains []string
		at      time.Time
	}
)

// peerEvacuationsTTL is the time after its last heartbeat for which a host is counted in dispatch.DomainRow.
const peerEvacuationsTTL = peer.DownAfter

// ApplyEvacuations puts the set of failure domains into effect that are to be evacuated: MaySend applies it when
// ApplyEvacuations returns, the reducer before the next event.
func (h registryHandler) ApplyEvacuations(domains []string, from string) {
	set := map[string]bool{}
	for _, domain := range domains {
		set[domain] = true
	}
	h.evacuations.mu.Lock()
	h.evacuations.domains = set
	h.evacuations.mu.Unlock()
	h.log.Emit(event.EvacuationsApplied, event.Fields{Values: []any{"domains", domains, "from", from}})
	h.Post(dispatch.Evacuations{Domains: domains})
}

// MaySend reports whether anything new may be sent to a target now: its failure domain is not to be evacuated. It repeats
// the reducer's check for what the reducer decided earlier.
func (h *Host) MaySend(t table.Target) bool {
	h.evacuations.mu.Lock()
	defer h.evacuations.mu.Unlock()
	return !h.evacuations.domains[t.Domain]
}

// list returns the evacuated domains.
func (v *evacuations) list() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Keys(v.domains))
}

// recordHeartbeat records what a peer states. Peers of earlier builds state nothing and have no evacuation in force.
func (v *evacuations) recordHeartbeat(hb *wire.Heartbeat, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.peers == nil {
		v.peers = map[string]peerEvacuations{}
	}
	v.peers[hb.Host] = peerEvacuations{hb.Evacuated, now}
	for host, p := range v.peers {
		if now.Sub(p.at) > peerEvacuationsTTL {
			delete(v.peers, host)
		}
	}
}

// recordWithdrawal records a withdrawal for the host's heartbeats.
func (v *evacuations) recordWithdrawal(domain string, w withdrawal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.withdrawals == nil {
		v.withdrawals = map[string]withdrawal{}
	}
	v.withdrawals[domain] = w
}

// listWithdrawals returns the withdrawals in the form of heartbeats, and deletes those whose time is over.
func (v *evacuations) listWithdrawals(now time.Time) []*wire.Withdrawal {
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.withdrawals, func(_ string, w withdrawal) bool { return !now.Before(w.until) })
	var out []*wire.Withdrawal
	for domain, w := range v.withdrawals {
		out = append(out, &wire.Withdrawal{Domain: domain, Age: uint32(now.Sub(w.at).Milliseconds())})
	}
	return out
}

// Domains returns the state of each failure domain for operators. In a large deployment a host receives heartbeats
// of few others, coordinators of the most.
func (h *Host) Domains() []dispatch.DomainRow {
	var rows []dispatch.DomainRow
	h.Inspect(func(r *dispatch.Reducer) { rows = r.Domains() })
	now := time.Now()
	h.evacuations.mu.Lock()
	defer h.evacuations.mu.Unlock()
	for i := range rows {
		d := &rows[i]
		if !d.Evacuated {
			continue
		}
		d.Hosts = 1
		if h.evacuations.domains[d.Domain] {
			d.InForce = 1
		}
		for _, p := range h.evacuations.peers {
			if now.Sub(p.at) > peerEvacuationsTTL {
				continue
			}
			d.Hosts++
			if slices.Contains(p.domains, d.Domain) {
				d.InForce++
			}
		}
	}
	return rows
}

// logEvacuation logs a step of a domain's evacuation, and records its withdrawal for peers.
func (h *Host) logEvacuation(f dispatch.Effect) {
	number, values := event.DomainEvacuated, []any{"domain", f.Domain}
	switch f.Kind {
	case dispatch.EffectEmptied:
		number = event.DomainEmptied
	case dispatch.EffectReadmitted:
		number, values = event.DomainReadmitted, append(values, "age_ms", time.Since(f.At).Milliseconds())
		h.evacuations.recordWithdrawal(f.Domain, withdrawal{f.At, f.At.Add(f.Within)})
	}
	h.log.Emit(number, event.Fields{Values: values})
}
