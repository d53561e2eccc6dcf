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
	// peerHandler implements peer.Handler.
	peerHandler struct{ *Host }

	// A tableCache holds the newest published table in its compressed form for peers.
	tableCache struct {
		mu         sync.Mutex
		version    uint64
		compressed []byte
	}
)

const (
	tableWatchersPerDomain = 2 // hosts of a failure domain that watch the platform's table
	tableFetchTimeout      = 5 * time.Second
	reportTTL              = 2 * time.Second
)

// Join creates the host's mesh with its peers. The caller must run the mesh.
func (h *Host) Join(s peer.Settings) (*peer.Mesh, error) {
	s.Host, s.Incarnation = h.name, h.incarnation
	m, err := peer.NewMesh(s, peerHandler{h}, h.log)
	if err != nil {
		return nil, err
	}
	h.mesh = m
	return m, nil
}

// livePeers returns the live peers.
func (h *Host) livePeers() []peer.Peer {
	if h.mesh == nil {
		return nil
	}
	return h.mesh.Live()
}

// WatchesTable reports whether this host is one of the readersPerDomain hosts of its domain that
// watch the platform's table. A host without live peers is always one.
func (h *Host) WatchesTable() bool {
	if h.mesh == nil {
		return true
	}
	before := 0
	own := table.HashName(h.name)
	for _, p := range h.mesh.Live() {
		if p.Domain == h.domain && !p.Stopping && table.HashName(p.Host) < own {
			before++
		}
	}
	return before < tableWatchersPerDomain
}

// FillHeartbeat sets the fields of a heartbeat that describe the host's state.
func (h peerHandler) FillHeartbeat(hb *wire.Heartbeat) {
	hb.Stopping = h.stopping.Load()
	if t := h.Table(); t != nil && h.syncer == nil {
		hb.Table = t.Version
	}
	if h.sharesUpdates() {
		c := h.syncer.Confirmation()
		hb.Revision, hb.Content, hb.Confirmed = c.Revision, c.ContentRevision, uint32(c.Age.Milliseconds())
	}
}

// Report returns the host's soft state.
func (h peerHandler) Report() *wire.Report {
	var r dispatch.PeerReport
	h.Inspect(func(d *dispatch.Reducer) { r = d.Report(time.Now()) })
	out := &wire.Report{Place: uint32(r.HostIndex), Life: uint32(reportTTL.Milliseconds())}
	for _, a := range r.Accounts {
		if a.Account.Pool == "" {
			continue // receivers compute the sum over pools themselves
		}
		out.Accounts = append(out.Accounts, &wire.Account{
			Organisation: a.Account.Organisation, Pool: a.Account.Pool,
			Use: float32(a.Use), Holding: float32(a.Rate),
		})
	}
	for i := range r.Demands {
		out.Demands = append(out.Demands, demandToWire(&r.Demands[i]))
	}
	for _, held := range r.Held {
		out.Held = append(out.Held, &wire.Held{
			Organisation: held.Organisation, Pool: held.Pool,
			Count: uint32(held.Count), Age: uint32(held.BacklogAge.Milliseconds()),
		})
	}
	return out
}

// demandUnitTokens is the unit of memory demand in reports, in tokens.
const demandUnitTokens = 8.0

func demandToWire(d *dispatch.TargetDemand) *wire.Demand {
	out := &wire.Demand{Target: d.Target, Streams: float32(d.Demand.Streams), Kept: float32(d.Reserved)}
	for i := range forecast.Horizons {
		out.Shape = appendTokens(out.Shape, d.Demand.Mean[i])
		out.Shape = appendTokens(out.Shape, math.Sqrt(d.Demand.Variance[i]))
	}
	return out
}

func appendTokens(b []byte, tokens float64) []byte {
	units := min(math.Round(tokens/demandUnitTokens), math.MaxUint16)
	return binary.LittleEndian.AppendUint16(b, uint16(units))
}

