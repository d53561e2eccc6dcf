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
	cursorVersion = 1
	separator     = "."

	// CursorLife is how long a cursor is valid after its stream began.
	CursorLife = time.Hour
)

// A Position is an opened cursor and the next token that the caller wants.
type Position struct {
	Cursor *wire.Cursor
	Next   int
}

// SealCursor returns the sealed part of a stream's event identifiers. The number
// of the event follows it in plain: it only ever says how much of the caller's own
// stream the caller has, and is checked against the stream.
func (k *Keyring) SealCursor(c *wire.Cursor) (string, error) {
	c.Version = cursorVersion
	return k.Seal(PurposeCursor, c)
}

// AppendEvent appends the identifier of the event that carries token n.
func AppendEvent(b []byte, sealed string, n int) []byte {
	b = append(append(b, sealed...), separator...)
	return strconv.AppendInt(b, int64(n), 10)
}

// SealedPart returns the part of an event's identifier that is the same for all
// events of a stream.
func SealedPart(event string) string {
	sealed, _, _ := strings.Cut(event, separator)
	return sealed
}

// OpenCursor reads the identifier of the last event that a caller has got, on
// behalf of an organisation. Its errors are of the kinds BadCursor, ExpiredCursor and
// WrongOrganisation.
func (k *Keyring) OpenCursor(text, organisation string, now time.Time) (Position, error) {
	sealed, number, ok := strings.Cut(text, separator)
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
	case c.Organisation != table.Hash(organisation):
		return Position{}, answer.New(answer.KindWrongOrganisation, "")
	case now.Unix() >= c.Expiry:
		return Position{}, answer.New(answer.KindExpiredCursor, "")
	}
	return Position{Cursor: c, Next: last + 1}, nil
}
