package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// An Effect is something that the host is to do.
	Effect struct {
		Kind     EffectKind
		ID       ID
		Target   string        // Dispatch, Cancel, Ask; Move, Stay: where the stream is
		Priority int           // Dispatch
		Answer   answer.Kind   // Refuse
		Retry    time.Duration // Refuse: when to come back
		At       time.Time     // Timer; Move: by when the run is to be stopped
		To       table.Target  // Dispatch: the target as the list has it; Ask: the same; Move: where to
		Ready    bool          // Move: the memory is there already
		Backup   table.Target  // Dispatch, Move: where the memory is copied as it grows; no name for nowhere
		Basis    Basis         // Dispatch, Refuse, Move
	}

	// A Basis is what a decision rested on.
	Basis struct {
		Table   uint64        // version in force
		Fleet   uint64        // revision of the list of targets; 0 if the table has them
		Targets int           // of the pool
		Open    int           // of these, the ones that take new work
		Room    int           // of these, the ones with room
		Streams float64       // on the chosen target before, as far as known
		Held    time.Duration // that the request has waited on this host
		Attempt int           // from 1
		Away    bool          // whether the target is of another failure domain
	}

	// An EffectKind tells effects apart.
	EffectKind uint8
)

// The kinds of effect.
const (
	EffectDispatch EffectKind = iota // send the request to the target
	EffectResume                     // open a fresh connection to the generation
	EffectCancel                     // cancel the generation at the target
	EffectRefuse                     // give the caller its final answer
	EffectTimer                      // send a Tick at the time
	EffectMove                       // move the running stream from the target to another
	EffectStay                       // no move can help the broken stream
	EffectAsk                        // ask the target whether it is leaving; a Told follows if it answers
)

var effectNames = [...]string{"dispatch", "resume", "cancel", "refuse", "timer", "move", "stay", "ask"}

// String returns the kind's name.
func (k EffectKind) String() string { return effectNames[k] }
