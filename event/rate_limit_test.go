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

// At 600 requests per second with three debug lines each, which is ten times the usual load, the
// debug lines are reduced to the rate limit, and no line about the host is suppressed.
func TestRateLimiterSuppressesRequestLinesFirst(t *testing.T) {
	c := qt.New(t)
	limiter := &rateLimiter{rate: 200}
	now := time.Unix(1000, 0)
	requestLines, hostLines, hostEvents := 0, 0, 0
	const seconds = 20
	for i := range 1800 * seconds {
		now = now.Add(time.Second / 1800)
		if limiter.allow(hclog.Debug, now) {
			requestLines++
		}
		if i%900 == 0 {
			hostEvents++
			if limiter.allow(hclog.Info, now) {
				hostLines++
			}
		}
	}
	c.Assert(hostLines, qt.Equals, hostEvents)
	c.Assert(requestLines <= 200*(seconds+2), qt.IsTrue, qt.Commentf("%d request lines", requestLines))
	c.Assert(requestLines >= 190*seconds, qt.IsTrue, qt.Commentf("%d request lines", requestLines))
	suppressed, ok := limiter.takeSuppressed(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(suppressed+requestLines+hostLines, qt.Equals, 1800*seconds+hostEvents)
	_, ok = limiter.takeSuppressed(now)
	c.Assert(ok, qt.IsFalse)
}

// A log with a rate limit writes a line that reports the suppressed ones.
func TestLogReportsSuppressedLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := NewLog("h", WithRateLimit(1), WithLogger(hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Debug})))
	for range 50 {
		l.Emit(RequestEnded, Fields{Request: "r"})
	}
	c.Assert(strings.Count(out.String(), "request ended") <= 3, qt.IsTrue)
	c.Assert(out.String(), qt.Contains, "log thinned")
}

// blockedWriter blocks every write until unblock is closed, and counts the lines.
type blockedWriter struct {
	mu      sync.Mutex
	lines   int
	unblock chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines++
	return len(b), nil
}

// While the output blocks, Write returns at once: lines beyond the queue are dropped. The
// queued lines are written when the output works again, and every line is counted
// as written or dropped.
func TestWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	const lines = 3 * queueSize
	for range lines {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(w.Dropped() >= queueSize, qt.IsTrue)
	close(out.unblock)
	cancel()
	<-w.Done()
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Assert(int64(out.lines)+w.Dropped(), qt.Equals, int64(lines))
}
