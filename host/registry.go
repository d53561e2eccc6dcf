package host

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// registryHandler implements registry.Handler for a host.
	registryHandler struct{ *Host }

	// publishedRevision is a revision of the published state.
	publishedRevision struct{ era, revision uint64 }
)

// stateFetchTimeout is the timeout for fetching the full published state from a peer.
const stateFetchTimeout = time.Second

// SyncFrom makes the host use the configuration and the targets that a source publishes, read
// directly or received from peers. It must be called before Run, and the caller must run the Syncer.
func (h *Host) SyncFrom(s registry.Source) *registry.Syncer {
	h.syncer = registry.NewSyncer(s, registryHandler{h}, h.log)
	return h.syncer
}

// Syncer returns the Syncer that SyncFrom created, or nil for a host that watches a published table.
func (h *Host) Syncer() *registry.Syncer { return h.syncer }

// HasTargets reports whether the host has a list of live targets. It is always true for a host that
// watches a published table, because the table lists the targets.
func (h *Host) HasTargets() bool { return h.syncer == nil || h.hasTargets.Load() }

// ApplyTable passes a configuration to the reducer.
func (h registryHandler) ApplyTable(t *table.Table) { h.Post(dispatch.TableChange{Table: t}) }

// ApplyTargets passes a list of targets to the reducer.
func (h registryHandler) ApplyTargets(revision uint64, targets map[string]table.Target) {
	h.hasTargets.Store(true)
	h.listed.record(targets, time.Now())
	h.Post(dispatch.Fleet{Revision: revision, Targets: targets})
}

// sharesUpdates reports whether the host exchanges the published state with its peers.
func (h *Host) sharesUpdates() bool { return h.syncer != nil && h.mesh != nil && !h.sharingDisabled }

// Broadcast sends an update of the published state to all peers in the background.
func (h registryHandler) Broadcast(r registry.Update, age time.Duration) {
	if h.sharesUpdates() {
		go h.mesh.Broadcast(context.Background(), &wire.Report{News: updateToWire(r, age)})
	}
}

// forwardUpdate passes a peer's update on to the hosts that are connected with their coordinators
// only, if this host is the first coordinator of its failure domain and the update is new.
func (h *Host) forwardUpdate(r *wire.Report) {
	at := publishedRevision{r.News.Era, r.News.Revision}
	if last := h.forwarded.Swap(&at); h.sharesUpdates() && (last == nil || *last != at) {
		go h.mesh.Forward(context.Background(), &wire.Report{News: r.News})
	}
}

// BroadcastConfirmation sends a heartbeat, which carries the Syncer's Confirmation, to all peers in
// the background.
func (h registryHandler) BroadcastConfirmation() {
	if h.sharesUpdates() {
		go h.mesh.SendHeartbeats()
	}
}

// HandleHeartbeat passes the registry.Confirmation in a peer's heartbeat to the Syncer, and the withdrawals of evacuations in it
// to the reducer. If the peer has content that this host lacks, the host fetches the full published state from it.
func (h peerHandler) HandleHeartbeat(p peer.Peer, hb *wire.Heartbeat) {
	h.evacuations.recordHeartbeat(hb, time.Now())
	for _, w := range hb.Withdrawals {
		h.Post(dispatch.Withdrawal{Domain: w.Domain, Age: time.Duration(w.Age) * time.Millisecond})
	}
	if !h.sharesUpdates() || hb.Revision == 0 {
		return
	}
	upToDate := h.syncer.Confirm(registry.Confirmation{
		Era:             hb.Era,
		Revision:        hb.Revision,
		ContentRevision: hb.Content,
		Exact:           hb.Exact && hb.Evacuations, // an earlier build confirms revisions at which domains were evacuated
		Age:             time.Duration(hb.Confirmed) * time.Millisecond,
	})
	if !upToDate {
		h.fetchPublishedState(p)
	}
}

// fetchPublishedState fetches the full published state from a peer in the background. It does nothing
// while another fetch is in progress.
func (h *Host) fetchPublishedState(p peer.Peer) {
	if !h.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), stateFetchTimeout)
		defer cancel()
		began := time.Now()
		a, _, err := h.mesh.Ask(ctx, p, &wire.Question{News: true})
		if err != nil || a.News == nil {
			// The host reads the source itself when its state becomes stale.
			h.log.Emit(event.PeerRefused, event.Fields{Peer: p.Host, Detail: "fetch of the published state failed"})
			return
		}
		h.applyPeerUpdate(p.Host, a.News, time.Since(began))
	}()
}

