// Package registry replicates the published state, which is the configuration and the list of
// live targets, to a host. A few hosts read it from the source and send the updates to their
// peers, which limits the load on the source. A host that receives no updates from its peers
// reads the source itself.
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
	// under one revision. The revision increases within an era. A source that is restored
	// from a backup begins a new era, in which revisions of the one before are used again.
	Source interface {
		// Read returns a full snapshot.
		Read(ctx context.Context) (Update, error)

		// Watch returns the changes after a revision. It waits until there is a change
		// or the wait time is over. ErrCompacted means that the source no longer has
		// these changes, and that Read must be called instead. If the Era of the result is
		// not that of the revision, the changes do not apply to it.
		Watch(ctx context.Context, after uint64, wait time.Duration) (Update, error)

		// Table parses the Data of a Config.
		Table(data []byte) (*table.Table, error)
	}

	// An Update is a full snapshot of the published state or a delta between two revisions.
	// A host gets it from the source or from a peer.
	Update struct {
		Era         uint64            // era of the source to which the revisions belong; 0 if it does not report one
		Base        uint64            // revision that a delta applies to; ignored if Full is set
		Full        bool              // a full snapshot, which replaces the previous state
		Revision    uint64            // revision of the published state after the update
		Config      *Config           // nil if the configuration has not changed since Base
		Targets     []table.Target    // targets added or changed; Target.Service holds the pool, also for engines
		Removed     []string          // names of removed targets
		Written     map[string]uint64 // revisions at which the source's entries of Targets were written, by name; empty in an update from a peer
		Skips       bool              // a target changed more than once: the content was another between Base and Revision
		ParseErrors []string          // for the log, an error for each entry that could not be parsed and is left out

		// ContentRevision is the revision since which the content of a full snapshot from a peer has been the
		// same; 0 if the peer does not state it. See Confirmation.
		ContentRevision uint64

		// Evacuated holds the failure domains that are to be evacuated: all of them in a full snapshot and in an
		// update from a peer, those requested since Base in a delta from the source.
		Evacuated []string
		Withdrawn []string // delta from the source: domains whose evacuation was withdrawn since Base

		// OmitsEvacuations is set in an update from a peer of an earlier build, which does not read Evacuated.
		OmitsEvacuations bool
	}

	// A Config is the configuration in the encoding in which the source publishes it.
	Config struct {
		Revision uint64 // revision at which it was published
		Data     []byte
	}
)

// ErrCompacted reports that a source no longer has the changes since a revision.
var ErrCompacted = eris.New("source no longer has the changes since this revision")

// Put adds a target to Targets. It replaces an earlier Put or Remove of the same name.
func (r *Update) Put(t table.Target) {
	if old, ok := r.put(t.Name); ok && old == t {
		return
	}
	r.drop(t.Name)
	r.Targets = append(r.Targets, t)
}

// Remove adds a target's name to Removed. It replaces an earlier Put or Remove of that name.
func (r *Update) Remove(name string) {
	if slices.Contains(r.Removed, name) {
		return
	}
	r.drop(name)
	r.Removed = append(r.Removed, name)
}

// PutWritten is Put for a target whose entry in the source was written at a revision.
func (r *Update) PutWritten(t table.Target, revision uint64) {
	if r.Written == nil {
		r.Written = map[string]uint64{}
	}
	r.Written[t.Name] = revision
	r.Put(t)
}

// put returns the target with a name in Targets, if there is one.
func (r *Update) put(name string) (table.Target, bool) {
	i := slices.IndexFunc(r.Targets, func(t table.Target) bool { return t.Name == name })
	if i < 0 {
		return table.Target{}, false
	}
	return r.Targets[i], true
}

// Evacuate adds a failure domain to Evacuated. It replaces an earlier Withdraw of the same domain.
func (r *Update) Evacuate(domain string) {
	r.Withdrawn = without(r.Withdrawn, domain)
	r.Evacuated = append(without(r.Evacuated, domain), domain)
}

// Withdraw adds a failure domain to Withdrawn. It replaces an earlier Evacuate of the same domain.
func (r *Update) Withdraw(domain string) {
	r.Evacuated = without(r.Evacuated, domain)
	r.Withdrawn = append(without(r.Withdrawn, domain), domain)
}

// without returns the names except one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// drop undoes an earlier Put or Remove of a name, and records that the content was another in between.
func (r *Update) drop(name string) {
	before := len(r.Targets) + len(r.Removed)
	r.Targets = slices.DeleteFunc(r.Targets, func(t table.Target) bool { return t.Name == name })
	r.Removed = slices.DeleteFunc(r.Removed, func(n string) bool { return n == name })
	r.Skips = r.Skips || len(r.Targets)+len(r.Removed) < before
}
