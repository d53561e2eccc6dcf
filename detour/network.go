// Package detour opens connections to targets through other hosts while this host cannot open its own. A host that
// has lost its connections to all targets then serves requests like the others.
package detour

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// A Relay opens connections through other hosts.
	Relay interface {
		// Connect opens a connection to a target through another host, and returns that host's name. The
		// other host may use one in turn, unless last is set. The error is syscall.ECONNREFUSED if the
		// other host found that nobody listens at the address.
		Connect(ctx context.Context, to netip.AddrPort, last bool) (c net.Conn, via string, err error)
	}

	// A Network opens connections on another network, or through a Relay where that fails. Its other
	// methods are those of the other network. It is safe for concurrent use.
	Network struct {
		network.Network
		log   *event.Log
		relay atomic.Pointer[Relay]

		prober      atomic.Pointer[Prober]
		observeLoss atomic.Pointer[func(netip.AddrPort)]
		lastBytes   atomic.Int64 // Unix time in nanoseconds at which bytes last arrived on a connection of this host's own

		mu    sync.Mutex
		paths paths
	}

	// A Conn is a connection to a target through another host.
	Conn struct {
		net.Conn
		Via string // name of the other host
	}

	// endingConn is a connection through a host that stops.
	endingConn struct {
		net.Conn
		end time.Time
	}

	// connector opens connections to a target through other hosts; see Relay.Connect.
	connector struct {
		relay Relay
		to    netip.AddrPort
		last  bool
	}

	// attempt is the result of an attempt to open a connection.
	attempt struct {
		conn net.Conn
		via  string // empty for the host's own connection
		err  error
	}
)

const (
	// detourDelay is the time without a connection after which another host is asked to open it. It is
	// several round trips long, and a fraction of the objective of a call.
	detourDelay = 50 * time.Millisecond

	// ownTimeout is the timeout of the host's own attempts, which go on beside those of other hosts.
	ownTimeout = 250 * time.Millisecond
)

// ErrNoRelay is the error of a Relay without another host to ask.
var ErrNoRelay = eris.New("no other host is connected")

var errNotAsked = eris.New("no other host was asked")

// WithEnd returns c as a connection that ends at the given time, at which a host that relays it stops. A zero time means that
// none stops.
func WithEnd(c net.Conn, end time.Time) net.Conn {
	if end.IsZero() {
		return c
	}
	return &endingConn{c, end}
}

// EndOf returns the time at which a connection ends because a host that relays it stops, or the zero time if none does.
func EndOf(c net.Conn) time.Time {
	if r, ok := c.(interface{ End() time.Time }); ok {
		return r.End()
	}
	return time.Time{}
}

// End returns the time at which the connection ends; see EndOf.
func (c *endingConn) End() time.Time { return c.end }

// End returns the time at which the connection ends because another host stops; see EndOf.
func (c *Conn) End() time.Time { return EndOf(c.Conn) }

// NewNetwork returns a network that opens connections on n, and through other hosts after SetRelay.
func NewNetwork(n network.Network, log *event.Log) *Network { return &Network{Network: n, log: log} }

// SetRelay sets the relay through which connections are opened that this host cannot open.
func (n *Network) SetRelay(r Relay) { n.relay.Store(&r) }

// Detached reports whether this host has no connection to any target, as far as it has tried recently.
func (n *Network) Detached() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths.detached()
}

// Unanswered reports whether no target has answered recently on a connection of this host's own. It may have lost its connections
// then without having found out, or had nothing to send.
func (n *Network) Unanswered() bool {
	return time.Since(time.Unix(0, n.lastBytes.Load())) > soundTime
}

// Dial opens a connection to a target. The host's own attempt goes first, unless its last ones at this target, or
// at several others, have failed or remained without an answer where other hosts succeeded.
func (n *Network) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return n.dial(ctx, to, false)
}

// DialForPeer opens a connection to a target for another host: through a third one if further is set and this
// host cannot open its own.
func (n *Network) DialForPeer(ctx context.Context, to netip.AddrPort, further bool) (net.Conn, error) {
	if further {
		return n.dial(ctx, to, true)
	}
	c, err := n.Network.Dial(ctx, to)
	if err != nil {
		return nil, n.failure(to, err, errNotAsked)
	}
	return n.watch(c, to), nil
}

// watch records a connection of this host's own, and returns it as one that reports whether an answer arrives.
func (n *Network) watch(c net.Conn, to netip.AddrPort) net.Conn {
	n.recordConnect(to)
	return &ownConn{Conn: c, network: n, to: to}
}

// dial is Dial. last says whether the other host may use one in turn.
func (n *Network) dial(ctx context.Context, to netip.AddrPort, last bool) (net.Conn, error) {
	relay := n.relay.Load()
	if relay == nil {
		return n.Network.Dial(ctx, to)
	}
	way := connector{*relay, to, last}
	n.mu.Lock()
	avoid, probe := n.paths.avoid(to, time.Now())
	opens := n.paths.opens(to)
	n.mu.Unlock()
	switch {
	case !avoid:
		return n.race(ctx, way, detourDelay)
	case probe && opens:
		go n.probeAgain(to)
	case probe:
		return n.race(ctx, way, 0)
	}
	a := way.connect(ctx)
	if a.err == nil {
		return &Conn{a.conn, a.via}, nil
	}
	if opens && !errors.Is(a.err, ErrNoRelay) {
		// A request that is sent over this path would be lost, and its outcome unknown.
		return nil, eris.Wrapf(a.err, "connections to %s open without an answer, and no other host has connected", to)
	}
	c, err := n.Network.Dial(ctx, to)
	if err != nil {
		return nil, n.failure(to, err, a.err)
	}
	return n.watch(c, to), nil
}

