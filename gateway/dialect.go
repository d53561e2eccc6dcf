// Package gateway forwards callers' requests to targets byte for byte. The host's reducer
// decides whether a request is dispatched and to which target; a Dialect parses the headers
// of requests and responses.
package gateway

import (
	"net/http"
	"net/netip"
	"time"
)

type (
	// A Dialect translates between the protocol headers of callers and targets and the
	// types of this package. It makes no decisions.
	Dialect interface {
		// Request parses the headers of a caller's request. The error names a header
		// that is missing or invalid.
		Request(h http.Header) (Envelope, error)

		// Order sets the headers of a request to a target. It removes headers from the
		// caller that only this system may set.
		Order(h http.Header, o Order)

		// Reply parses the status and headers of a target's response.
		Reply(status int, h http.Header) Reply
	}

	// Envelope holds the parsed headers of a caller's request.
	Envelope struct {
		ID     string
		Key    string        // bearer key; empty if there is none
		Within time.Duration // timeout set by the caller; 0 if it set none
		Prompt int           // prompt length in tokens
		Limit  int           // maximum output in tokens; 0 means no limit
		Hint   int           // output in tokens that the caller expects; 0 if unknown
		Parts  []Part        // of the prompt, in order; the last is not shared with other requests
	}

	// A Part is a part of a prompt that several requests may have in common.
	Part struct {
		ID     uint64
		Tokens int
	}

	// Order holds the values of the headers sent to a target with a request.
	Order struct {
		Within       time.Duration  // until the request's deadline
		Target       string         // name of the target
		Organisation string         // empty if the route requires no key
		Priority     int            // lower runs first; negative means the target's default
		Copy         *Copy          // copy of the KV cache to resume from; nil for a new request
		Backup       netip.AddrPort // engine that receives a running backup of the KV cache; invalid for none
	}

	// Reply holds the parsed status and headers of a target's response.
	Reply struct {
		ID     string // identifier of the request; empty if the response has none
		NotRun bool   // the target did not execute the request and never will
		Proved bool   // the response carries the target's proof of origin
	}
)
