// Package dispatch decides which request goes to which target and when. It is one
// reducer: events with an explicit time go in, effects come out as data. It holds
// no goroutine, clock, socket or random source, so the daemon, the tests and the
// benchmarks run the same code.
package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/forecast"
	"github.com/wigeonlink/wigeonlink/share"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// An ID names a request on this host.
	ID uint64

	// An Event is something that happened. The types below are all there are.
	Event interface{ reduce(*Reducer) }

	// Submit is a new request.
	Submit struct {
		ID           ID
		Organisation string
		Pool         string    // model, or service
		Plain        bool      // a call of a plain service
		Once         bool      // not idempotent: never tried a second time
		Route        string    // what kind of call it is, for learning lengths
		Prompt       int       // tokens
		Prefix       uint64    // hash of the prompt's shareable prefix; 0 means none
		Shared       int       // tokens of that prefix
		Limit        int       // largest output in tokens; 0 means none
		Output       int       // output in tokens if it is known ahead; 0 means unknown
		Attempts     int       // targets that it may be sent to; 0 means the reducer's own bound
		Deadline     time.Time // by which it must be sent
		End          time.Time // of the caller's patience, until which it may be sent again; zero means Deadline
	}

	// Attach is a generation that another host started and a caller resumes here.
	Attach struct {
		ID           ID
		Organisation string
		Pool         string
		Target       string
		Prompt       int
		Tokens       int
	}

	// Progress samples the running streams of this host.
	Progress struct{ Samples []Sample }

	// A Sample is the state of one stream.
	Sample struct {
		ID     ID
		Tokens int       // delivered so far
		Last   time.Time // when the last token came; zero if none
		Queued bool      // the engine said that it is not running
	}

	// Ended says that a request has its whole answer.
	Ended struct {
		ID    ID
		Usage target.Usage
	}

	// Failed says that an attempt is over without an answer.
	Failed struct {
		ID        ID
		Certainty target.Certainty
		Delivered bool // whether the caller has got a part of the answer
		Rebooted  bool // whether the engine is known to have restarted
		Unsent    bool // whether no byte of the request has left this host
		Answered  bool // whether the target answered with a failure of its own
	}

	// Gone says that the caller is no longer there.
	Gone struct {
		ID        ID
		Resumable bool // whether the caller may come back for the rest
	}

	// Dropped says that the caller went before an attempt was made.
	Dropped struct{ ID ID }

	// Superseded says that another host has taken the stream over.
	Superseded struct{ ID ID }

	// LoadReport is a target's report on itself.
	LoadReport struct {
		Target string
		Load   target.Load
	}

	// CacheReport says that a target holds a prefix, or has dropped it.
	CacheReport struct {
		Target string
		Prefix uint64
		Held   bool
	}

	// Fleet is the targets that live now. Once one has come, the targets of the
	// table no longer count.
	Fleet struct {
		Revision uint64
		Targets  map[string]table.Target
	}

	// Roster is the platform's list of targets that are leaving or gone.
	Roster struct{ Leaving map[string]bool }

	// TableChange puts a table in force.
	TableChange struct{ Table *table.Table }

	// PeerReport is what another host says of itself.
	PeerReport struct {
		Origin   string // host and incarnation
		Sequence uint64
		Place    int // among the live hosts of the domain
		Accounts []share.Entry
		Demands  []TargetDemand
		Held     []HeldCount
	}

	// A TargetDemand is the demand of one host's streams on a target.
	TargetDemand struct {
		Target string
		Demand forecast.Demand
		Kept   float64 // tokens of memory reserved for streams on other targets
	}

	// A HeldCount is the number of an organisation's requests held on one host for want
	// of room.
	HeldCount struct {
		Organisation, Pool string
		Count              int
		Age                time.Duration // since its queue was last empty
	}

	// Peers says how many hosts of this failure domain are live, this one
	// included, this one's place among them, and how often they report.
	Peers struct {
		Count, Place int
		All          int // live hosts of all failure domains; 0 means Count
		Every        time.Duration
	}

	// Tick lets time pass.
	Tick struct{}

	// Stop ends the taking of new requests, but for those that are sure to end by a
	// time; a zero time leaves none.
	Stop struct{ Until time.Time }
)
