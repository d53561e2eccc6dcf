package answer

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

type (
	// A Body is the JSON body of an error response in the format of the OpenAI API.
	Body struct {
		Error ErrorObject `json:"error"`
	}

	// An ErrorObject is the error object in a Body. Outcome and RetryAfterMillis are additions to the format
	// of the OpenAI API.
	ErrorObject struct {
		Message          string  `json:"message"`
		Type             string  `json:"type"`
		Code             string  `json:"code"`
		Param            *string `json:"param"`
		Outcome          string  `json:"outcome"`                  // name of the Outcome
		RetryAfterMillis int64   `json:"retry_after_ms,omitempty"` // delay before a retry in milliseconds; 0 means do not retry
	}
)

// HeaderOutcome is the response header that states whether the request was executed: the name of
// an Outcome for an error, "whole" for a complete response.
const HeaderOutcome = "Wigeonlink-Outcome"

// BodyOf returns the body of the error response for e. It does not contain the cause of e.
func BodyOf(e *Error) Body {
	r := e.Kind.Properties()
	return Body{Error: ErrorObject{
		Message:          e.Message(),
		Type:             r.Type,
		Code:             r.Code,
		Outcome:          r.Outcome.String(),
		RetryAfterMillis: e.RetryAfter().Milliseconds(),
	}}
}

// Write sends the error response for e, with its status and headers.
func Write(w http.ResponseWriter, e *Error) {
	r := e.Kind.Properties()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, r.Outcome.String())
	if d := e.RetryAfter(); d > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	w.WriteHeader(r.Status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(BodyOf(e))
}
