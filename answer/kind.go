// Package answer defines the errors returned to callers. One table maps each kind of error to
// its HTTP status, code, message and retry delay.
package answer

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// A Kind is a kind of error that a caller can receive. The set of kinds is fixed.
	Kind uint8

	// An Outcome is the certainty about the execution of a failed request.
	Outcome uint8

	// A Row is the table entry of a kind.
	Row struct {
		Status  int           // HTTP status code
		Code    string        // machine-readable code in the error body
		Type    string        // error class in the error body
		Outcome Outcome       // certainty about the execution
		Retry   time.Duration // delay before a retry; 0 means do not retry
		Text    string        // default message
	}

	// An Error is the error response to one request.
	Error struct {
		Kind  Kind
		Text  string        // message for the caller; empty means the default
		Retry time.Duration // delay before a retry; 0 means the default
		cause error         // logged, not sent to the caller
	}
)

// The kinds of errors. KindNone is the zero value and means success.
const (
	KindNone Kind = iota
	KindBadKey
	KindBadBody
	KindBodyTooLarge
	KindBadParameter
	KindUnknownModel
	KindUnknownService
	KindUnknownRoute
	KindBadCursor
	KindExpiredCursor
	KindWrongOrganisation
	KindPastEnd
	KindQueueFull
	KindRateLimited
	KindDeadline
	KindNoTarget
	KindRefused
	KindStopping
	KindCallerGone
	KindTargetLost
	KindStreamBroken
	KindUnknownOutcome
	KindNotReady
	KindBadTicket
	KindTicketExpired
	KindTicketBurnt
	KindTicketMismatch
	KindTicketLost
	KindInternal
	KindTimeout
	KindBusy
	KindBadRequest
	kindEnd
)

// The outcomes.
const (
	NotRun  Outcome = iota // the request did not run
	Partial                // the request ran, at least in part
	Unknown                // the request may have run
)

var rows = [kindEnd]Row{
	KindNone:              {200, "ok", "", NotRun, 0, "ok"},
	KindBadKey:            {http.StatusUnauthorized, "invalid_api_key", "authentication_error", NotRun, 0, "the bearer key is missing or not known"},
	KindBadBody:           {http.StatusBadRequest, "invalid_json", "invalid_request_error", NotRun, 0, "the body is not valid JSON of the expected shape"},
	KindBodyTooLarge:      {http.StatusRequestEntityTooLarge, "body_too_large", "invalid_request_error", NotRun, 0, "the body is larger than this host accepts"},
	KindBadParameter:      {http.StatusBadRequest, "invalid_parameter", "invalid_request_error", NotRun, 0, "a parameter is missing or out of range"},
	KindUnknownModel:      {http.StatusNotFound, "model_not_found", "invalid_request_error", NotRun, 0, "the table has no such model"},
	KindUnknownService:    {http.StatusNotFound, "service_not_found", "invalid_request_error", NotRun, 0, "the table has no such service"},
	KindUnknownRoute:      {http.StatusNotFound, "route_not_found", "invalid_request_error", NotRun, 0, "no such path"},
	KindBadCursor:         {http.StatusBadRequest, "invalid_cursor", "invalid_request_error", NotRun, 0, "the resume cursor was not issued by this system"},
	KindExpiredCursor:     {http.StatusGone, "cursor_expired", "invalid_request_error", Partial, 0, "the resume cursor has expired"},
	KindWrongOrganisation: {http.StatusForbidden, "wrong_organisation", "permission_error", NotRun, 0, "the cursor belongs to another organisation"},
	KindPastEnd:           {http.StatusRequestedRangeNotSatisfiable, "past_end", "invalid_request_error", Partial, 0, "the cursor points past the end of the generation"},
	KindQueueFull:         {http.StatusTooManyRequests, "queue_full", "rate_limit_error", NotRun, 2 * time.Second, "the organisation's queue is full; the request did not run"},
	KindRateLimited:       {http.StatusTooManyRequests, "rate_limited", "rate_limit_error", NotRun, time.Second, "the organisation's rate limit is reached; the request did not run"},
	KindDeadline:          {http.StatusServiceUnavailable, "deadline", "overloaded_error", NotRun, 5 * time.Second, "the deadline cannot be met; the request did not run"},
	KindNoTarget:          {http.StatusServiceUnavailable, "no_target", "overloaded_error", NotRun, 2 * time.Second, "no target can take the request now; it did not run"},
	KindRefused:           {http.StatusServiceUnavailable, "refused", "overloaded_error", NotRun, 2 * time.Second, "the target refused the request; it did not run"},
	KindStopping:          {http.StatusServiceUnavailable, "stopping", "overloaded_error", NotRun, time.Second, "this host is stopping; the request did not run"},
	KindCallerGone:        {499, "caller_gone", "invalid_request_error", Unknown, 0, "the caller went away"},
	KindTargetLost:        {http.StatusBadGateway, "target_lost", "server_error", Partial, time.Second, "the target lost the generation; the answer is incomplete"},
	KindStreamBroken:      {http.StatusBadGateway, "stream_broken", "server_error", Unknown, time.Second, "the target cannot be reached; the answer is incomplete"},
	KindUnknownOutcome:    {http.StatusBadGateway, "outcome_unknown", "server_error", Unknown, 0, "it is not known whether the request ran"},
	KindNotReady:          {http.StatusServiceUnavailable, "not_ready", "overloaded_error", NotRun, time.Second, "this host has no table yet; the request did not run"},
	KindBadTicket:         {http.StatusBadRequest, "invalid_ticket", "invalid_request_error", NotRun, 0, "the ticket was not issued by this system"},
	KindTicketExpired:     {http.StatusGone, "ticket_expired", "invalid_request_error", Unknown, 0, "the ticket has expired; ask for its outcome, or for a new one if it was never used"},
	KindTicketBurnt:       {http.StatusConflict, "ticket_burnt", "invalid_request_error", NotRun, 0, "the ticket's call did not run and will never run"},
	KindTicketMismatch:    {http.StatusConflict, "ticket_mismatch", "invalid_request_error", NotRun, 0, "the ticket belongs to another call; this one did not run"},
	KindTicketLost:        {http.StatusConflict, "ticket_lost", "server_error", Unknown, 0, "the host that held the ticket is gone; it is not known whether the call ran"},
	KindInternal:          {http.StatusInternalServerError, "fault", "server_error", Unknown, 0, "an unexpected fault"},
	KindTimeout:           {http.StatusGatewayTimeout, "timeout", "server_error", Unknown, 0, "the target did not answer in time; it is not known whether the request ran"},
	KindBusy:              {http.StatusServiceUnavailable, "busy", "overloaded_error", NotRun, 500 * time.Millisecond, "this host holds too many large requests; this one did not run"},
	KindBadRequest:        {http.StatusBadRequest, "bad_request", "invalid_request_error", NotRun, 0, "a header of the request is missing or cannot be read"},
}

