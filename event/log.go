package event

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

type (
	// A Record is an event as it is stored in the ring buffer and sent to operators.
	Record struct {
		Stamp  Stamp  `json:"stamp"`
		Host   string `json:"host"`
		Number Number `json:"number"`
		Name   string `json:"name"`
		Fields
	}

	// Fields hold what an event refers to, such as a request or a target, and further
	// information on it. Empty fields are omitted from the log and from JSON.
	Fields struct {
		Request      string `json:"request,omitempty"` // generation or request identifier
		Ticket       string `json:"ticket,omitempty"`
		Organisation string `json:"organisation,omitempty"`
		Target       string `json:"target,omitempty"`
		Peer         string `json:"peer,omitempty"`
		TableVersion uint64 `json:"table,omitempty"`  // version of the table
		Detail       string `json:"detail,omitempty"` // free text, such as an error, an address or a boot identifier
		Values       []any  `json:"values,omitempty"` // alternating names and values, such as the inputs of a decision
	}

	// A Log writes one host's events to a logger and stores the latest in a ring buffer.
	Log struct {
		host    string
		logger  hclog.Logger
		clock   *Clock
		mu      sync.Mutex // guards the fields below
		ring    []Record   // event i, counted from 0, is at index i modulo the length
		emitted uint64     // number of events emitted
		limiter rateLimiter
	}

	// An Option configures a Log.
	Option interface{ apply(*Log) }

	withRingSize  int
	withRateLimit float64
	withLogger    struct{ logger hclog.Logger }
	withClock     struct{ clock *Clock }
)

const defaultRingSize = 4096 // events

// WithRingSize sets the number of events in the ring buffer, at least 1. The default is 4096.
func WithRingSize(n int) Option { return withRingSize(n) }

// WithLogger sets the logger to which events are written. The default discards them.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

// WithClock sets the clock that timestamps events. The default is a new clock.
func WithClock(c *Clock) Option { return withClock{c} }

// WithRateLimit limits the lines that the log writes per second. An event whose line is suppressed
// is still stored in the ring buffer. The default is no limit.
func WithRateLimit(lines float64) Option { return withRateLimit(lines) }

func (o withRateLimit) apply(l *Log) { l.limiter.rate = float64(o) }
func (o withRingSize) apply(l *Log)  { l.ring = make([]Record, max(int(o), 1)) }
func (o withLogger) apply(l *Log)    { l.logger = o.logger }
func (o withClock) apply(l *Log)     { l.clock = o.clock }

// NewLog returns a log for the events of a host.
func NewLog(host string, opts ...Option) *Log {
	l := &Log{host: host, logger: hclog.NewNullLogger(), clock: &Clock{}, ring: make([]Record, defaultRingSize)}
	for _, o := range opts {
		o.apply(l)
	}
	return l
}

// Clock returns the clock that timestamps the events.
func (l *Log) Clock() *Clock { return l.clock }

// Host returns the name of the host.
func (l *Log) Host() string { return l.host }

// Emit stores an event in the ring buffer, with texts longer than 1 KiB shortened. It writes the event to the logger if the logger's level
// and the rate limit permit, and reports suppressed lines at most once per reportInterval.
func (l *Log) Emit(n Number, f Fields) {
	k := kindByNumber[n]
	f = f.bounded()
	r := Record{Stamp: l.clock.Next(), Host: l.host, Number: n, Name: k.Name, Fields: f}
	l.mu.Lock()
	l.ring[l.emitted%uint64(len(l.ring))] = r
	l.emitted++
	enabled := k.Level >= l.logger.GetLevel()
	now := time.Now()
	write := enabled && l.limiter.allow(k.Level, now)
	suppressed, report := l.limiter.takeSuppressed(now)
	l.mu.Unlock()
	if report {
		l.logger.Log(kindByNumber[LogThinned].Level, kindByNumber[LogThinned].Name, "event", int(LogThinned), "lines", suppressed)
	}
	if write {
		l.logger.Log(k.Level, k.Name, f.logArgs(n)...)
	}
}

// logArgs returns the event number and the fields as key-value arguments for hclog.
func (f Fields) logArgs(n Number) []any {
	args := []any{"event", int(n)}
	add := func(name, value string) {
		if value != "" {
			args = append(args, name, value)
		}
	}
	add("request", f.Request)
	add("ticket", f.Ticket)
	add("organisation", f.Organisation)
	add("target", f.Target)
	add("peer", f.Peer)
	if f.TableVersion != 0 {
		args = append(args, "table", f.TableVersion)
	}
	add("detail", f.Detail)
	return append(args, f.Values...)
}

// Records returns the events in the ring buffer, oldest first.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := uint64(len(l.ring))
	first := uint64(0)
	if l.emitted > size {
		first = l.emitted - size
	}
	out := make([]Record, 0, l.emitted-first)
	for i := first; i < l.emitted; i++ {
		out = append(out, l.ring[i%size])
	}
	return out
}
