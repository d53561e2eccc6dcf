package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

const (
	contact      = 3 * time.Second // ContactMs
	cutTime      = 14 * time.Second
	tryInterval  = 40 * time.Millisecond // between two first tries at a host
	allowedFails = 10                    // first tries that may fail there, besides 1 in 50 of all
)

// path: one machine of four is partitioned from all servers: its connections are accepted by something on the way and reset
// when the first bytes of a request arrive.
func path(trouble bool) int {
	w := newWorld(emulator.DefaultConfig())
	defer w.close()
	var cut atomic.Pointer[process]
	var mu sync.Mutex
	runs := map[string]int{}
	for n, zone := range []string{"north", "north", "south", "south"} {
		var s *server
		s = w.addServer(fmt.Sprintf("i-desk-%d", n+1), emulator.CounterService, zone, 6, func(c net.Conn, _ *bufio.Reader, r *http.Request, _ []byte) {
			id := r.Header.Get("Request-Id")
			mu.Lock()
			runs[id]++
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			writeResponse(c, 200, s.sealed(r), "booked "+id)
		})
		s.onPath = func(c net.Conn) bool {
			p := cut.Load()
			if p == nil || !p.owns(c.RemoteAddr().(*net.TCPAddr).Port) {
				return true
			}
			if os.Getenv("CUT") == "silent" {
				_, _ = io.Copy(io.Discard, c)
				return false
			}
			_, _ = c.Read(make([]byte, 1))
			rst(c)
			return false
		}
	}
	w.addHosts("north", "north", "south", "south")
	if trouble {
		cut.Store(w.host(0))
		w.record.printf("%s is partitioned from all servers", w.host(0).name)
	}
	began := time.Now()
	var served, tries [4]int
	var done sync.WaitGroup
	for n := 0; time.Since(began) < cutTime; n++ {
		for h := range w.hosts {
			done.Add(1)
			go func() {
				defer done.Done()
				id := fmt.Sprintf("%02d%06d", h, n)
				at := time.Since(began)
				status := w.try(w.host(h), id, n%3 == 0)
				mu.Lock()
				defer mu.Unlock()
				if h == 0 {
					w.record.printf("%s got %d, it has run %d times", id, status, runs[id])
				}
				if at < contact {
					return
				}
				tries[h]++
				if status == http.StatusOK {
					served[h]++
				}
			}()
		}
		time.Sleep(tryInterval)
	}
	done.Wait()
	all, others, othersServed := 0, 0, 0
	for h := range tries {
		all += tries[h]
		if h > 0 {
			others, othersServed = others+tries[h], othersServed+served[h]
		}
	}
	w.record.printf("first tries from %v after the cut on: %d of %d served there, %d of %d at the others", contact, served[0], tries[0], othersServed, others)
	rate, otherRate := float64(served[0])/float64(tries[0]), float64(othersServed)/float64(others)
	if fails := tries[0] - served[0]; rate < otherRate*2/3 && float64(fails) > allowedFails+float64(all)/50 {
		w.record.printf("RECOVER is broken")
		return fails
	}
	return 0
}

// owns reports whether the process has the socket with a local port of the address 127.0.0.1.
func (p *process) owns(port int) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	must(err)
	inode := ""
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == fmt.Sprintf("0100007F:%04X", port) {
			inode = f[9]
		}
	}
	sockets, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	for _, s := range sockets {
		if to, _ := os.Readlink(s); inode != "" && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// try sends a request once on a new connection, a lookup or a booking, and returns the status of its answer.
func (w *world) try(p *process, id string, lookup bool) int {
	method, path := http.MethodPost, emulator.ChargesPrefix+"1"
	if lookup {
		method, path = http.MethodGet, emulator.LookupsPrefix+"1"
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+p.callers.String()+path, nil)
	must(err)
	r.Host = emulator.HostName
	r.Header = http.Header{"Request-Id": {id}, "Deadline-Ms": {"1000"}, "Authorization": {"Bearer " + emulator.DefaultKey}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
