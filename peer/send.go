package peer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/wire"
)

const (
	addressesPerHeartbeat   = 3                      // peer addresses in a heartbeat, of a host that is connected with all
	maxDirectoryBytes       = 800                    // of the coordinators in a heartbeat, which must fit into a datagram with the rest
	streamReportInterval    = 500 * time.Millisecond // time between two reports of a host's streams
	minStreamReportInterval = 10 * time.Millisecond  // least time between two reports of a host's streams, after a change
)

// heartbeatLoop sends heartbeats to all partners, detects peers that are down and updates the
// directory and the links, every HeartbeatInterval.
func (m *Mesh) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	m.updateDirectory(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.expirePeers(now)
			if m.updateDirectory(now) {
				m.handler.HandlePeerChange()
			}
			m.updateLinks(ctx, now)
			for _, l := range m.connectedLinks() {
				if m.sinceStart(now)-time.Duration(l.lastHeartbeat.Load()) > HeartbeatInterval/2 {
					m.sendHeartbeat(l)
				}
			}
		}
	}
}

func (m *Mesh) sinceStart(now time.Time) time.Duration { return now.Sub(m.started) }

// expirePeers marks the peers without recent heartbeats as down, logs those that this host is linked
// with and calls HandlePeerChange if there are any. A peer without a link is no partner any more.
func (m *Mesh) expirePeers(now time.Time) {
	m.mu.Lock()
	down := m.view.Expire(now)
	lost := slices.DeleteFunc(slices.Clone(down), func(c Change) bool { return m.links[c.Peer.Address] == nil })
	m.mu.Unlock()
	for _, c := range lost {
		m.log.Emit(event.PeerDown, event.Fields{Peer: c.Peer.Host, Detail: c.Peer.Incarnation})
	}
	if len(down) > 0 {
		m.handler.HandlePeerChange()
	}
}

// updateDirectory computes the directory and this host's share of the limits, and logs a change of
// the coordinators of its failure domain. It reports whether one of them has changed.
func (m *Mesh) updateDirectory(now time.Time) bool {
	var own wire.Heartbeat
	m.handler.FillHeartbeat(&own)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.expireListed(now)
	m.view.UpdateSelf(own.Stopping, m.sinceStart(now) < youngTime)
	before, oldShare := m.directory, m.share
	m.directory = m.view.Directory()
	if _, ok := m.directory.Position(m.settings.Domain, m.settings.Host); ok || m.directory.Hosts <= fullMeshHosts {
		hosts := m.view.DomainHosts()
		m.share = Share{Hosts: len(hosts), Index: slices.Index(hosts, m.settings.Host), AllHosts: m.directory.Hosts}
	}
	same := slices.EqualFunc(before.Domains[m.settings.Domain], m.directory.Domains[m.settings.Domain], func(a, b Peer) bool {
		return a.Host == b.Host && a.Incarnation == b.Incarnation
	})
	if !same {
		var names []string
		for _, p := range m.directory.Domains[m.settings.Domain] {
			names = append(names, p.Host)
		}
		m.log.Emit(event.CoordinatorsChanged, event.Fields{Values: []any{"coordinators", names, "hosts", m.directory.Hosts, "members", m.share.Hosts}})
	}
	return !same || m.share != oldShare
}

// sendHeartbeat sends a heartbeat as a datagram, which may be lost. It does nothing while the
// link has no connection.
func (m *Mesh) sendHeartbeat(l *link) {
	conn := l.conn.Load()
	if conn == nil {
		return
	}
	now := time.Now()
	l.lastHeartbeat.Store(int64(m.sinceStart(now)))
	hb := &wire.Heartbeat{
		Version:     wireVersion,
		Host:        m.settings.Host,
		Incarnation: m.settings.Incarnation,
		Sequence:    m.sequence.Add(1),
		Stamp:       StampToWire(m.log.Clock().Next()),
		Domain:      m.settings.Domain,
		Address:     m.address.String(),
		Weight:      uint32(m.settings.Weight),
		Young:       m.sinceStart(now) < youngTime,
	}
	m.mu.Lock()
	m.fillMembership(hb, l, now)
	m.mu.Unlock()
	m.handler.FillHeartbeat(hb)
	data, err := proto.Marshal(hb)
	if err != nil {
		m.log.Emit(event.HostFault, event.Fields{Detail: "encode a heartbeat: " + err.Error()})
		return
	}
	if err := conn.SendDatagram(data); err != nil {
		if conn.Context().Err() == nil {
			m.log.Emit(event.HostFault, event.Fields{Peer: l.address.String(), Detail: "send a heartbeat: " + err.Error()})
		}
		return
	}
	m.count(&m.traffic.BytesSent, len(data))
}

// fillMembership sets the fields of a heartbeat about other hosts. A coordinator lists the whole
// directory; another host does so for peers that have dialled it, such as hosts that start, and lists
// the coordinators of its own domain otherwise. The caller holds m.mu.
func (m *Mesh) fillMembership(hb *wire.Heartbeat, l *link, now time.Time) {
	hosts := m.view.DomainHosts()
	hb.Members, hb.Hosts = uint32(len(hosts)), uint32(m.directory.Hosts)
	hb.Index = uint32(max(slices.Index(hosts, m.view.hostAt(l.address)), 0))
	if m.directory.Hosts <= fullMeshHosts {
		hb.Known = m.sampleAddresses()
	}
	_, coordinates := m.directory.Position(m.settings.Domain, m.settings.Host)
	size := 0
	for domain, coordinators := range m.directory.Domains {
		for _, p := range coordinators {
			if p.Host == m.settings.Host || !coordinates && l.cancel != nil && domain != m.settings.Domain {
				continue
			}
			entry := &wire.Coordinator{
				Host: p.Host, Incarnation: p.Incarnation, Domain: p.Domain, Address: p.Address.String(), Weight: uint32(p.Weight),
				Stopping: p.Stopping, Young: p.Young, Members: uint32(p.Members), Age: uint32(now.Sub(p.lastHeartbeat).Milliseconds()),
			}
			if size += proto.Size(entry); size > maxDirectoryBytes {
				return // another heartbeat lists them, as the order of a map varies
			}
			hb.Directory = append(hb.Directory, entry)
		}
	}
}

