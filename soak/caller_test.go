package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

type (
	// kind is a kind of request.
	kind struct {
		name             string
		prefix           string // of the path
		deadline         time.Duration
		timeout          time.Duration // of the route
		prompt, output   int           // tokens; 0 for plain calls
		minPause, spread time.Duration // of a caller between two requests
	}

	// connection is a caller's connection, which it uses for one request after another.
	connection struct {
		net.Conn
		reader  *bufio.Reader
		process *process // of the host that accepted it
		used    int      // requests sent
	}

	// result is what a caller saw of one request.
	result struct {
		id       string
		kind     *kind
		process  *process
		used     int // earlier requests on the connection
		sentAt   time.Time
		firstAt  time.Time // time of the response's head; zero if there is none
		endedAt  time.Time
		status   int
		bytes    int
		complete bool // the response ended as its framing says
		intact   bool // complete, and the whole response of a target, or no success
		err      error
	}
)

const (
	checksPrefix = "/checks/" // prefix of short streams

	dialTimeout = time.Second
	patience    = 2 * time.Second // time beyond the deadline for which a caller waits
)

// run sends requests of one kind until ctx is done, on one connection as long as it lasts. It then closes the connection,
// and a request that is under way has no result.
func (s *soak) run(ctx context.Context, k *kind, number int, rng *rand.Rand) {
	var c *connection
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.minPause + time.Duration(rng.Int64N(int64(k.spread)))):
		}
		if c == nil {
			if c = s.dial(number); c == nil {
				continue
			}
		}
		leave := context.AfterFunc(ctx, func() { c.Close() })
		r, reusable := s.exchange(c, k, fmt.Sprintf("%08x%08x", uint32(s.seed), s.lastID.Add(1)))
		if !leave() {
			return
		}
		s.mu.Lock()
		s.results = append(s.results, r)
		s.mu.Unlock()
		if !reusable {
			c.Close()
			c = nil
		}
	}
}

// dial opens a connection to a host in rotation, in the caller's failure domain if there is one. It returns nil if
// none accepts.
func (s *soak) dial(number int) *connection {
	var own, all []*machine
	for _, m := range s.machines {
		if m.inRotation() {
			all = append(all, m)
			if m.domain == domains[number%len(domains)] {
				own = append(own, m)
			}
		}
	}
	if len(own) > 0 {
		all = own
	}
	if len(all) == 0 {
		return nil
	}
	m := all[number/len(domains)%len(all)]
	p := m.current()
	n, err := net.DialTimeout("tcp", m.caller.String(), dialTimeout)
	if err != nil {
		return nil // the caller tries again after its pause
	}
	return &connection{Conn: n, reader: bufio.NewReader(n), process: p}
}

// request returns a request with an identifier.
func (k *kind) request(id string) emulator.CallerRequest {
	return emulator.CallerRequest{ID: id, Path: k.prefix + "1", Deadline: k.deadline, PromptTokens: k.prompt, MaxOutputTokens: k.output}
}

// exchange sends a request and reads the response. It reports whether the connection can be used again.
func (s *soak) exchange(c *connection, k *kind, id string) (r result, reusable bool) {
	q := k.request(id)
	r = result{id: id, kind: k, process: c.process, used: c.used}
	c.used++
	r.sentAt = time.Now()
	var resp *http.Response
	if r.err = c.SetDeadline(r.sentAt.Add(k.deadline + patience)); r.err == nil {
		_, r.err = io.WriteString(c, q.String())
	}
	if r.err == nil {
		resp, r.err = http.ReadResponse(c.reader, &http.Request{Method: q.Method()})
	}
	if r.err == nil {
		r.firstAt, r.status = time.Now(), resp.StatusCode
		var body []byte
		body, r.err = io.ReadAll(resp.Body)
		resp.Body.Close()
		r.bytes, r.complete = len(body), r.err == nil
		r.intact = r.complete && (r.status != http.StatusOK || string(body) == q.ResponseBody())
		reusable = r.complete && !resp.Close
	}
	r.endedAt = time.Now()
	return r, reusable
}
