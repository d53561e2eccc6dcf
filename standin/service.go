package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// A Service simulates a plain HTTP service, in contrast to a model engine. It counts how
	// often each call ran. It can delay responses, drop them, or refuse calls.
	Service struct {
		name          string
		mu            sync.Mutex
		runs          map[string]int // number of runs by Reference header, or by method and path for calls without one
		delay         time.Duration  // time between the run of a call and its response
		dropResponses bool           // run calls, but close the connection without a response
		refuse        bool           // answer calls with status 503 without running them
	}

	// A ServiceResult is the response body of a Service.
	ServiceResult struct {
		Service  string `json:"service"`
		Method   string `json:"method"`
		Path     string `json:"path"`
		RunCount int    `json:"ran"`   // number of runs of the reference, including this one
		Bytes    int    `json:"bytes"` // length of the request body
	}
)

// runCountPath is the prefix of the paths at which the number of runs of a reference can be
// queried. Such a query does not count as a run.
const runCountPath = "/ran/"

// HeaderReference is the name of the request header that identifies a call. A Service counts
// runs by its value, the reference.
const HeaderReference = "Reference"

// NewService returns a service under the given name.
func NewService(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// SetDelay makes the service wait for d after running a call, before it responds.
func (s *Service) SetDelay(d time.Duration) { s.mu.Lock(); s.delay = d; s.mu.Unlock() }

// SetDropResponses sets whether the service closes the connection without a response after
// running a call.
func (s *Service) SetDropResponses(on bool) { s.mu.Lock(); s.dropResponses = on; s.mu.Unlock() }

// SetRefuse sets whether the service answers calls with status 503 without running them.
func (s *Service) SetRefuse(on bool) { s.mu.Lock(); s.refuse = on; s.mu.Unlock() }

// RunCount returns how often calls with the given reference ran.
func (s *Service) RunCount(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[reference]
}

// RepeatedReferences returns the references whose calls ran more than once, in no particular order.
func (s *Service) RepeatedReferences() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refs []string
	for ref, n := range s.runs {
		if n > 1 {
			refs = append(refs, ref)
		}
	}
	return refs
}

// ServeHTTP runs a call, or answers a query for the number of runs of a reference.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if ref, ok := strings.CutPrefix(r.URL.Path, runCountPath); ok {
		writeResult(w, ServiceResult{s.name, r.Method, r.URL.Path, s.RunCount(ref), len(body)})
		return
	}
	ref := r.Header.Get(HeaderReference)
	if ref == "" {
		ref = r.Method + " " + r.URL.Path
	}
	s.mu.Lock()
	if s.refuse {
		s.mu.Unlock()
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	s.runs[ref]++
	runCount, delay, drop := s.runs[ref], s.delay, s.dropResponses
	s.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, ServiceResult{s.name, r.Method, r.URL.Path, runCount, len(body)})
}

func writeResult(w http.ResponseWriter, result ServiceResult) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}
