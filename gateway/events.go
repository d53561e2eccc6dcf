package gateway

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events, so that no partial
// event is forwarded. By the identifiers of the events it detects missing events and, after the
// stream was resumed on another connection, drops repeated ones. The zero value is ready for use.
type eventSplitter struct {
	partial      []byte // start of an event that is not complete yet
	last         int    // identifier of the last complete event
	eventCount   int    // events with an identifier that were returned
	missingEvent bool   // an identifier was not one above its predecessor
	tooLong      bool   // an event is longer than maxEventLength
	resumed      bool   // the stream continues on another connection, which may repeat events returned before
	begun        bool   // the current connection has sent a complete event
	position     int    // identifier of the last complete event of the current connection, also if it was returned before
}

const (
	maxEventLength = 256 << 10 // size limit of one event, in bytes; an event holds a few tokens
	maxEventEnd    = 3         // length of the longest of eventEnds, in bytes
)

var (
	// eventEnds are the blank lines that end an event, each with the end of the line before it.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

	idField = []byte("id:")
)

// resume discards the partial event. It is called when the stream continues on another
// connection, which sends that event again from its start.
func (e *eventSplitter) resume() {
	e.partial, e.resumed = nil, true
	e.begun, e.position = false, 0
}

// end returns what it proves about the stream that the current connection has ended without an
// error, after a response with framing f. No generation ends inside an event, or before an event that
// was returned before. If only the end of the connection marks that of the response, a response
// without an event is broken off, too.
func (e *eventSplitter) end(f framing) streamEnd {
	switch {
	case e.insideEvent(), e.begun && e.position < e.last:
		return streamBroken
	case f != framingClose:
		return streamComplete
	case !e.begun:
		return streamBroken
	}
	return streamClosed
}

// insideEvent reports whether bytes other than blank lines and comments follow the last complete
// event.
func (e *eventSplitter) insideEvent() bool {
	for line := range bytes.Lines(e.partial) {
		text, ended := bytes.CutSuffix(line, []byte("\n"))
		if text = bytes.TrimSuffix(text, []byte("\r")); !ended || len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// feed adds the next bytes of the stream and returns the events that are now complete, without
// those returned before, or nil if there are none. The result is valid until the next call. Of an
// event that is too long nothing is kept.
func (e *eventSplitter) feed(data []byte) []byte {
	// A blank line may begin in the bytes before data, which hold no whole one.
	from := max(len(e.partial)-maxEventEnd, 0)
	all := append(e.partial, data...)
	end := completeLength(all, from)
	if e.tooLong = len(all)-end > maxEventLength; e.tooLong {
		all = all[:end]
	}
	if end == 0 {
		e.partial = all
		return nil
	}
	complete := all[:end]
	// The partial event is copied, because the caller of feed still uses the memory of complete.
	e.partial = append([]byte(nil), all[end:]...)
	return e.accept(complete)
}

// completeLength returns the length in bytes of all complete events at the start of data. It searches for
// their ends at the offset from and after it.
func completeLength(data []byte, from int) int {
	end := 0
	for _, blank := range eventEnds {
		if i := bytes.LastIndex(data[from:], blank); i >= 0 {
			end = max(end, from+i+len(blank))
		}
	}
	return end
}

// accept records the identifiers of complete events and returns the events. In a resumed stream
// it leaves out events that were returned before.
func (e *eventSplitter) accept(complete []byte) []byte {
	e.begun = true
	if !e.resumed {
		for line := range bytes.Lines(complete) {
			if n, ok := parseID(line); ok {
				e.record(n)
			}
		}
		return complete
	}
	kept := complete[:0]
	for len(complete) > 0 {
		event := complete[:firstEventLength(complete)]
		complete = complete[len(event):]
		n, ok := eventID(event)
		if ok && n <= e.last {
			e.position = n
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

// firstEventLength returns the length in bytes of the first event in complete, which holds
// complete events only.
func firstEventLength(complete []byte) int {
	end := len(complete)
	for _, blank := range eventEnds {
		if i := bytes.Index(complete[:end], blank); i >= 0 {
			end = i + len(blank)
		}
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

// parseID returns the value of an id field as a number. It reports false if the line is not an
// id field or its value is not a number.
func parseID(line []byte) (int, bool) {
	text, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	return n, err == nil
}

// record counts an event with identifier n and checks that no event is missing before it.
func (e *eventSplitter) record(n int) {
	if e.eventCount > 0 && n != e.last+1 {
		e.missingEvent = true
	}
	e.last, e.position = n, n
	e.eventCount++
}
