package gateway

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// eventText returns the text of the events with the numbers from..to, inclusive.
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
		var e events
		var out strings.Builder
		for at := 0; at < len(want); at += step {
			whole := e.feed([]byte(want[at:min(at+step, len(want))]))
			c.Assert(len(whole) == 0 || strings.HasSuffix(string(whole), "\n\n"), qt.IsTrue)
			out.Write(whole)
		}
		c.Assert(out.String(), qt.Equals, want)
		c.Assert(e.count, qt.Equals, 30)
		c.Assert(e.gap, qt.IsFalse)
	}
}

// A stream resumed on another connection may start before, at or after the event where the
// first connection broke. Guards against repeated events and against an undetected gap.
func TestResumedStreamDropsDuplicatesAndDetectsGaps(t *testing.T) {
	c := qt.New(t)
	for from := 1; from <= 12; from++ {
		var e events
		var out strings.Builder
		out.Write(e.feed([]byte(eventText(1, 10) + "id: 11\ndata: cut o")))
		e.resume()
		for _, b := range []byte(eventText(from, 20)) {
			out.Write(e.feed([]byte{b}))
		}
		c.Assert(e.gap, qt.Equals, from == 12, qt.Commentf("from %d", from))
		if !e.gap {
			c.Assert(out.String(), qt.Equals, eventText(1, 20))
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(eventText(1, 3)), 5)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\n\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if cut <= 0 || cut > len(data) {
			return
		}
		var e events
		out := append([]byte(nil), e.feed(data[:cut])...)
		out = append(out, e.feed(data[cut:])...)
		if string(append(out, e.partial...)) != string(data) {
			t.Fatalf("%q became %q", data, out)
		}
	})
}
