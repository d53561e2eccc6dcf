package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
		gone    atomic.Bool                // the server has removed its entry
		garble  func(r *http.Request) bool // whether the server, in trouble, answers with bytes that are no answer
		cut     func(r *http.Request) bool // whether the server, in trouble, breaks its answer off
		events  bool                       // a plain server answers GET with a stream of events
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
		seal      string
		body      string // of the whole answer
	}
)

const (
	stepTime       = 7 * time.Millisecond // of one token
	promptPerMs    = 14                   // prompt tokens read in a millisecond
	tokensPerEvent = 4
	engineSlots    = 24
	heartbeat      = 1200 * time.Millisecond
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
	go s.beat(time.Duration(s.site.rng.Int64N(int64(heartbeat))))
	return nil
}

// beat keeps the server's entry in the store, as servers do every HeartbeatMs. Only the first write, and the first one after
// the entry has lapsed, changes it: the others change no more than Sequence. offset is added to the first interval.
func (s *server) beat(offset time.Duration) {
	key := "servers/" + s.id
	for sequence := 1; ; sequence++ {
		if !s.site.store.down.Load() && !s.gone.Load() && !s.site.store.has(key) {
			data, _ := json.Marshal(map[string]any{
				"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": cap(s.slots),
				"State": "ready", "ColdRemainingMs": 0, "Sequence": sequence, "born": s.site.started.UnixMilli(),
			})
			s.site.store.put(key, data)
			s.site.log("%s is in the store", s.id)
		}
		time.Sleep(heartbeat + offset)
		offset = 0
	}
}

// leave removes the server's entry without having reported draining. The server goes on serving.
func (s *server) leave() {
	s.gone.Store(true)
	s.site.store.remove("servers/" + s.id)
	s.site.log("%s has left the store", s.id)
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
		if sleep(ctx, s.site.plainWork) {
			s.answerPlain(w, r, id, number)
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
		if !sleep(ctx, tokensPerEvent*stepTime) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, id, event); err != nil || control.Flush() != nil {
			return
		}
	}
	s.site.runs.complete(id, number)
}

// answerPlain answers a request at a plain server: with 800 bytes, or with events that hold as much.
func (s *server) answerPlain(w http.ResponseWriter, r *http.Request, id string, number int) {
	h, body := w.Header(), strings.Repeat("b", 800)
	h.Set("Content-Type", "application/octet-stream")
	if s.events && r.Method == http.MethodGet {
		h.Set("Content-Type", "text/event-stream")
		body = fmt.Sprintf("id: 1\ndata: stock %s %s %s\n\nid: 2\ndata: end\n\n", id, s.id, strings.Repeat("s", 700))
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	s.site.runs.answer(id, number, h.Get("Response-Seal"), body)
	if s.cut != nil && s.cut(r) {
		s.site.log("answer to %s from %s is broken off", id, s.id)
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.WriteString(w, body); err == nil {
		s.site.runs.complete(id, number)
	}
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

// answer records the whole answer to a request.
func (r *runs) answer(id string, number int, seal, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[id][number].seal, r.of[id][number].body = seal, body
}

// mostUsed returns the one of the servers that has run the most requests since a time.
func (r *runs) mostUsed(servers []*server, since time.Time) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, list := range r.of {
		for _, one := range list {
			if one.at.After(since) {
				counts[one.server]++
			}
		}
	}
	return slices.MaxFunc(servers, func(a, b *server) int { return cmp.Compare(counts[a.id], counts[b.id]) })
}

// get returns the runs of a request.
func (r *runs) get(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.of[id]...)
}