var outcomes = [...]string{NotRun: "not_run", Partial: "partial", Unknown: "unknown"}

// String returns the outcome's name on the wire.
func (o Outcome) String() string { return outcomes[o] }

// Kinds returns all kinds except KindNone.
func Kinds() []Kind {
	ks := make([]Kind, 0, kindEnd-1)
	for k := KindNone + 1; k < kindEnd; k++ {
		ks = append(ks, k)
	}
	return ks
}

// Row returns the table entry of k. An invalid kind has the entry of KindInternal.
func (k Kind) Row() Row {
	if k >= kindEnd {
		return rows[KindInternal]
	}
	return rows[k]
}

// String returns the kind's machine-readable code.
func (k Kind) String() string { return k.Row().Code }

// New returns an error of kind k with a message for the caller. An empty text selects the
// default message.
func New(k Kind, text string) *Error { return &Error{Kind: k, Text: text} }

// Wrap is like New for an error with a cause, which is logged but not sent to the caller.
func Wrap(k Kind, cause error, text string) *Error {
	return &Error{Kind: k, Text: text, cause: eris.Wrap(cause, text)}
}

// Error returns the code with the cause, or with the message if there is no cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return e.Kind.String() + ": " + e.cause.Error()
	}
	return e.Kind.String() + ": " + e.Message()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Message returns the message for the caller. It never includes the cause.
func (e *Error) Message() string {
	if e.Text != "" {
		return e.Text
	}
	return e.Kind.Row().Text
}

// RetryAfter returns the delay before a retry, or 0 if the request should not be retried.
func (e *Error) RetryAfter() time.Duration {
	if e.Retry > 0 {
		return e.Retry
	}
	return e.Kind.Row().Retry
}

// From returns err as an *Error, or nil if err is nil. An error of another type is wrapped with
// KindInternal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if eris.As(err, &e) {
		return e
	}
	return Wrap(KindInternal, err, "")
}
