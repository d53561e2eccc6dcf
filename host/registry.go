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

// keeperSide is the host as the keeper of what is published sees it.
type keeperSide struct{ *Host }

// newsTimeout bounds how long a peer is asked for all that is published.
const newsTimeout = time.Second

// Keep makes the host take its configuration and targets from a source, or from peers
// that have read it. It is called before Run.
func (h *Host) Keep(s registry.Source) *registry.Keeper {
	h.keeper = registry.NewKeeper(s, keeperSide{h}, h.log)
	return h.keeper
}

// Keeper returns what keeps the published configuration and targets, nil if the host
// takes them from elsewhere.
func (h *Host) Keeper() *registry.Keeper { return h.keeper }

// Listed reports whether the host knows the targets that live.
func (h *Host) Listed() bool { return h.keeper == nil || h.listed.Load() }

// TakeTable puts a configuration in force.
func (k keeperSide) TakeTable(t *table.Table) { k.Post(dispatch.TableChange{Table: t}) }

// TakeFleet puts a list of targets in force.
func (k keeperSide) TakeFleet(revision uint64, targets map[string]table.Target) {
	k.listed.Store(true)
	k.Post(dispatch.Fleet{Revision: revision, Targets: targets})
}

// shares reports whether the host and its peers tell each other what is published.
func (h *Host) shares() bool { return h.keeper != nil && h.mesh != nil && !h.unshared }

// Tell passes a reading on to the peers.
func (k keeperSide) Tell(r registry.Reading, age time.Duration) {
	if k.shares() {
		go k.mesh.Push(context.Background(), &wire.Report{News: newsOut(r, age)})
	}
}

// Confirmed tells the peers that nothing has changed.
func (k keeperSide) Confirmed() {
	if k.shares() {
		go k.mesh.BeatNow()
	}
}

// Published takes in what a peer's heartbeat says of what is published.
func (m meshSide) Published(p peer.Peer, hb *wire.Heartbeat) {
	if !m.shares() || hb.Revision == 0 {
		return
	}
	known := m.keeper.Confirm(registry.Confirmation{
		Revision: hb.Revision,
		Content:  hb.Content,
		Age:      time.Duration(hb.Confirmed) * time.Millisecond,
	})
	if !known {
		m.askNews(p)
	}
}

// askNews asks a peer for all that is published, one question at a time.
func (h *Host) askNews(p peer.Peer) {
	if !h.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.asking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
		defer cancel()
		began := time.Now()
		a, _, err := h.mesh.Ask(ctx, p, &wire.Question{News: true})
		if err != nil || a.News == nil {
			// The host reads for itself when what it has grows old.
			h.log.Emit(event.PeerRefused, event.Fields{Peer: p.Host, Detail: "no answer to a question for what is published"})
			return
		}
		h.hearNews(p.Host, a.News, time.Since(began))
	}()
}

// hearNews takes in a reading that a peer passes on. It reports false if the whole must
// be asked for.
func (h *Host) hearNews(from string, n *wire.News, transit time.Duration) bool {
	if !h.shares() {
		return true
	}
	r, age := newsIn(n)
	return h.keeper.Hear(r, age+transit, from)
}

func newsOut(r registry.Reading, age time.Duration) *wire.News {
	n := &wire.News{
		Base:     r.Base,
		Whole:    r.Whole,
		Revision: r.Revision,
		Age:      uint32(age.Milliseconds()),
		Removed:  r.Removed,
	}
	if r.Sheet != nil {
		n.Published, n.Sheet = r.Sheet.Revision, pack(r.Sheet.Data)
	}
	for _, t := range r.Targets {
		n.Targets = append(n.Targets, targetOut(t))
	}
	return n
}

func newsIn(n *wire.News) (registry.Reading, time.Duration) {
	r := registry.Reading{Base: n.Base, Whole: n.Whole, Revision: n.Revision, Removed: n.Removed}
	if n.Published > 0 {
		if sheet, err := unpack(n.Sheet); err == nil {
			r.Sheet = &registry.Sheet{Revision: n.Published, Data: sheet}
		} else {
			r.Refused = append(r.Refused, err.Error())
		}
	}
	for _, t := range n.Targets {
		if in, err := targetIn(t); err == nil {
			r.Targets = append(r.Targets, in)
		} else {
			r.Refused = append(r.Refused, err.Error())
		}
	}
	return r, time.Duration(n.Age) * time.Millisecond
}

func targetOut(t table.Target) *wire.Target {
	out := &wire.Target{
		Name:    t.Name,
		Pool:    t.Service,
		Domain:  t.Domain,
		Address: t.Address.String(),
		Slots:   uint32(t.Slots),
		Leaving: t.Leaving,
	}
	if !t.Boot.IsZero() {
		out.Boot = t.Boot.UnixMilli()
	}
	return out
}

func targetIn(t *wire.Target) (table.Target, error) {
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
	if t.Boot != 0 {
		in.Boot = time.UnixMilli(t.Boot)
	}
	return in, err
}
