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
		Source      Source
		Key         string
		OnValue     func(Value) // called for every new value
		OnLost      func(error) // called when the source stops answering
		OnRecovered func()      // called when it answers again
		Enabled     func() bool // whether to read now; nil means always
	}
)

// The keys under which the platform publishes.
const (
	KeyTable  = "wigeonlink/table"
	KeyRoster = "wigeonlink/roster"
)

const (
	minBackoff           = 100 * time.Millisecond
	disabledPollInterval = 250 * time.Millisecond
	maxBackoff           = 5 * time.Second
	watchWait            = 20 * time.Second // that the service is asked to wait
	watchSlack           = 2 * time.Second  // beyond watchWait, until a watch counts as lost

	// MaxValueBytes is the largest value that the service holds, in bytes.
	MaxValueBytes = 1 << 20
)

// Run watches until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var index uint64
	backoff := minBackoff
	lost := false
	for ctx.Err() == nil {
		if f.Enabled != nil && !f.Enabled() {
			pause.For(ctx, disabledPollInterval)
			continue
		}
		v, err := f.Source.Watch(ctx, f.Key, index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				lost = true
				f.OnLost(err)
			}
			pause.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			index = 0
			continue
		}
		if lost {
			lost = false
			f.OnRecovered()
		}
		backoff = minBackoff
		if v.Index != index {
			index = v.Index
			f.OnValue(v)
		}
	}
}

// NewSource returns the stock source: the service at an address.
func NewSource(address netip.AddrPort) Source { return newConsul(address) }
