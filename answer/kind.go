// Package answer defines the errors that the system returns to callers over HTTP. A table maps
// each kind of error to its status, code, default message and retry delay, and to what is known
// about the execution of the request.
package answer

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// A Kind is a kind of error that a caller can receive. The set of kinds is fixed.
	Kind uint8

	// An Outcome states whether a failed request was executed.
	Outcome uint8

	// A Properties holds the properties that all errors of one kind have in common.
	Properties struct {
		Status     int           // HTTP status code
		Code       string        // machine-readable code in the error body
		Type       string        // error class in the error body
		Outcome    Outcome       // whether the request was executed
		RetryDelay time.Duration // delay before a retry; 0 means do not retry
		Text       string        // message for the caller, unless the error has its own
	}

	// An Error is the error that ends one request. It is sent to the caller, except for its
	// cause.
	Error struct {
		Kind       Kind
		Text       string        // message for the caller; empty means that of the kind
		RetryDelay time.Duration // delay before a retry; 0 means that of the kind
		cause      error         // logged, not sent to the caller
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
	KindQuarantined
	KindRequestQuarantined
	kindEnd
)

// The values of Outcome.
const (
	OutcomeNotRun  Outcome = iota // the request was not executed and will not be
	OutcomePartial                // the request was executed at least in part
	OutcomeUnknown                // it is unknown whether the request was executed
)

var rows = [kindEnd]Properties{
	KindNone:               {200, "ok", "", OutcomeNotRun, 0, "ok"},
	KindBadKey:             {http.StatusUnauthorized, "invalid_api_key", "authentication_error", OutcomeNotRun, 0, "the bearer key is missing or not known"},
	KindBadBody:            {http.StatusBadRequest, "invalid_json", "invalid_request_error", OutcomeNotRun, 0, "the body is not valid JSON of the expected shape"},
	KindBodyTooLarge:       {http.StatusRequestEntityTooLarge, "body_too_large", "invalid_request_error", OutcomeNotRun, 0, "the body is larger than this host accepts"},
	KindBadParameter:       {http.StatusBadRequest, "invalid_parameter", "invalid_request_error", OutcomeNotRun, 0, "a parameter is missing or out of range"},
	KindUnknownModel:       {http.StatusNotFound, "model_not_found", "invalid_request_error", OutcomeNotRun, 0, "the table has no such model"},
	KindUnknownService:     {http.StatusNotFound, "service_not_found", "invalid_request_error", OutcomeNotRun, 0, "the table has no such service"},
	KindUnknownRoute:       {http.StatusNotFound, "route_not_found", "invalid_request_error", OutcomeNotRun, 0, "no such path"},
	KindBadCursor:          {http.StatusBadRequest, "invalid_cursor", "invalid_request_error", OutcomeNotRun, 0, "the resume cursor was not issued by this system"},
	KindExpiredCursor:      {http.StatusGone, "cursor_expired", "invalid_request_error", OutcomePartial, 0, "the resume cursor has expired"},
	KindWrongOrganisation:  {http.StatusForbidden, "wrong_organisation", "permission_error", OutcomeNotRun, 0, "the cursor belongs to another organisation"},
	KindPastEnd:            {http.StatusRequestedRangeNotSatisfiable, "past_end", "invalid_request_error", OutcomePartial, 0, "the cursor points past the end of the generation"},
	KindQueueFull:          {http.StatusTooManyRequests, "queue_full", "rate_limit_error", OutcomeNotRun, 2 * time.Second, "the organisation's queue is full; the request did not run"},
	KindRateLimited:        {http.StatusTooManyRequests, "rate_limited", "rate_limit_error", OutcomeNotRun, time.Second, "the organisation's rate limit is reached; the request did not run"},
	KindDeadline:           {http.StatusServiceUnavailable, "deadline", "overloaded_error", OutcomeNotRun, 5 * time.Second, "the deadline cannot be met; the request did not run"},
	KindNoTarget:           {http.StatusServiceUnavailable, "no_target", "overloaded_error", OutcomeNotRun, 2 * time.Second, "no target can take the request now; it did not run"},
	KindRefused:            {http.StatusServiceUnavailable, "refused", "overloaded_error", OutcomeNotRun, 2 * time.Second, "the target refused the request; it did not run"},
	KindStopping:           {http.StatusServiceUnavailable, "stopping", "overloaded_error", OutcomeNotRun, time.Second, "this host is stopping; the request did not run"},
	KindCallerGone:         {499, "caller_gone", "invalid_request_error", OutcomeUnknown, 0, "the caller went away"},
	KindTargetLost:         {http.StatusBadGateway, "target_lost", "server_error", OutcomePartial, time.Second, "the target lost the generation; the answer is incomplete"},
	KindStreamBroken:       {http.StatusBadGateway, "stream_broken", "server_error", OutcomeUnknown, time.Second, "the target cannot be reached; the answer is incomplete"},
	KindUnknownOutcome:     {http.StatusBadGateway, "outcome_unknown", "server_error", OutcomeUnknown, 0, "it is not known whether the request ran"},
	KindNotReady:           {http.StatusServiceUnavailable, "not_ready", "overloaded_error", OutcomeNotRun, time.Second, "this host has no table yet; the request did not run"},
	KindBadTicket:          {http.StatusBadRequest, "invalid_ticket", "invalid_request_error", OutcomeNotRun, 0, "the ticket was not issued by this system"},
	KindTicketExpired:      {http.StatusGone, "ticket_expired", "invalid_request_error", OutcomeUnknown, 0, "the ticket has expired; ask for its outcome, or for a new one if it was never used"},
	KindTicketBurnt:        {http.StatusConflict, "ticket_burnt", "invalid_request_error", OutcomeNotRun, 0, "the ticket's call did not run and will never run"},
	KindTicketMismatch:     {http.StatusConflict, "ticket_mismatch", "invalid_request_error", OutcomeNotRun, 0, "the ticket belongs to another call; this one did not run"},
	KindTicketLost:         {http.StatusConflict, "ticket_lost", "server_error", OutcomeUnknown, 0, "the host that held the ticket is gone; it is not known whether the call ran"},
	KindInternal:           {http.StatusInternalServerError, "fault", "server_error", OutcomeUnknown, 0, "an unexpected fault"},
	KindTimeout:            {http.StatusGatewayTimeout, "timeout", "server_error", OutcomeUnknown, 0, "the target did not answer in time; it is not known whether the request ran"},
	KindBusy:               {http.StatusServiceUnavailable, "busy", "overloaded_error", OutcomeNotRun, 500 * time.Millisecond, "this host holds too many large requests; this one did not run"},
	KindBadRequest:         {http.StatusBadRequest, "bad_request", "invalid_request_error", OutcomeNotRun, 0, "a header of the request is missing or cannot be read"},
	KindRequestQuarantined: {http.StatusServiceUnavailable, "request_quarantined", "server_error", OutcomeNotRun, 15 * time.Minute, "targets that ran this request have crashed, and it is not sent to others for now; it did not run"},
	KindQuarantined:        {http.StatusServiceUnavailable, "prompt_quarantined", "server_error", OutcomeNotRun, 15 * time.Minute, "a part of the prompt has crashed several targets and is not sent to others for now; the request did not run"},
}

