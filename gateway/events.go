package gateway

import (
	"bytes"
	"strconv"
)

// events splits a stream of server-sent events at the boundaries between events, so
// that a caller never gets a part of one, and sees that none is missing or comes twice.
// The zero value is at the start of a stream.
type events struct {
	rest     []byte // a part of an event that is still coming
	last     int    // identifier of the last whole event
	whole    int    // events passed on
	gap      bool   // an identifier did not follow the one before
	rejoined bool   // the stream goes on elsewhere: what was passed on may come again
}

var (
	eventEnd    = []byte("\n\n")
	eventEndCR  = []byte("\r\n\r\n")
	eventNumber = []byte("id:")
)

// rejoin forgets the part of an event that was coming: the stream goes on elsewhere.
func (e *events) rejoin() { e.rest, e.rejoined = nil, true }

// feed takes in bytes and returns the whole events among all that came so far, nil if
// there is none. The result is valid until the next call.
func (e *events) feed(data []byte) []byte {
	all := append(e.rest, data...)
	end := boundary(all)
	if end == 0 {
		e.rest = all
		return nil
	}
	whole := all[:end]
	// What is left moves to memory of its own, as whole is still in use.
	e.rest = append([]byte(nil), all[end:]...)
	return e.pass(whole)
}

// boundary returns the length of the whole events at the start of data.
func boundary(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(data, eventEndCR); i >= 0 {
		end = max(end, i+len(eventEndCR))
	}
	return end
}

// pass notes the identifiers of whole events, and leaves out those that came before.
func (e *events) pass(whole []byte) []byte {
	if !e.rejoined {
		for line := range bytes.Lines(whole) {
			if n, ok := identifier(line); ok {
				e.note(n)
			}
		}
		return whole
	}
	kept := whole[:0]
	for len(whole) > 0 {
		one := whole[:first(whole)]
		whole = whole[len(one):]
		n, ok := eventID(one)
		if ok && n <= e.last {
			continue
		}
		if ok {
			e.note(n)
		}
		kept = append(kept, one...)
	}
	if len(kept) == 0 {
		return nil
	}
	return kept
}

// first returns the length of the first event of some whole ones.
func first(whole []byte) int {
	end := len(whole)
	if i := bytes.Index(whole, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.Index(whole[:end], eventEndCR); i >= 0 {
		end = i + len(eventEndCR)
	}
	return end
}

// eventID returns the identifier of one event.
func eventID(one []byte) (int, bool) {
	for line := range bytes.Lines(one) {
		if n, ok := identifier(line); ok {
			return n, true
		}
	}
	return 0, false
}

// identifier returns the number on a line, if it is an identifier's.
func identifier(line []byte) (int, bool) {
	text, ok := bytes.CutPrefix(line, eventNumber)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	return n, err == nil
}

func (e *events) note(n int) {
	if e.whole > 0 && n != e.last+1 {
		e.gap = true
	}
	e.last = n
	e.whole++
}
