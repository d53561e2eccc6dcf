package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

const (
	modelServers   = 14
	crashedServers = 2 // share .17 of 14
	streams        = 330
	crashPause     = 5 * time.Millisecond // from the end of a crashing server's connections to that of its socket

	bookingTimeout  = 1000 * time.Millisecond // TimeoutMs of the bookings' route
	bookingDeadline = 3000 * time.Millisecond // Deadline-Ms of the bookings
	lateness        = 500 * time.Millisecond  // of an answer after TimeoutMs, by CONFIG
	bookingInterval = 50 * time.Millisecond
	minOverdue      = 10 // bookings without an answer at TimeoutMs from which the share is judged
)

// crash: two model servers crash while they run streams whose prompts have very many parts.
func crash(trouble bool) int {
	w := newWorld(emulator.DefaultConfig())
	defer w.close()
	parts, crashes := trouble, trouble
	switch os.Getenv("ONLY") {
	case "parts":
		crashes = false
	case "crash":
		parts = false
	}
	for i, zone := range []string{"north", "south", "north"} {
		var s *server
		s = w.addServer(fmt.Sprintf("i-desk-%d", i+1), emulator.CounterService, zone, 6, func(c net.Conn, _ *bufio.Reader, r *http.Request, _ []byte) {
			time.Sleep(20 * time.Millisecond)
			writeResponse(c, 200, s.sealed(r), "booked")
		})
	}
	var mu sync.Mutex
	running := map[*server]map[net.Conn]bool{}
	var models []*server
	for n := range modelServers {
		var m *server
		m = w.addServer(fmt.Sprintf("i-model-%d", n+1), emulator.ModelService, "north", 24, func(c net.Conn, in *bufio.Reader, r *http.Request, _ []byte) {
			mu.Lock()
			running[m][c] = true
			mu.Unlock()
			w.record.printf("%s runs %s", m.id, r.Header.Get("Request-Id"))
			// One event, and then the batch is busy with prompts.
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
			_ = m.sealed(r).Write(c)
			text := "id: 1\ndata: piece 1\n\n"
			fmt.Fprintf(c, "\r\n%x\r\n%s\r\n", len(text), text)
			_, _ = io.Copy(io.Discard, in)
		})
		running[m] = map[net.Conn]bool{}
		models = append(models, m)
	}
	w.addHosts("north", "south")
	p := w.hosts[0]
	for n := range streams {
		go func() {
			c, err := net.DialTimeout("tcp", p.callers.String(), time.Second)
			if err != nil {
				w.record.printf("w%d: %v", n, err)
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "POST %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: w%d\r\nDeadline-Ms: 19000\r\nAuthorization: Bearer %s\r\nToken-Usage: 400,40\r\nPrompt-Prefix: %s\r\nContent-Length: 6\r\n\r\nprompt",
				emulator.ReportsPrefix, emulator.HostName, n, []string{emulator.DefaultKey, "key-of-two"}[n%2], manyParts(parts))
			head := make([]byte, 12)
			_, _ = io.ReadFull(c, head)
			w.record.printf("client got %q for w%d", head, n)
			_, _ = io.Copy(io.Discard, c)
		}()
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if crashes {
		var wg sync.WaitGroup
		for _, m := range models[:crashedServers] {
			mu.Lock()
			w.record.printf("%s crashes with %d requests", m.id, len(running[m]))
			wg.Add(1)
			go func(conns map[net.Conn]bool) {
				defer wg.Done()
				for c := range conns {
					rst(c)
				}
				time.Sleep(crashPause)
				m.end()
			}(running[m])
			mu.Unlock()
		}
		wg.Wait()
	}
	overdue, unanswered := 0, 0
	var wg sync.WaitGroup
	for n := range int(8 * time.Second / bookingInterval) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			began := time.Now()
			status := w.book(p, fmt.Sprintf("p%d", n))
			took := time.Since(began)
			w.record.printf("client got %d for p%d after %d ms", status, n, took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if took > bookingTimeout {
				overdue++
			}
			if took > bookingTimeout+lateness {
				unanswered++
			}
		}()
		time.Sleep(bookingInterval)
	}
	wg.Wait()
	w.record.printf("%d bookings had no answer at their route's TimeoutMs, %d of them none 0.5 s later", overdue, unanswered)
	if overdue < minOverdue || unanswered*2 <= overdue {
		return 0
	}
	w.record.printf("CONFIG is broken")
	return unanswered
}

// manyParts returns the value of a Prompt-Prefix: that of a head of legal size with as many different parts as fit, or an
// ordinary one.
func manyParts(many bool) string {
	var b strings.Builder
	b.WriteString("5c1e07a2:79")
	for many && b.Len() < headBytes-400 {
		fmt.Fprintf(&b, ",%05x:0", rand.IntN(1<<20))
	}
	fmt.Fprintf(&b, ",%08x:321", rand.Uint32())
	return b.String()
}

// book sends a booking and returns the status of its answer, 0 if there is none until its deadline.
func (w *world) book(p *process, id string) int {
	client := &http.Client{Timeout: bookingDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callers.String()+emulator.ChargesPrefix+"1", strings.NewReader("booking"))
	must(err)
	r.Host = emulator.HostName
	r.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {fmt.Sprint(bookingDeadline.Milliseconds())}, "Authorization": {"Bearer " + emulator.DefaultKey}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
