package host

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/publication"
	"github.com/wigeonlink/wigeonlink/table"
)

// roster is the JSON value of publication.KeyRoster. Leaving holds the names of the targets that are
// about to stop or have stopped.
type roster struct {
	Leaving []string `json:"leaving"`
}

// RunFeeds watches the published table and roster and puts them into effect, until ctx is done. The
// table is watched only while WatchesTable reports true.
func (h *Host) RunFeeds(ctx context.Context, source publication.Source) {
	tables := h.newFeed(source, publication.KeyTable, func(v publication.Value) { h.LoadTable(v.Data) })
	tables.Enabled = h.WatchesTable
	rosters := h.newFeed(source, publication.KeyRoster, h.applyRoster)
	go rosters.Run(ctx)
	tables.Run(ctx)
}

// newFeed returns a feed of a key that logs failures of the source and its recovery.
func (h *Host) newFeed(source publication.Source, key string, onValue func(publication.Value)) *publication.Feed {
	return &publication.Feed{
		Source:      source,
		Key:         key,
		OnValue:     onValue,
		OnFailed:    func(err error) { h.log.Emit(event.PlatformLost, event.Fields{Detail: key + ": " + err.Error()}) },
		OnRecovered: func() { h.log.Emit(event.PlatformFound, event.Fields{Detail: key}) },
	}
}

// LoadTable puts a table in its published encoding into effect, and caches it for peers. It rejects
// the whole table if any part is invalid.
func (h *Host) LoadTable(data []byte) {
	t, err := table.Read("published", bytes.NewReader(data))
	if err != nil {
		h.log.Emit(event.TableRefused, event.Fields{Detail: err.Error()})
		return
	}
	h.tableCache.store(t.Version, data)
	h.Post(dispatch.TableChange{Table: t})
}

// applyRoster passes the names of leaving targets to the reducer. An invalid roster is ignored.
func (h *Host) applyRoster(v publication.Value) {
	var r roster
	if err := json.Unmarshal(v.Data, &r); err != nil {
		h.log.Emit(event.TableRefused, event.Fields{Detail: "roster: " + err.Error()})
		return
	}
	leaving := make(map[string]bool, len(r.Leaving))
	for _, name := range r.Leaving {
		leaving[name] = true
	}
	h.Post(dispatch.LeavingTargets{Leaving: leaving})
}
