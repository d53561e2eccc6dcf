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
	// A Service simulates a plain HTTP service. It counts the runs of each call and
	// can inject faults.
	Service struct {
		name          string
		mu            sync.Mutex
		runs          map[string]int // by Reference header, or by method and path without one
		delay         time.Duration  // between the run of a call and its response
		dropResponses bool           // run the call, then close the connection without a response
		refuse        bool           // answer 503 without running the call
	}

	// A ServiceResult is the response body of the stand-in service.
	ServiceResult struct {
		Service  string `json:"service"`
		Method   string `json:"method"`
		Path     string `json:"path"`
		RunCount int    `json:"ran"`   // runs of this reference, the current one included
		Bytes    int    `json:"bytes"` // length of the request body
	}
)

// runCountPath is the path prefix of queries for the run count of a reference. Such a
// query does not count as a run.
const runCountPath = "/ran/"

// HeaderReference is the name of the request header by which a Service counts calls.
const HeaderReference = "Reference"

// NewService returns a service under the given name.
func NewService(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// SetDelay makes the service wait for d between running a call and its response.
func (s *Service) SetDelay(d time.Duration) { s.mu.Lock(); s.delay = d; s.mu.Unlock() }

// SetDropResponses makes the service run calls and close the connection without a
// response.
func (s *Service) SetDropResponses(on bool) { s.mu.Lock(); s.dropResponses = on; s.mu.Unlock() }

// SetRefuse makes the service answer calls with status 503 without running them.
func (s *Service) SetRefuse(on bool) { s.mu.Lock(); s.refuse = on; s.mu.Unlock() }

// RunCount returns the number of runs of a reference.
func (s *Service) RunCount(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[reference]
}

// RanTwice returns the references that have run more than once.
func (s *Service) RanTwice() []string {
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

// ServeHTTP runs a call or answers a query for a run count.
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
	ran, delay, drop := s.runs[ref], s.delay, s.dropResponses
	s.mu.Unlock()
	time.Sleep(delay)
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, ServiceResult{s.name, r.Method, r.URL.Path, ran, len(body)})
}

func writeResult(w http.ResponseWriter, result ServiceResult) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}
