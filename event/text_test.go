package event

import (
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
)

// The ring buffer kept texts of any length, such as errors that quote a header: one client took a host over its memory (review/12).
func TestLongTextsFillMemory(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("\xff", 15_000)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	log := NewLog("host")
	before := heap()
	for range 2 * defaultRingSize {
		id := strings.Clone(long)
		log.Emit(RequestAnswered, Fields{Request: id, Detail: eris.Errorf("Deadline-Ms: %q is no number", id).Error(), Values: []any{
			"status", 400, "parts", id, "list", []string{id}, "cause", eris.New(id),
		}})
	}
	held := heap() - before
	c.Check(held < 32<<20, qt.IsTrue, qt.Commentf("%d bytes are held", held))
	r := log.Records()[0]
	c.Check(r.Detail, qt.Matches, `(?s)Deadline-Ms: "\\xff.*\.\.\. \(60028 bytes\)`)
	for _, text := range []string{r.Request, r.Detail, r.Values[3].(string), r.Values[5].(string), r.Values[7].(string)} {
		c.Check(len(text) <= maxText+len("... (60028 bytes)"), qt.IsTrue)
	}
	c.Check(r.Values[1], qt.Equals, 400)
}

// A text of the longest length is kept as it is, and a longer one is cut between two characters.
func TestTextIsShortenedBetweenCharacters(t *testing.T) {
	c := qt.New(t)
	exact := strings.Repeat("é", maxText/2)
	c.Check(shorten(exact), qt.Equals, exact)
	c.Check(shorten("x"+exact), qt.Equals, "x"+strings.Repeat("é", maxText/2-1)+"... (1025 bytes)")
}
