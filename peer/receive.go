package peer

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/wire"
)

// answerTimeout limits how long the handler may take to answer a peer's query.
const answerTimeout = 30 * time.Second

// StampToWire returns a stamp of the event log's clock as the message type wire.Stamp.
func StampToWire(s event.Stamp) *wire.Stamp { return &wire.Stamp{Wall: s.Wall, Count: s.Count} }

// StampFromWire returns the Stamp that a message carries, or the zero Stamp if s is nil.
func StampFromWire(s *wire.Stamp) event.Stamp {
	return event.Stamp{Wall: s.GetWall(), Count: s.GetCount()}
}

// accept accepts connections from peers and starts the goroutines that receive their messages.
func (m *Mesh) accept(ctx context.Context) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		m.serve(ctx, conn)
	}
}

// serve starts the goroutines that receive the messages of a connection, whichever side dialled it.
func (m *Mesh) serve(ctx context.Context, conn *quic.Conn) {
	go m.receiveHeartbeats(ctx, conn)
	go m.receiveReports(ctx, conn)
	go m.acceptQueries(ctx, conn)
}

// receiveHeartbeats handles the datagrams of a connection, which are heartbeats, until the
// connection is closed.
func (m *Mesh) receiveHeartbeats(ctx context.Context, conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		m.count(&m.traffic.BytesReceived, len(data))
		var hb wire.Heartbeat
		if err := proto.Unmarshal(data, &hb); err != nil {
			m.log.Emit(event.PeerRefused, event.Fields{Peer: conn.RemoteAddr().String(), Detail: err.Error()})
			continue
		}
		m.handleHeartbeat(ctx, conn, &hb)
	}
}

// handleHeartbeat records a heartbeat in the membership list, calls the handler, and dials the
// addresses that a heartbeat in a small deployment carries.
func (m *Mesh) handleHeartbeat(ctx context.Context, conn *quic.Conn, hb *wire.Heartbeat) {
	address, err := netip.ParseAddrPort(hb.Address)
	if err != nil || hb.Version != wireVersion {
		m.log.Emit(event.PeerRefused, event.Fields{Peer: hb.Host, Detail: "heartbeat has an unsupported version or no valid address"})
		return
	}
	m.log.Clock().Observe(StampFromWire(hb.Stamp))
	p := Peer{
		Host:         hb.Host,
		Incarnation:  hb.Incarnation,
		Domain:       hb.Domain,
		Address:      address,
		Stopping:     hb.Stopping,
		TableVersion: hb.Table,
		Revision:     hb.Revision,
		Weight:       int(hb.Weight),
		Young:        hb.Young,
		Members:      int(hb.Members),
		Detached:     hb.Detached,
		Unanswered:   hb.Unanswered,
	}
	listed, ages := m.listedCoordinators(hb)
	now := time.Now()
	m.mu.Lock()
	change, cameUp := m.view.ApplyHeartbeat(p, hb.Sequence, now)
	m.view.MergeDirectory(listed, ages, now)
	if own := m.directory.Domains[m.settings.Domain]; m.directory.Hosts > fullMeshHosts && len(own) > 0 && own[0].Host == p.Host {
		m.share = Share{Hosts: max(int(hb.Members), 1), Index: int(hb.Index), AllHosts: max(int(hb.Hosts), 1)}
	}
	m.mu.Unlock()
	m.adopt(address, conn)
	if cameUp {
		m.log.Emit(event.PeerUp, event.Fields{Peer: p.Host, Detail: p.Incarnation})
	}
	if m.Directory().Hosts <= fullMeshHosts {
		m.dial(ctx, address, false)
		for _, known := range hb.Known {
			if a, err := netip.ParseAddrPort(known); err == nil {
				m.dial(ctx, a, false)
			}
		}
	}
	if cameUp || change.Peer.TableVersion > 0 {
		m.handler.HandlePeerChange()
	}
	m.handler.HandleHeartbeat(p, hb)
}

// listedCoordinators returns the coordinators that a heartbeat lists, and the times since their last
// heartbeats.
func (m *Mesh) listedCoordinators(hb *wire.Heartbeat) ([]Peer, []time.Duration) {
	var listed []Peer
	var ages []time.Duration
	for _, e := range hb.Directory {
		address, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			m.log.Emit(event.PeerRefused, event.Fields{Peer: hb.Host, Detail: "heartbeat lists a coordinator without a valid address"})
			continue
		}
		listed = append(listed, Peer{
			Host: e.Host, Incarnation: e.Incarnation, Domain: e.Domain, Address: address, Weight: int(e.Weight),
			Stopping: e.Stopping, Young: e.Young, Members: int(e.Members),
		})
		ages = append(ages, time.Duration(e.Age)*time.Millisecond)
	}
	return listed, ages
}

