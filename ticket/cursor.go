package ticket

import (
	"strconv"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/wire"
)

const (
	cursorVersion   = 1   // format version of a cursor
	cursorSeparator = "." // between the sealed cursor and the event number in an event identifier

	// CursorLifetime is how long a cursor is valid, counted from the start of its stream.
	CursorLifetime = time.Hour
)

// A Position is the point at which a caller resumes a stream: the validated cursor of the
// stream and the next token.
type Position struct {
	Cursor *wire.Cursor
	Next   int // index of the first token that the caller has not received
}

// SealCursor returns the sealed part of a stream's event identifiers. AppendEventID
// adds the event's number unencrypted: it states only how much of its own stream the caller
// has received, and the host validates it against the stream.
func (k *Keyring) SealCursor(c *wire.Cursor) (string, error) {
	c.Version = cursorVersion
	return k.Seal(PurposeCursor, c)
}

// AppendEventID appends to b the identifier of the event that carries token n. The identifier
// consists of the sealed cursor, cursorSeparator and n.
func AppendEventID(b []byte, sealed string, n int) []byte {
	b = append(append(b, sealed...), cursorSeparator...)
	return strconv.AppendInt(b, int64(n), 10)
}

// SealedCursor returns the sealed cursor in an event identifier. It is the same for all
// events of a stream.
func SealedCursor(event string) string {
	sealed, _, _ := strings.Cut(event, cursorSeparator)
	return sealed
}

// OpenCursor decrypts and validates the identifier of the last event that a caller has
// received. The cursor must belong to the caller's organisation. The kind of an error is
// KindBadCursor, KindExpiredCursor or KindWrongOrganisation.
func (k *Keyring) OpenCursor(text, organisation string, now time.Time) (Position, error) {
	sealed, number, ok := strings.Cut(text, cursorSeparator)
	last, err := strconv.Atoi(number)
	if !ok || err != nil || last < -1 {
		return Position{}, answer.New(answer.KindBadCursor, "the event identifier is not one of ours")
	}
	c := &wire.Cursor{}
	if err := k.Open(PurposeCursor, sealed, c); err != nil {
		return Position{}, answer.Wrap(answer.KindBadCursor, err, "the cursor cannot be opened")
	}
	switch {
	case c.Version != cursorVersion:
		return Position{}, answer.New(answer.KindBadCursor, "the cursor has another format")
	case c.Organisation != table.HashName(organisation):
		return Position{}, answer.New(answer.KindWrongOrganisation, "")
	case now.Unix() >= c.Expiry:
		return Position{}, answer.New(answer.KindExpiredCursor, "")
	}
	return Position{Cursor: c, Next: last + 1}, nil
}
