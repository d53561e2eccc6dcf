package event

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// Ten times the usual load, 600 requests a second with three lines each, is cut down to
// the bound; lines about the host itself stay.
func TestBoundThinsRequestsFirst(t *testing.T) {
	c := qt.New(t)
	b := &bound{rate: 200}
	now := time.Unix(1000, 0)
	requests, hosts, offered := 0, 0, 0
	const seconds = 20
	for i := range 1800 * seconds {
		now = now.Add(time.Second / 1800)
		if b.allows(hclog.Debug, now) {
			requests++
		}
		if i%900 == 0 {
			offered++
			if b.allows(hclog.Info, now) {
				hosts++
			}
		}
	}
	c.Assert(hosts, qt.Equals, offered)
	c.Assert(requests <= 200*(seconds+2), qt.IsTrue, qt.Commentf("%d lines", requests))
	c.Assert(requests >= 190*seconds, qt.IsTrue, qt.Commentf("%d lines", requests))
	thinned, ok := b.note(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(thinned+requests+hosts, qt.Equals, 1800*seconds+offered)
	_, ok = b.note(now)
	c.Assert(ok, qt.IsFalse)
}

// A log says how many lines it has left out.
func TestLogNotesWhatItLeftOut(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := NewLog("h", WithRate(1), WithLogger(hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Debug})))
	for range 50 {
		l.Emit(RequestEnded, Fields{Request: "r"})
	}
	c.Assert(strings.Count(out.String(), "request ended") <= 3, qt.IsTrue)
	c.Assert(out.String(), qt.Contains, "log thinned")
}

// stuck is a writer that blocks until it is let go.
type stuck struct {
	mu    sync.Mutex
	lines int
	let   chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines++
	return len(b), nil
}

func TestWriterNeverWaits(t *testing.T) {
	c := qt.New(t)
	s := &stuck{let: make(chan struct{})}
	w := NewWriter(s)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	const lines = 3 * queued
	for range lines {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(w.Dropped() >= queued, qt.IsTrue)
	close(s.let)
	cancel()
	<-w.Ended()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Assert(int64(s.lines)+w.Dropped(), qt.Equals, int64(lines))
}