// applyPeerUpdate applies an update of the published state from the named peer. transit is the time
// added to the age in the message, for its transmission. It reports false if the full state must be
// fetched.
func (h *Host) applyPeerUpdate(from string, n *wire.News, transit time.Duration) bool {
	if !h.sharesUpdates() {
		return true
	}
	r, age := updateFromWire(n)
	return h.syncer.ApplyPeerUpdate(r, age+transit, from)
}

// updateToWire returns an update in the form of messages between hosts. age is the time since the
// source confirmed it.
func updateToWire(r registry.Update, age time.Duration) *wire.News {
	n := &wire.News{
		Era:      r.Era,
		Base:     r.Base,
		Whole:    r.Full,
		Revision: r.Revision,
		Age:      uint32(age.Milliseconds()),
		Removed:  r.Removed,
		Content:  r.ContentRevision,

		Evacuations: !r.OmitsEvacuations,
		Evacuated:   r.Evacuated,
	}
	if r.Config != nil {
		n.Published, n.Sheet = r.Config.Revision, compress(r.Config.Data)
	}
	for _, t := range r.Targets {
		n.Targets = append(n.Targets, targetToWire(t))
	}
	return n
}

// updateFromWire returns the update in a message and its age. Parts that cannot be parsed are left out
// and noted in ParseErrors.
func updateFromWire(n *wire.News) (registry.Update, time.Duration) {
	r := registry.Update{
		Era: n.Era, Base: n.Base, Full: n.Whole, Revision: n.Revision, Removed: n.Removed, ContentRevision: n.Content,
		Evacuated: n.Evacuated, OmitsEvacuations: !n.Evacuations,
	}
	if n.Published > 0 {
		if data, err := decompress(n.Sheet); err == nil {
			r.Config = &registry.Config{Revision: n.Published, Data: data}
		} else {
			r.ParseErrors = append(r.ParseErrors, err.Error())
		}
	}
	for _, t := range n.Targets {
		if in, err := targetFromWire(t); err == nil {
			r.Targets = append(r.Targets, in)
		} else {
			r.ParseErrors = append(r.ParseErrors, err.Error())
		}
	}
	return r, time.Duration(n.Age) * time.Millisecond
}

// addAssumedCold adds the times for which targets count as cold at this host to a full state: the peer has not received the
// withdrawal of the evacuation of their domain.
func (h *Host) addAssumedCold(targets []table.Target) {
	var cold map[string]time.Time
	h.Inspect(func(r *dispatch.Reducer) { cold = r.AssumedCold() })
	for i := range targets {
		if until := cold[targets[i].Name]; until.After(targets[i].ColdUntil) {
			targets[i].ColdUntil = until
		}
	}
}

// targetToWire returns a target in the form of messages between hosts.
func targetToWire(t table.Target) *wire.Target {
	out := &wire.Target{
		Name:    t.Name,
		Pool:    t.Service,
		Domain:  t.Domain,
		Address: t.Address.String(),
		Slots:   uint32(t.Slots),
		Leaving: t.Leaving,
	}
	if !t.StartTime.IsZero() {
		out.Boot = t.StartTime.UnixMilli()
	}
	if left := time.Until(t.ColdUntil); left > 0 {
		out.Cold = uint32(left.Milliseconds())
	}
	return out
}

// targetFromWire returns the target in a message, or an error if its address is invalid.
func targetFromWire(t *wire.Target) (table.Target, error) {
	address, err := netip.ParseAddrPort(t.Address)
	in := table.Target{
		Name:    t.Name,
		Kind:    table.TargetService,
		Service: t.Pool,
		Domain:  t.Domain,
		Address: address,
		Slots:   int(t.Slots),
		Leaving: t.Leaving,
	}
	if t.Cold != 0 {
		in.ColdUntil = time.Now().Add(time.Duration(t.Cold) * time.Millisecond)
	}
	if t.Boot != 0 {
		in.StartTime = time.UnixMilli(t.Boot)
	}
	return in, err
}
