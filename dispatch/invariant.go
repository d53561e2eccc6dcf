package dispatch

import (
	"fmt"
	"math"

	"github.com/rotisserie/eris"
)

// Check verifies the invariants of the reducer's state: every request is either held or
// dispatched, only a dispatched one has a second attempt, and the counters of organisations, targets and pools and the reservations on
// targets equal the sums over the requests. It returns an error that describes the first
// violation.
func (r *Reducer) Check() error {
	running := map[*targetState]int{}
	inflight := map[*organisation]int{}
	held := map[*organisation]int{}
	for id, q := range r.requests {
		if q.id != id {
			return eris.Errorf("request %d is stored under ID %d", q.id, id)
		}
		switch q.phase {
		case phaseDispatched:
			running[q.target]++
			inflight[q.organisation]++
		case phaseHeld:
			held[q.organisation]++
		default:
			return eris.Errorf("request %d has ended but was not removed", id)
		}
	}
	if err := r.checkSecondAttempts(running, inflight); err != nil {
		return err
	}
	if err := r.checkOrganisations(inflight, held); err != nil {
		return err
	}
	if err := r.checkTargets(running); err != nil {
		return err
	}
	if err := r.checkReservations(); err != nil {
		return err
	}
	return r.checkPools()
}

// checkSecondAttempts verifies that only dispatched requests which may have two attempts do, at different targets, and adds the second
// attempts to the numbers of requests in flight.
func (r *Reducer) checkSecondAttempts(running map[*targetState]int, inflight map[*organisation]int) error {
	for id, q := range r.requests {
		switch {
		case q.extra == nil:
			continue
		case q.phase != phaseDispatched, !q.mayRepeat(), q.extra.target == q.target:
			return eris.Errorf("request %d must not have a second attempt at target %s", id, q.extra.target.spec.Name)
		}
		running[q.extra.target]++
		inflight[q.organisation]++
	}
	return nil
}

// checkReservations verifies for each target that its reserved memory equals the sum of the
// requests' reservations there, and that outgoingMoves equals the number of moves with a copy in
// progress.
func (r *Reducer) checkReservations() error {
	reserved := map[*targetState]float64{}
	moves := map[*targetState]int{}
	for _, q := range r.requests {
		for _, v := range []*reservation{&q.backup, &q.moveReservation, &q.nextBackup} {
			if v.target != nil {
				reserved[v.target] += v.demand.MeanMemory[0]
			}
		}
		if q.moveReservation.target != nil && !q.moveToBackup {
			moves[q.target]++
		}
	}
	for name, t := range r.targets {
		if math.Abs(t.reserved.MeanMemory[0]-reserved[t]) > negligibleTokens || t.outgoingMoves != moves[t] {
			return eris.Errorf("target %s: requests reserve %g tokens and have %d moves in progress; the target counts %g and %d",
				name, reserved[t], moves[t], t.reserved.MeanMemory[0], t.outgoingMoves)
		}
	}
	return nil
}

// checkOrganisations compares the counters of each organisation with the numbers of its requests in
// flight and held.
func (r *Reducer) checkOrganisations(inflight, held map[*organisation]int) error {
	for name, org := range r.organisations {
		if org.inflight != inflight[org] || org.heldTotal != held[org] {
			return eris.Errorf("organisation %s: counts %d requests in flight and %d held; the requests are %d and %d",
				name, org.inflight, org.heldTotal, inflight[org], held[org])
		}
	}
	return nil
}

// checkTargets compares each target's counter with the number of requests in flight there.
func (r *Reducer) checkTargets(running map[*targetState]int) error {
	for name, t := range r.targets {
		if t.running != running[t] {
			return eris.Errorf("target %s: counts %d running requests; the requests are %d", name, t.running, running[t])
		}
		if t.pendingPrefill < 0 {
			return eris.Errorf("target %s: number of pending prompt tokens is negative: %d", name, t.pendingPrefill)
		}
	}
	return nil
}

// checkPools compares the counters of each pool with those of its queues.
func (r *Reducer) checkPools() error {
	urgent := map[*organisationQueue]int{}
	for _, q := range r.requests {
		urgent[q.pool.byOrganisation[q.organisation]] += q.urgentHeld
	}
	for _, p := range r.poolList {
		if err := p.checkUrgent(urgent); err != nil {
			return err
		}
		held, inflight := 0, 0
		for _, queue := range p.queues {
			held += len(queue.held)
			inflight += queue.inflight
			for _, q := range queue.held {
				if r.requests[q.id] != q {
					return fmt.Errorf("pool %s: held request %d is not among the requests", p.name, q.id)
				}
			}
		}
		if held != p.held || inflight != p.inflight {
			return eris.Errorf("pool %s: counts %d requests held and %d in flight; its queues have %d and %d",
				p.name, p.held, p.inflight, held, inflight)
		}
	}
	return nil
}

// checkUrgent verifies that the memory counted for urgent streams, by organisation and in total, is that of the requests.
func (p *pool) checkUrgent(urgent map[*organisationQueue]int) error {
	total := 0
	for _, queue := range p.queues {
		total += queue.urgentHeld
		if queue.urgentHeld != urgent[queue] {
			return eris.Errorf("pool %s: counts %d tokens of urgent requests of %s; the requests hold %d",
				p.name, queue.urgentHeld, queue.organisation.spec.Name, urgent[queue])
		}
	}
	if total != p.mixed.urgentHeld {
		return eris.Errorf("pool %s: counts %d tokens of urgent requests; its queues have %d", p.name, p.mixed.urgentHeld, total)
	}
	return nil
}
