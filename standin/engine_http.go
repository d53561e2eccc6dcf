package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wigeonlink/wigeonlink/target"
)

type (
	engineRequest struct {
		Model           string `json:"model"`
		Input           string `json:"input"`
		MaxOutputTokens int    `json:"max_output_tokens"`
		Priority        int    `json:"priority"`
	}

	engineEvent struct {
		Type           string          `json:"type"`
		SequenceNumber int             `json:"sequence_number"`
		Delta          string          `json:"delta,omitempty"`
		Response       *engineResponse `json:"response,omitempty"`
	}

	engineResponse struct {
		ID     string       `json:"id"`
		Status string       `json:"status"`
		Usage  *engineUsage `json:"usage,omitempty"`
		Error  *engineError `json:"error,omitempty"`
	}

	engineUsage struct {
		InputTokens  int                `json:"input_tokens"`
		OutputTokens int                `json:"output_tokens"`
		InputDetails engineInputDetails `json:"input_tokens_details"`
	}

	engineInputDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	engineError struct {
		Message string `json:"message"`
	}
)

// Handler returns an HTTP handler that starts, resumes and cancels generations, serves
// metrics and injects faults.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/responses", e.serveStart).Methods(http.MethodPost)
	m.HandleFunc("/v1/responses/{id}", e.serveResume).Methods(http.MethodGet)
	m.HandleFunc("/v1/responses/{id}/cancel", e.serveCancel).Methods(http.MethodPost)
	m.Handle("/metrics", promhttp.HandlerFor(e.metricsRegistry(), promhttp.HandlerOpts{}))
	m.HandleFunc("/faults", e.serveFault).Methods(http.MethodPost)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderBoot, e.BootID())
		m.ServeHTTP(w, r)
	})
}

func (e *Engine) metricsRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	gauge := func(name string, f func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: name}, func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return f()
		}))
	}
	gauge("engine:cache_tokens_total", func() float64 { return float64(e.batch.Spec().MemoryTokens) })
	gauge("vllm:kv_cache_usage_perc", func() float64 { return float64(e.batch.UsedTokens()) / float64(e.batch.Spec().MemoryTokens) })
	gauge("vllm:num_requests_running", func() float64 { return float64(e.batch.RunningCount()) })
	gauge("vllm:num_requests_waiting", func() float64 { return float64(e.batch.WaitingCount()) })
	gauge("vllm:num_preemptions_total", func() float64 { return float64(e.batch.Counts().Preemptions) })
	gauge("engine:leaving", func() float64 {
		if e.leaving {
			return 1
		}
		return 0
	})
	return reg
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var body engineRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad order: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.faults.refuse || e.leaving {
		e.mu.Unlock()
		http.Error(w, "refusing orders", http.StatusServiceUnavailable)
		return
	}
	g, ok := e.start(target.GenerationRequest{
		Generation:      r.Header.Get(target.HeaderRequest),
		Model:           body.Model,
		Prompt:          body.Input,
		MaxOutputTokens: body.MaxOutputTokens,
		Priority:        body.Priority,
	})
	e.mu.Unlock()
	if !ok {
		http.Error(w, "identifier in use or cancelled, or prompt too long", http.StatusConflict)
		return
	}
	e.streamGeneration(w, r, g, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.byID[mux.Vars(r)["id"]]
	e.mu.Unlock()
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("starting_after"))
	if err != nil || after < 0 {
		http.Error(w, "bad starting_after", http.StatusBadRequest)
		return
	}
	e.streamGeneration(w, r, g, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	e.mu.Lock()
	e.cancel(id)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(engineResponse{ID: id, Status: "cancelled"})
}

// attach makes a new connection the reader of a generation. The stream of the previous
// reader ends with a "response.superseded" event. cancel closes the new connection.
func (e *Engine) attach(g *generation, cancel context.CancelFunc) *reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := g.reader; old != nil {
		old.superseded = true
		old.signal()
	}
	rd := &reader{notify: make(chan struct{}, 1), cancel: cancel}
	rd.signal()
	g.reader = rd
	e.readers[rd] = true
	return rd
}

func (e *Engine) detach(g *generation, rd *reader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.readers, rd)
	if g.reader == rd {
		g.reader = nil
	}
}

