// Package timeline merges the events of many hosts into one ordered view.
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

// A Filter chooses events. Empty fields choose all.
type Filter struct {
	Request string // part of a request's identifier
	Ticket  string
	Table   uint64 // version
}

const (
	askTimeout = 5 * time.Second
	mostAnswer = 64 << 20 // bytes
)

// Collect reads the events of hosts by their operators' addresses and merges them.
// Hosts that do not answer are reported, the others are used.
func Collect(ctx context.Context, addresses []string) ([]event.Record, []error) {
	var mu sync.Mutex
	var all []event.Record
	var problems []error
	var asked sync.WaitGroup
	for _, a := range addresses {
		asked.Go(func() {
			records, err := ask(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, records...)
			if err != nil {
				problems = append(problems, eris.Errorf("%s: %v", a, err))
			}
		})
	}
	asked.Wait()
	Merge(all)
	return all, problems
}

func ask(ctx context.Context, address string) ([]event.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		return nil, eris.Errorf("status %d", resp.StatusCode)
	}
	var records []event.Record
	err = json.NewDecoder(io.LimitReader(resp.Body, mostAnswer)).Decode(&records)
	return records, err
}

// Merge sorts events by their stamps; equal stamps by host, in the host's order.
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

// Apply returns the events that the filter chooses.
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
	case f.Table != 0 && r.Table != f.Table:
		return false
	}
	return true
}

// WriteText prints one line an event.
func WriteText(w io.Writer, records []event.Record) error {
	for _, r := range records {
		_, err := fmt.Fprintf(w, "%s.%d %-12s %d %-20s%s\n",
			r.Stamp.Time().UTC().Format("15:04:05.000"), r.Stamp.Count, r.Host, r.Number, r.Name, describe(r))
		if err != nil {
			return err
		}
	}
	return nil
}

// describe lists an event's fields.
func describe(r event.Record) string {
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
	if r.Table > 0 {
		add("table", fmt.Sprint(r.Table))
	}
	if r.Detail != "" {
		fmt.Fprintf(&b, " %q", r.Detail)
	}
	return b.String()
}
