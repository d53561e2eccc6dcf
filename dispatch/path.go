package dispatch

import "net/netip"

// PathLost reports that this host's own path to a target is lost, while another host reaches it. Requests go through other
// hosts from now on, and what has failed before is no evidence about the target: its breaker would keep requests
// from a sound target.
type PathLost struct{ Address netip.AddrPort }

// reduce closes the breakers of the targets at the address, and dispatches held requests.
func (e PathLost) reduce(r *Reducer) {
	for _, t := range r.targets {
		if t.spec.Address == e.Address {
			t.breaker.recordSuccess()
			t.failureRate = failureRate{}
		}
	}
	r.dispatchAllHeld()
}
