package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/table"
)

// peer holds the latest report of another host of this failure domain.
type peer struct {
	origin     string        // host name and incarnation
	sequence   uint64        // sequence number of the report
	receivedAt time.Duration // time when the report arrived
	demands    []TargetDemand
	held       []HeldCount
}

// reduce replaces the previous report of the same origin and dispatches held requests. A report
// whose sequence number is not higher than that of the previous one is ignored.
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
	r.removePeerDemand(o)
	*o = peer{origin: e.Origin, sequence: e.Sequence, receivedAt: r.now, demands: e.Demands, held: e.HeldCounts}
	for i := range o.demands {
		if t := r.targets[o.demands[i].Target]; t != nil {
			demand := o.demands[i].withReserved()
			t.peerDemand.Add(&demand)
			t.invalidateTotalDemand()
		}
	}
	r.ledger.Merge(e.Origin, e.Sequence, e.Accounts, r.now)
	r.dispatchAllHeld()
}

// negligibleTokens is an amount of memory, in tokens, below that of any stream. Smaller sums of
// demands are rounding errors left after the demands were subtracted again.
const negligibleTokens = 0.5

// withReserved returns the demand of a host's streams on a target plus the memory that the host has
// reserved there.
func (d *TargetDemand) withReserved() forecast.Demand {
	all := d.Demand
	for i := range all.MeanMemory {
		all.MeanMemory[i] += d.Reserved
	}
	return all
}

// removePeerDemand subtracts the demands that a peer reported from the targets, and discards these
// demands and its counts of held requests.
func (r *Reducer) removePeerDemand(o *peer) {
	for i := range o.demands {
		t := r.targets[o.demands[i].Target]
		if t == nil {
			continue
		}
		demand := o.demands[i].withReserved()
		t.peerDemand.Sub(&demand)
		t.invalidateTotalDemand()
		if t.peerDemand.Streams < 0.5 && t.peerDemand.MeanMemory[0] < negligibleTokens {
			t.peerDemand = forecast.Demand{}
		}
	}
	o.demands, o.held = nil, nil
}

// expirePeers removes the peers whose latest report is as old as peersExpiry or older.
func (r *Reducer) expirePeers() {
	r.peerList = slices.DeleteFunc(r.peerList, func(o *peer) bool {
		if r.now-o.receivedAt < peersExpiry {
			return false
		}
		r.removePeerDemand(o)
		delete(r.peers, o.origin)
		return true
	})
}

// Report returns this host's report to its peers at the given time. The caller must set Origin and
// Sequence.
func (r *Reducer) Report(at time.Time) PeerReport {
	now := max(r.now, r.sinceEpoch(at))
	report := PeerReport{Accounts: r.ledger.Report(now)}
	for name, t := range r.targets {
		if r.delegated && t.spec.Kind != table.TargetService {
			continue // the coordinator reports the demand of the hosts' streams
		}
		if t.running > 0 || t.reserved.MeanMemory[0] > negligibleTokens {
			report.Demands = append(report.Demands, TargetDemand{name, t.localDemand, t.reserved.MeanMemory[0]})
		}
	}
	for _, p := range r.poolList {
		for _, queue := range p.queues {
			if !r.delegates(p) && r.waitsForTarget(queue, p) {
				report.HeldCounts = append(report.HeldCounts, HeldCount{queue.organisation.spec.Name, p.name, len(queue.held), r.now - queue.lastEmpty})
			}
		}
	}
	return report
}

// waitsForTarget reports whether this host would dispatch a request of a queue if a target had capacity or a
// place for it. Requests that it could not dispatch even then are no reason for other hosts to wait.
func (r *Reducer) waitsForTarget(queue *organisationQueue, p *pool) bool {
	return !r.atInflightCap(queue.organisation, p) && slices.ContainsFunc(queue.held, func(q *request) bool {
		switch q.waitCause {
		case WaitPlace, WaitPeers:
			return true
		case WaitCapacity:
			return slices.ContainsFunc(p.targets, func(t *targetState) bool { return r.mayChoose(q, t) })
		}
		return false
	})
}

// mayChoose reports whether a target accepts new work and has not been tried for the request.
func (r *Reducer) mayChoose(q *request, t *targetState) bool {
	return t.acceptsWork(r.now, r.options.maxLoadAge) && !slices.Contains(q.triedTargets, t)
}

// reduce replaces the numbers of live hosts and the role of this host.
func (e LiveHosts) reduce(r *Reducer) {
	r.hosts, r.hostIndex = max(e.Hosts, 1), e.HostIndex
	r.delegated, r.coordinates = e.Delegated, e.Coordinates
	r.allHosts = max(e.AllHosts, r.hosts)
}