// streamGeneration writes the events of a generation to a connection, from the token with
// index next (from 0) to the final event. Output that does not exist yet is written when it
// is generated.
func (e *Engine) streamGeneration(w http.ResponseWriter, r *http.Request, g *generation, next int) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	rd := e.attach(g, cancel)
	defer e.detach(g, rd)
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, controller: http.NewResponseController(w)}
	if e.emit(out, rd, func() {
		out.writeEvent(engineEvent{Type: "response.created", Response: &engineResponse{ID: g.id, Status: e.status(g)}})
	}) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-rd.notify:
		}
		more, err := e.writePending(out, g, rd, &next)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if !more {
			return
		}
	}
}

// status returns the status of a generation in the terms of the Responses API. The
// caller must not hold e.mu.
func (e *Engine) status(g *generation) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case g.done:
		return "completed"
	case g.sequence.memoryTokens > 0:
		return "in_progress"
	}
	return "queued"
}

// writePending writes the events for the output and the state changes that the connection
// has not received yet. It returns false after the last event of the stream, or if
// FaultDisconnectOnce closes the connection.
func (e *Engine) writePending(out *eventWriter, g *generation, rd *reader, next *int) (bool, error) {
	e.mu.Lock()
	generated, done, cancelled, superseded, preempted := g.sequence.Generated, g.done, g.cancelled, rd.superseded, g.sequence.preempted && g.sequence.memoryTokens == 0
	disconnectBeforeToken := e.faults.disconnectBeforeToken
	e.mu.Unlock()
	if superseded {
		return false, e.emit(out, rd, func() { out.writeEvent(engineEvent{Type: "response.superseded"}) })
	}
	for ; *next < generated; *next++ {
		n := *next
		if disconnectBeforeToken > 0 && n == disconnectBeforeToken-1 && e.disconnectOnce(g) {
			return false, http.ErrAbortHandler
		}
		err := e.emit(out, rd, func() {
			out.writeEvent(engineEvent{Type: "response.output_text.delta", SequenceNumber: n + 1, Delta: TokenText(g.id, n)})
		})
		if err != nil {
			return false, err
		}
	}
	if done {
		return false, e.emit(out, rd, func() { out.writeEvent(e.finalEvent(g, generated, cancelled)) })
	}
	if preempted {
		return true, e.emit(out, rd, func() { out.writeEvent(engineEvent{Type: "response.queued"}) })
	}
	return true, nil
}

// disconnectOnce reports whether FaultDisconnectOnce still has to close the connection of a
// generation. It returns true only once for each generation.
func (e *Engine) disconnectOnce(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	already := g.disconnected
	g.disconnected = true
	return !already
}

func (e *Engine) finalEvent(g *generation, tokens int, cancelled bool) engineEvent {
	ev := engineEvent{Type: "response.completed", SequenceNumber: tokens + 1, Response: &engineResponse{ID: g.id, Status: "completed"}}
	ev.Response.Usage = &engineUsage{InputTokens: g.promptTokens, OutputTokens: tokens, InputDetails: engineInputDetails{g.sequence.CachedTokens}}
	switch {
	case cancelled:
		ev.Type, ev.Response.Status = "response.cancelled", "cancelled"
		ev.Response.Error = &engineError{"cancelled"}
	case g.truncated:
		ev.Type, ev.Response.Status = "response.incomplete", "incomplete"
	}
	return ev
}

// emit calls write and flushes the connection. It does neither under FaultSilent, and waits
// first until FaultStall is over.
func (e *Engine) emit(out *eventWriter, rd *reader, write func()) error {
	e.mu.Lock()
	silent, stalled := rd.silent, time.Until(e.faults.stalledUntil)
	e.mu.Unlock()
	if silent {
		return nil
	}
	if stalled > 0 {
		time.Sleep(stalled)
	}
	write()
	return out.flush()
}

// eventWriter writes server-sent events and records the first error.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	err        error
}

func (o *eventWriter) writeEvent(ev engineEvent) {
	data, err := json.Marshal(ev)
	if err == nil {
		_, err = fmt.Fprintf(o.w, "event: %s\ndata: %s\n\n", ev.Type, data)
	}
	if o.err == nil {
		o.err = err
	}
}

func (o *eventWriter) flush() error {
	if o.err == nil {
		o.err = o.controller.Flush()
	}
	return o.err
}
