package host

import (
	"context"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/peer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
	"github.com/wigeonlink/wigeonlink/wire"
)

// A TicketAction is an operation on a ticket, as encoded in messages between hosts.
type TicketAction uint32

// Ticket actions.
const (
	TicketExecute TicketAction = iota // make the ticket's call unless it has been made
	TicketLookup                      // return the ticket's state and reply
	TicketRevoke                      // make an unused ticket unusable
)

// ticketRequestTimeout is the timeout for looking up a ticket at all peers, and for sending ticket
// records to one peer.
const ticketRequestTimeout = 3 * time.Second

// IssueTicket issues a ticket to an organisation. Only this host can execute the ticket's call.
func (h *Host) IssueTicket(organisation string) (*wire.Ticket, error) {
	t := h.Table()
	if t == nil {
		return nil, answer.New(answer.KindNotReady, "")
	}
	id, expiry, ok := h.tickets.Issue(organisation, time.Now())
	if !ok {
		return nil, answer.New(answer.KindStopping, "no tickets are issued here now")
	}
	h.log.Emit(event.TicketIssued, event.Fields{Ticket: id, Organisation: organisation})
	return &wire.Ticket{
		Organisation: table.HashName(organisation),
		Host:         h.name,
		Incarnation:  h.incarnation,
		Id:           id,
		Expiry:       expiry.Unix(),
		Table:        t.Version,
	}, nil
}

// UseTicket applies an action to a ticket on the host that issued it. If that host is not live,
// does not answer or has no record of the ticket, the ticket is only looked up on this host and its
// peers. There is no lookup after an execute action that may have reached the issuer. An error means that the state of the ticket is unknown, because no
// host with its record answered.
func (h *Host) UseTicket(ctx context.Context, t *wire.Ticket, c *wire.TicketCall) (*wire.TicketReply, error) {
	c.Id, c.Host, c.Incarnation = t.Id, t.Host, t.Incarnation
	if t.Host == h.name && t.Incarnation == h.incarnation {
		return h.applyTicketAction(ctx, c), nil
	}
	for _, p := range h.livePeers() {
		if p.Host != t.Host || p.Incarnation != t.Incarnation {
			continue
		}
		reply, sent, err := h.sendTicketCall(ctx, p, c)
		switch {
		case err == nil && ticket.State(reply.State) != ticket.StateNone:
			return reply, nil
		case err != nil && sent && TicketAction(c.Action) == TicketExecute:
			return nil, answer.Wrap(answer.KindTicketLost, err, "the ticket's host did not answer; ask for the outcome")
		}
	}
	return h.findTicket(ctx, c)
}

// findTicket looks up a ticket on this host and then on all live peers, any of which may have received
// the records of the stopped host that issued it.
func (h *Host) findTicket(ctx context.Context, c *wire.TicketCall) (*wire.TicketReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketRequestTimeout)
	defer cancel()
	lookup := &wire.TicketCall{Id: c.Id, Host: c.Host, Incarnation: c.Incarnation, Organisation: c.Organisation, Action: uint32(TicketLookup)}
	if reply := h.applyTicketAction(ctx, lookup); ticket.State(reply.State) != ticket.StateNone {
		return reply, nil
	}
	for _, p := range h.livePeers() {
		if reply, _, err := h.sendTicketCall(ctx, p, lookup); err == nil && ticket.State(reply.State) != ticket.StateNone {
			return reply, nil
		}
	}
	return nil, answer.New(answer.KindTicketLost, "")
}

// sendTicketCall asks a peer to apply an action to a ticket. The bool reports whether the peer may have
// received the query.
func (h *Host) sendTicketCall(ctx context.Context, p peer.Peer, c *wire.TicketCall) (*wire.TicketReply, bool, error) {
	a, sent, err := h.mesh.Ask(ctx, p, &wire.Question{Ticket: c})
	if err != nil {
		return nil, sent, err
	}
	if a.Ticket == nil {
		return &wire.TicketReply{}, sent, nil
	}
	return a.Ticket, sent, nil
}

// applyTicketAction applies an action to a ticket of this host's ledger.
func (h *Host) applyTicketAction(ctx context.Context, c *wire.TicketCall) *wire.TicketReply {
	now := time.Now()
	switch TicketAction(c.Action) {
	case TicketLookup:
		s, r := h.tickets.Lookup(c.Id, c.Organisation, now)
		return ticketReply(s, r)
	case TicketRevoke:
		s := h.tickets.Revoke(c.Id, c.Organisation, now)
		if s == ticket.StateNotRun {
			h.log.Emit(event.TicketBurnt, event.Fields{Ticket: c.Id, Organisation: c.Organisation})
		}
		return ticketReply(s, ticket.Reply{})
	}
	return h.executeTicket(ctx, c)
}

