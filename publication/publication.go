// Package publication watches the values that the platform publishes for all hosts in a
// configuration service: the table, and the roster, which lists the targets that are about to
// stop or have stopped. It never writes values.
package publication

import (
	"context"
	"net/netip"
	"time"

	"github.com/wigeonlink/wigeonlink/pause"
)

type (
	// A Source is a configuration service whose keys can be watched.
	Source interface {
		// Watch returns the value of a key as soon as its index differs from after, or
		// the unchanged value after the wait time of the service. If after is 0, it
		// returns the current value immediately.
		Watch(ctx context.Context, key string, after uint64) (Value, error)
	}

	// A Value is the value of a key and its index, which changes when the value is
	// published again.
	Value struct {
		Data  []byte
		Index uint64
	}

	// A Feed watches one key of a source and passes each new value to OnValue. After a
	// failed watch it retries with exponential backoff; until a watch succeeds, OnValue is
	// not called, so the last value remains in use.
	Feed struct {
		Source      Source
		Key         string
		OnValue     func(Value) // called with the first value, each changed value, and the value after a failure
		OnFailed    func(error) // called when a watch fails, unless the previous one failed as well
		OnRecovered func()      // called when a watch succeeds after a failed one
		Enabled     func() bool // reports whether to watch at present; nil means always
	}
)

// Keys that the platform publishes.
const (
	KeyTable  = "wigeonlink/table"  // the table of targets, routes and organisations
	KeyRoster = "wigeonlink/roster" // the targets that are about to stop or have stopped
)

const (
	minBackoff           = 100 * time.Millisecond // after the first failed watch
	disabledPollInterval = 250 * time.Millisecond // between calls of Enabled while it reports false
	maxBackoff           = 5 * time.Second
	watchWait            = 20 * time.Second // longest wait of one query for a change, requested from the service
	watchSlack           = 2 * time.Second  // by which the timeout of a query exceeds watchWait

	// MaxValueBytes is the largest accepted size of a value in bytes.
	MaxValueBytes = 1 << 20
)

// Run watches the key and calls the functions of the feed until ctx is done.
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
				f.OnFailed(err)
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

// NewSource returns a Source for the configuration service at address, which implements the Consul
// KV API.
func NewSource(address netip.AddrPort) Source { return newConsul(address) }