// isConclusive reports whether the error of an own attempt shows that nobody listens at the target's address: its
// connection was refused on a sound path.
func (n *Network) isConclusive(to netip.AddrPort, err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths.isSound(to, time.Now())
}

// failure returns the error of a connection to a target that neither this host nor another one could open. That
// nobody listens at the address is believed of the other host, or of this one if its path to the target is
// sound or no other host can be asked: on a lost path something else may refuse connections.
func (n *Network) failure(to netip.AddrPort, own, relayed error) error {
	switch {
	case errors.Is(relayed, syscall.ECONNREFUSED):
		return relayed
	case !errors.Is(own, syscall.ECONNREFUSED) || errors.Is(relayed, ErrNoRelay) || n.isConclusive(to, own):
		return cmp.Or(own, relayed)
	}
	return eris.Errorf("the path to %s may be lost: it refuses connections, and no other host has connected: %v", to, relayed)
}

// race opens the host's own connection, asks another host for one after a delay or when the own attempt has failed,
// and returns the first one. The own attempt continues after the other host's has succeeded, to find out
// whether the path to the target is lost.
func (n *Network) race(ctx context.Context, way connector, delay time.Duration) (net.Conn, error) {
	to := way.to
	own, relayed := n.dialOwn(ctx, to), (<-chan attempt)(nil)
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	due := timer.C
	var ownErr, relayErr error
	for {
		select {
		case <-ctx.Done():
			go discard(own)
			go discard(relayed)
			return nil, n.failure(to, ownErr, cmp.Or(relayErr, ctx.Err()))
		case <-due:
			due, relayed = nil, way.start(relayCtx)
		case a := <-own:
			if a.err == nil {
				go discard(relayed)
				return n.watch(a.conn, to), nil
			}
			own, ownErr = nil, a.err
			if way.last && n.isConclusive(to, ownErr) {
				return nil, ownErr // at once, for a peer that waits
			}
			timer.Reset(0) // has no effect if the other host is asked already
		case a := <-relayed:
			if a.err == nil {
				go n.judge(to, a.via, ownErr, own)
				return &Conn{a.conn, a.via}, nil
			}
			relayed, relayErr = nil, a.err
		}
		if ownErr != nil && relayErr != nil {
			return nil, n.failure(to, ownErr, relayErr)
		}
	}
}

// dialOwn starts an attempt of the host's own. It continues after ctx is done.
func (n *Network) dialOwn(ctx context.Context, to netip.AddrPort) <-chan attempt {
	result := make(chan attempt, 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownTimeout)
	go func() {
		defer cancel()
		c, err := n.Network.Dial(ctx, to)
		result <- attempt{conn: c, err: err}
	}()
	return result
}

// connect opens the connection through another host.
func (w connector) connect(ctx context.Context) attempt {
	c, via, err := w.relay.Connect(ctx, w.to, w.last)
	return attempt{c, via, err}
}

// start calls connect in the background.
func (w connector) start(ctx context.Context) <-chan attempt {
	result := make(chan attempt, 1)
	go func() { result <- w.connect(ctx) }()
	return result
}

// judge waits for the end of the host's own attempt at a target to which another host has connected, and
// records whether the path is lost. err is the error of the attempt if it has ended.
func (n *Network) judge(to netip.AddrPort, via string, err error, own <-chan attempt) {
	if err == nil {
		// A short time is enough: the other host's connection took a round trip more.
		timer := time.NewTimer(detourDelay)
		defer timer.Stop()
		select {
		case a := <-own:
			if a.err == nil {
				_ = a.conn.Close() // nothing was sent
				n.recordConnect(to)
				return
			}
			err = a.err
		case <-timer.C:
			n.recordLoss(to, via, false, context.DeadlineExceeded)
			if a := <-own; a.err == nil {
				_ = a.conn.Close() // as above
				n.recordConnect(to)
			}
			return
		}
	}
	n.recordLoss(to, via, false, err)
}

// discard closes the connection of an attempt that is no longer needed. The channel is nil if there is none.
func discard(attempts <-chan attempt) {
	if attempts == nil {
		return
	}
	if a := <-attempts; a.err == nil {
		_ = a.conn.Close() // nothing was sent
	}
}

// recordConnect records a connection of this host's own.
func (n *Network) recordConnect(to netip.AddrPort) {
	n.change(event.PathFound, to, "", "", func(now time.Time) bool { return n.paths.connected(to, now) })
}

// recordLoss records that another host reaches a target that this host does not, as it cannot connect or, if mute is set,
// gets no answer.
func (n *Network) recordLoss(to netip.AddrPort, via string, mute bool, err error) {
	n.change(event.PathLost, to, via, err.Error(), func(now time.Time) bool { return n.paths.lose(to, mute, now) })
	if f := n.observeLoss.Load(); f != nil {
		(*f)(to)
	}
}

// change changes the record of a path and logs it if f reports that its state has changed.
func (n *Network) change(number event.Number, to netip.AddrPort, via, detail string, f func(now time.Time) bool) {
	n.mu.Lock()
	changed := f(time.Now())
	lost, mute, detached := n.paths.lostCount, n.paths.muteCount, n.paths.detached()
	n.mu.Unlock()
	if changed {
		n.log.Emit(number, event.Fields{Peer: via, Detail: detail, Values: []any{"address", to.String(), "lost", lost, "mute", mute, "detached", detached}})
	}
}
