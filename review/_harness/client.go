package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// A class is a kind of request of the sheet.
	class struct {
		name     string
		method   string
		path     string
		perS     float64
		deadline time.Duration
		prompt   int
		output   int
		body     int // bytes
	}

	// A result is what a client saw of one request.
	result struct {
		id       string
		class    string
		host     *host
		kept     bool // the connection had carried a request before
		sentAt   time.Time
		endedAt  time.Time
		status   int // 0 if the connection ended without an answer
		bytes    int
		complete bool
		seal     string
		body     string
		err      string
	}

	// conn is a client's connection to a host.
	conn struct {
		net.Conn
		reader *bufio.Reader
		host   *host
		used   int
	}

	// clients sends the traffic of the sheet.
	clients struct {
		site    *site
		next    atomic.Int64
		mu      sync.Mutex
		results []result
		wg      sync.WaitGroup
		stop    chan struct{}
	}
)

func sheet() []class {
	return []class{
		{"diag", http.MethodPost, diagPrefix + "2f", 4.65, 39 * time.Second, 3079, 928, 3000},
		{"fit", http.MethodPost, fitPrefix + "2f", 6.46, 6 * time.Second, 2550, 12, 2900},
		{"swap", http.MethodPost, swapPrefix + "2f", 30.1, time.Second, 0, 0, 600},
		{"read", http.MethodGet, readPrefix + "2f", 12, time.Second, 0, 0, 0},
	}
}

func newClients(s *site) *clients { return &clients{site: s, stop: make(chan struct{})} }

// id returns a new request identifier.
func (c *clients) id() string { return fmt.Sprintf("%08x%08x", 0x9c41d07b, c.next.Add(1)) }

// dial opens a connection to a host that the platform uses, by a number that stands for the client. Hosts of its zone
// come first.
func (c *clients) dial(number int) (*conn, error) {
	var own, all []*host
	for _, h := range c.site.hosts {
		if h.inUse.Load() {
			all = append(all, h)
			if h.zone == zones[number%len(zones)] {
				own = append(own, h)
			}
		}
	}
	if len(own) > 0 {
		all = own
	}
	if len(all) == 0 {
		return nil, errors.New("no host is in use")
	}
	return dialHost(all[number/len(zones)%len(all)])
}

func dialHost(h *host) (*conn, error) {
	n, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, reader: bufio.NewReader(n), host: h}, nil
}

// head returns the request line and headers.
func (k *class) head(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		k.method, k.path, hostName, id, k.deadline.Milliseconds(), apiKey)
	if k.prompt > 0 {
		fmt.Fprintf(&b, "Model-Name: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: 5c1e07a2:79,%s:%d\r\n", k.prompt, k.output, id, k.prompt-79)
	}
	if k.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", k.body)
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a request at once and reads the answer.
func (c *clients) send(n *conn, k *class) result {
	return c.sendAs(n, k, func(head string, body []byte) error {
		_, err := n.Write(append([]byte(head), body...))
		return err
	})
}

// sendAs is send with a function that writes the request.
func (c *clients) sendAs(n *conn, k *class, write func(head string, body []byte) error) result {
	r := result{id: c.id(), class: k.name, host: n.host, kept: n.used > 0}
	n.used++
	_ = n.SetDeadline(time.Now().Add(k.deadline + time.Second))
	err := write(k.head(r.id), []byte(strings.Repeat("p", k.body)))
	r.sentAt = time.Now()
	c.site.log("sent %s %s to %s kept=%v", r.id, k.name, n.host.name, r.kept)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(n.reader, &http.Request{Method: k.method})
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		r.status, r.bytes, r.complete = resp.StatusCode, len(body), err == nil
		r.seal, r.body = resp.Header.Get("Response-Seal"), string(body)
		resp.Body.Close()
		if resp.Close {
			n.used = -1
		}
	}
	if err != nil {
		r.err, n.used = err.Error(), -1
	}
	r.endedAt = time.Now()
	c.site.log("answer %s %s from %s: status %d, %d bytes, complete=%v, %d ms %s", r.id, k.name, n.host.name, r.status, r.bytes, r.complete, r.endedAt.Sub(r.sentAt).Milliseconds(), r.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return r
}

// run keeps the traffic of a class up with a number of clients, each with a connection that it keeps.
func (c *clients) run(k class, count int) {
	interval := time.Duration(float64(count) / k.perS * float64(time.Second))
	for number := range count {
		c.wg.Go(func() {
			var n *conn
			at := time.Now().Add(time.Duration(number) * interval / time.Duration(count))
			for {
				select {
				case <-c.stop:
					if n != nil {
						n.Close()
					}
					return
				case <-time.After(time.Until(at)):
				}
				at = at.Add(interval)
				if n == nil {
					var err error
					if n, err = c.dial(number); err != nil {
						n = nil
						continue
					}
				}
				c.send(n, &k)
				if n.used < 0 {
					n.Close()
					n = nil
				}
			}
		})
	}
}

// end stops the traffic and waits for the requests that are under way, for endTime at most.
func (c *clients) end() {
	close(c.stop)
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(endTime):
		c.site.log("some requests are still under way")
	}
}

// seen returns what the clients have seen so far.
func (c *clients) seen() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results)
}

// warm opens connections to a host and has each carry a short request, so that clients reuse them afterwards. It
// returns nil if a request was not served.
func (c *clients) warm(h *host, count int, k *class) []*conn {
	conns := make([]*conn, count)
	var wg sync.WaitGroup
	var failed atomic.Bool
	for n := range conns {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * warmInterval)
			one, err := dialHost(h)
			if err != nil {
				c.site.say("client: %v", err)
				failed.Store(true)
				return
			}
			conns[n] = one
			if r := c.send(one, k); !r.complete || r.status != http.StatusOK || one.used < 0 {
				c.site.say("the first request of a client was not served: %d %s", r.status, r.err)
				failed.Store(true)
			}
		})
	}
	wg.Wait()
	if failed.Load() {
		return nil
	}
	return conns
}

const (
	warmInterval = 50 * time.Millisecond
	endTime      = 15 * time.Second
)
