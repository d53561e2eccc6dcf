package peer

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// relayedConn is a connection to a target that a peer has opened. It implements net.Conn.
	relayedConn struct {
		*quic.Stream
		local, remote net.Addr
		closed        atomic.Bool
		release       func() // ends the use of the connection with the peer
	}

	// relayResult is the result of asking a peer for a connection.
	relayResult struct {
		conn net.Conn
		host string // name of the peer
		err  error
	}
)

const (
	relayMark       = 0                      // first byte of a stream on which a connection is relayed; no query begins with it
	relayDelay      = 25 * time.Millisecond  // time without a reply after which a second peer is asked for a connection
	relayTimeout    = 150 * time.Millisecond // of a peer's reply
	relayDialTime   = 130 * time.Millisecond // of an attempt for a peer, whose reply must arrive within relayTimeout
	relayEndTime    = time.Second            // in which a peer reads the end of a connection to a target and gives it up
	maxRelays       = 512                    // connections that this host relays at the same time
	relayBufferSize = 16 << 10               // bytes
	maxRelayMessage = 4 << 10                // bytes of the messages before a relayed connection
	codeReset       = 2                      // error code of a stream whose connection to the target was reset or could not be read
)

// Connect opens a connection to a target through a peer, and returns the peer's name. A second peer is asked, too,
// if the first one fails or has not replied after relayDelay. A peer may use another one in turn, unless last
// is set.
func (m *Mesh) Connect(ctx context.Context, to netip.AddrPort, last bool) (net.Conn, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := m.relayCandidates(detour.OtherDomain(ctx))
	results := make(chan relayResult, len(candidates))
	timer := time.NewTimer(0)
	defer timer.Stop()
	err := error(detour.ErrNoRelay)
	for asked, pending := 0, 0; asked < len(candidates) || pending > 0; {
		select {
		case <-timer.C:
			if asked < len(candidates) {
				go m.connectThrough(ctx, candidates[asked], &wire.Connect{Address: to.String(), Last: last, Needed: uint32(detour.Needed(ctx).Milliseconds())}, to, results)
				asked, pending = asked+1, pending+1
				timer.Reset(relayDelay)
			}
		case r := <-results:
			pending--
			if r.err == nil || errors.Is(r.err, syscall.ECONNREFUSED) {
				go closeUnused(results, pending)
				return r.conn, r.host, r.err
			}
			if err = r.err; asked < len(candidates) {
				timer.Reset(0)
			}
		}
	}
	return nil, "", err
}

// closeUnused closes the connections of the results that are still to come.
func closeUnused(results <-chan relayResult, pending int) {
	for range pending {
		if r := <-results; r.err == nil {
			_ = r.conn.Close() // nothing was sent
		}
	}
}

// relayCandidates returns up to two peers in the order in which they are asked for a connection: such that have
// connections to targets themselves first, then such that targets have answered recently, as others may have lost theirs without
// having found out, then such that do not stop, then those of this host's own failure domain or, if otherDomain is set, of
// others. The second one is of another domain if there is one, since the hosts of a domain may lose their connections
// together. Among equal ones the first differs from call to call.
func (m *Mesh) relayCandidates(otherDomain bool) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.view.Live()
	turn := int(m.relayTurn.Add(1))
	var found []Peer
	for i := range live {
		p := live[(i+turn)%len(live)]
		if l := m.links[p.Address]; l != nil && l.conn.Load() != nil {
			found = append(found, p)
		}
	}
	slices.SortStableFunc(found, func(a, b Peer) int { return cmp.Compare(m.relayRank(a, otherDomain), m.relayRank(b, otherDomain)) })
	if len(found) <= 2 {
		return found
	}
	second := max(slices.IndexFunc(found, func(p Peer) bool { return p.Domain != found[0].Domain }), 1)
	return []Peer{found[0], found[second]}
}

// relayRank returns the place of a peer in the order of relayCandidates.
func (m *Mesh) relayRank(p Peer, otherDomain bool) int {
	rank := 0
	if p.Detached {
		rank += 8
	}
	if p.Unanswered {
		rank += 4
	}
	if p.Stopping {
		rank += 2
	}
	if (p.Domain != m.settings.Domain) != otherDomain {
		rank++
	}
	return rank
}

// connectThrough asks a peer to open a connection to a target.
func (m *Mesh) connectThrough(ctx context.Context, p Peer, q *wire.Connect, to netip.AddrPort, results chan<- relayResult) {
	r := relayResult{host: p.Host, err: eris.Errorf("no connection to %s", p.Host)}
	if l := m.linkTo(p); l != nil {
		if conn := l.conn.Load(); conn != nil {
			r.conn, r.err = m.connectOver(ctx, conn, q, to)
		}
	}
	results <- r
}

