package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

type (
	// A Fault is a fault to inject into a stand-in engine.
	Fault struct {
		Kind     FaultKind     `json:"kind"`
		Duration time.Duration `json:"duration,omitempty"` // of FaultStall; nanoseconds in JSON
		Factor   float64       `json:"factor,omitempty"`   // of FaultSlow
		Token    int           `json:"token,omitempty"`    // of FaultDisconnectOnce: number of the token before which it disconnects, from 1
	}

	// A FaultKind is the kind of a fault.
	FaultKind string

	faults struct {
		refuse           bool
		slowdown         float64 // factor of the step time; 1 or less has no effect
		stalledUntil     time.Time
		disconnectBefore int // token number from 1; 0 means never
	}
)

// The kinds of faults. FaultRefuse, FaultSlow, FaultLeave and FaultDisconnectOnce last
// until FaultClear.
const (
	FaultReboot         FaultKind = "reboot" // drop all generations, close all connections, change the boot identifier
	FaultSilent         FaultKind = "silent" // write nothing more on the connections that are open now; later ones work
	FaultStall          FaultKind = "stall"  // delay all writes until Duration has passed
	FaultRefuse         FaultKind = "refuse" // refuse new generations with status 503
	FaultSlow           FaultKind = "slow"   // multiply the duration of every step by Factor
	FaultLeave          FaultKind = "leave"  // refuse new generations, finish those in flight, report that it is leaving
	FaultDisconnectOnce FaultKind = "break"  // close the connection of each generation once, before token number Token
	FaultDisconnect     FaultKind = "cut"    // close all open connections
	FaultClear          FaultKind = "clear"  // clear all faults but the silence of open connections
)

// InjectFault injects a fault. It returns false if the kind is unknown.
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
		e.faults.disconnectBefore = f.Token
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
