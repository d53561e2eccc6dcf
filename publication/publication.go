// Package publication reads what is published for all hosts: the table and the roster of
// leaving targets. It only ever reads and watches.
package publication

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeonlink/wigeonlink/pause"
)

type (
	// A Source is a configuration service that can be read and watched.
	Source interface {
		// Watch returns a key's value once its index differs from after, or the
		// present value when the service has waited long enough. after 0 returns
		// at once.
		Watch(ctx context.Context, key string, after uint64) (Value, error)
	}

	// A Value is a published value and the index at which it was published.
	Value struct {
		Data  []byte
		Index uint64
	}

	// A Feed watches one key of a source and hands on every new value. Between
	// failures it backs off; the last value stays in force.
	Feed struct {
		Source Source
		Key    string
		Value  func(Value) // called for every new value
		Lost   func(error) // called when the source stops answering
		Found  func()      // called when it answers again
		Active func() bool // whether to read now; nil means always
	}
)

// The keys under which the platform publishes.
const (
	KeyTable  = "wigeonlink/table"
	KeyRoster = "wigeonlink/roster"
)

const (
	firstBackoff = 100 * time.Millisecond
	idlePause    = 250 * time.Millisecond
	mostBackoff  = 5 * time.Second
	watchWait    = 20 * time.Second // that the service is asked to wait
	answerLate   = 2 * time.Second  // beyond watchWait, until a watch counts as lost

	// MostValue is the largest value that the service holds, in bytes.
	MostValue = 1 << 20
)

// Run watches until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var index uint64
	backoff := firstBackoff
	lost := false
	for ctx.Err() == nil {
		if f.Active != nil && !f.Active() {
			pause.For(ctx, idlePause)
			continue
		}
		v, err := f.Source.Watch(ctx, f.Key, index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				lost = true
				f.Lost(err)
			}
			pause.For(ctx, backoff)
			backoff = min(2*backoff, mostBackoff)
			index = 0
			continue
		}
		if lost {
			lost = false
			f.Found()
		}
		backoff = firstBackoff
		if v.Index != index {
			index = v.Index
			f.Value(v)
		}
	}
}

// NewSource returns the stock source: the service at an address.
func NewSource(address netip.AddrPort) Source { return newConsul(address) }
