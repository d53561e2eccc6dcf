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
	// A Service is a stand-in plain service. It counts how often each call ran,
	// and has switches for faults.
	Service struct {
		name   string
		mu     sync.Mutex
		ran    map[string]int // by the call's Reference header, else method and path
		delay  time.Duration
		drop   bool // run the call, then cut the connection without an answer
		refuse bool // answer 503 without running the call
	}

	// A ServiceResult is what a call of the stand-in service answers.
	ServiceResult struct {
		Service string `json:"service"`
		Method  string `json:"method"`
		Path    string `json:"path"`
		Ran     int    `json:"ran"` // times that this reference has run, this one included
		Bytes   int    `json:"bytes"`
	}
)

// ranPath is the path below which the stand-in tells how often a reference ran,
// without counting the question.
const ranPath = "/ran/"

// HeaderReference names the header by which the stand-in counts a call.
const HeaderReference = "Reference"

// NewService returns a service.
func NewService(name string) *Service { return &Service{name: name, ran: map[string]int{}} }

// SetDelay makes each call take d.
func (s *Service) SetDelay(d time.Duration) { s.mu.Lock(); s.delay = d; s.mu.Unlock() }

// SetDrop makes calls run and then lose their answer.
func (s *Service) SetDrop(on bool) { s.mu.Lock(); s.drop = on; s.mu.Unlock() }

// SetRefuse makes calls be refused before they run.
func (s *Service) SetRefuse(on bool) { s.mu.Lock(); s.refuse = on; s.mu.Unlock() }

// Ran returns how often a reference has run.
func (s *Service) Ran(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[reference]
}

// Twice returns the references that ran more than once.
func (s *Service) Twice() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var refs []string
	for ref, n := range s.ran {
		if n > 1 {
			refs = append(refs, ref)
		}
	}
	return refs
}

// ServeHTTP runs a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if ref, ok := strings.CutPrefix(r.URL.Path, ranPath); ok {
		writeResult(w, ServiceResult{s.name, r.Method, r.URL.Path, s.Ran(ref), len(body)})
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
	s.ran[ref]++
	ran, delay, drop := s.ran[ref], s.delay, s.drop
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
