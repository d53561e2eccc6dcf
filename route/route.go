// Package route finds the pool of targets that serves a request. The host name and the longest
// matching path prefix select a route; the weights of the route's traffic split select the pool.
package route

import (
	"iter"
	"maps"
	"strings"
	"time"
)

type (
	// A Route holds the settings for the requests with one host name and path prefix.
	Route struct {
		Name               string
		Host               string // host name, in lower case and without a port
		Prefix             string // path prefix; begins and ends with a slash
		Kind               Kind
		Timeout            time.Duration  // longest time from the arrival of a request to the end of its response; 0 means no limit
		FirstByteObjective time.Duration  // longest acceptable time until the first byte of the response
		GapObjective       time.Duration  // longest acceptable time between two events of a stream
		Priority           int            // 0 is the highest priority
		MaxAttempts        int            // maximum number of attempts for one request; 0 means 1
		AllowAnonymous     bool           // requests need no API key
		Split              []WeightedPool // pools that serve the route and their shares of its requests
	}

	// A WeightedPool is a pool in a route's traffic split. The pool gets a share of the
	// requests in proportion to its weight.
	WeightedPool struct {
		Pool   string // name of a model or plain service
		Weight int    // a negative weight counts as 0
	}

	// A Kind states whether a route's requests may be executed more than once, and whether
	// their responses are streams.
	Kind uint8

	// A Map finds the route of a request by host name and path. It is immutable; a nil Map
	// and the zero value have no routes.
	Map struct {
		routes map[key]*Route
		size   int
	}

	key struct{ host, prefix string }
)

// Kinds of routes. The zero value is the most restrictive.
const (
	AtMostOnce Kind = iota // a request is executed at most once
	Idempotent             // a request may be executed more than once
	Stream                 // a request is executed at most once; the response is a stream of events
)

var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// NewMap returns a map of copies of the given routes. If several routes have the same host name
// and prefix, the map contains only the first.
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

// Len returns the number of routes in the map.
func (m *Map) Len() int {
	if m == nil {
		return 0
	}
	return m.size
}

// All iterates over the routes in no particular order. The caller must not change them.
func (m *Map) All() iter.Seq[*Route] {
	if m == nil {
		return func(func(*Route) bool) {}
	}
	return maps.Values(m.routes)
}

// Find returns the route whose host name equals host and whose prefix is the longest one that path
// starts with, or nil if there is none. It ignores the letter case, port and trailing dot of
// host.
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

// normalizeHost returns the host name of a Host header in lower case, without port and trailing
// dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// PickPool returns the name of the pool that serves a request, or "" if the route has no pool.
// point determines the pool; if it is uniformly distributed over requests, such as a hash of the
// request identifier, the pools get requests in proportion to their weights. If no weight is
// positive, the first pool gets all requests.
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
