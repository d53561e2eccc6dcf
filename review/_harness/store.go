package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// A store is a stand-in of the platform's metadata store. It keeps its whole history.
	store struct {
		mu       sync.Mutex
		revision int
		items    map[string]item
		history  []item
		changed  chan struct{}
		down     atomic.Bool // turns all calls away, and takes none of the servers' writes
	}

	// A door is the way of one host to the store.
	door struct {
		store  *store
		shut   atomic.Bool // turns this host's calls away
		served atomic.Int64
	}

	item struct {
		Key        string
		Value      []byte `json:",omitempty"` // encoding/json writes it as padded base64
		Revision   int
		CreatedRev int  `json:",omitempty"`
		Lease      int  `json:"Lease"`
		Removed    bool `json:",omitempty"`
	}
)

const pageSize = 500

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// ServeHTTP passes a call on to the store, or resets its connection.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.store.down.Load() && !d.shut.Load() {
		d.served.Add(1)
		d.store.ServeHTTP(w, r)
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// has reports whether the store has a key.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// put writes a value under a key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	s.record(item{Key: key, Value: value, Revision: s.revision, CreatedRev: created})
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(i item) {
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.serveKey(w, q.Get("Key"))
	case "/v1/kv-range":
		s.serveRange(w, q.Get("Prefix"), q.Get("After"))
	case "/v1/kv-watch":
		after, _ := strconv.Atoi(q.Get("After"))
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		s.serveWatch(w, r, q.Get("Prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageSize
	keys = keys[:min(len(keys), pageSize)]
	page := struct {
		Items      []item
		MorePages  bool
		CurrentRev int
	}{[]item{}, more, s.revision}
	for _, key := range keys {
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		reply := struct {
			Events     []item `json:"events"`
			CurrentRev int
		}{[]item{}, s.revision}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				reply.Events = append(reply.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Events) > 0 {
			writeJSON(w, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
