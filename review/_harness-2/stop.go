package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

const (
	queueTime     = 2500 * time.Millisecond // for which a model server with a full batch keeps a request in its queue
	checkDeadline = 6 * time.Second
	checkInterval = 200 * time.Millisecond
	firstCheck    = 3200 * time.Millisecond // after SIGTERM; requests that are sent up to 3 s after it are excused
	lastCheck     = 6 * time.Second
	sound         = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
)

// stop: a host is stopped while a long stream runs on it. Clients send short streaming requests on connections that they
// have kept, to model servers whose batches are full, so that each request waits in their queues first.
func stop(trouble bool) int {
	config := emulator.DefaultConfig()
	config.Routes = append(config.Routes, emulator.Route{
		Name: "checks", Host: emulator.HostName, Prefix: "/checks/", Kind: "streaming", Service: emulator.ModelService,
		TimeoutMs: int(checkDeadline.Milliseconds()), TargetLatencyMs: 1500, GapAimMs: 180, MaxAttempts: 1,
	})
	w := newWorld(config)
	defer w.close()
	var mu sync.Mutex
	passedOn := map[string]bool{}
	var desk *server
	desk = w.addServer("i-desk-1", emulator.CounterService, "north", 6, func(c net.Conn, _ *bufio.Reader, r *http.Request, _ []byte) {
		writeResponse(c, 200, desk.sealed(r), "booked")
	})
	for n := range 14 {
		var m *server
		m = w.addServer(fmt.Sprintf("i-model-%d", n+1), emulator.ModelService, "north", 24, func(c net.Conn, in *bufio.Reader, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			mu.Lock()
			passedOn[id] = true
			mu.Unlock()
			w.record.printf("%s gets %s", m.id, id)
			if strings.HasPrefix(r.URL.Path, "/checks/") {
				time.Sleep(queueTime)
				w.record.printf("%s begins %s", m.id, id)
				m.stream(c, in, r, 3, 30*time.Millisecond)
				return
			}
			m.stream(c, in, r, 400, 50*time.Millisecond)
		})
	}
	w.addHosts("north", "south")
	p := w.host(0)
	go func() {
		c, err := net.Dial("tcp", p.callers.String())
		must(err)
		defer c.Close()
		fmt.Fprint(c, checkRequest(emulator.ReportsPrefix+"1", "long", 39*time.Second, "400,1600"))
		data, err := io.ReadAll(c)
		w.record.printf("the long stream ended after %d bytes: %v", len(data), err)
	}()
	count := int((lastCheck - firstCheck) / checkInterval)
	conns := make([]net.Conn, count)
	readers := make([]*bufio.Reader, count)
	var ready sync.WaitGroup
	for n := range count {
		ready.Add(1)
		go func() {
			defer ready.Done()
			c, err := net.Dial("tcp", p.callers.String())
			must(err)
			conns[n], readers[n] = c, bufio.NewReader(c)
			q := emulator.CallerRequest{ID: fmt.Sprintf("b%d", n), Path: emulator.ChargesPrefix + "1", Deadline: time.Second}
			_, _ = io.WriteString(c, q.String())
			resp, err := http.ReadResponse(readers[n], nil)
			must(err)
			_, _ = io.Copy(io.Discard, resp.Body)
			w.record.printf("client got %d for %s on connection %d, and keeps it", resp.StatusCode, q.ID, n)
		}()
	}
	ready.Wait()
	stopped := time.Now()
	if trouble {
		w.record.printf("SIGTERM of %s", p.name)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	broken := 0
	var done sync.WaitGroup
	for n := range count {
		time.Sleep(time.Until(stopped.Add(firstCheck + time.Duration(n)*checkInterval)))
		done.Add(1)
		go func() {
			defer done.Done()
			id := fmt.Sprintf("check%d", n)
			sent := time.Since(stopped)
			took, what := w.check(conns[n], readers[n], id)
			w.record.printf("%s, sent %d ms after the stop, after %d ms: %s", id, sent.Milliseconds(), took.Milliseconds(), what)
			mu.Lock()
			defer mu.Unlock()
			if what == "no complete answer" && passedOn[id] && took < checkDeadline {
				broken++
				w.record.printf("LOST is broken: %s was passed on to a sound server and has no complete answer", id)
			}
		}()
	}
	done.Wait()
	w.record.printf("%d requests broke LOST", broken)
	return broken
}

func checkRequest(path, id string, deadline time.Duration, use string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nToken-Usage: %s\r\nPrompt-Prefix: 5c1e07a2:79,%x:321\r\nContent-Length: 6\r\n\r\nprompt",
		path, emulator.HostName, id, deadline.Milliseconds(), emulator.DefaultKey, use, id)
}

// check sends a short streaming request on a connection, and returns how it was answered.
func (w *world) check(c net.Conn, in *bufio.Reader, id string) (took time.Duration, what string) {
	began := time.Now()
	_ = c.SetDeadline(began.Add(checkDeadline + time.Second))
	if _, err := io.WriteString(c, checkRequest("/checks/1", id, checkDeadline, "400,12")); err != nil {
		return time.Since(began), "the connection was closed before"
	}
	request, err := http.NewRequest(http.MethodPost, "/", nil)
	must(err)
	resp, err := http.ReadResponse(in, request)
	if err != nil {
		return time.Since(began), "no complete answer"
	}
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return time.Since(began), "no complete answer"
	case resp.StatusCode != http.StatusOK:
		return time.Since(began), fmt.Sprint(resp.StatusCode)
	case string(data) != sound:
		return time.Since(began), "other events"
	}
	return time.Since(began), "complete"
}