func demandFromWire(d *wire.Demand) dispatch.TargetDemand {
	in := dispatch.TargetDemand{Target: d.Target, Demand: forecast.Demand{Streams: float64(d.Streams)}, Reserved: float64(d.Kept)}
	const size = 4 // bytes per horizon: mean and standard deviation, 16 bits each
	for i := range min(forecast.Horizons, len(d.Shape)/size) {
		horizon := d.Shape[size*i:]
		deviation := demandUnitTokens * float64(binary.LittleEndian.Uint16(horizon[2:]))
		in.Demand.Mean[i] = demandUnitTokens * float64(binary.LittleEndian.Uint16(horizon))
		in.Demand.Variance[i] = deviation * deviation
	}
	return in
}

// HandleReport applies a peer's report of soft state or its broadcast of published state.
func (h peerHandler) HandleReport(r *wire.Report) {
	if r.News != nil {
		h.handleBroadcastUpdate(r)
		return
	}
	in := dispatch.PeerReport{Origin: r.Host + "/" + r.Incarnation, Sequence: r.Sequence, HostIndex: int(r.Place)}
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
		in.Held = append(in.Held, dispatch.HeldCount{
			Organisation: held.Organisation, Pool: held.Pool,
			Count: int(held.Count), BacklogAge: time.Duration(held.Age) * time.Millisecond,
		})
	}
	h.Post(in)
}

// handleBroadcastUpdate applies an update that a peer has broadcast. If updates are missing in
// between, it fetches the full state from the peer.
func (h peerHandler) handleBroadcastUpdate(r *wire.Report) {
	if h.applyPeerUpdate(r.Host, r.News, 0) {
		return
	}
	for _, p := range h.livePeers() {
		if p.Host == r.Host {
			h.fetchPublishedState(p)
		}
	}
}

// sumOverPools returns each organisation's use and holding, summed over its pools.
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

// HandlePeerChange passes the number of hosts that share the caps to the reducer. It also updates
// the host's rank among the readers or, without a registry, fetches a newer table from a peer.
func (h peerHandler) HandlePeerChange() {
	count, position := h.mesh.CapSplit()
	rank, all := h.mesh.Rank()
	h.Post(dispatch.Peers{Hosts: count, HostIndex: position, AllHosts: all, ReportInterval: h.mesh.ReportInterval()})
	if h.syncer != nil {
		if h.sharesUpdates() {
			h.syncer.SetRank(rank)
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

// fetchTable fetches a peer's table if its version is above have, and applies it. The caller has
// set h.fetching.
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

func compress(data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data) // bytes.Buffer never returns an error
	_ = w.Close()
	return out.Bytes()
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a table from a peer")
	}
	data, err := io.ReadAll(io.LimitReader(r, publication.MaxValueBytes+1))
	if err != nil || len(data) > publication.MaxValueBytes {
		return nil, eris.Errorf("decompress a table from a peer: larger than %d bytes or corrupt: %v", publication.MaxValueBytes, err)
	}
	return data, nil
}

// store stores the published form of a table if its version is newer.
func (c *tableCache) store(version uint64, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version {
		c.version, c.compressed = version, compress(data)
	}
}

// newer returns the stored table if its version is above the given one, else nil.
func (c *tableCache) newer(above uint64) *wire.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version <= above {
		return nil
	}
	return &wire.Table{Version: 1, Number: c.version, Sheet: c.compressed}
}

// Answer answers a peer's question.
func (h peerHandler) Answer(ctx context.Context, q *wire.Question) *wire.Answer {
	switch {
	case q.News && h.syncer != nil:
		r, age := h.syncer.Snapshot()
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

// answerTicketCall applies a ticket action for a peer. Only tickets issued by this incarnation of
// the host can be executed or burnt. Other tickets, whose records may have been handed over to
// this host, can only be looked up.
func (h peerHandler) answerTicketCall(ctx context.Context, c *wire.TicketCall) *wire.TicketReply {
	if c.Host != h.name || c.Incarnation != h.incarnation {
		c.Action = uint32(TicketLookup)
	}
	return h.applyTicketAction(ctx, c)
}
