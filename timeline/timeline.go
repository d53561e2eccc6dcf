// Package timeline collects the events of several hosts, merges them in the order of their
// timestamps and renders them as text or HTML.
package timeline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/event"
)

// A Filter selects the events that match all its fields. A zero field matches any event.
type Filter struct {
	Request      string // substring of the request's identifier
	Ticket       string // substring of the ticket's identifier
	TableVersion uint64 // version of the table that the event refers to
}

const (
	fetchTimeout    = 5 * time.Second // limit for the events of one host
	maxResponseBody = 64 << 20        // bytes
)

// Collect fetches the events of hosts concurrently, from the addresses of their operator
// interfaces, and merges them. It returns the events that it could fetch, and an error for each
// host whose events it could not fetch completely.
func Collect(ctx context.Context, addresses []string) ([]event.Record, []error) {
	var mu sync.Mutex
	var all []event.Record
	var errs []error
	var fetches sync.WaitGroup
	for _, a := range addresses {
		fetches.Go(func() {
			records, err := fetchEvents(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, records...)
			if err != nil {
				errs = append(errs, eris.Errorf("%s: %v", a, err))
			}
		})
	}
	fetches.Wait()
	Merge(all)
	return all, errs
}

// fetchEvents reads the events of one host. An address without a scheme is reached by HTTP.
func fetchEvents(ctx context.Context, address string) ([]event.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(address, "/")+"/events", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("fetch events: status %d", resp.StatusCode)
	}
	var records []event.Record
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBody)).Decode(&records)
	return records, err
}

// Merge sorts events by their timestamps, then by the name of the host. The sort is stable,
// so that events of one host with the same timestamp stay in order.
func Merge(records []event.Record) {
	slices.SortStableFunc(records, func(a, b event.Record) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		}
		return strings.Compare(a.Host, b.Host)
	})
}

// Apply returns the events that match the filter.
func (f Filter) Apply(records []event.Record) []event.Record {
	out := make([]event.Record, 0, len(records))
	for _, r := range records {
		if f.matches(r) {
			out = append(out, r)
		}
	}
	return out
}

func (f Filter) matches(r event.Record) bool {
	switch {
	case f.Request != "" && !strings.Contains(r.Request, f.Request):
		return false
	case f.Ticket != "" && !strings.Contains(r.Ticket, f.Ticket):
		return false
	case f.TableVersion != 0 && r.TableVersion != f.TableVersion:
		return false
	}
	return true
}

// WriteText writes one line per event, with its time in UTC.
func WriteText(w io.Writer, records []event.Record) error {
	for _, r := range records {
		_, err := fmt.Fprintf(w, "%s.%d %-12s %d %-20s%s\n",
			r.Stamp.Time().UTC().Format("15:04:05.000"), r.Stamp.Count, r.Host, r.Number, r.Name, formatFields(r))
		if err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the non-empty fields of an event as name=value pairs, each after a space,
// followed by the detail in quotes. It omits Values.
func formatFields(r event.Record) string {
	var b strings.Builder
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	add("request", r.Request)
	add("ticket", r.Ticket)
	add("organisation", r.Organisation)
	add("target", r.Target)
	add("peer", r.Peer)
	if r.TableVersion > 0 {
		add("table", fmt.Sprint(r.TableVersion))
	}
	if r.Detail != "" {
		fmt.Fprintf(&b, " %q", r.Detail)
	}
	return b.String()
}
