package detour

import (
	"net/netip"
	"time"
)

type (
	// paths records to which targets this host can connect. Its methods take the current time as an
	// argument. The zero value is ready for use. It is not safe for concurrent use.
	paths struct {
		targets     map[netip.AddrPort]*path
		lostCount   int       // targets whose path is lost
		latestLoss  time.Time // when the latest path was lost
		lastConnect time.Time // latest connection of this host's own
	}

	// path is this host's own way to one target.
	path struct {
		lost     bool      // this host cannot connect, but another one can
		usedAt   time.Time // latest connection that was asked for
		probedAt time.Time // latest attempt to connect while other hosts are used
	}
)

const (
	detachedPaths = 2                      // lost paths from which on, without a connection since, all are taken to be lost
	probeInterval = 500 * time.Millisecond // between two attempts at a target to which other hosts connect
	pathExpiry    = 30 * time.Second       // time without use after which a path is deleted
	maxPaths      = 1024                   // paths from which on unused ones are deleted
	soundTime     = 500 * time.Millisecond // time after a connection of this host's own in which its paths count as sound
)

// detached reports whether this host has no connection to any target, as far as it has tried since.
func (p *paths) detached() bool {
	return p.lostCount >= detachedPaths && p.latestLoss.After(p.lastConnect)
}

// isSound reports whether what this host finds at a target's address is to be believed: the path to it is not lost,
// and the host has connected to another target recently.
func (p *paths) isSound(to netip.AddrPort, now time.Time) bool {
	t := p.targets[to]
	return (t == nil || !t.lost) && !p.detached() && !p.lastConnect.IsZero() && now.Sub(p.lastConnect) < soundTime
}

// avoid reports whether connections to a target are to be opened through other hosts first, and whether the
// host's own way is to be tried beside that.
func (p *paths) avoid(to netip.AddrPort, now time.Time) (avoid, probe bool) {
	t := p.path(to, now)
	if !t.lost && !p.detached() {
		return false, false
	}
	if now.Sub(t.probedAt) < probeInterval {
		return true, false
	}
	t.probedAt = now
	return true, true
}

// connected records a connection of this host's own. It reports whether the path had been lost.
func (p *paths) connected(to netip.AddrPort, now time.Time) (found bool) {
	t := p.path(to, now)
	found = t.lost
	if found {
		t.lost = false
		p.lostCount--
	}
	p.lastConnect = now
	return found
}

// lose records that another host could connect to a target to which this host could not. It reports whether the
// path had not been lost.
func (p *paths) lose(to netip.AddrPort, now time.Time) (lost bool) {
	t := p.path(to, now)
	lost = !t.lost
	if lost {
		t.lost = true
		p.lostCount++
		t.probedAt = now
	}
	p.latestLoss = now
	return lost
}

// path returns the record of a target, and creates it if needed.
func (p *paths) path(to netip.AddrPort, now time.Time) *path {
	t := p.targets[to]
	if t == nil {
		if len(p.targets) >= maxPaths {
			p.expire(now)
		}
		if p.targets == nil {
			p.targets = map[netip.AddrPort]*path{}
		}
		t = &path{}
		p.targets[to] = t
	}
	t.usedAt = now
	return t
}

// expire deletes the paths that have not been used for pathExpiry.
func (p *paths) expire(now time.Time) {
	for to, t := range p.targets {
		if now.Sub(t.usedAt) < pathExpiry {
			continue
		}
		if t.lost {
			p.lostCount--
		}
		delete(p.targets, to)
	}
}
