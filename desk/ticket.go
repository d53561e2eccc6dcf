package desk

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
	"github.com/wigeonlink/wigeonlink/wire"
)

// ticketResponse is the JSON response about a ticket.
type ticketResponse struct {
	Ticket  string `json:"ticket,omitempty"`
	Host    string `json:"host,omitempty"`
	Expires int64  `json:"expires,omitempty"` // seconds since the epoch
	State   string `json:"state"`
	Status  int    `json:"status,omitempty"` // HTTP status of the stored reply, after the call ran
}

// HeaderTicket names the header that carries a call's ticket.
const HeaderTicket = "Wigeonlink-Ticket"

// serveIssueTicket issues a ticket for one call that must run at most once.
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

// serveTicketState returns the state of a ticket's call.
func (d *Server) serveTicketState(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.useTicket(w, r, organisation, host.TicketLookup)
}

// serveBurnTicket invalidates an unused ticket, so that its call never runs.
func (d *Server) serveBurnTicket(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.useTicket(w, r, organisation, host.TicketRevoke)
}

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
		v.Status = int(reply.Status)
	}
	return writeJSON(w, v)
}

// callWithTicket executes a call with a ticket at most once, at the host that issued the
// ticket.
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
	w.Header().Set(HeaderTicket, t.Id)
	writeReply(w, target.Reply{Status: int(reply.Status), Header: host.HTTPHeader(reply.Header), Body: reply.Body})
	return nil
}

// ticketError returns the error for a ticket in a state without a reply to the call.
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