// connectOver asks the peer of a connection to open one to a target.
func (m *Mesh) connectOver(ctx context.Context, conn *quic.Conn, q *wire.Connect, to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	c := &relayedConn{Stream: s, local: conn.LocalAddr(), remote: net.TCPAddrFromAddrPort(to), release: m.relayed.add(conn)}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	var reply wire.Connected
	err = writeMessage(s, q)
	if err == nil {
		err = readMessage(s, &reply)
	}
	switch {
	case !stop():
		err = ctx.Err()
	case err == nil && reply.Refused:
		err = syscall.ECONNREFUSED
	case err == nil && reply.Error != "":
		err = eris.Errorf("relay: %s", reply.Error)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if reply.Left == 0 {
		return c, nil
	}
	return detour.WithEnd(c, time.Now().Add(time.Duration(reply.Left)*time.Millisecond)), nil
}

// writeMessage writes a Connect, after the mark by which a stream is recognised, or a Connected.
func writeMessage(w io.Writer, message proto.Message) error {
	var out []byte
	if _, ok := message.(*wire.Connect); ok {
		out = append(out, relayMark)
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "relay")
	}
	out = append(out, byte(len(data)>>8), byte(len(data)))
	_, err = w.Write(append(out, data...))
	return err
}

// readMessage reads a message as written by writeMessage, without the mark.
func readMessage(r io.Reader, message proto.Message) error {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := int(size[0])<<8 | int(size[1])
	if n > maxRelayMessage {
		return eris.Errorf("relay: a message of %d bytes", n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return proto.Unmarshal(data, message)
}

// serveRelay opens a connection to a target for a peer, and copies bytes both ways until one side ends.
func (m *Mesh) serveRelay(ctx context.Context, conn *quic.Conn, s *quic.Stream) {
	defer s.CancelRead(codeReset)
	var q wire.Connect
	_ = s.SetReadDeadline(time.Now().Add(reportTimeout))
	err := readMessage(s, &q)
	_ = s.SetReadDeadline(time.Time{})
	to, addressErr := netip.ParseAddrPort(q.Address)
	if err != nil || addressErr != nil {
		m.log.Emit(event.PeerRefused, event.Fields{Peer: conn.RemoteAddr().String(), Detail: "a request for a connection is unreadable"})
		s.CancelWrite(codeReset)
		return
	}
	if m.relays.Add(1) > maxRelays {
		m.relays.Add(-1)
		m.refuseRelay(s, eris.New("too many relayed connections"))
		return
	}
	defer m.relays.Add(-1)
	defer m.relayed.add(conn)()
	dialCtx, cancel := context.WithTimeout(detour.WithNeeded(ctx, time.Duration(q.Needed)*time.Millisecond), relayDialTime)
	c, release, err := m.handler.Connect(dialCtx, to, !q.Last)
	cancel()
	if err != nil {
		m.refuseRelay(s, err)
		return
	}
	defer release()
	defer c.Close()
	reply := &wire.Connected{}
	if end := detour.EndOf(c); !end.IsZero() {
		reply.Left = uint32(max(time.Until(end).Milliseconds(), 1))
	}
	if writeMessage(s, reply) != nil {
		s.CancelWrite(codeReset)
		return
	}
	copyRelayed(ctx, s, network.NewResetConn(c))
}

// copyRelayed copies bytes between a peer and its connection to a target until one side ends. A reset of the target's side ends the stream with one,
// also if it was a write that failed.
func copyRelayed(ctx context.Context, s *quic.Stream, c net.Conn) {
	givenUp := make(chan struct{})
	go func() {
		defer close(givenUp)
		// The peer closes its side only as it gives the connection up, which is closed then, too.
		_, _ = io.CopyBuffer(c, struct{ io.Reader }{s}, make([]byte, relayBufferSize))
		_ = c.Close()
	}()
	if _, err := io.CopyBuffer(struct{ io.Writer }{s}, c, make([]byte, relayBufferSize)); err != nil {
		s.SetReliableBoundary()  // the bytes before the reset may be a whole response
		s.CancelWrite(codeReset) // the peer must not take the end for that of a whole response
	} else {
		_ = s.Close() // fails only if the peer has given the connection up
	}
	// What was written may have to be sent again, which this host does only until it stops.
	select {
	case <-givenUp:
	case <-ctx.Done():
	case <-time.After(relayEndTime):
	}
}

// refuseRelay sends a peer the reason why a connection was not opened.
func (m *Mesh) refuseRelay(s *quic.Stream, err error) {
	if writeMessage(s, &wire.Connected{Error: err.Error(), Refused: errors.Is(err, syscall.ECONNREFUSED)}) != nil {
		s.CancelWrite(codeReset)
		return
	}
	_ = s.Close() // as in serveRelay
}

// Read reads from the target. A connection that was reset, or whose relaying peer is lost, ends with an error
// other than io.EOF.
func (c *relayedConn) Read(b []byte) (int, error) {
	n, err := c.Stream.Read(b)
	return n, c.translate(err)
}

// Write writes to the target.
func (c *relayedConn) Write(b []byte) (int, error) {
	n, err := c.Stream.Write(b)
	return n, c.translate(err)
}

// translate returns the errors of a TCP connection for those of a stream.
func (c *relayedConn) translate(err error) error {
	var reset *quic.StreamError
	switch {
	case err == nil || err == io.EOF:
		return err
	case c.closed.Load():
		return net.ErrClosed
	case errors.As(err, &reset):
		return syscall.ECONNRESET
	}
	return err
}

// Close gives the connection up: the peer closes its connection to the target.
func (c *relayedConn) Close() error {
	c.closed.Store(true)
	c.release()
	c.CancelRead(codeReset)
	c.CancelWrite(codeReset)
	return nil
}

// LocalAddr returns the address of this host at the peer that relays.
func (c *relayedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the target.
func (c *relayedConn) RemoteAddr() net.Addr { return c.remote }

var _ net.Conn = (*relayedConn)(nil)