var outcomes = [...]string{OutcomeNotRun: "not_run", OutcomePartial: "partial", OutcomeUnknown: "unknown"}

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

// Properties returns the properties of errors of kind k. An invalid kind has those of KindInternal.
func (k Kind) Properties() Properties {
	if k >= kindEnd {
		return rows[KindInternal]
	}
	return rows[k]
}

// String returns the code of the kind in error bodies.
func (k Kind) String() string { return k.Properties().Code }

// New returns an error of kind k with text as the message for the caller. If text is empty, the
// message is that of the kind.
func New(k Kind, text string) *Error { return &Error{Kind: k, Text: text} }

// Wrap is like New and sets the cause of the error, which is logged but not sent to the caller.
func Wrap(k Kind, cause error, text string) *Error {
	return &Error{Kind: k, Text: text, cause: eris.Wrap(cause, text)}
}

// Error returns the code of the kind, followed by the cause or, if there is none, the message.
func (e *Error) Error() string {
	if e.cause != nil {
		return e.Kind.String() + ": " + e.cause.Error()
	}
	return e.Kind.String() + ": " + e.Message()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Message returns the message for the caller: that of the error or, if it has none, of its kind.
// It never includes the cause.
func (e *Error) Message() string {
	if e.Text != "" {
		return e.Text
	}
	return e.Kind.Properties().Text
}

// RetryAfter returns the time that the caller should wait before it retries the request, or 0 if
// it should not retry.
func (e *Error) RetryAfter() time.Duration {
	if e.RetryDelay > 0 {
		return e.RetryDelay
	}
	return e.Kind.Properties().RetryDelay
}

// From returns the *Error that err is or wraps, or nil if err is nil. For any other error it
// returns an error of KindInternal with err as its cause.
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
