package gateway

import (
	"bytes"
	"strconv"
)

// events splits a stream of server-sent events into complete events, so that no partial event
// is forwarded. It detects missing events and drops duplicates by their identifiers. The zero
// value is the start of a stream.
type events struct {
	partial []byte // start of an event that is not complete yet
	last    int    // identifier of the last complete event
	count   int    // events returned
	gap     bool   // an identifier did not follow its predecessor
	resumed bool   // the stream was resumed: events that were returned before may be repeated
}

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
	idField    = []byte("id:")
)

// resume discards the partial event, because the stream continues on another connection.
func (e *events) resume() { e.partial, e.resumed = nil, true }

// feed appends data to the stream and returns the complete events that were not returned
// before, or nil if there are none. The result is valid until the next call.
func (e *events) feed(data []byte) []byte {
	all := append(e.partial, data...)
	end := completeLength(all)
	if end == 0 {
		e.partial = all
		return nil
	}
	whole := all[:end]
	// The partial event is copied because the caller still uses the memory of whole.
	e.partial = append([]byte(nil), all[end:]...)
	return e.accept(whole)
}

// completeLength returns the length of the complete events at the start of data.
func completeLength(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(data, eventEndCR); i >= 0 {
		end = max(end, i+len(eventEndCR))
	}
	return end
}

// accept records the identifiers of complete events. In a resumed stream it removes events
// that were returned before.
func (e *events) accept(whole []byte) []byte {
	if !e.resumed {
		for line := range bytes.Lines(whole) {
			if n, ok := parseID(line); ok {
				e.record(n)
			}
		}
		return whole
	}
	kept := whole[:0]
	for len(whole) > 0 {
		event := whole[:firstEventLength(whole)]
		whole = whole[len(event):]
		n, ok := eventID(event)
		if ok && n <= e.last {
			continue
		}
		if ok {
			e.record(n)
		}
		kept = append(kept, event...)
	}
	if len(kept) == 0 {
		return nil
	}
	return kept
}

// firstEventLength returns the length of the first of the complete events in whole.
func firstEventLength(whole []byte) int {
	end := len(whole)
	if i := bytes.Index(whole, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.Index(whole[:end], eventEndCR); i >= 0 {
		end = i + len(eventEndCR)
	}
	return end
}

// eventID returns the identifier of an event, if it has one.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if n, ok := parseID(line); ok {
			return n, true
		}
	}
	return 0, false
}

// parseID returns the number of an id field, if the line is one.
func parseID(line []byte) (int, bool) {
	text, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	return n, err == nil
}

func (e *events) record(n int) {
	if e.count > 0 && n != e.last+1 {
		e.gap = true
	}
	e.last = n
	e.count++
}
