package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Platform is a stand-in configuration service: values that can be read and
// watched by blocking queries in the manner of Consul's KV store, at a bounded
// rate, and never written through it. It can be down, or stale.
type Platform struct {
	mu      sync.Mutex
	index   uint64
	values  map[string]published
	changed chan struct{}
	down    bool
	frozen  map[string]published // what a stale service shows
	reads   int
}

type published struct {
	value []byte
	index uint64
}

const (
	kvPath      = "/v1/kv/"
	indexHeader = "X-Consul-Index"
	mostWait    = time.Minute
)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{values: map[string]published{}, changed: make(chan struct{})}
}

// Publish puts a value under a key, as the platform's own operators do.
func (p *Platform) Publish(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = published{append([]byte(nil), value...), p.index}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes the service answer nothing but errors.
func (p *Platform) SetDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetStale freezes what the service shows, or shows the present again.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		p.frozen = map[string]published{}
		for k, v := range p.values {
			p.frozen[k] = v
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reads returns the number of calls so far.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) look(key string) (v published, ok, down bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := p.values
	if p.frozen != nil {
		from = p.frozen
	}
	v, ok = from[key]
	return v, ok, p.down, p.changed
}

// ServeHTTP answers a read, or a watch that waits for a newer index.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, kvPath)
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "this service can only be read", http.StatusMethodNotAllowed)
		return
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait > mostWait {
		wait = mostWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		v, ok, down, changed := p.look(key)
		if down {
			http.Error(w, "down", http.StatusInternalServerError)
			return
		}
		if ok && v.index != after || after == 0 || ctx.Err() != nil {
			p.answer(w, v, ok)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (p *Platform) answer(w http.ResponseWriter, v published, ok bool) {
	w.Header().Set(indexHeader, strconv.FormatUint(max(v.index, 1), 10))
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	_, _ = w.Write(v.value)
}
