// Package gateway forwards callers' requests and targets' responses byte for byte, except for
// headers. The host's reducer decides whether a request is dispatched and to which target; a
// Dialect translates the headers. Running streams can be moved to another engine.
package gateway

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/wigeonlink/wigeonlink/limit"
)

type (
	// A Dialect translates between the protocol headers of callers and targets and the
	// types of this package. It does not decide whether or where a request runs.
	Dialect interface {
		// ParseRequest parses the headers of a caller's request. The error names a header
		// that is missing or invalid.
		ParseRequest(h http.Header) (RequestInfo, error)

		// SetHeaders sets in h, the caller's headers, those that a target expects from the
		// gateway, and removes headers that a caller must not send to a target.
		SetHeaders(h http.Header, o ForwardInfo)

		// ParseResponse parses the status and headers of a target's response.
		ParseResponse(status int, h http.Header) ResponseInfo
	}

	// RequestInfo holds the parsed headers of a caller's request.
	RequestInfo struct {
		ID                   string
		Key                  string        // API key of the organisation; empty if the request has none
		Timeout              time.Duration // timeout set by the caller; 0 if it set none
		PromptTokens         int           // prompt length in tokens
		MaxOutputTokens      int           // maximum output in tokens; 0 means no limit
		ExpectedOutputTokens int           // output in tokens that the caller expects; 0 if unknown
		PromptParts          []PromptPart  // parts of the prompt, in order, see AddPart; other requests may share all but the last
		OmittedParts         int           // parts of the prompt that PromptParts does not contain
	}

	// A PromptPart is a section of a prompt.
	PromptPart struct {
		ID     uint64 // the same in all requests that contain the section
		Tokens int    // length in tokens
	}

	// ForwardInfo holds the values that a Dialect writes into the headers of a request to a
	// target.
	ForwardInfo struct {
		Timeout      time.Duration  // time left until the request's deadline
		Target       string         // name of the target
		Organisation string         // name of the caller's organisation; empty if the route requires no API key
		Priority     int            // the target runs lower values first; negative means the target's default
		ResumePoint  *ResumePoint   // copy of the KV cache to resume from; nil for a new request
		Backup       netip.AddrPort // engine to which the KV cache is copied as it grows; the zero value means none
	}

	// ResponseInfo holds the parsed status and headers of a target's response.
	ResponseInfo struct {
		ID          string // identifier of the request; empty if the response has none
		NotExecuted bool   // the target did not execute the request and never will
		MeansNotRun bool   // callers take the status as a promise that the request has not been executed and never will be
		HasProof    bool   // the response has the header that proves that the target itself produced it

		Leaving     bool           // the target says that it leaves
		RetryAfter  time.Duration  // time for which the target asks to be left alone; 0 if it does not
		Limit       *limit.Reading // what the response says about the target's limit; nil means nothing
		Brittle     *limit.Reading // refusals in a second that the target survives, by the response; nil means nothing
		StatusError error          // why what the target says of itself cannot be read; nil if it can
	}
)

// MaxPromptParts is the number of parts of a prompt that a host records. What a host keeps of a request, logs of it and
// does when its target crashes grows with them.
const MaxPromptParts = 256

// AddPart adds the next part of the prompt to PromptParts. Of a prompt with more than MaxPromptParts parts, the first ones and the
// last are kept: the request is served with less use of what engines have cached, and a part in between cannot be found
// to crash targets.
func (i *RequestInfo) AddPart(p PromptPart) {
	if len(i.PromptParts) < MaxPromptParts {
		i.PromptParts = append(i.PromptParts, p)
		return
	}
	i.PromptParts[MaxPromptParts-1] = p
	i.OmittedParts++
}

// formatParts returns the identifiers of prompt parts in hexadecimal, separated by commas.
func formatParts(parts []PromptPart) string {
	var b []byte
	for i, p := range parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, p.ID, 16)
	}
	return string(b)
}
