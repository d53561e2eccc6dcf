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
	CutNone       Cut = iota
	CutSilent         // connections, current and new ones, hang
	CutReset          // connections, current and new ones, are reset
	CutRefused        // current connections live on, new ones are refused
	CutOpenReset      // new connections open and are reset as the first bytes are sent, current ones are reset
	CutOpenSilent     // new connections open and hang, as do current ones
)

// opens reports whether new connections open although they lead to no listener.
func (c Cut) opens() bool { return c == CutOpenReset || c == CutOpenSilent }

// hangs reports whether no bytes arrive on connections.
func (c Cut) hangs() bool { return c == CutSilent || c == CutOpenSilent }

// resets reports whether current connections are reset.
func (c Cut) resets() bool { return c == CutReset || c == CutOpenReset }

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
	if !c.resets() {
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

// opensWhileCut reports whether a cut between two machines, on which no bytes arrive, lets connections open.
func (v *Virtual) opensWhileCut(a, b netip.Addr) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cutBetween(a, b) == CutOpenSilent
}

// openedByCut returns the local end of a connection that opens although a cut keeps it from its listener, or nil if there is no such
// cut. The caller holds v.mu.
func (v *Virtual) openedByCut(from, to netip.AddrPort) *conn {
	c := v.cutBetween(from.Addr(), to.Addr())
	if !c.opens() {
		return nil
	}
	client, _ := v.connect(from, to)
	client.out.resetOnWrite, client.out.blackholed = c == CutOpenReset, true
	client.in.blackholed = true
	return client
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