// executeTicket makes a ticket's call and stores the reply, or returns the stored reply if the call
// has been made. If the call is in progress, it waits until the call has ended or ctx is done.
func (h *Host) executeTicket(ctx context.Context, c *wire.TicketCall) *wire.TicketReply {
	d := ticket.DigestOf(c.Service, c.Method, c.Path, c.Query, c.Body)
	for {
		s, r, wait := h.tickets.Claim(c.Id, c.Organisation, d, time.Now())
		switch s {
		case ticket.StateUnused:
			s, r = h.callForTicket(ctx, c)
			h.tickets.Finish(c.Id, s, r)
			return ticketReply(s, r)
		case ticket.StateExecuting:
			select {
			case <-wait:
				continue
			case <-ctx.Done():
			}
		}
		return ticketReply(s, r)
	}
}

// callForTicket makes a ticket's call and returns the resulting state of the ticket. The call
// continues if the caller disconnects, because the caller can look up the outcome later.
func (h *Host) callForTicket(ctx context.Context, c *wire.TicketCall) (ticket.State, ticket.Reply) {
	h.log.Emit(event.TicketExecuted, event.Fields{Ticket: c.Id, Organisation: c.Organisation})
	call := target.Call{Method: c.Method, Path: c.Path, Query: c.Query, Header: HTTPHeader(c.Header), Body: c.Body}
	var deadline time.Time
	if c.Within > 0 {
		deadline = time.Now().Add(time.Duration(c.Within) * time.Millisecond)
	}
	reply, err := h.CallService(context.WithoutCancel(ctx), c.Organisation, c.Service, call, deadline)
	if err == nil {
		return ticket.StateRan, ticket.Reply{Status: reply.Status, Service: c.Service, Header: reply.Header, Body: reply.Body}
	}
	e := answer.From(err)
	if e.Kind.Properties().Outcome == answer.OutcomeNotRun {
		return ticket.StateUnused, ticket.Reply{Service: e.Kind.String()}
	}
	return ticket.StateUnknown, ticket.Reply{}
}

// ticketReply returns a ticket's state and stored reply in the form of messages between hosts.
func ticketReply(s ticket.State, r ticket.Reply) *wire.TicketReply {
	return &wire.TicketReply{State: uint32(s), Status: uint32(r.Status), Header: WireHeader(r.Header), Body: r.Body, Service: r.Service}
}

// WireHeader returns headers in the form of messages between hosts.
func WireHeader(h map[string][]string) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// HTTPHeader returns headers of a message between hosts in the form of http.Header.
func HTTPHeader(hs []*wire.Header) map[string][]string {
	out := make(map[string][]string, len(hs))
	for _, h := range hs {
		out[h.Name] = append(out[h.Name], h.Value)
	}
	return out
}

// handOverTickets freezes the ledger and sends its records to the first live peer that accepts them
// and is not stopping itself. If there is none, the records are lost with this host.
func (h *Host) handOverTickets(ctx context.Context) {
	entries := h.tickets.Freeze()
	if len(entries) == 0 {
		return
	}
	handover := &wire.Handover{Host: h.name, Incarnation: h.incarnation}
	for _, e := range entries {
		handover.Records = append(handover.Records, &wire.Record{
			Id:           e.ID,
			Organisation: e.Organisation,
			Expiry:       e.Expiry.Unix(),
			Reply:        ticketReply(e.State, e.Reply),
		})
	}
	for _, p := range h.livePeers() {
		if p.Stopping {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, ticketRequestTimeout)
		_, _, err := h.mesh.Ask(ctx, p, &wire.Question{Handover: handover})
		cancel()
		if err == nil {
			h.log.Emit(event.TicketMoved, event.Fields{Peer: p.Host})
			return
		}
	}
}

// importTickets stores ticket records that a stopping peer has handed over.
func (h *Host) importTickets(handover *wire.Handover) {
	for _, r := range handover.Records {
		h.tickets.Import(ticket.Entry{
			ID:           r.Id,
			Organisation: r.Organisation,
			State:        ticket.State(r.Reply.GetState()),
			Expiry:       time.Unix(r.Expiry, 0),
			Reply: ticket.Reply{
				Status:  int(r.Reply.GetStatus()),
				Service: r.Reply.GetService(),
				Header:  HTTPHeader(r.Reply.GetHeader()),
				Body:    r.Reply.GetBody(),
			},
		})
	}
}
