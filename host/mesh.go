package host

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"io"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/publication"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// peerHandler implements peer.Handler for a host.
	peerHandler struct{ *Host }

	// A tableCache holds the newest published table in compressed form, for peers that fetch
	// it.
	tableCache struct {
		mu         sync.Mutex
		version    uint64 // version of the table; 0 if there is none
		compressed []byte // the table as published, gzip-compressed
	}
)

const (
	tableFetchTimeout = 5 * time.Second
	reportTTL         = 2 * time.Second // age at which receivers discard a report of soft state
)

// Join creates the mesh that connects the host to its peers. The caller must run the mesh.
func (h *Host) Join(s peer.Settings) (*peer.Mesh, error) {
	s.Host, s.Incarnation = h.name, h.incarnation
	m, err := peer.NewMesh(s, peerHandler{h}, h.log)
	if err != nil {
		return nil, err
	}
	h.mesh = m
	if h.detours != nil {
		h.detours.SetRelay(m)
	}
	if h.sharesUpdates() && len(s.Seeds) > 0 {
		h.syncer.WaitForPeers(float64(table.HashName(h.name)) / math.MaxUint32)
	}
	return m, nil
}

// livePeers returns the peers that are up, or nil for a host without a mesh.
func (h *Host) livePeers() []peer.Peer {
	if h.mesh == nil {
		return nil
	}
	return h.mesh.Live()
}

// WatchesTable reports whether this host is one of the coordinators of its failure domain, which
// watch the published table. A host without live peers is always one of them.
func (h *Host) WatchesTable() bool { return h.mesh == nil || h.mesh.Coordinates() }

// FillHeartbeat sets the fields of a heartbeat that describe the host's state: whether it is stopping or has
// lost its connections to targets, or may have, the version of its published table, and its registry.Confirmation.
func (h peerHandler) FillHeartbeat(hb *wire.Heartbeat) {
	hb.Stopping = h.Draining()
	if h.detours != nil {
		hb.Detached, hb.Unanswered = h.detours.Detached(), h.detours.Unanswered()
	}
	if t := h.Table(); t != nil && h.syncer == nil {
		hb.Table = t.Version
	}
	hb.Withdrawals = h.evacuations.listWithdrawals(time.Now())
	if h.sharesUpdates() {
		c := h.syncer.Confirmation()
		hb.Era, hb.Revision, hb.Content, hb.Exact, hb.Confirmed = c.Era, c.Revision, c.ContentRevision, c.Exact, uint32(c.Age.Milliseconds())
		hb.Evacuations, hb.Evacuated = true, h.evacuations.list()
	}
}

// Report returns the host's soft state: the use of each account, the demand on each target and the
// number of held requests.
func (h peerHandler) Report() *wire.Report {
	var r dispatch.PeerReport
	h.Inspect(func(d *dispatch.Reducer) { r = d.Report(time.Now()) })
	out := &wire.Report{Life: uint32(reportTTL.Milliseconds())}
	for _, a := range r.Accounts {
		if a.Account.Pool == "" {
			continue // a sum over all pools, which receivers compute themselves
		}
		out.Accounts = append(out.Accounts, &wire.Account{
			Organisation: a.Account.Organisation, Pool: a.Account.Pool,
			Use: float32(a.Use), Holding: float32(a.Rate),
		})
	}
	for i := range r.Demands {
		out.Demands = append(out.Demands, demandToWire(&r.Demands[i]))
	}
	for _, held := range r.HeldCounts {
		out.Held = append(out.Held, &wire.Held{
			Organisation: held.Organisation, Pool: held.Pool,
			Count: uint32(held.Count), Age: uint32(held.BacklogAge.Milliseconds()),
		})
	}
	return out
}

// demandUnitTokens is the number of tokens in one unit of memory demand in reports.
const demandUnitTokens = 8.0

// demandToWire returns the demand on a target in the form of messages between hosts. Its Shape holds
// the mean and the standard deviation of the memory demand at each forecast horizon.
func demandToWire(d *dispatch.TargetDemand) *wire.Demand {
	out := &wire.Demand{Target: d.Target, Streams: float32(d.Demand.Streams), Kept: float32(d.Reserved)}
	for i := range forecast.Horizons {
		out.Shape = appendTokens(out.Shape, d.Demand.MeanMemory[i])
		out.Shape = appendTokens(out.Shape, math.Sqrt(d.Demand.MemoryVariance[i]))
	}
	return out
}

