package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
)

// peer is another host of this domain, as its last report tells.
type peer struct {
	origin   string
	sequence uint64
	place    int
	at       time.Duration
	demands  []TargetDemand
	held     []HeldCount
}

// A PeerReport replaces what its origin last said. A late or repeated one is
// ignored.
func (e PeerReport) reduce(r *Reducer) {
	o := r.peers[e.Origin]
	if o == nil {
		o = &peer{origin: e.Origin}
		r.peers[e.Origin] = o
		r.peerList = append(r.peerList, o)
	}
	if e.Sequence <= o.sequence {
		return
	}
	r.withdraw(o)
	*o = peer{origin: e.Origin, sequence: e.Sequence, place: e.Place, at: r.now, demands: e.Demands, held: e.Held}
	for i := range o.demands {
		if t := r.targets[o.demands[i].Target]; t != nil {
			whole := o.demands[i].whole()
			t.others.Add(&whole)
			t.changed()
		}
	}
	r.ledger.Merge(e.Origin, e.Sequence, e.Accounts, r.now)
	r.drainAll()
}

// leastTokens is less memory than any stream holds: what is left of sums that cancel.
const leastTokens = 0.5

// whole returns a demand with the memory that is reserved beside it.
func (d *TargetDemand) whole() forecast.Demand {
	all := d.Demand
	for i := range all.Mean {
		all.Mean[i] += d.Kept
	}
	return all
}

// withdraw takes a peer's demands out of the targets.
func (r *Reducer) withdraw(o *peer) {
	for i := range o.demands {
		t := r.targets[o.demands[i].Target]
		if t == nil {
			continue
		}
		whole := o.demands[i].whole()
		t.others.Sub(&whole)
		t.changed()
		if t.others.Streams < 0.5 && t.others.Mean[0] < leastTokens {
			t.others = forecast.Demand{}
		}
	}
	o.demands, o.held = nil, nil
}

// expirePeers drops what silent peers said of the present.
func (r *Reducer) expirePeers() {
	r.peerList = slices.DeleteFunc(r.peerList, func(o *peer) bool {
		if r.now-o.at < peersExpiry {
			return false
		}
		r.withdraw(o)
		delete(r.peers, o.origin)
		return true
	})
}

// Report returns what this host tells its peers at a time. Origin and Sequence
// are the sender's to fill in.
func (r *Reducer) Report(at time.Time) PeerReport {
	now := max(r.now, r.since(at))
	report := PeerReport{Place: r.place, Accounts: r.ledger.Report(now)}
	for name, t := range r.targets {
		if t.running > 0 || t.kept.Mean[0] > leastTokens {
			report.Demands = append(report.Demands, TargetDemand{name, t.own, t.kept.Mean[0]})
		}
	}
	for _, p := range r.poolList {
		for _, mq := range p.queues {
			if len(mq.held) > 0 && !r.capped(mq.organisation, p) {
				report.Held = append(report.Held, HeldCount{mq.organisation.spec.Name, p.name, len(mq.held), r.now - mq.since})
			}
		}
	}
	return report
}

func (e Peers) reduce(r *Reducer) {
	r.count, r.place = max(e.Count, 1), e.Place
	r.all = max(e.All, r.count)
	r.turnLength = min(max(e.Every, leastTurn), mostTurn)
}
