// Package route maps a request to the pool of targets that serves it: by host name, then
// by the longest matching path prefix, then by the weights of a traffic split.
package route

import (
	"strings"
	"time"
)

type (
	// A Route holds the settings for all requests with one host name and path prefix.
	Route struct {
		Name               string
		Host               string // host name, in lower case and without a port
		Prefix             string // path prefix; begins and ends with a slash
		Kind               Kind
		Timeout            time.Duration  // limit on the caller's total wait; 0 means none
		FirstByteObjective time.Duration  // latency objective for the first byte of a stream
		GapObjective       time.Duration  // objective for the longest gap within a stream
		Priority           int            // 0 is the highest priority
		MaxAttempts        int            // maximum number of targets tried for one request; 0 means 1
		AllowAnonymous     bool           // requests need no API key
		Split              []WeightedPool // pools and their weights
	}

	// A WeightedPool is a pool and its weight in a route's traffic split.
	WeightedPool struct {
		Pool   string
		Weight int
	}

	// A Kind classifies a route's requests by whether they may be executed more than once.
	Kind uint8

	// A Map finds the route of a request. It is immutable; the zero value has no routes.
	Map struct {
		routes map[key]*Route
		size   int
	}

	key struct{ host, prefix string }
)

// Kinds of routes. The zero value is the most restrictive.
const (
	AtMostOnce Kind = iota // executed at most once
	Idempotent             // may be executed more than once
	Stream                 // a stream of events, executed at most once
)

var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// NewMap returns a map of the given routes. If several routes have the same host and
// prefix, the first one is used.
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

// Find returns the route of the host with the longest prefix of the path, or nil if none
// matches. It ignores the host's port and letter case.
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

// normalizeHost returns a host name in lower case, without its port and trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// PickPool returns the pool that serves a request. The value of point selects a pool of the
// split; it should be uniformly distributed over requests.
func (r *Route) PickPool(point uint64) string {
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
	offset := int(point % uint64(total))
	for _, s := range r.Split {
		offset -= max(s.Weight, 0)
		if offset < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}
