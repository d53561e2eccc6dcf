// Package gateway forwards callers' requests to targets byte for byte. Which target,
// and whether at all, is decided by the host's reducer; what a request and an answer say
// of themselves is read by a dialect.
package gateway

import (
	"net/http"
	"net/netip"
	"time"
)

type (
	// A Dialect knows the headers by which callers and targets say what goes beyond
	// HTTP. It translates and decides nothing.
	Dialect interface {
		// Request reads what a caller's request says of itself. An error says what is
		// missing or cannot be read.
		Request(h http.Header) (Envelope, error)

		// Order sets what a target is told with a request, and removes what only
		// this system may set.
		Order(h http.Header, o Order)

		// Reply reads the head of a target's answer.
		Reply(status int, h http.Header) Reply
	}

	// An Envelope is what a request says of itself.
	Envelope struct {
		ID     string
		Key    string        // bearer key; empty if there is none
		Within time.Duration // how long the caller waits; 0 means not said
		Prompt int           // tokens
		Limit  int           // largest output in tokens; 0 means none
		Hint   int           // the caller's estimate of the output in tokens; 0 means none
		Parts  []Part        // of the prompt, in order; the last belongs to the request itself
	}

	// A Part is a part of a prompt that several requests may share.
	Part struct {
		ID     uint64
		Tokens int
	}

	// An Order is what a target is told with a request.
	Order struct {
		Within       time.Duration  // what is left of the caller's time
		Target       string         // name of the target that is meant
		Organisation string         // empty if the route wants no key
		Priority     int            // lower goes first; negative leaves it to the target
		Copy         *Copy          // from which the request goes on; nil for a request's start
		Backup       netip.AddrPort // engine to which its memory is copied as it grows; invalid for none
	}

	// A Reply is what the head of a target's answer says.
	Reply struct {
		ID     string // of the request; empty if the answer does not say
		NotRun bool   // the target did not execute the request and never will
		Proved bool   // it bears the target's proof that it is an answer of its own
	}
)
