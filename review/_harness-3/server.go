package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// server is a stand-in of a plain server.
	server struct {
		site    *site
		id      string
		service string
		work    time.Duration
		slots   chan struct{}
		quiet   bool // whether runs are not recorded one by one
	}

	// site is the store with the servers of a small deployment.
	site struct {
		record *record
		store  *store

		mu   sync.Mutex
		runs map[string][]*server // by the identifier of the request
	}
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	slots             = 6 // requests at once of a server
)

func (s *site) addServer(id, service, zone, address string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	v := &server{site: s, id: id, service: service, work: work, slots: make(chan struct{}, slots)}
	go func() { _ = http.Serve(l, v) }()
	s.keepEntry(id, service, zone, l.Addr().String())
	return v, nil
}

// keepEntry writes the entry of a ready plain server, now and every heartbeat interval.
func (s *site) keepEntry(id, service, zone, address string) {
	s.keepEntrySlots(id, service, zone, address, slots)
}

// keepEntrySlots is keepEntry for a server that serves so many requests at once.
func (s *site) keepEntrySlots(id, service, zone, address string, slots int) {
	born, sequence := time.Now().UnixMilli(), 0
	beat := func() {
		sequence++
		data, _ := json.Marshal(map[string]any{ // all values can be encoded
			"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready", "ColdRemainingMs": 0,
			"Sequence": sequence, "born": born,
		})
		s.store.put("servers/"+id, data)
	}
	beat()
	go func() {
		for range time.Tick(heartbeatInterval) {
			beat()
		}
	}()
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	reject := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", id)
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusOK)
		return
	case expected != "" && expected != v.id:
		w.Header().Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	select {
	case v.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-v.slots }()
	v.site.run(id, v)
	if !v.quiet {
		v.site.record.add("server %s (%s) runs %s %s, id %.40s, tenant %s", v.id, v.service, r.Method, r.RequestURI, id, r.Header.Get("Tenant-Id"))
	}
	time.Sleep(v.work)
	out := fmt.Appendf(nil, "%s %s %x\n", v.id, id, sha256.Sum256(body))
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", fmt.Sprintf("seal.%s.%.40s", v.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

func (s *site) run(id string, v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[string][]*server{}
	}
	s.runs[id] = append(s.runs[id], v)
}

// runsOf returns the servers that have run a request.
func (s *site) runsOf(id string) []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}
