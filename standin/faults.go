package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

type (
	// A Fault is a fault that InjectFault injects into an Engine, or the request to clear all
	// faults.
	Fault struct {
		Kind     FaultKind     `json:"kind"`
		Duration time.Duration `json:"duration,omitempty"` // of the delay, for FaultStall; nanoseconds in JSON
		Factor   float64       `json:"factor,omitempty"`   // by which FaultSlow multiplies the step time
		Token    int           `json:"token,omitempty"`    // number, from 1, of the token before which FaultDisconnectOnce disconnects
	}

	// A FaultKind selects what a Fault does.
	FaultKind string

	// faults holds the active faults of an engine.
	faults struct {
		refuse                bool      // new generations
		slowdown              float64   // factor by which step times are multiplied; 1 or less has no effect
		stalledUntil          time.Time // writes are delayed until this time
		disconnectBeforeToken int       // token number from 1; 0 means never
	}
)

// The kinds of faults. FaultRefuse, FaultSlow, FaultLeave and FaultDisconnectOnce stay
// active until FaultClear.
const (
	FaultReboot         FaultKind = "reboot" // drop all generations, close all connections, change the boot identifier
	FaultSilent         FaultKind = "silent" // write nothing more to the connections that are open now; connections opened later work
	FaultStall          FaultKind = "stall"  // delay all writes by connections until Duration has passed
	FaultRefuse         FaultKind = "refuse" // refuse new generations with status 503
	FaultSlow           FaultKind = "slow"   // multiply the duration of every step by Factor
	FaultLeave          FaultKind = "leave"  // drain: refuse new generations with status 503, finish those in flight, set the metric engine:leaving
	FaultDisconnectOnce FaultKind = "break"  // close the connection of each generation before it sends token number Token, only once for each
	FaultDisconnect     FaultKind = "cut"    // close all open connections
	FaultClear          FaultKind = "clear"  // end all faults except FaultSilent, which lasts as long as the connections
)

// InjectFault injects a fault, or clears all faults for FaultClear. It returns false if the
// kind is unknown.
func (e *Engine) InjectFault(f Fault) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case FaultReboot:
		old := e.readers
		e.reset()
		closeConnections(old)
	case FaultSilent:
		for r := range e.readers {
			r.silent = true
		}
	case FaultStall:
		e.faults.stalledUntil = time.Now().Add(f.Duration)
	case FaultRefuse:
		e.faults.refuse = true
	case FaultSlow:
		e.faults.slowdown = f.Factor
	case FaultLeave:
		e.leaving = true
	case FaultDisconnectOnce:
		e.faults.disconnectBeforeToken = f.Token
	case FaultDisconnect:
		closeConnections(e.readers)
	case FaultClear:
		e.faults, e.leaving = faults{}, false
	default:
		return false
	}
	return true
}

func closeConnections(readers map[*reader]bool) {
	for r := range readers {
		r.cancel()
	}
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.InjectFault(f) {
		http.Error(w, "unknown fault "+string(f.Kind), http.StatusBadRequest)
	}
}