// appendTokens appends a number of tokens in units of demandUnitTokens, 16 bits little-endian. Larger
// numbers become the largest that fits.
func appendTokens(b []byte, tokens float64) []byte {
	units := min(math.Round(tokens/demandUnitTokens), math.MaxUint16)
	return binary.LittleEndian.AppendUint16(b, uint16(units))
}

// demandFromWire returns the demand in a message. Horizons that the message lacks have no demand.
func demandFromWire(d *wire.Demand) dispatch.TargetDemand {
	in := dispatch.TargetDemand{Target: d.Target, Demand: forecast.Demand{Streams: float64(d.Streams)}, Reserved: float64(d.Kept)}
	const size = 4 // bytes per horizon: mean and standard deviation in demandUnitTokens, 16 bits each
	for i := range min(forecast.Horizons, len(d.Shape)/size) {
		horizon := d.Shape[size*i:]
		stddev := demandUnitTokens * float64(binary.LittleEndian.Uint16(horizon[2:]))
		in.Demand.MeanMemory[i] = demandUnitTokens * float64(binary.LittleEndian.Uint16(horizon))
		in.Demand.MemoryVariance[i] = stddev * stddev
	}
	return in
}

// HandleReport passes a peer's report of soft state to the reducer, or applies its broadcast of an
// update of the published state.
func (h peerHandler) HandleReport(r *wire.Report) {
	switch {
	case r.News != nil:
		h.handleBroadcastUpdate(r)
		return
	case r.Streams != nil:
		h.handleStreams(r)
		return
	case len(r.Suspects) > 0:
		h.handleSuspects(r)
		return
	case len(r.Limits) > 0:
		h.handleLimits(r)
		return
	case len(r.Leavers) > 0:
		h.handleLeavers(r)
		return
	case len(r.Fragilities) > 0:
		h.handleFragilities(r)
		return
	case len(r.Rests) > 0:
		h.handleRests(r)
		return
	case len(r.Orders) > 0:
		h.handleOrders(r)
		return
	}
	in := dispatch.PeerReport{Origin: originOf(r.Host, r.Incarnation), Sequence: r.Sequence}
	for _, a := range r.Accounts {
		in.Accounts = append(in.Accounts, share.Entry{
			Account: share.Account{Organisation: a.Organisation, Pool: a.Pool},
			Use:     float64(a.Use), Rate: float64(a.Holding),
		})
	}
	in.Accounts = append(in.Accounts, sumOverPools(in.Accounts)...)
	for _, d := range r.Demands {
		in.Demands = append(in.Demands, demandFromWire(d))
	}
	for _, held := range r.Held {
		in.HeldCounts = append(in.HeldCounts, dispatch.HeldCount{
			Organisation: held.Organisation, Pool: held.Pool,
			Count: int(held.Count), BacklogAge: time.Duration(held.Age) * time.Millisecond,
		})
	}
	h.Post(in)
}

// handleBroadcastUpdate applies an update of the published state that a peer has broadcast. If it is
// a delta to a revision that this host does not have, it fetches the full state from the peer.
func (h peerHandler) handleBroadcastUpdate(r *wire.Report) {
	if h.applyPeerUpdate(r.Host, r.News, 0) {
		h.forwardUpdate(r)
		return
	}
	for _, p := range h.livePeers() {
		if p.Host == r.Host {
			h.fetchPublishedState(p)
		}
	}
}

// sumOverPools returns the use and the rate of each organisation, summed over its pools.
func sumOverPools(entries []share.Entry) []share.Entry {
	var sums []share.Entry
	index := map[string]int{}
	for _, e := range entries {
		i, ok := index[e.Account.Organisation]
		if !ok {
			i = len(sums)
			index[e.Account.Organisation] = i
			sums = append(sums, share.Entry{Account: share.Account{Organisation: e.Account.Organisation}})
		}
		sums[i].Use += e.Use
		sums[i].Rate += e.Rate
	}
	return sums
}

