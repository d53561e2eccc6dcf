package gateway

import (
	"bytes"
	"strconv"
)

// events splits a stream of server-sent events at the boundaries between events, so
// that a caller never gets a part of one. The zero value is at the start of a stream.
type events struct {
	rest  []byte // a part of an event that is still coming
	last  int    // identifier of the last whole event
	whole int    // events seen
	gap   bool   // an identifier did not follow the one before
}

var (
	eventEnd    = []byte("\n\n")
	eventEndCR  = []byte("\r\n\r\n")
	eventNumber = []byte("id:")
)

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
	e.count(whole)
	// What is left moves to memory of its own, as whole is still in use.
	e.rest = append([]byte(nil), all[end:]...)
	return whole
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

// count notes the identifiers of whole events.
func (e *events) count(whole []byte) {
	for line := range bytes.Lines(whole) {
		text, ok := bytes.CutPrefix(line, eventNumber)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(text)))
		if err != nil {
			continue
		}
		if e.whole > 0 && n != e.last+1 {
			e.gap = true
		}
		e.last = n
		e.whole++
	}
}
