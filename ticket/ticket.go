package ticket

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

const ticketVersion = 1 // format version of a ticket

// SealTicket returns the sealed text of a ticket, which the caller presents with its call.
// It sets the ticket's format version.
func (k *Keyring) SealTicket(t *wire.Ticket) (string, error) {
	t.Version = ticketVersion
	return k.Seal(PurposeTicket, t)
}

// OpenTicket decrypts and validates a ticket, which must belong to the caller's
// organisation. The kind of an error is KindBadTicket or KindWrongOrganisation. An expired
// ticket is no error, because the outcome of its call can still be queried.
func (k *Keyring) OpenTicket(text, organisation string) (*wire.Ticket, error) {
	t := &wire.Ticket{}
	if err := k.Open(PurposeTicket, text, t); err != nil {
		return nil, answer.Wrap(answer.KindBadTicket, err, "the ticket cannot be opened")
	}
	switch {
	case t.Version != ticketVersion:
		return nil, answer.New(answer.KindBadTicket, "the ticket has another format")
	case t.Organisation != table.HashName(organisation):
		return nil, answer.New(answer.KindWrongOrganisation, "the ticket belongs to another organisation")
	}
	return t, nil
}

// RecordExpired reports whether RecordRetention has passed since a ticket's expiry. After that
// the outcome of its call can no longer be queried.
func RecordExpired(t *wire.Ticket, now time.Time) bool {
	return now.Sub(time.Unix(t.Expiry, 0)) > RecordRetention
}