// HandlePeerChange passes the number of hosts that share the caps, and this host's position among
// them, to the reducer. With a Syncer it also updates the host's rank among the hosts that read the
// source; otherwise it fetches the table of a peer that has a newer one.
func (h peerHandler) HandlePeerChange() {
	share, directory := h.mesh.Share(), h.mesh.Directory()
	coordinators := h.mesh.Coordinators()
	h.Post(dispatch.LiveHosts{
		Hosts: share.Hosts, HostIndex: share.Index, AllHosts: share.AllHosts,
		Delegated: len(coordinators) > 0, Coordinates: len(coordinators) == 0,
	})
	if h.syncer != nil {
		if h.sharesUpdates() {
			h.syncer.SetRank(directory.ReaderRank(h.domain, h.name))
		}
		return
	}
	have := uint64(0)
	if t := h.Table(); t != nil {
		have = t.Version
	}
	if p, ok := h.mesh.NewestTable(have); ok && h.fetching.CompareAndSwap(false, true) {
		go h.fetchTable(p, have)
	}
}

// fetchTable fetches a peer's table if its version is above have, and puts it into effect. The caller
// must have set h.fetching, which fetchTable clears.
func (h *Host) fetchTable(p peer.Peer, have uint64) {
	defer h.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), tableFetchTimeout)
	defer cancel()
	a, _, err := h.mesh.Ask(ctx, p, &wire.Question{Table: &wire.Table{Version: 1, Number: have}})
	if err != nil || a.Table == nil {
		return
	}
	data, err := decompress(a.Table.Sheet)
	if err != nil {
		h.log.Emit(event.TableRefused, event.Fields{Peer: p.Host, Detail: err.Error()})
		return
	}
	h.LoadTable(data)
}

// compress returns the data in gzip format.
func compress(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data) // bytes.Buffer never returns an error
	_ = w.Close()
	return out.Bytes()
}

// decompress is the inverse of compress. It limits the result to publication.MaxValueBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a table from a peer")
	}
	data, err := io.ReadAll(io.LimitReader(r, publication.MaxValueBytes+1))
	if err != nil || len(data) > publication.MaxValueBytes {
		return nil, eris.Errorf("decompress a table from a peer: larger than %d bytes or corrupt: %v", publication.MaxValueBytes, err)
	}
	return data, nil
}

// store stores a table as published, unless the cache has one of the same or a newer version.
func (c *tableCache) store(version uint64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version {
		c.version, c.compressed = version, compress(data)
	}
}

// newer returns the stored table if its version is above the given one, otherwise nil.
func (c *tableCache) newer(above uint64) *wire.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version <= above {
		return nil
	}
	return &wire.Table{Version: 1, Number: c.version, Sheet: c.compressed}
}

// Answer answers a peer's query: for the target of a request, for a place at a target, for a trial, for
// the published state, for a newer table, for an action on a ticket, or with ticket records to be stored.
func (h peerHandler) Answer(ctx context.Context, q *wire.Question) *wire.Answer {
	switch {
	case q.Place != nil:
		return &wire.Answer{Placed: h.answerPlace(ctx, q.Place)}
	case q.Reserve != nil:
		return &wire.Answer{Reserved: h.answerReserve(ctx, q.Reserve)}
	case q.Release != nil:
		h.answerRelease(ctx, q.Release)
		return &wire.Answer{}
	case q.Trial != nil:
		return &wire.Answer{Tried: h.answerTrial(ctx, q.Trial)}
	case q.News && h.syncer != nil:
		r, age := h.syncer.Snapshot()
		h.addAssumedCold(r.Targets)
		return &wire.Answer{News: updateToWire(r, age)}
	case q.Table != nil:
		return &wire.Answer{Table: h.tableCache.newer(q.Table.Number)}
	case q.Ticket != nil:
		return &wire.Answer{Ticket: h.answerTicketCall(ctx, q.Ticket)}
	case q.Handover != nil:
		h.importTickets(q.Handover)
		return &wire.Answer{}
	}
	return nil
}

// answerTicketCall applies an action to a ticket for a peer. Only tickets issued by this incarnation
// of the host can be executed or revoked. For any other ticket, whose record this host may have
// received from the stopped host that issued it, the action becomes a lookup.
func (h peerHandler) answerTicketCall(ctx context.Context, c *wire.TicketCall) *wire.TicketReply {
	if c.Host != h.name || c.Incarnation != h.incarnation {
		c.Action = uint32(TicketLookup)
	}
	return h.applyTicketAction(ctx, c)
}
