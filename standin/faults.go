package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

type (
	// A Fault is a switch of a stand-in engine.
	Fault struct {
		Kind     FaultKind     `json:"kind"`
		Duration time.Duration `json:"duration,omitempty"` // FaultStall, nanoseconds
		Factor   float64       `json:"factor,omitempty"`   // FaultSlow
		Token    int           `json:"token,omitempty"`    // FaultBreak: before which token, from 1
	}

	// A FaultKind names a fault.
	FaultKind string

	faults struct {
		refuse       bool
		slow         float64
		stalledUntil time.Time
		breakAt      int
	}
)

// The faults.
const (
	FaultReboot FaultKind = "reboot" // lose everything, cut all connections, come back
	FaultSilent FaultKind = "silent" // open connections fall silent for good, new ones work
	FaultStall  FaultKind = "stall"  // nothing is written for a while
	FaultRefuse FaultKind = "refuse" // refuse orders
	FaultSlow   FaultKind = "slow"   // every step takes a factor longer
	FaultLeave  FaultKind = "leave"  // take no more orders, finish what runs
	FaultBreak  FaultKind = "break"  // cut each generation's connection once, before a token
	FaultCut    FaultKind = "cut"    // cut all open connections now
	FaultClear  FaultKind = "clear"  // undo the lasting faults
)

// Fault throws a switch. It reports false for an unknown kind.
func (e *Engine) Fault(f Fault) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case FaultReboot:
		old := e.readers
		e.reset()
		cutAll(old)
	case FaultSilent:
		for r := range e.readers {
			r.silent = true
		}
	case FaultStall:
		e.faults.stalledUntil = time.Now().Add(f.Duration)
	case FaultRefuse:
		e.faults.refuse = true
	case FaultSlow:
		e.faults.slow = f.Factor
	case FaultLeave:
		e.leaving = true
	case FaultBreak:
		e.faults.breakAt = f.Token
	case FaultCut:
		cutAll(e.readers)
	case FaultClear:
		e.faults, e.leaving = faults{}, false
	default:
		return false
	}
	return true
}

func cutAll(readers map[*reader]bool) {
	for r := range readers {
		r.cut()
	}
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.Fault(f) {
		http.Error(w, "unknown fault "+string(f.Kind), http.StatusBadRequest)
	}
}