// sampleAddresses returns the addresses of up to addressesPerHeartbeat live peers, in text form.
// The selection varies with the sequence number. The caller holds m.mu.
func (m *Mesh) sampleAddresses() []string {
	live := m.view.Live()
	out := make([]string, 0, addressesPerHeartbeat)
	for i := range min(addressesPerHeartbeat, len(live)) {
		index := (int(m.sequence.Load()) + i*len(live)/addressesPerHeartbeat) % len(live)
		out = append(out, live[index].Address.String())
	}
	return out
}

// SendHeartbeats sends a heartbeat to all partners immediately, in addition to the periodic ones.
func (m *Mesh) SendHeartbeats() {
	for _, l := range m.connectedLinks() {
		m.sendHeartbeat(l)
	}
}

// Broadcast sends a report to all partners, in addition to the periodic ones. It does not count
// towards the report budget.
func (m *Mesh) Broadcast(ctx context.Context, r *wire.Report) { m.sendTo(ctx, r, m.connectedLinks()) }

// Forward sends a report on to the hosts of this host's failure domain that are not connected with
// its sender, as they are connected with their coordinators only. It does nothing unless this host
// is the first coordinator of its domain.
func (m *Mesh) Forward(ctx context.Context, r *wire.Report) {
	if m.Directory().Hosts <= fullMeshHosts || len(m.Coordinators()) > 0 {
		return
	}
	m.mu.Lock()
	var links []*link
	for _, p := range m.view.Live() {
		_, coordinates := m.directory.Position(p.Domain, p.Host)
		if l := m.links[p.Address]; l != nil && p.Domain == m.settings.Domain && !coordinates {
			links = append(links, l)
		}
	}
	m.mu.Unlock()
	m.sendTo(ctx, r, links)
}

// Send sends a report to one peer. It is lost if there is no connection with the peer.
func (m *Mesh) Send(ctx context.Context, p Peer, r *wire.Report) {
	if l := m.linkTo(p); l != nil {
		m.sendTo(ctx, r, []*link{l})
	}
}

// sendTo sends a report over the given links.
func (m *Mesh) sendTo(ctx context.Context, r *wire.Report, links []*link) {
	if len(links) == 0 {
		return
	}
	r.Version, r.Host, r.Incarnation, r.Sequence = wireVersion, m.settings.Host, m.settings.Incarnation, m.sequence.Add(1)
	data, err := proto.Marshal(r)
	if err != nil {
		m.log.Emit(event.HostFault, event.Fields{Detail: "encode a report: " + err.Error()})
		return
	}
	for _, l := range links {
		m.sendReport(ctx, l, data)
	}
}

// count adds a message of the given size to the counter of bytes and to the number of messages.
func (m *Mesh) count(counter *atomic.Int64, bytes int) {
	counter.Add(int64(bytes))
	m.traffic.MessageCount.Add(1)
}

// reportLoop periodically sends a report of soft state to all partners. After each report it sets
// the interval so that reports of this size to this number of peers stay within the budget, but no
// shorter than minReportInterval and no longer than maxReportInterval.
func (m *Mesh) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(m.reportInterval.Load()))
		links := m.connectedLinks()
		if len(links) == 0 {
			continue
		}
		r := m.handler.Report()
		m.sendTo(ctx, r, links)
		interval := time.Duration(proto.Size(r)*len(links)) * time.Second / time.Duration(m.settings.ReportBudget)
		m.reportInterval.Store(int64(min(max(interval, minReportInterval), maxReportInterval)))
	}
}

// streamLoop reports this host's streams to the coordinators of its failure domain, every
// streamReportInterval and soon after ReportStreams.
func (m *Mesh) streamLoop(ctx context.Context) {
	ticker := time.NewTicker(streamReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.kick:
			pause.For(ctx, minStreamReportInterval)
		}
		var links []*link
		for _, p := range m.Directory().Domains[m.settings.Domain] {
			if l := m.linkTo(p); l != nil && p.Host != m.settings.Host {
				links = append(links, l)
			}
		}
		if len(links) == 0 {
			continue
		}
		if s := m.handler.Streams(); s != nil {
			m.sendTo(ctx, &wire.Report{Streams: s}, links)
		}
	}
}

// ReportStreams makes the mesh report this host's streams to its coordinators soon. It does not
// block.
func (m *Mesh) ReportStreams() {
	select {
	case m.kick <- struct{}{}:
	default: // a report is due already
	}
}

// sendReport sends an encoded report on a new unidirectional stream. A report that cannot be
// sent within reportTimeout is dropped, because the next one replaces it.
func (m *Mesh) sendReport(ctx context.Context, l *link, data []byte) {
	conn := l.conn.Load()
	if conn == nil {
		return
	}
	s, err := conn.OpenUniStream()
	if err != nil {
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(reportTimeout))
	if _, err := s.Write(data); err != nil || ctx.Err() != nil {
		s.CancelWrite(0)
		return
	}
	if s.Close() == nil {
		m.count(&m.traffic.BytesSent, len(data))
	}
}
