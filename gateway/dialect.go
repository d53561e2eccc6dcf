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
		// ParseRequest parses the headers of a caller's request. The error names a header
		// that is missing or invalid.
		ParseRequest(h http.Header) (RequestInfo, error)

		// SetHeaders sets the headers of a request to a target. It removes headers from the
		// caller that only this system may set.
		SetHeaders(h http.Header, o ForwardInfo)

		// ParseResponse parses the status and headers of a target's response.
		ParseResponse(status int, h http.Header) ResponseInfo
	}

	// RequestInfo holds the parsed headers of a caller's request.
	RequestInfo struct {
		ID                   string
		Key                  string        // bearer key; empty if there is none
		Timeout              time.Duration // timeout set by the caller; 0 if it set none
		PromptTokens         int           // prompt length in tokens
		MaxOutputTokens      int           // maximum output in tokens; 0 means no limit
		ExpectedOutputTokens int           // output in tokens that the caller expects; 0 if unknown
		PromptParts          []PromptPart  // of the prompt, in order; the last is not shared with other requests
	}

	// A PromptPart is a part of a prompt that several requests may have in common.
	PromptPart struct {
		ID     uint64
		Tokens int
	}

	// ForwardInfo holds the values of the headers sent to a target with a request.
	ForwardInfo struct {
		Timeout      time.Duration  // until the request's deadline
		Target       string         // name of the target
		Organisation string         // empty if the route requires no key
		Priority     int            // lower runs first; negative means the target's default
		ResumePoint  *ResumePoint   // copy of the KV cache to resume from; nil for a new request
		Backup       netip.AddrPort // engine that receives a running backup of the KV cache; invalid for none
	}

	// ResponseInfo holds the parsed status and headers of a target's response.
	ResponseInfo struct {
		ID          string // identifier of the request; empty if the response has none
		NotExecuted bool   // the target did not execute the request and never will
		HasProof    bool   // the response carries the target's proof of origin
	}
)
