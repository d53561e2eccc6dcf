// Package dispatch decides which request goes to which target, and when. It is a
// reducer: each input is an event with an explicit time, each output is an effect
// returned as data. It has no goroutine, clock, socket or random source; the daemon,
// the tests and the benchmarks therefore run the same code.
package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/quarantine"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// An ID identifies a request on this host.
	ID uint64

	// An Event is an input of the Reducer. Only types of this package implement it.
	Event interface{ reduce(*Reducer) }

	// Submit is a new request.
	Submit struct {
		ID                  ID
		Name                string // identifier in event logs; the reducer only passes it on
		Organisation        string
		Pool                string            // name of the model or service
		Plain               bool              // whether Pool is a plain service (see table.Service), not a model
		NonIdempotent       bool              // whether the request is not idempotent
		Route               string            // kind of API call; part of the key under which output lengths are learned
		PromptTokens        int               // prompt length, in tokens
		Parts               []quarantine.Part // what may crash a target: the parts of the prompt that other requests may have, too, and the request itself
		PrefixHash          uint64            // hash of the prompt prefix that requests may share in an engine's cache; 0 means no prefix
		PrefixTokens        int               // length of that prefix, in tokens
		Subject             uint64            // hash of the last part of the prompt; 0 means not known
		MaxOutputTokens     int               // largest output, in tokens; 0 means no limit
		KnownOutputTokens   int               // output length, in tokens, if known in advance; 0 means unknown
		MaxAttempts         int               // maximum number of attempts that may reach a target; 0 means defaultMaxTargets
		FirstTokenObjective time.Duration     // time to the first token within which the request is on time; 0 means a default
		PauseObjective      time.Duration     // longest pause between two events with which a stream is on time; 0 means none
		DispatchDeadline    time.Time         // time by which the request must be dispatched; zero means only the reducer's longest hold limits it
		CallerDeadline      time.Time         // time until which the caller waits and the request may be retried; zero means the time by which it must be dispatched
	}

	// Attach reports a running generation that was started through another host and whose
	// caller now reads the rest of the output through this host.
	Attach struct {
		ID           ID
		Organisation string
		Pool         string
		Target       string
		PromptTokens int // prompt length, in tokens
		Tokens       int // output delivered so far, in tokens
	}

	// Progress reports the states of this host's running streams.
	Progress struct{ Samples []Sample }

	// A Sample is the state of one running stream.
	Sample struct {
		ID           ID
		Tokens       int       // tokens delivered so far
		LastToken    time.Time // arrival of the latest token; zero if none arrived
		EngineQueued bool      // whether the engine reported the stream as queued or preempted
	}

	// Ended reports that the caller of a request has received the complete answer.
	Ended struct {
		ID           ID
		Usage        target.Usage
		LongestPause time.Duration // longest time between two events of a stream; 0 if it is not known
		Took         time.Duration // time from the sending of the attempt to its complete response; 0 if unknown
	}

	// AttemptFailed reports that the latest dispatch of a request ended without a complete
	// answer.
	AttemptFailed struct {
		ID        ID
		Certainty target.Certainty // what is known about the execution of the request at the target
		Delivered bool             // whether a part of the answer was delivered to the caller
		Tokens    int              // tokens delivered to the caller
		Ended     bool             // whether the target ended the connection
		Rebooted  bool             // whether the engine is known to have restarted
		Unsent    bool             // whether no byte of the request has left this host
		Answered  bool             // whether the target answered with an error of its own
		Attempt   int              // number of the attempt, see Basis; used if two are in flight

		PathLost   bool          // whether the request was sent over this host's own path to the target, which is lost
		RetryAfter time.Duration // time for which a target that refused the request asks to be left alone; 0 if it does not
	}

	// CallerDisconnected reports that the caller of a dispatched request has disconnected.
	CallerDisconnected struct {
		ID        ID
		Resumable bool // whether the caller may reconnect to read the rest of the answer
	}

	// AbandonedByCaller reports that the caller has disconnected and that no attempt of the
	// request is in progress on this host any more.
	AbandonedByCaller struct{ ID ID }

	// Superseded reports that the caller now reads the stream through another host.
	Superseded struct{ ID ID }

	// LoadReport is the load that a target reports for itself.
	LoadReport struct {
		Target string
		Load   target.Load
	}

	// CacheReport reports that a target has cached a prefix or has evicted it.
	CacheReport struct {
		Target string
		Prefix uint64 // hash of the prefix
		Cached bool   // whether the prefix was cached; false means that it was evicted
	}

	// Fleet replaces the list of live targets. From the first Fleet event on, the targets that
	// the table lists are ignored.
	Fleet struct {
		Revision uint64
		Targets  map[string]table.Target // by name
	}

	// LeavingTargets replaces the platform's set of targets, by name, that are leaving or have
	// left.
	LeavingTargets struct{ Leaving map[string]bool }

	// TableChange replaces the table in force, unless the table is of an older or the same
	// version.
	TableChange struct{ Table *table.Table }

	// PeerReport is the state that another host reports for itself.
	PeerReport struct {
		Origin     string         // host name and incarnation
		Sequence   uint64         // number of the report, increased by Origin with each one; receivers ignore reports that arrive out of order
		Accounts   []share.Entry  // use of the organisations through the host
		Demands    []TargetDemand // demand of the host's streams on each target
		HeldCounts []HeldCount    // held requests by organisation and pool, unless a cap on requests in flight holds them
	}

	// A TargetDemand is the memory demand of one host's streams on a target.
	TargetDemand struct {
		Target   string
		Demand   forecast.Demand
		Reserved float64 // memory reserved on the target for the host's streams that run on other targets, in tokens
	}

	// A HeldCount is the number of an organisation's requests that one host holds for a pool
	// because no target has capacity.
	HeldCount struct {
		Organisation, Pool string
		Count              int
		BacklogAge         time.Duration // time since the host's queue of the organisation in the pool was last empty
	}

	// LiveHosts reports the numbers of live hosts and this host's index among them.
	LiveHosts struct {
		Hosts, HostIndex int  // live hosts of this failure domain, this one included, and this host's index among them
		AllHosts         int  // live hosts of all failure domains; 0 means Hosts
		Delegated        bool // whether another host, the coordinator, places the requests of this host
		Coordinates      bool // whether this host is the coordinator of its failure domain
	}

	// Tick advances the time: expired state is removed and held requests are tried again.
	Tick struct{}

	// Stop makes the host refuse new requests, except those that are sure to end before Until, and held ones that would
	// not. Without Until, or if Closed is set, the host refuses all new requests.
	Stop struct {
		Until  time.Time
		Closed bool
	}
)
