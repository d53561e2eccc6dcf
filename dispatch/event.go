// Package dispatch decides which request goes to which target, and when. It is a
// reducer: each input is an event with an explicit time, each output is an effect
// returned as data. It has no goroutine, clock, socket or random source; the daemon,
// the tests and the benchmarks therefore run the same code.
package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// An ID identifies a request on this host.
	ID uint64

	// An Event is an input of the reducer. Only the types of this package implement it.
	Event interface{ reduce(*Reducer) }

	// Submit is a new request.
	Submit struct {
		ID                ID
		Organisation      string
		Pool              string    // name of the model or service
		Plain             bool      // whether Pool is a plain service, not a model
		NonIdempotent     bool      // whether the request is not idempotent
		Route             string    // kind of call; part of the key for learning output lengths
		PromptTokens      int       // prompt length, in tokens
		PrefixHash        uint64    // hash of the prompt's shareable prefix; 0 means no prefix
		PrefixTokens      int       // length of that prefix, in tokens
		MaxOutputTokens   int       // largest output, in tokens; 0 means no limit
		KnownOutputTokens int       // output length, in tokens, if known in advance; 0 means unknown
		MaxAttempts       int       // maximum number of targets to try; 0 means the reducer's default
		DispatchDeadline  time.Time // time by which the request must be dispatched
		CallerDeadline    time.Time // time until which the caller waits and the request may be retried; zero means DispatchDeadline
	}

	// Attach is a generation that was started through another host and whose caller
	// resumes it on this one.
	Attach struct {
		ID           ID
		Organisation string
		Pool         string
		Target       string
		PromptTokens int // prompt length, in tokens
		Tokens       int // output delivered so far, in tokens
	}

	// Progress holds samples of the running streams of this host.
	Progress struct{ Samples []Sample }

	// A Sample is the state of one stream.
	Sample struct {
		ID           ID
		Tokens       int       // tokens delivered so far
		LastToken    time.Time // arrival of the latest token; zero if none arrived
		EngineQueued bool      // whether the engine reported the stream as queued or preempted
	}

	// Ended reports that a request has received its whole answer.
	Ended struct {
		ID    ID
		Usage target.Usage
	}

	// AttemptFailed reports that an attempt ended without a complete answer.
	AttemptFailed struct {
		ID        ID
		Certainty target.Certainty
		Delivered bool // whether a part of the answer was delivered to the caller
		Rebooted  bool // whether the engine is known to have restarted
		Unsent    bool // whether no byte of the request has left this host
		Answered  bool // whether the target answered with an error of its own
	}

	// CallerDisconnected reports that the caller has disconnected.
	CallerDisconnected struct {
		ID        ID
		Resumable bool // whether the caller may reconnect for the rest of the answer
	}

	// Abandoned reports that the caller has disconnected and that no attempt is running.
	Abandoned struct{ ID ID }

	// Superseded reports that another host has taken over the stream.
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
		Held   bool   // whether the prefix is cached
	}

	// Fleet is the list of live targets. After the first Fleet event the targets of the
	// table are ignored.
	Fleet struct {
		Revision uint64
		Targets  map[string]table.Target // by name
	}

	// LeavingTargets is the platform's list of targets that are leaving or have left.
	LeavingTargets struct{ Leaving map[string]bool }

	// TableChange puts a table in force.
	TableChange struct{ Table *table.Table }

	// PeerReport is the state that another host reports for itself.
	PeerReport struct {
		Origin    string // host name and incarnation
		Sequence  uint64 // increases with each report of the origin
		HostIndex int    // index of the host among the live hosts of the failure domain
		Accounts  []share.Entry
		Demands   []TargetDemand
		Held      []HeldCount
	}

	// A TargetDemand is the demand of one host's streams on a target.
	TargetDemand struct {
		Target   string
		Demand   forecast.Demand
		Reserved float64 // memory reserved on the target for streams that run elsewhere, in tokens
	}

	// A HeldCount is the number of an organisation's requests that one host holds because
	// no target has capacity.
	HeldCount struct {
		Organisation, Pool string
		Count              int
		BacklogAge         time.Duration // time since the organisation's queue was last empty
	}

	// Peers describes the live hosts.
	Peers struct {
		Hosts, HostIndex int           // live hosts of this failure domain, this one included, and this host's index among them
		AllHosts         int           // live hosts of all failure domains; 0 means Hosts
		ReportInterval   time.Duration // interval between reports of a host
	}

	// Tick advances the time.
	Tick struct{}

	// Stop makes the host refuse new requests, except those that are sure to end before
	// Until. With a zero Until it refuses all.
	Stop struct{ Until time.Time }
)
