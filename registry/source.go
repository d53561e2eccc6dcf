// Package registry replicates the published configuration and list of live targets to a
// host. Updates come from the source or from peers that have read it: few hosts put load
// on the source, and a host that is cut off from its peers reads the source directly.
package registry

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/table"
)

type (
	// A Source is a read-only service that publishes the configuration and the targets
	// under one increasing revision.
	Source interface {
		// Read returns a full snapshot.
		Read(ctx context.Context) (Update, error)

		// Watch returns the changes after a revision, as soon as there is one or
		// when the wait is over. ErrCompacted means that the source no longer has
		// these changes; Read returns the full state then.
		Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error)

		// Table parses a published configuration.
		Table(data []byte) (*table.Table, error)
	}

	// An Update is a full snapshot or a delta, from a response of a source or passed on
	// by a peer.
	Update struct {
		Base        uint64 // revision that a delta applies to; ignored if Full is set
		Full        bool   // a full snapshot, which replaces the previous state
		Revision    uint64
		Config      *Config        // nil if the configuration has not changed since Base
		Targets     []table.Target // added or changed; Service holds the pool, also for engines
		Removed     []string       // names of removed targets
		ParseErrors []string       // errors of entries that could not be parsed, for the log
	}

	// A Config is a configuration in its published form.
	Config struct {
		Revision uint64 // revision at which it was published
		Data     []byte
	}
)

// ErrCompacted reports that a source no longer has the changes since a revision.
var ErrCompacted = eris.New("source no longer has the changes since this revision")

// Put adds a target to an update; it replaces an earlier entry of the same name.
func (r *Update) Put(t table.Target) {
	r.drop(t.Name)
	r.Targets = append(r.Targets, t)
}

// Remove adds the removal of a target to an update; it undoes an earlier Put.
func (r *Update) Remove(name string) {
	r.drop(name)
	r.Removed = append(r.Removed, name)
}

func (r *Update) drop(name string) {
	r.Targets = slices.DeleteFunc(r.Targets, func(t table.Target) bool { return t.Name == name })
	r.Removed = slices.DeleteFunc(r.Removed, func(n string) bool { return n == name })
}
