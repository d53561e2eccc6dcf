package event

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

// maxText is the length in bytes up to which a text of an event is kept. Identifiers, errors and lists may contain what callers,
// targets and the source have sent, and the ring buffer holds thousands of events.
const maxText = 1 << 10

// bounded returns the fields with all texts that are longer than maxText shortened.
func (f Fields) bounded() Fields {
	for _, text := range []*string{&f.Request, &f.Ticket, &f.Organisation, &f.Target, &f.Peer, &f.Detail} {
		*text = shorten(*text)
	}
	copied := false
	for i, v := range f.Values {
		text, long := longText(v)
		if !long {
			continue
		}
		if !copied {
			f.Values, copied = slices.Clone(f.Values), true // the array is the emitter's
		}
		f.Values[i] = shorten(text)
	}
	return f
}

// longText returns the text of a value of an event if that is longer than maxText.
func longText(v any) (text string, long bool) {
	switch v := v.(type) {
	case nil, bool, int, int64, uint64, float64:
		return "", false
	case string:
		text = v
	default:
		text = fmt.Sprint(v)
	}
	return text, len(text) > maxText
}

// shorten returns a text of at most maxText bytes unchanged, and of a longer one its beginning and its length. The result does not
// keep the memory of the longer text.
func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	end := maxText
	for end > maxText-utf8.UTFMax && !utf8.RuneStart(text[end]) {
		end--
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:end], len(text))
}
