package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// An Effect is an action that the host must carry out.
	Effect struct {
		Kind       EffectKind
		ID         ID
		Target     string        // Dispatch, Cancel, QueryLeaving: the target; Move, NoMove: the target that runs the stream
		Priority   int           // Dispatch, Move: engine priority, lower first
		Answer     answer.Kind   // Refuse
		RetryAfter time.Duration // Refuse: delay after which the caller may retry
		At         time.Time     // Timer: time of the Tick; Move: time by which the run must be stopped at the old target
		To         table.Target  // Dispatch, QueryLeaving: the listed entry of the target; Move: destination
		ToBackup   bool          // Move: whether the destination is the backup and already holds the stream's memory
		Backup     table.Target  // Dispatch, Move: target to which the stream's memory is copied as it grows; an empty name means none
		Basis      Basis         // Dispatch, Refuse, Move
	}

	// A Basis is the state on which a decision was based.
	Basis struct {
		TableVersion  uint64        // version of the table in force
		FleetRevision uint64        // revision of the list of targets; 0 if the table lists them
		Targets       int           // targets of the pool
		OpenTargets   int           // targets of the pool that accept new work
		WithCapacity  int           // targets of the pool that accept new work and have capacity
		Streams       float64       // streams on the chosen target before the decision, known or inferred
		HeldFor       time.Duration // time since the request arrived at this host
		Attempt       int           // number of the attempt, from 1
		OtherDomain   bool          // whether the chosen target is in another failure domain
	}

	// An EffectKind is the kind of an Effect.
	EffectKind uint8
)

// The kinds of effect.
const (
	EffectDispatch     EffectKind = iota // send the request to the target
	EffectResume                         // open a new connection to the running generation
	EffectCancel                         // cancel the generation at the target
	EffectRefuse                         // answer the caller finally
	EffectTimer                          // reduce a Tick at the given time
	EffectMove                           // move the running stream from the target to another one
	EffectNoMove                         // the broken stream cannot be moved
	EffectQueryLeaving                   // query the target whether it is leaving; its reply comes back as a LeavingReply event
)

var effectNames = [...]string{"dispatch", "resume", "cancel", "refuse", "timer", "move", "stay", "ask"}

// String returns the name of the kind.
func (k EffectKind) String() string { return effectNames[k] }
