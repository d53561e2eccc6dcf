// Package route maps a caller's request to the pool of targets that serves it: by the
// host name, then by the longest path prefix, then by the weights of a split.
package route

import (
	"strings"
	"time"
)

type (
	// A Route is a set of requests with one treatment.
	Route struct {
		Name     string
		Host     string // host name, in lower case and without a port
		Prefix   string // of the path; begins and ends with a slash
		Kind     Kind
		Timeout  time.Duration // longest time that a caller is kept waiting; 0 means no bound
		Aim      time.Duration // latency objective, to the first byte of a stream
		Gap      time.Duration // longest pause within a stream that still meets the objective
		Priority int           // 0 goes first
		Attempts int           // targets that one request may be sent to; 0 means 1
		Open     bool          // no key is wanted
		Split    []Share
	}

	// A Share is a pool's part of a route's requests.
	Share struct {
		Pool   string
		Weight int
	}

	// A Kind says what may be repeated.
	Kind uint8

	// A Map finds the route of a request. It is never changed. The zero value has no
	// routes.
	Map struct {
		routes map[key]*Route
		size   int
	}

	key struct{ host, prefix string }
)

// The kinds. The zero value is the most careful one.
const (
	Once       Kind = iota // executed at most once
	Idempotent             // may be executed more than once
	Stream                 // a stream of events, executed at most once
)

var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// NewMap returns the map of a list of routes. Of two with the same host and prefix the
// first stays.
func NewMap(routes []Route) *Map {
	m := &Map{routes: make(map[key]*Route, len(routes))}
	for i := range routes {
		r := routes[i]
		k := key{strings.ToLower(r.Host), r.Prefix}
		if m.routes[k] == nil {
			m.routes[k] = &r
			m.size++
		}
	}
	return m
}

// Len returns the number of routes.
func (m *Map) Len() int {
	if m == nil {
		return 0
	}
	return m.size
}

// Find returns the route with the longest prefix of a path, or nil. A host's port and
// the case of its letters do not count.
func (m *Map) Find(host, path string) *Route {
	if m == nil {
		return nil
	}
	host = normalizeHost(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := m.routes[key{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// normalizeHost returns a host name without its port, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Pool returns the pool of a request. point spreads requests over a split: it should
// be evenly distributed.
func (r *Route) Pool(point uint64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Pool
	}
	at := int(point % uint64(total))
	for _, s := range r.Split {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}
