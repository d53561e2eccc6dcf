package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/pace"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// An Effect is an action that the host must carry out.
	Effect struct {
		Kind       EffectKind
		ID         ID                // Placed: on the host that asked
		Name       string            // Placed, Move: identifier in event logs of a request of another host
		Target     string            // name of the target; Move, NoMove: of the one that runs the stream now
		Priority   int               // Dispatch, Move: engine priority, lower first
		Answer     answer.Kind       // Refuse: kind of the refusal sent to the caller
		RetryAfter time.Duration     // Refuse: delay after which the caller may retry
		At         time.Time         // Timer: time of the Tick; Move: time by which the generation must be stopped at the old target; Readmitted: time of the withdrawal
		To         table.Target      // Dispatch, QueryLeaving, Probe: the listed entry of the target; Move: destination
		ToBackup   bool              // Move: whether the destination is the stream's backup, which already holds a copy of its memory
		Backup     table.Target      // Dispatch, Move: target to which the stream's memory is copied while it runs; an empty name means none
		Remote     string            // Placed, Move: host and incarnation of the request, if it is another host's; empty otherwise
		Placement  *PlacementRequest // Place
		Basis      Basis             // Dispatch, Refuse, Move: state on which the decision was based
		Part       quarantine.Part   // Suspected, Quarantined, Cleared, Trial
		Limit      TargetLimit       // Dispatch, Reserve, Limited: what is known of the target's limit
		Own        bool              // Limited, Leaver: whether a response to this host has shown it
		Brittle    bool              // Dispatch, Reserve: whether the target's pool has said that it is brittle
		Run        time.Duration     // Dispatch, Move: usual time until a call ends, or a stream at the limit of its output; 0 if it has none
		Stop       StopLimit         // Dispatch: what the end of the host means for a stream
		Fragility  PoolFragility     // Brittle: what is known of the pool
		Lease      uint64            // Release: number of the lease
		Refused    bool              // Release: whether the target had no room
		Within     time.Duration     // Reserve: longest time until the place; Trial: time until the trial has ended; Readmitted: time from the withdrawal for which targets are cold
		Spread     pace.Spread       // Uneven: speeds of the pool's engines
		Crashes    int               // Trial: crashes under the part that are known
		Domain     string            // Evacuated, Emptied, Readmitted: failure domain
		ExtraAfter time.Duration     // Dispatch: time without a complete response after which AttemptSlow is due; 0 if it is not
		Extra      ExtraOutcome      // Extra, ExtraRefused, ExtraEnded
	}

	// A Basis is the state on which a decision to dispatch, refuse or move a request was based.
	Basis struct {
		TableVersion        uint64        // version of the table in force
		FleetRevision       uint64        // revision of the list of targets; 0 if the table lists them
		Targets             int           // targets of the pool
		AcceptingTargets    int           // targets of the pool that accept new work
		TargetsWithCapacity int           // targets of the pool that accept new work and have capacity for the request
		Streams             float64       // streams on the chosen target before the decision, known or inferred
		HeldFor             time.Duration // time since the request arrived at this host
		Attempt             int           // number of the dispatch of the request, or of the move off its current target; from 1
		ExpectedLate        float64       // streams that the choice is expected to make late; see Candidate
		OtherDomain         bool          // whether the chosen target is in another failure domain
		WaitCause           WaitCause     // why the request was not dispatched when it was last considered
		Readmission         Readmission   // of a request in a mixed pool
		Excluded            int           // targets that must not be chosen for the request
	}

	// An EffectKind is the kind of an Effect.
	EffectKind uint8
)

// The kinds of effect.
const (
	EffectDispatch         EffectKind = iota // send the request to the target
	EffectResume                             // open a new connection to the target and continue reading the running generation
	EffectCancel                             // cancel the request at the target
	EffectRefuse                             // refuse the request: send the caller an error as the final answer
	EffectTimer                              // pass a Tick to Reduce at the given time
	EffectMove                               // move the running stream from the target to another one
	EffectNoMove                             // the stream has broken off and has no usable backup to continue at
	EffectQueryLeaving                       // ask the target whether it is leaving; its reply is passed to Reduce as a LeavingReply
	EffectPlace                              // ask a coordinator for a target; its reply is passed to Reduce as Placed or PlacementFailed
	EffectPlaced                             // send another host the target of its request, or the refusal
	EffectProbe                              // find out whether the target has crashed; the result is passed to Reduce as Probed
	EffectShareSuspects                      // send the records of suspected prompt parts to the peers
	EffectSuspected                          // a target has crashed as it began to answer a request with the part; to be logged
	EffectQuarantined                        // requests with the part are refused from now on; to be logged
	EffectCleared                            // an answer has cleared the part of a suspicion; to be logged
	EffectReserve                            // ask the host that gives out the target's places for one; the result is passed to Reduce as PlaceReply
	EffectLimited                            // the target's limit has changed; to be logged
	EffectTrial                              // ask the host that allows trials of suspected requests for one; the result is passed to Reduce as TrialReply
	EffectShareLimits                        // send the records of limits to the peers
	EffectLeaver                             // the target has said that it leaves; to be logged
	EffectBrittle                            // what the targets of a pool say about refusals has changed; to be logged
	EffectShareFragilities                   // send the records of brittle pools to the peers
	EffectRelease                            // report a free place to the host that gives out the target's places
	EffectEvacuated                          // the failure domain is to be evacuated: nothing new is sent to its targets; to be logged
	EffectEmptied                            // no request is known to run in the evacuated domain any more; to be logged
	EffectCold                               // the target has become cold, or is cold no longer; to be logged
	EffectReadmitted                         // the evacuation of the domain was withdrawn; to be logged
	EffectShareLeavers                       // send the targets that have said that they leave to the peers
	EffectUneven                             // whether the engines of a pool are unevenly fast has changed; to be logged
	EffectExtra                              // send a second attempt of the request, whose first one is in flight, to the target
	EffectExtraRefused                       // no second attempt is sent; to be logged
	EffectExtraEnded                         // the second attempt, or the first one, was of no use; to be logged
)

var effectNames = [...]string{
	"dispatch", "resume", "cancel", "refuse", "timer", "move", "stay", "ask", "place", "placed", "probe", "share_suspects", "suspected",
	"quarantined", "cleared", "reserve", "limited", "trial", "share_limits", "leaver", "brittle", "share_fragilities", "release",
	"evacuated", "emptied", "cold", "readmitted", "share_leavers", "uneven", "extra", "extra_refused", "extra_ended",
}

// String returns the name of the kind.
func (k EffectKind) String() string { return effectNames[k] }
