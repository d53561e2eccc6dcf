package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// A server is a stand-in of one server of a service. A model server answers with a stream of events.
	server struct {
		site    *site
		id      string
		service string
		zone    string
		model   bool
		address string
		slots   chan struct{}
		active  atomic.Int32
		silent  atomic.Int64               // Unix nanoseconds until which the server is silent
		garble  func(r *http.Request) bool // whether the server, in trouble, answers with bytes that are no answer
	}

	// runs counts what the servers have run, by request.
	runs struct {
		mu   sync.Mutex
		of   map[string][]run
		seal atomic.Int64
	}

	// A run is one execution of a request.
	run struct {
		server    string
		at        time.Time
		method    string
		target    string // path and query as received
		host      string
		tenant    string
		completed bool
	}
)

const (
	stepTime       = 7 * time.Millisecond // of one token
	promptPerMs    = 14                   // prompt tokens read in a millisecond
	tokensPerEvent = 4
	engineSlots    = 24
	plainSlots     = 6
)

// start listens at a free port of the server's address and writes its entry to the store.
func (s *server) start(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	n := plainSlots
	if s.model {
		n = engineSlots
	}
	s.slots = make(chan struct{}, n)
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	go s.beat()
	return nil
}

// beat writes the server's entry to the store, as servers do every HeartbeatMs.
func (s *server) beat() {
	for sequence := 1; ; sequence++ {
		data, _ := json.Marshal(map[string]any{
			"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": cap(s.slots),
			"State": "ready", "ColdRemainingMs": 0, "Sequence": sequence, "born": s.site.started.UnixMilli(),
		})
		s.site.store.put("servers/"+s.id, data)
		time.Sleep(1200 * time.Millisecond)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	case r.URL.Path == "/v1/report":
		writeJSON(w, map[string]any{"Stage": "hybrid", "State": "ready", "ActiveRequests": s.active.Load()})
		return
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.refuse(w, r)
		return
	}
	defer func() { <-s.slots }()
	s.active.Add(1)
	defer s.active.Add(-1)
	s.run(ctx, w, r)
}

func (s *server) refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run executes a request and answers it.
func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	number := s.site.runs.begin(id, run{
		server: s.id, at: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host, tenant: r.Header.Get("Tenant-Id"),
	})
	s.site.log("run %s at %s: %s %s host %s tenant %s", id, s.id, r.Method, r.RequestURI, r.Host, r.Header.Get("Tenant-Id"))
	if s.garble != nil && s.garble(r) {
		s.writeGarbage(w, id)
		return
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Response-Seal", fmt.Sprintf("%s.%d", s.id, s.site.runs.seal.Add(1)))
	if !s.model {
		if !sleep(ctx, s.site.plainWork) {
			return
		}
		h.Set("Content-Type", "application/octet-stream")
		if _, err := w.Write([]byte(strings.Repeat("b", 800))); err == nil {
			s.site.runs.complete(id, number)
		}
		return
	}
	prompt, output := usage(r)
	if !sleep(ctx, time.Duration(prompt/promptPerMs)*time.Millisecond) {
		return
	}
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for event := 1; event <= max(output/tokensPerEvent, 1); event++ {
		if !sleep(ctx, tokensPerEvent*stepTime+s.silentFor()) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, id, event); err != nil || control.Flush() != nil {
			return
		}
	}
	s.site.runs.complete(id, number)
}

// fallSilent makes a sound server send nothing for d, and go on then.
func (s *server) fallSilent(d time.Duration) {
	s.silent.Store(time.Now().Add(d).UnixNano())
	s.site.log("%s is silent for %s", s.id, d)
}

// silentFor returns the time for which the server is still silent.
func (s *server) silentFor() time.Duration {
	return max(time.Until(time.Unix(0, s.silent.Load())), 0)
}

// writeGarbage answers with a head that does not end, until the caller closes the connection.
func (s *server) writeGarbage(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	began, bytes := time.Now(), 0
	out := bufio.NewWriterSize(conn, 32<<10)
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\n")
	for n := 0; ; n++ {
		k, err := fmt.Fprintf(out, "x%d:\r\n", n)
		if bytes += k; err != nil {
			break
		}
		if n%2048 == 0 { // at most garbageRate
			time.Sleep(time.Until(began.Add(time.Duration(float64(bytes) / garbageRate * float64(time.Second)))))
		}
	}
	s.site.log("garbage %s from %s: %d bytes of a head in %s, then the caller closed", id, s.id, bytes, time.Since(began).Round(time.Millisecond))
}

// garbageRate is the rate of an endless head, in bytes a second: a tenth of a machine's link.
const garbageRate = 12.5e6

// usage returns the prompt tokens and the output tokens of a request.
func usage(r *http.Request) (prompt, output int) {
	in, out, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(in)
	output, _ = strconv.Atoi(out)
	return prompt, output
}

// sleep reports whether d has passed before ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runs) begin(id string, one run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.of == nil {
		r.of = map[string][]run{}
	}
	r.of[id] = append(r.of[id], one)
	return len(r.of[id]) - 1
}

func (r *runs) complete(id string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[id][number].completed = true
}

// get returns the runs of a request.
func (r *runs) get(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.of[id]...)
}
