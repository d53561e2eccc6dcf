package answer

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
)

type (
	// A Body is the error object in the format of the OpenAI API, with the outcome and the
	// retry delay as additional fields.
	Body struct {
		Error Detail `json:"error"`
	}

	// A Detail holds the fields of the error object.
	Detail struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Code    string  `json:"code"`
		Param   *string `json:"param"`
		Outcome string  `json:"outcome"`
		Retry   int64   `json:"retry_after_ms,omitempty"` // milliseconds
	}
)

// HeaderOutcome names the response header that carries the outcome.
const HeaderOutcome = "Wigeonlink-Outcome"

// BodyOf returns the error object for e.
func BodyOf(e *Error) Body {
	r := e.Kind.Row()
	return Body{Error: Detail{
		Message: e.Message(),
		Type:    r.Type,
		Code:    r.Code,
		Outcome: r.Outcome.String(),
		Retry:   e.RetryAfter().Milliseconds(),
	}}
}

// Write sends e as the HTTP response.
func Write(w http.ResponseWriter, e *Error) {
	r := e.Kind.Row()
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
