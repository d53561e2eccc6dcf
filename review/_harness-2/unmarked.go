package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

// unmarked: a server fails a part of the bookings after it has run them, with status 503 and without Not-Executed.
func unmarked(trouble bool) int {
	w := newWorld(emulator.DefaultConfig())
	defer w.close()
	var mu sync.Mutex
	ran := map[string]int{}  // runs by the id of the request
	jobs := map[string]int{} // runs by the client's booking, over all its attempts
	for i, zone := range []string{"north", "north", "south"} {
		var s *server
		s = w.addServer(fmt.Sprintf("i-desk-%d", i+1), emulator.CounterService, zone, 6, func(c net.Conn, _ *bufio.Reader, r *http.Request, body []byte) {
			id := r.Header.Get("Request-Id")
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			ran[id]++
			jobs[string(body)]++
			n := len(ran)
			mu.Unlock()
			w.record.printf("%s has run %s (%s)", s.id, id, body)
			if trouble && s.id == "i-desk-1" && n%5 < 2 { // x = .4 of the requests, at one of the servers
				writeResponse(c, http.StatusServiceUnavailable, s.sealed(r), "the booking is stored, its receipt has failed")
				return
			}
			writeResponse(c, 200, s.sealed(r), "booked "+id)
		})
	}
	w.addHosts("north", "south")
	broken := 0
	for n := range 60 {
		booking := fmt.Sprintf("booking-%d", n)
		for attempt := range 2 { // a client retries once, as the sheet says
			id := fmt.Sprintf("%08x%04x", n*7919+13, attempt)
			p := w.hosts[(n+attempt)%len(w.hosts)]
			status, sealed := w.post(p, emulator.ChargesPrefix+"1", id, booking)
			mu.Lock()
			runs := ran[id]
			mu.Unlock()
			promise := status == 429 || status == 503 || status == 408 || status == 421
			w.record.printf("client got %d for %s (%s), sealed %t; it has run %d times", status, id, booking, sealed, runs)
			if promise && runs > 0 {
				broken++
				w.record.printf("REFUSED is broken: %s was answered %d and has run", id, status)
			}
			if !promise {
				break
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for booking, n := range jobs {
		if n > 1 {
			twice++
			w.record.printf("%s was applied %d times", booking, n)
		}
	}
	w.record.printf("%d answers broke REFUSED; %d bookings were applied more than once", broken, twice)
	return broken
}
