package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is a stand-in of the platform's metadata store, which hosts can only read.
	store struct {
		mu       sync.Mutex
		changed  chan struct{} // closed and replaced by each write
		revision int64
		items    map[string]storeItem
		history  []storeItem
		listener net.Listener
	}

	storeItem struct {
		Key        string
		Value      string `json:",omitempty"`
		Revision   int64
		CreatedRev int64 `json:",omitempty"`
		Lease      int64
		Removed    bool `json:",omitempty"`
	}
)

// Limits of a page of kv-range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{changed: make(chan struct{}), revision: 100, items: map[string]storeItem{}, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value under a key, and returns the revision.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, CreatedRev: created}
	s.items[key] = item
	s.record(item)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("Key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		CurrentRev int64
	}{item, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items      []storeItem
		MorePages  bool
		CurrentRev int64
	}{Items: []storeItem{}, CurrentRev: s.revision}
	keys := make([]string, 0, len(s.items))
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	bytes := 0
	for _, k := range keys {
		if len(out.Items) == pageItems || bytes >= pageBytes {
			out.MorePages = true
			break
		}
		out.Items = append(out.Items, s.items[k])
		bytes += len(s.items[k].Value)
	}
	writeJSON(w, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	end := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, q.Get("Prefix")) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, struct {
				Events     []storeItem `json:"events"`
				CurrentRev int64
			}{events, revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v) // the types of this package have no values that cannot be encoded
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
