package detour

import (
	"net/netip"
	"time"
)

type (
	// paths records to which targets this host can connect. Its methods take the current time as an
	// argument. The zero value is ready for use. It is not safe for concurrent use.
	paths struct {
		targets    map[netip.AddrPort]*path
		lostCount  int       // targets whose path is lost
		muteCount  int       // of these, paths that are mute
		latestLoss time.Time // when the latest path was lost
		lastProof  time.Time // latest proof that a path of this host's own leads to its target
	}

	// path is this host's own way to one target.
	path struct {
		lost     bool      // this host cannot use it, but another host reaches the target
		mute     bool      // lost although connections can be opened: only an answer shows that it is found
		usedAt   time.Time // latest connection that was asked for
		probedAt time.Time // latest attempt to connect while other hosts are used

		waiting    int           // own connections that have been without an answer for answerDelay
		answeredAt time.Time     // latest first bytes of an answer on an own connection
		checking   bool          // a check is in progress
		nextCheck  time.Time     // earliest time of the next check
		checkDelay time.Duration // time between the latest two checks, which did not find the path lost
	}
)

const (
	detachedPaths = 2                      // lost paths from which on, without a proof since, all are taken to be lost
	probeInterval = 500 * time.Millisecond // between two attempts at a target to which other hosts connect
	maxCheckDelay = 2 * time.Second        // between two checks of a path that is not found lost, although answers are missing
	pathExpiry    = 30 * time.Second       // time without use after which a path is deleted
	maxPaths      = 1024                   // paths from which on unused ones are deleted
	soundTime     = 500 * time.Millisecond // time after a proof in which the paths count as sound
)

// detached reports whether this host has no path to any target, as far as it has tried since.
func (p *paths) detached() bool {
	return p.lostCount >= detachedPaths && p.latestLoss.After(p.lastProof)
}

// isLost reports whether the path to a target is lost, or all paths are.
func (p *paths) isLost(to netip.AddrPort) bool {
	t := p.targets[to]
	return t != nil && t.lost || p.detached()
}

// isSound reports whether what this host finds at a target's address is to be believed: the path to it is not lost,
// and another one has been proved recently.
func (p *paths) isSound(to netip.AddrPort, now time.Time) bool {
	return !p.isLost(to) && !p.lastProof.IsZero() && now.Sub(p.lastProof) < soundTime
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

// opens reports whether connections to a target may open although its path is lost, so that one which opens proves nothing.
func (p *paths) opens(to netip.AddrPort) bool {
	t := p.targets[to]
	return t != nil && t.mute || p.muteCount > 0 && p.detached()
}

// connected records a connection of this host's own. It proves the path, unless some paths are mute. It reports whether the
// path had been lost.
func (p *paths) connected(to netip.AddrPort, now time.Time) (found bool) {
	t := p.path(to, now)
	if p.muteCount > 0 {
		return false
	}
	return p.prove(t, now)
}

// answered records the first bytes of an answer on a connection of this host's own. It reports whether the path had been
// lost.
func (p *paths) answered(to netip.AddrPort, now time.Time) (found bool) {
	t := p.path(to, now)
	t.answeredAt = now
	return p.prove(t, now)
}

func (p *paths) prove(t *path, now time.Time) (found bool) {
	found = t.lost
	p.setLost(t, false, false)
	p.lastProof = now
	return found
}

// lose records that another host reaches a target that this host does not: it cannot connect or, if mute is set, it can and
// gets no answer. It reports whether the path had not been lost.
func (p *paths) lose(to netip.AddrPort, mute bool, now time.Time) (lost bool) {
	t := p.path(to, now)
	if lost = !t.lost; lost {
		t.probedAt = now
	}
	p.setLost(t, true, t.mute || mute)
	p.latestLoss = now
	return lost
}

// setLost sets the state of a path and adjusts the counts.
func (p *paths) setLost(t *path, lost, mute bool) {
	p.lostCount += count(lost) - count(t.lost)
	p.muteCount += count(mute) - count(t.mute)
	t.lost, t.mute = lost, mute
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// startCheck reports whether the path to a target is to be checked now, and if so records that.
func (p *paths) startCheck(to netip.AddrPort, now time.Time) bool {
	t := p.path(to, now)
	if t.checking || t.lost || now.Before(t.nextCheck) {
		return false
	}
	t.checking = true
	return true
}

// endCheck records the end of a check. While checks do not find the path lost, the time until the next one doubles.
func (p *paths) endCheck(to netip.AddrPort, lost bool, now time.Time) {
	t := p.path(to, now)
	t.checking = false
	if lost || now.Sub(t.nextCheck) > maxCheckDelay {
		t.checkDelay = 0
	}
	t.checkDelay = min(max(2*t.checkDelay, probeInterval), maxCheckDelay)
	t.nextCheck = now.Add(t.checkDelay)
}

// wait records that a connection of this host's own has been without an answer for answerDelay. It returns the targets whose
// paths are to be checked: those of all such connections if there are several, and nothing has arrived from any target
// meanwhile. One target without an answer may be slow.
func (p *paths) wait(to netip.AddrPort, anyAnswer bool, now time.Time) (suspects []netip.AddrPort) {
	p.path(to, now).waiting++
	if anyAnswer {
		return nil
	}
	for address, t := range p.targets {
		if t.waiting > 0 {
			suspects = append(suspects, address)
		}
	}
	if len(suspects) < detachedPaths {
		return nil
	}
	return suspects
}

// endWait records that a connection counted by wait has got an answer or has ended.
func (p *paths) endWait(to netip.AddrPort, now time.Time) {
	if t := p.path(to, now); t.waiting > 0 {
		t.waiting--
	}
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
		if now.Sub(t.usedAt) < pathExpiry || t.checking || t.waiting > 0 {
			continue
		}
		p.setLost(t, false, false)
		delete(p.targets, to)
	}
}
