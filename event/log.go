package event

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

type (
	// A Record is one event of the time line.
	Record struct {
		Stamp  Stamp  `json:"stamp"`
		Host   string `json:"host"`
		Number Number `json:"number"`
		Name   string `json:"name"`
		Fields
	}

	// Fields are what an event is about. Empty ones are left out.
	Fields struct {
		Request      string `json:"request,omitempty"` // generation or request identifier
		Ticket       string `json:"ticket,omitempty"`
		Organisation string `json:"organisation,omitempty"`
		Target       string `json:"target,omitempty"`
		Peer         string `json:"peer,omitempty"`
		Table        uint64 `json:"table,omitempty"` // version
		Detail       string `json:"detail,omitempty"`
		Values       []any  `json:"values,omitempty"` // names and values by turns: what a decision rested on
	}

	// A Log writes events to the log and keeps the latest in a ring.
	Log struct {
		host   string
		logger hclog.Logger
		clock  *Clock
		mu     sync.Mutex
		ring   []Record
		next   uint64 // events so far
		bound  bound
	}

	// An Option changes a Log.
	Option interface{ apply(*Log) }

	withSize   int
	withRate   float64
	withLogger struct{ logger hclog.Logger }
	withClock  struct{ clock *Clock }
)

const defaultSize = 4096 // events

// WithSize sets how many events the ring keeps.
func WithSize(n int) Option { return withSize(n) }

// WithLogger sets where events are written. The default writes nowhere.
func WithLogger(l hclog.Logger) Option { return withLogger{l} }

// WithClock sets the clock that stamps events.
func WithClock(c *Clock) Option { return withClock{c} }

// WithRate bounds the lines that are written in a second. The ring keeps all events.
func WithRate(lines float64) Option { return withRate(lines) }

func (o withRate) apply(l *Log)   { l.bound.rate = float64(o) }
func (o withSize) apply(l *Log)   { l.ring = make([]Record, max(int(o), 1)) }
func (o withLogger) apply(l *Log) { l.logger = o.logger }
func (o withClock) apply(l *Log)  { l.clock = o.clock }

// NewLog returns a log of one host's events.
func NewLog(host string, opts ...Option) *Log {
	l := &Log{host: host, logger: hclog.NewNullLogger(), clock: &Clock{}, ring: make([]Record, defaultSize)}
	for _, o := range opts {
		o.apply(l)
	}
	return l
}

// Clock returns the clock that stamps the events.
func (l *Log) Clock() *Clock { return l.clock }

// Host returns the name of the host.
func (l *Log) Host() string { return l.host }

// Emit records an event.
func (l *Log) Emit(n Number, f Fields) {
	k := byNumber[n]
	r := Record{Stamp: l.clock.Next(), Host: l.host, Number: n, Name: k.Name, Fields: f}
	l.mu.Lock()
	l.ring[l.next%uint64(len(l.ring))] = r
	l.next++
	wanted := k.Level >= l.logger.GetLevel()
	now := time.Now()
	write := wanted && l.bound.allows(k.Level, now)
	thinned, noted := l.bound.note(now)
	l.mu.Unlock()
	if noted {
		l.logger.Log(byNumber[LogThinned].Level, byNumber[LogThinned].Name, "event", int(LogThinned), "lines", thinned)
	}
	if write {
		l.logger.Log(k.Level, k.Name, f.pairs(n)...)
	}
}

// pairs returns the fields in the form of hclog.
func (f Fields) pairs(n Number) []any {
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
	if f.Table != 0 {
		args = append(args, "table", f.Table)
	}
	add("detail", f.Detail)
	return append(args, f.Values...)
}

// Records returns the events in the ring, oldest first.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := uint64(len(l.ring))
	first := uint64(0)
	if l.next > size {
		first = l.next - size
	}
	out := make([]Record, 0, l.next-first)
	for i := first; i < l.next; i++ {
		out = append(out, l.ring[i%size])
	}
	return out
}
