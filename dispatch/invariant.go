package dispatch

import (
	"fmt"
	"math"

	"github.com/rotisserie/eris"
)

// Check verifies the invariants of the reducer's state: every request is either held or
// dispatched, and the counters of organisations, targets and pools and the reservations on
// targets equal the sums over the requests. It returns an error that describes the first
// violation.
func (r *Reducer) Check() error {
	running := map[*targetState]int{}
	inflight := map[*organisation]int{}
	held := map[*organisation]int{}
	for id, q := range r.requests {
		if q.id != id {
			return eris.Errorf("request %d stands under %d", q.id, id)
		}
		switch q.phase {
		case phaseSent:
			running[q.target]++
			inflight[q.organisation]++
		case phaseHeld:
			held[q.organisation]++
		default:
			return eris.Errorf("request %d has ended and is still in the books", id)
		}
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

// checkReservations verifies that memory is reserved on targets for exactly the streams that
// have a backup or a move in progress.
func (r *Reducer) checkReservations() error {
	kept := map[*targetState]float64{}
	moves := map[*targetState]int{}
	for _, q := range r.requests {
		for _, v := range []*reservation{&q.backup, &q.moveReservation, &q.nextBackup} {
			if v.target != nil {
				kept[v.target] += v.demand.Mean[0]
			}
		}
		if q.moveReservation.target != nil && !q.moveToBackup {
			moves[q.target]++
		}
	}
	for name, t := range r.targets {
		if math.Abs(t.reserved.Mean[0]-kept[t]) > negligibleTokens || t.outgoingMoves != moves[t] {
			return eris.Errorf("target %s: %g tokens kept, %d moves; the books have %g, %d",
				name, kept[t], moves[t], t.reserved.Mean[0], t.outgoingMoves)
		}
	}
	return nil
}

func (r *Reducer) checkOrganisations(inflight, held map[*organisation]int) error {
	for name, org := range r.organisations {
		if org.inflight != inflight[org] || org.heldTotal != held[org] {
			return eris.Errorf("organisation %s: %d in flight, %d held; the books have %d, %d",
				name, org.inflight, org.heldTotal, inflight[org], held[org])
		}
	}
	return nil
}

func (r *Reducer) checkTargets(running map[*targetState]int) error {
	for name, t := range r.targets {
		if t.running != running[t] {
			return eris.Errorf("target %s: %d running, the books have %d", name, t.running, running[t])
		}
		if t.pendingPrefill < 0 {
			return eris.Errorf("target %s: %d prompt tokens to compute", name, t.pendingPrefill)
		}
	}
	return nil
}

func (r *Reducer) checkPools() error {
	for _, p := range r.poolList {
		held, inflight := 0, 0
		for _, queue := range p.queues {
			held += len(queue.held)
			inflight += queue.inflight
			for _, q := range queue.held {
				if r.requests[q.id] != q {
					return fmt.Errorf("pool %s: held request %d is not in the books", p.name, q.id)
				}
			}
		}
		if held != p.held || inflight != p.inflight {
			return eris.Errorf("pool %s: %d held, %d in flight; its queues have %d, %d",
				p.name, p.held, p.inflight, held, inflight)
		}
	}
	return nil
}
