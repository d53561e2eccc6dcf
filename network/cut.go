package network

import (
	"net/netip"
	"syscall"
)

type (
	// A Cut is the way in which a machine of a Virtual network has lost its connections with others.
	Cut uint8

	// cutMachines are the machines from which one is cut off, and how.
	cutMachines struct {
		prefix netip.Prefix
		cut    Cut
	}
)

// The kinds of cut.
const (
	CutNone    Cut = iota
	CutSilent      // connections, current and new ones, hang
	CutReset       // connections, current and new ones, are reset
	CutRefused     // current connections live on, new ones are refused
)

// SetCut cuts a machine off from all machines with addresses in a prefix, or ends that with CutNone. All
// other machines reach both.
func (v *Virtual) SetCut(address netip.Addr, prefix netip.Prefix, c Cut) {
	v.mu.Lock()
	delete(v.cuts, address)
	if c != CutNone {
		v.cuts[address] = cutMachines{prefix, c}
	}
	close(v.partitionsChanged)
	v.partitionsChanged = make(chan struct{})
	v.mu.Unlock()
	if c != CutReset {
		return
	}
	for _, conn := range v.connsOf(address) {
		if prefix.Contains(conn.local.Addr()) || prefix.Contains(conn.remote.Addr()) {
			conn.reset()
		}
	}
}

// cutBetween returns the cut between two machines. The caller holds v.mu.
func (v *Virtual) cutBetween(a, b netip.Addr) Cut {
	if c, ok := v.cuts[a]; ok && c.prefix.Contains(b) {
		return c.cut
	}
	if c, ok := v.cuts[b]; ok && c.prefix.Contains(a) {
		return c.cut
	}
	return CutNone
}

// dialError returns the error of a new connection between two machines that a cut ends at once, or nil. The
// caller holds v.mu.
func (v *Virtual) dialError(a, b netip.Addr) error {
	switch v.cutBetween(a, b) {
	case CutReset:
		return syscall.ECONNRESET
	case CutRefused:
		return syscall.ECONNREFUSED
	}
	return nil
}
