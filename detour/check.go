package detour

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/wigeonlink/wigeonlink/event"
)

// A Prober sends a health check to the target at the other end of a connection, and returns nil once an answer has begun.
// It must not make the target execute anything.
type Prober interface {
	Probe(ctx context.Context, c net.Conn, to netip.AddrPort) error
}

// probeResult is the result of a health check over one path.
type probeResult struct {
	via    string // host through which the connection went; empty for this host's own
	opened bool   // whether the connection could be opened
	err    error
}

const (
	// answerDelay is the time without an answer on a connection after which it counts as waiting. Most calls are
	// answered sooner.
	answerDelay = 400 * time.Millisecond

	// checkTimeout is the time limit of a check. Both connections and an answer take a few round trips.
	checkTimeout = 350 * time.Millisecond
)

// SetProber sets the prober by which this host distinguishes a target that does not answer from a path that does not lead to it. Without one
// only connections that cannot be opened show that a path is lost.
func (n *Network) SetProber(p Prober) { n.prober.Store(&p) }

// SetLossObserver sets a function that is called after the path to a target has been lost. The failures of requests that were sent
// over it are not those of the target.
func (n *Network) SetLossObserver(f func(to netip.AddrPort)) { n.observeLoss.Store(&f) }

// IsLost reports whether this host's own path to a target is lost.
func (n *Network) IsLost(to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths.isLost(to)
}

// recordAnswer records that an answer has begun on a connection of this host's own.
func (n *Network) recordAnswer(to netip.AddrPort) {
	n.change(event.PathFound, to, "", "", func(now time.Time) bool { return n.paths.answered(to, now) })
}

// wait records a connection that is without an answer since the given time.
func (n *Network) wait(to netip.AddrPort, since time.Time) {
	anyAnswer := n.lastBytes.Load() >= since.UnixNano()
	n.mu.Lock()
	suspects := n.paths.wait(to, anyAnswer, time.Now())
	n.mu.Unlock()
	for _, s := range suspects {
		n.startCheck(s)
	}
}

// endWait records that a connection counted by wait has got an answer or has ended.
func (n *Network) endWait(to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paths.endWait(to, time.Now())
}

// suspect has the path to a target checked after a connection, on which the first bytes were sent at the given time, has ended
// without an answer, unless the target has begun to answer on another one meanwhile.
func (n *Network) suspect(to netip.AddrPort, since time.Time) {
	n.mu.Lock()
	answered := n.paths.path(to, time.Now()).answeredAt.After(since)
	n.mu.Unlock()
	if !answered {
		n.startCheck(to)
	}
}

// startCheck starts a check of the path to a target, unless there was one recently.
func (n *Network) startCheck(to netip.AddrPort) {
	prober, relay := n.prober.Load(), n.relay.Load()
	if prober == nil || relay == nil {
		return
	}
	n.mu.Lock()
	start := n.paths.startCheck(to, time.Now())
	n.mu.Unlock()
	if start {
		go n.check(*prober, *relay, to)
	}
}

// check sends a target a health check over this host's own path and one through another host. The path is lost if the target
// answers only the other host. A target that answers neither, or both, does not show that the path is lost.
func (n *Network) check(p Prober, r Relay, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(WithNeeded(context.Background(), checkTimeout), checkTimeout)
	defer cancel()
	own, relayed := make(chan probeResult, 1), make(chan probeResult, 1)
	go func() { own <- n.probeOwn(ctx, p, to) }()
	go func() { relayed <- probeThrough(ctx, p, r, to) }()
	result, other := <-own, probeResult{}
	if result.err != nil {
		other = <-relayed
	}
	lost := result.err != nil && other.err == nil
	n.mu.Lock()
	n.paths.endCheck(to, lost, time.Now())
	n.mu.Unlock()
	n.logCheck(to, result, other, lost)
	if lost {
		n.recordLoss(to, other.via, result.opened, result.err)
	}
}

// probeOwn sends a target a health check over this host's own path. An answer proves the path.
func (n *Network) probeOwn(ctx context.Context, p Prober, to netip.AddrPort) probeResult {
	c, err := n.Network.Dial(ctx, to)
	if err != nil {
		return probeResult{err: err}
	}
	defer c.Close()
	if err := p.Probe(ctx, c, to); err != nil {
		return probeResult{opened: true, err: err}
	}
	n.recordAnswer(to)
	return probeResult{opened: true}
}

// probeThrough sends a target a health check through another host.
func probeThrough(ctx context.Context, p Prober, r Relay, to netip.AddrPort) probeResult {
	c, via, err := r.Connect(WithOtherDomain(ctx), to, true)
	if err != nil {
		return probeResult{via: via, err: err}
	}
	defer c.Close()
	return probeResult{via: via, opened: true, err: p.Probe(ctx, c, to)}
}

// probeAgain sends a target a health check over a mute path, to find out whether the path is found.
func (n *Network) probeAgain(to netip.AddrPort) {
	p := n.prober.Load()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	n.probeOwn(ctx, *p, to) // which records an answer; without one the path stays lost
}

// logCheck logs the result of a check. other is the zero value if the target has answered this host.
func (n *Network) logCheck(to netip.AddrPort, own, other probeResult, lost bool) {
	f := event.Fields{Peer: other.via, Values: []any{"address", to.String(), "lost", lost, "answered", own.err == nil}}
	if own.err != nil {
		f.Detail = own.err.Error()
		f.Values = append(f.Values, "opened", own.opened, "relayed", other.err == nil)
	}
	n.log.Emit(event.PathChecked, f)
}
