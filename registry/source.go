// Package registry keeps what is published for all hosts: the configuration and the
// targets that live. A host takes it from the source, or from peers that have read it,
// so that few hosts read and every host can read for itself when it is cut off.
package registry

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Source is a service that publishes the configuration and the targets under one
	// rising revision. It can only be read.
	Source interface {
		// Read returns all that is published.
		Read(ctx context.Context) (Reading, error)

		// Watch returns what has changed after a revision, as soon as there is a
		// change or when wait is over. ErrHistory means that the source no longer
		// knows; Read does.
		Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)

		// Table reads a published configuration.
		Table(sheet []byte) (*table.Table, error)
	}

	// A Reading is what one answer of a source says, or what a peer passes on.
	Reading struct {
		Base     uint64 // revision that it adds to
		Whole    bool   // it replaces all that was known; Base does not count
		Revision uint64
		Sheet    *Sheet         // nil if the configuration has not changed since Base
		Targets  []table.Target // their Service is the pool, whether of engines or not
		Removed  []string       // names of targets
		Refused  []string       // what could not be read, for the log
	}

	// A Sheet is a configuration as it was published.
	Sheet struct {
		Revision uint64 // at which it was published
		Data     []byte
	}
)

// ErrHistory says that a source no longer knows what has changed since a revision.
var ErrHistory = eris.New("the source no longer has this history")

// Put adds a target to a reading; of two with one name the later counts.
func (r *Reading) Put(t table.Target) {
	r.drop(t.Name)
	r.Targets = append(r.Targets, t)
}

// Remove adds to a reading that a target is gone; it takes back an earlier Put.
func (r *Reading) Remove(name string) {
	r.drop(name)
	r.Removed = append(r.Removed, name)
}

func (r *Reading) drop(name string) {
	r.Targets = slices.DeleteFunc(r.Targets, func(t table.Target) bool { return t.Name == name })
	r.Removed = slices.DeleteFunc(r.Removed, func(n string) bool { return n == name })
}