// receiveReports handles the unidirectional streams of a connection, one report each, until the
// connection is closed.
func (m *Mesh) receiveReports(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		_ = s.SetReadDeadline(time.Now().Add(reportTimeout))
		data, err := io.ReadAll(io.LimitReader(s, MaxMessageBytes))
		m.count(&m.traffic.BytesReceived, len(data))
		if err != nil {
			continue
		}
		var r wire.Report
		if err := proto.Unmarshal(data, &r); err != nil || r.Version != wireVersion || r.Host == m.settings.Host {
			m.log.Emit(event.PeerRefused, event.Fields{Peer: conn.RemoteAddr().String(), Detail: "report is unreadable, has an unsupported version or is from a host with the same name"})
			continue
		}
		m.handler.HandleReport(&r)
	}
}

// acceptQueries handles the bidirectional streams of a connection, one query or relayed connection each,
// until the connection is closed.
func (m *Mesh) acceptQueries(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.serveStream(ctx, conn, s)
	}
}

// serveStream relays a connection to a target if the stream begins with relayMark, or answers a query.
func (m *Mesh) serveStream(ctx context.Context, conn *quic.Conn, s *quic.Stream) {
	var first [1]byte
	if _, err := io.ReadFull(s, first[:]); err == nil && first[0] == relayMark {
		m.serveRelay(ctx, conn, s)
		return
	}
	m.serveQuery(ctx, conn, s, first[:])
}

// serveQuery reads the rest of a query from a stream, after its first byte, and writes the handler's answer
// to it. It resets the stream if the query is invalid or has no answer.
func (m *Mesh) serveQuery(ctx context.Context, conn *quic.Conn, s *quic.Stream, first []byte) {
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	data, err := io.ReadAll(io.MultiReader(bytes.NewReader(first), io.LimitReader(s, MaxMessageBytes)))
	m.count(&m.traffic.BytesReceived, len(data))
	var q wire.Question
	if err != nil || proto.Unmarshal(data, &q) != nil || q.Version != wireVersion {
		m.log.Emit(event.PeerRefused, event.Fields{Peer: conn.RemoteAddr().String(), Detail: "query is unreadable or has an unsupported version"})
		s.CancelWrite(1)
		return
	}
	m.log.Clock().Observe(StampFromWire(q.Stamp))
	a := m.handler.Answer(ctx, &q)
	if a == nil {
		s.CancelWrite(1)
		return
	}
	a.Stamp = StampToWire(m.log.Clock().Next())
	out, err := proto.Marshal(a)
	if err != nil {
		return
	}
	if _, err := s.Write(out); err == nil {
		m.count(&m.traffic.BytesSent, len(out))
	}
}

// Ask sends a query to a peer and returns its answer. If err is not nil, sent reports
// whether the peer may have received the query.
func (m *Mesh) Ask(ctx context.Context, p Peer, q *wire.Question) (a *wire.Answer, sent bool, err error) {
	l := m.linkTo(p)
	if l == nil {
		return nil, false, eris.Errorf("no link to %s", p.Host)
	}
	conn := l.conn.Load()
	if conn == nil {
		return nil, false, eris.Errorf("no connection to %s", p.Host)
	}
	q.Version, q.Stamp = wireVersion, StampToWire(m.log.Clock().Next())
	data, err := proto.Marshal(q)
	if err != nil {
		return nil, false, eris.Wrap(err, "question")
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, false, eris.Wrap(err, "question")
	}
	stop := context.AfterFunc(ctx, func() { s.CancelRead(0); s.CancelWrite(0) })
	defer stop()
	if _, err := s.Write(data); err != nil {
		return nil, true, eris.Wrap(err, "question")
	}
	s.Close()
	m.count(&m.traffic.BytesSent, len(data))
	reply, err := io.ReadAll(io.LimitReader(s, MaxMessageBytes))
	m.count(&m.traffic.BytesReceived, len(reply))
	if err != nil {
		return nil, true, eris.Wrap(err, "answer")
	}
	a = &wire.Answer{}
	if err := proto.Unmarshal(reply, a); err != nil {
		return nil, true, eris.Wrap(err, "answer")
	}
	m.log.Clock().Observe(StampFromWire(a.Stamp))
	return a, true, nil
}
