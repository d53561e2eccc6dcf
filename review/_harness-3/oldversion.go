package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	oldPlayTime  = 20 * time.Second
	oldFrom      = 5 * time.Second
	oldFor       = 5500 * time.Millisecond
	spoiltEvery  = 50 // of the answers of a server in trouble
	chunkLength  = 100
	answerLength = 800
)

// answer is what a server has sent for a run of a request.
type answer struct {
	server string
	seal   string
	body   []byte // the whole body
	whole  bool   // all of it was sent
	note   string
}

// spoilingServer is a plain server whose answers are chunked. While it is in trouble, one of spoiltEvery answers says HTTP/1.0 in its first
// line, and breaks off after half of its chunks.
type spoilingServer struct {
	id       string
	record   *record
	trouble  *atomic.Bool
	answered atomic.Int64

	mu      *sync.Mutex
	answers map[string][]answer // by the identifier of the request
}

func (v *spoilingServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go v.serve(c)
	}
}

// serve serves one request, and closes the connection as the answer says.
func (v *spoilingServer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	switch expected := r.Header.Get("Expect-Instance"); {
	case r.URL.Path == "/healthz":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", v.id)
		return
	case expected != v.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", v.id)
		return
	}
	time.Sleep(10 * time.Millisecond)
	text := fmt.Sprintf("%s answers %s. ", v.id, id)
	a := answer{server: v.id, seal: fmt.Sprintf("%s.%x", v.id, sha256.Sum256([]byte(id))), body: bytes.Repeat([]byte(text), answerLength/len(text)), whole: true}
	var chunks bytes.Buffer
	for rest := a.body; len(rest) > 0; {
		n := min(chunkLength, len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	version, out := "1.1", append(chunks.Bytes(), "0\r\n\r\n"...)
	if n := v.answered.Add(1); v.trouble.Load() && n%spoiltEvery == 0 {
		version, out, a.whole = "1.0", out[:len(out)/2], false
		a.note = ", says HTTP/1.0 and breaks off"
	}
	v.mu.Lock()
	v.answers[id] = append(v.answers[id], a)
	v.mu.Unlock()
	v.record.add("server %s runs %s %s, id %s%s", v.id, r.Method, r.RequestURI, id, a.note)
	fmt.Fprintf(c, "HTTP/%s 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%s", version, id, a.seal, out)
}

// oldVersion has half of the servers break off some of their answers, whose first line says HTTP/1.0.
func oldVersion(dir string, trouble bool) (int, error) {
	w, err := newWorld(dir, 2, relojesLimits)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitFailed, err
	}
	var mu sync.Mutex
	var inTrouble, sound atomic.Bool
	answers := map[string][]answer{}
	for i := range 4 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, 101+i))
		if err != nil {
			return exitFailed, err
		}
		v := &spoilingServer{id: fmt.Sprintf("i-%d", i+1), record: w.record, trouble: &sound, mu: &mu, answers: answers}
		if i < 2 {
			v.trouble = &inTrouble
		}
		go v.accept(l)
		w.site.keepEntry(v.id, service, zones[i%2], l.Addr().String())
	}
	if err := w.start(); err != nil {
		return exitFailed, err
	}
	begun := time.Now()
	if trouble {
		time.AfterFunc(oldFrom, func() { inTrouble.Store(true); w.record.add("the servers i-1 and i-2 are in trouble") })
		time.AfterFunc(oldFrom+oldFor, func() { inTrouble.Store(false); w.record.add("the servers i-1 and i-2 are sound again") })
	}
	var sent, served, mixed atomic.Int64
	ask := func(h *host, method, prefix string, n int) {
		id := fmt.Sprintf("q-%s-%d", h.name, n)
		sent.Add(1)
		c, err := dial(h.frontAddress())
		if err != nil {
			w.record.add("request %s: %v", id, err)
			return
		}
		defer c.conn.Close()
		status, header, body, err := c.do(head(method, prefix+"2f", hostName, apiKey, id, "1000"), method, 2*time.Second)
		w.record.add("request %s, %s %s: status %d, %d bytes, error %v", id, method, prefix, status, len(body), err)
		if err != nil || status != 200 {
			return
		}
		served.Add(1)
		mu.Lock()
		defer mu.Unlock()
		for _, a := range answers[id] {
			if a.seal == header.Get("Response-Seal") && a.whole && bytes.Equal(a.body, body) {
				return
			}
		}
		mixed.Add(1)
		w.record.add("MIXED: request %s got a success with a body that no server has sent as its whole one: %.140q", id, body)
	}
	for n := 0; time.Since(begun) < oldPlayTime; n++ {
		h := w.hosts[n%2]
		go ask(h, "POST", bookings, 2*n)
		go ask(h, "GET", lookups, 2*n+1)
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	w.record.say("%d requests sent, %d answered with success, %d of them without the server's whole body", sent.Load(), served.Load(), mixed.Load())
	switch {
	case mixed.Load() > 0:
		return exitBroken, nil
	case served.Load() == 0:
		return exitFailed, fmt.Errorf("no request was served")
	}
	return exitHeld, nil
}
