package gateway

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// eventText returns the events with the identifiers from to to, inclusive, as sent on a stream.
func eventText(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: x%d\n\n", n, n)
	}
	return b.String()
}

func TestEventsAreNeverSplit(t *testing.T) {
	c := qt.New(t)
	want := eventText(1, 30)
	for step := 1; step < 40; step += 3 {
		var e eventSplitter
		var out strings.Builder
		for at := 0; at < len(want); at += step {
			complete := e.feed([]byte(want[at:min(at+step, len(want))]))
			c.Assert(len(complete) == 0 || strings.HasSuffix(string(complete), "\n\n"), qt.IsTrue)
			out.Write(complete)
		}
		c.Assert(out.String(), qt.Equals, want)
		c.Assert(e.eventCount, qt.Equals, 30)
		c.Assert(e.missingEvent, qt.IsFalse)
	}
}

// The first connection breaks within event 11. The second may start with any event up to 11, or
// with event 12, in which case event 11 is missing. Guards against events that reach the caller
// twice and against a missing event that is not detected.
func TestResumedStreamDropsDuplicatesAndDetectsGaps(t *testing.T) {
	c := qt.New(t)
	for from := 1; from <= 12; from++ {
		var e eventSplitter
		var out strings.Builder
		out.Write(e.feed([]byte(eventText(1, 10) + "id: 11\ndata: cut o")))
		e.resume()
		for _, b := range []byte(eventText(from, 20)) {
			out.Write(e.feed([]byte{b}))
		}
		c.Assert(e.missingEvent, qt.Equals, from == 12, qt.Commentf("from %d", from))
		if !e.missingEvent {
			c.Assert(out.String(), qt.Equals, eventText(1, 20))
		}
	}
}

// The end of a connection completes a stream only between two events, and not before the events that
// reached the caller on an earlier connection. If nothing else marks the end of the response, a
// connection without an event has been broken off, too.
func TestEndOfConnection(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	cases := []struct {
		name    string
		earlier string // sent on an earlier connection
		sent    string
		chunked streamEnd
		closed  streamEnd
	}{
		{"between events", "", whole, streamComplete, streamClosed},
		{"after a comment", "", whole + ": ping\n", streamComplete, streamClosed},
		{"after blank lines", "", whole + "\r\n\n", streamComplete, streamClosed},
		{"inside a comment", "", whole + ": pi", streamBroken, streamBroken},
		{"inside a field", "", whole + "id: 2\nda", streamBroken, streamBroken},
		{"after a field", "", whole + "id: 2\n", streamBroken, streamBroken},
		{"before the blank line", "", whole + "id: 2\ndata: b\n", streamBroken, streamBroken},
		{"inside the first event", "", "id: 1", streamBroken, streamBroken},
		{"without an event", "", "", streamComplete, streamBroken},
		{"resumed, further", whole, "id: 2\ndata: b\n\n", streamComplete, streamClosed},
		{"resumed, at the same event", whole, whole, streamComplete, streamClosed},
		{"resumed, inside an event", whole, whole + "id: 2\n", streamBroken, streamBroken},
		{"resumed, before the last event", eventText(1, 3), eventText(1, 2), streamBroken, streamBroken},
		{"resumed, without an event", whole, "", streamComplete, streamBroken},
		{"events without identifiers", "", "data: a\n\n", streamComplete, streamClosed},
		{"mixed line ends", "", "id: 1\ndata: a\n\r\n", streamComplete, streamClosed},
		{"old line ends", "", "id: 1\rdata: a\r\r", streamComplete, streamClosed},
	}
	for _, q := range cases {
		t.Run(q.name, func(t *testing.T) {
			var e eventSplitter
			if q.earlier != "" {
				e.feed([]byte(q.earlier + "id: 9\nda"))
				e.resume()
			}
			e.feed([]byte(q.sent))
			qt.Check(t, e.end(framingChunked), qt.Equals, q.chunked)
			qt.Check(t, e.end(framingLength), qt.Equals, q.chunked)
			qt.Check(t, e.end(framingClose), qt.Equals, q.closed)
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(eventText(1, 3)), 5)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\n\n"), 3)
	f.Add([]byte("id: 1\rdata: a\r\rid: 2\n\r\n: c"), 17)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if cut <= 0 || cut > len(data) {
			return
		}
		var e eventSplitter
		out := append([]byte(nil), e.feed(data[:cut])...)
		out = append(out, e.feed(data[cut:])...)
		if string(append(out, e.partial...)) != string(data) {
			t.Fatalf("%q became %q", data, out)
		}
	})
}

// An event that does not end must be detected after a bounded number of bytes, which are not kept. A
// target in trouble may send one until its connection is closed.
func TestEventWithoutEnd(t *testing.T) {
	cases := map[string]struct {
		before string // complete events
		step   int    // bytes fed at once
	}{
		"first event":                {"", 16 << 10},
		"after complete events":      {eventText(1, 3), 16 << 10},
		"byte by byte":               {eventText(1, 3), 1},
		"in one piece with complete": {eventText(1, 3), 2 * maxEventLength},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var e eventSplitter
			var out strings.Builder
			text := q.before + "id: 4\ndata: " + strings.Repeat("x", 2*maxEventLength)
			fed := 0
			for ; fed < len(text) && !e.tooLong; fed += q.step {
				out.Write(e.feed([]byte(text[fed:min(fed+q.step, len(text))])))
				c.Assert(len(e.partial) <= maxEventLength, qt.IsTrue)
			}
			c.Check(e.tooLong, qt.IsTrue)
			c.Check(fed <= len(q.before)+maxEventLength+q.step, qt.IsTrue)
			c.Check(out.String(), qt.Equals, q.before)
		})
	}
}

// Events that arrive in pieces must cost no more than their length: each piece was searched together
// with all bytes before it.
func BenchmarkLongEventInPieces(b *testing.B) {
	piece := []byte(strings.Repeat("x", 64))
	for b.Loop() {
		var e eventSplitter
		for range maxEventLength / len(piece) {
			e.feed(piece)
		}
	}
}
