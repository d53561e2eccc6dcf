// Package publication watches the values that the platform publishes for all hosts: the
// table and the roster of leaving targets. It never writes.
package publication

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeonlink/wigeonlink/pause"
)

type (
	// A Source is a configuration service whose keys can be read and watched.
	Source interface {
		// Watch returns a key's value as soon as its index differs from after, or
		// the current value when the service's wait time is over. With after 0 it
		// returns immediately.
		Watch(ctx context.Context, key string, after uint64) (Value, error)
	}

	// A Value is a published value and its modification index.
	Value struct {
		Data  []byte
		Index uint64
	}

	// A Feed watches one key of a source and passes each new value to OnValue. After a
	// failed watch it retries with exponential backoff, and the last value remains in
	// use.
	Feed struct {
		Source      Source
		Key         string
		OnValue     func(Value) // called for each new value
		OnLost      func(error) // called on the first failure after a success
		OnRecovered func()      // called on the first success after a failure
		Enabled     func() bool // whether to watch at present; nil means always
	}
)

// Keys that the platform publishes.
const (
	KeyTable  = "wigeonlink/table"
	KeyRoster = "wigeonlink/roster"
)

const (
	minBackoff           = 100 * time.Millisecond
	disabledPollInterval = 250 * time.Millisecond
	maxBackoff           = 5 * time.Second
	watchWait            = 20 * time.Second // wait time requested from the service
	watchSlack           = 2 * time.Second  // added to watchWait for the client's timeout

	// MaxValueBytes is the largest accepted size of a value.
	MaxValueBytes = 1 << 20
)

// Run watches the key until ctx is done.
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

// NewSource returns the default Source, which queries the service at an address.
func NewSource(address netip.AddrPort) Source { return newConsul(address) }
