package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCatalogueIsInTheDocs(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	seen := map[Number]bool{}
	for _, k := range Catalogue() {
		c.Assert(seen[k.Number], qt.IsFalse, qt.Commentf("number %d is in the catalogue twice", k.Number))
		seen[k.Number] = true
		row := fmt.Sprintf("| %d | %s | %s | %s |", k.Number, k.Name, k.Level, k.Meaning)
		c.Assert(string(page), qt.Contains, row)
	}
	c.Assert(strings.Count(string(page), "\n| ")-2, qt.Equals, len(seen))
}

func TestClockIsMonotonicAndFollowsObservedStamps(t *testing.T) {
	c := qt.New(t)
	wall := time.UnixMilli(1000)
	clock := &Clock{wall: func() time.Time { return wall }}
	first := clock.Next()
	second := clock.Next()
	c.Assert(first.Before(second), qt.IsTrue)
	ahead := Stamp{Wall: 1500, Count: 7}
	clock.Observe(ahead) // 0.5 s ahead: within maxClockSkew
	c.Assert(ahead.Before(clock.Next()), qt.IsTrue)
	clock.Observe(Stamp{Wall: wall.Add(time.Hour).UnixMilli()}) // beyond maxClockSkew: ignored
	c.Assert(clock.Next().Wall, qt.Equals, int64(1500))
}

func TestRingKeepsTheLatestEvents(t *testing.T) {
	c := qt.New(t)
	log := NewLog("h", WithRingSize(3))
	for i := range 5 {
		log.Emit(RequestEnded, Fields{Request: fmt.Sprint(i)})
	}
	records := log.Records()
	c.Assert(records, qt.HasLen, 3)
	c.Assert(records[0].Request, qt.Equals, "2")
	c.Assert(records[2].Request, qt.Equals, "4")
}
