package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A ConfigService simulates the configuration service, a key-value store. Over HTTP, a client
// can read a value, also by a blocking query as in Consul's KV store, but not write one.
// Reads can be made to fail or to return old values.
type ConfigService struct {
	mu          sync.Mutex
	index       uint64 // number of Publish calls; versions the values
	values      map[string]versionedValue
	changed     chan struct{}             // closed and replaced on every change of what a read returns; wakes blocking queries
	down        bool                      // every read fails
	staleValues map[string]versionedValue // served instead of values; nil unless SetStale(true)
	readCount   int                       // number of HTTP reads
}

type versionedValue struct {
	value []byte
	index uint64 // ConfigService.index at the Publish of the value
}

const (
	kvPath      = "/v1/kv/"
	indexHeader = "X-Consul-Index"
	maxWait     = time.Minute // maximum duration of a blocking query
)

// NewConfigService returns a configuration service without values.
func NewConfigService() *ConfigService {
	return &ConfigService{values: map[string]versionedValue{}, changed: make(chan struct{})}
}

// Publish sets the value of a key, as the operators of the configuration service do.
func (p *ConfigService) Publish(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = versionedValue{append([]byte(nil), value...), p.index}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown sets whether the service answers every read with status 500.
func (p *ConfigService) SetDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale sets whether the service serves old values: those that are current at the call of
// SetStale(true), regardless of later calls of Publish.
func (p *ConfigService) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleValues = nil
	if on {
		p.staleValues = map[string]versionedValue{}
		for k, v := range p.values {
			p.staleValues[k] = v
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// ReadCount returns the number of HTTP reads since the service was created.
func (p *ConfigService) ReadCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readCount
}

func (p *ConfigService) lookup(key string) (v versionedValue, ok, down bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.staleValues != nil {
		values = p.staleValues
	}
	v, ok = values[key]
	return v, ok, p.down, p.changed
}

// ServeHTTP answers a read of a key. If the query has an index, it first waits until the
// index of the value differs from it, or until the wait time of the query, at most maxWait,
// has passed.
func (p *ConfigService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, kvPath)
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "this service can only be read", http.StatusMethodNotAllowed)
		return
	}
	p.mu.Lock()
	p.readCount++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		v, ok, down, changed := p.lookup(key)
		if down {
			http.Error(w, "down", http.StatusInternalServerError)
			return
		}
		if ok && v.index != after || after == 0 || ctx.Err() != nil {
			p.writeValue(w, v, ok)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (p *ConfigService) writeValue(w http.ResponseWriter, v versionedValue, ok bool) {
	w.Header().Set(indexHeader, strconv.FormatUint(max(v.index, 1), 10))
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	_, _ = w.Write(v.value)
}
