package api

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
	"github.com/wigeonlink/wigeonlink/wire"
)

// ticketResponse is the JSON response of the ticket endpoints.
type ticketResponse struct {
	Ticket  string `json:"ticket,omitempty"`  // sealed ticket, in the response that issues it
	Host    string `json:"host,omitempty"`    // name of the host that issued the ticket
	Expires int64  `json:"expires,omitempty"` // seconds since the epoch
	State   string `json:"state"`             // name of the ticket.State
	Status  int    `json:"status,omitempty"`  // HTTP status of the call's stored reply; 0 unless the call ran
}

// HeaderTicket is the request header with the sealed ticket of a call to a plain service. The
// response to the call has the ticket's identifier in the same header.
const HeaderTicket = "Wigeonlink-Ticket"

// serveIssueTicket issues a ticket, with which the caller can make one call to a plain service
// that is executed at most once.
func (d *Server) serveIssueTicket(w http.ResponseWriter, _ *http.Request, organisation table.Organisation) error {
	t, err := d.host.IssueTicket(organisation.Name)
	if err != nil {
		return err
	}
	sealed, err := d.keys.SealTicket(t)
	if err != nil {
		return err
	}
	return writeStatus(w, http.StatusCreated, ticketResponse{Ticket: sealed, Host: t.Host, Expires: t.Expiry, State: ticket.StateUnused.String()})
}

// serveTicketState responds with the state of the ticket in the path, which shows whether its
// call was executed.
func (d *Server) serveTicketState(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.useTicket(w, r, organisation, host.TicketLookup)
}

// serveRevokeTicket revokes the ticket in the path if it is unused, so that its call is never
// executed, and responds with the state of the ticket.
func (d *Server) serveRevokeTicket(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.useTicket(w, r, organisation, host.TicketRevoke)
}

// useTicket applies an action to the ticket in the path and responds with the ticket's state.
func (d *Server) useTicket(w http.ResponseWriter, r *http.Request, organisation table.Organisation, action host.TicketAction) error {
	t, err := d.keys.OpenTicket(mux.Vars(r)["ticket"], organisation.Name)
	if err != nil {
		return err
	}
	reply, err := d.host.UseTicket(r.Context(), t, &wire.TicketCall{Organisation: organisation.Name, Action: uint32(action)})
	if err != nil {
		return err
	}
	s := ticket.State(reply.State)
	if s == ticket.StateNone {
		return answer.New(answer.KindTicketExpired, "")
	}
	v := ticketResponse{Host: t.Host, Expires: t.Expiry, State: s.String()}
	if s == ticket.StateRan {
		stored, err := storedReply(reply)
		if err != nil {
			return err
		}
		v.Status = stored.Status
	}
	return writeJSON(w, v)
}

// callWithTicket sends the call c to a plain service through the host that issued the ticket,
// which executes the call of a ticket at most once, and sends the service's reply to the caller.
// If the call was executed before, the caller receives the stored reply.
func (d *Server) callWithTicket(w http.ResponseWriter, r *http.Request, organisation table.Organisation, service string, c target.Call, deadline time.Time) error {
	t, err := d.keys.OpenTicket(r.Header.Get(HeaderTicket), organisation.Name)
	if err != nil {
		return err
	}
	if ticket.RecordExpired(t, time.Now()) {
		return answer.New(answer.KindTicketExpired, "")
	}
	c.Header.Del(HeaderTicket)
	timeout := uint32(0) // milliseconds; 0 means none
	if !deadline.IsZero() {
		timeout = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	reply, err := d.host.UseTicket(r.Context(), t, &wire.TicketCall{
		Organisation: organisation.Name,
		Action:       uint32(host.TicketExecute),
		Service:      service,
		Method:       c.Method,
		Path:         c.Path,
		Query:        c.Query,
		Header:       host.WireHeader(c.Header),
		Body:         c.Body,
		Within:       timeout,
	})
	if err != nil {
		return err
	}
	if s := ticket.State(reply.State); s != ticket.StateRan {
		return ticketError(s)
	}
	stored, err := storedReply(reply)
	if err != nil {
		return err
	}
	w.Header().Set(HeaderTicket, t.Id)
	writeReply(w, stored)
	return nil
}

// storedReply returns the service's reply that the host of a ticket has stored. It returns an error if its status is not that of a final response,
// as an earlier build may have stored.
func storedReply(r *wire.TicketReply) (target.Reply, error) {
	if !network.IsFinalStatus(int(r.Status)) {
		return target.Reply{}, answer.New(answer.KindUnknownOutcome, "")
	}
	return target.Reply{Status: int(r.Status), Header: host.HTTPHeader(r.Header), Body: r.Body}, nil
}

// ticketError returns the error for a call whose ticket is in the state s, which is not
// StateRan, so that there is no reply.
func ticketError(s ticket.State) error {
	switch s {
	case ticket.StateUnused:
		return answer.New(answer.KindRefused, "the call did not run; the same ticket can be used again")
	case ticket.StateNotRun:
		return answer.New(answer.KindTicketBurnt, "")
	case ticket.StateOtherCall:
		return answer.New(answer.KindTicketMismatch, "")
	case ticket.StateNone:
		return answer.New(answer.KindTicketExpired, "")
	}
	return answer.New(answer.KindUnknownOutcome, "the call was sent; ask for the outcome of its ticket")
}
