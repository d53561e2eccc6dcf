package ticket

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

const ticketVersion = 1

// SealTicket returns a ticket as the caller carries it.
func (k *Keyring) SealTicket(t *wire.Ticket) (string, error) {
	t.Version = ticketVersion
	return k.Seal(PurposeTicket, t)
}

// OpenTicket reads a ticket on behalf of an organisation. Its errors are of the kinds
// BadTicket and WrongOrganisation. An expired ticket opens: its outcome can be asked for.
func (k *Keyring) OpenTicket(text, organisation string) (*wire.Ticket, error) {
	t := &wire.Ticket{}
	if err := k.Open(PurposeTicket, text, t); err != nil {
		return nil, answer.Wrap(answer.KindBadTicket, err, "the ticket cannot be opened")
	}
	switch {
	case t.Version != ticketVersion:
		return nil, answer.New(answer.KindBadTicket, "the ticket has another format")
	case t.Organisation != table.Hash(organisation):
		return nil, answer.New(answer.KindWrongOrganisation, "the ticket belongs to another organisation")
	}
	return t, nil
}

// Expired reports whether a ticket and its record are past all use.
func Expired(t *wire.Ticket, now time.Time) bool {
	return now.Sub(time.Unix(t.Expiry, 0)) > Keep
}
