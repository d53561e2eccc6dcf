package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/platform/emulator"
)

const (
	crowdClients = 1000 // half of them at each host
	crowdTime    = 20 * time.Second
	restartDelay = time.Second
	headBytes    = 16_384 // MaxHeaderBytes of the sheets
	memoryMb     = 134    // of a machine of relojes-jal

	endsOfFault     = 3 // processes that end on a machine, by Fault
	machinesOfFault = 2 // machines on which they do
)

// crowd: clients that the operator does not control send requests of legal size, each with a long Prompt-Prefix. The
// platform kills a process whose memory exceeds that of its machine.
func crowd(trouble bool) int {
	config := emulator.DefaultConfig()
	config.Limits = map[string]int{"MaxHeaderBytes": headBytes, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000}
	w := newWorld(config)
	w.memoryMb = memoryMb
	defer w.close()
	for i, zone := range []string{"north", "south"} {
		var s *server
		s = w.addServer(fmt.Sprintf("i-desk-%d", i+1), emulator.CounterService, zone, 6, func(c net.Conn, _ *bufio.Reader, r *http.Request, _ []byte) {
			time.Sleep(20 * time.Millisecond)
			writeResponse(c, 200, s.sealed(r), "booked")
		})
		var m *server
		m = w.addServer(fmt.Sprintf("i-model-%d", i+1), emulator.ModelService, zone, 24, func(c net.Conn, in *bufio.Reader, r *http.Request, _ []byte) {
			m.stream(c, in, r, 200, 50*time.Millisecond)
		})
	}
	w.addHosts("north", "south")
	end := time.Now().Add(crowdTime)
	var mu sync.Mutex
	answers := map[string]int{}
	if trouble {
		w.record.printf("%d clients begin to send heads of up to %d bytes", crowdClients, headBytes)
	}
	var clients sync.WaitGroup
	for n := range crowdClients {
		if !trouble {
			break
		}
		prefix := longPrefix()
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				status := sendOdd(w.host(n%2), prefix, fmt.Sprintf("odd-%d-%d", n, rand.Uint32()), []string{emulator.DefaultKey, "key-of-two"}[n/2%2])
				mu.Lock()
				answers[status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	kills := make([]int, len(w.hosts))
	for n := range w.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			kills[n] = w.limitMemory(n, end)
		}()
	}
	ordinary := map[int]int{}
	for n := 0; time.Now().Before(end); n++ {
		p := w.host(n % 2)
		status, _ := w.post(p, emulator.ChargesPrefix+"1", fmt.Sprintf("c%07d", n), "booking")
		w.record.printf("ordinary client got %d for c%07d from %s", status, n, p.name)
		ordinary[status]++
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	w.record.printf("answers to the crowd: %v; to the ordinary client: %v", answers, ordinary)
	w.record.printf("processes that the platform killed for their memory, by host: %v", kills)
	broken := 0
	for _, n := range kills {
		if n >= endsOfFault {
			broken++
		}
	}
	if broken < machinesOfFault {
		return 0
	}
	w.record.printf("Fault: on %d of %d machines processes have ended %d times", broken, len(kills), endsOfFault)
	return broken
}

// limitMemory does what the platform does with a process that exceeds the memory of its machine, until a point in time or
// endsOfFault times: it kills the process and starts it again. It returns the number of kills.
func (w *world) limitMemory(n int, end time.Time) (kills int) {
	peak := 0
	for time.Now().Before(end) && kills < endsOfFault {
		p := w.host(n)
		mb := anonymousMb(p)
		peak = max(peak, mb)
		if mb > memoryMb {
			kills++
			w.record.printf("the platform kills %s, whose memory is %d MB of %d MB", p.name, mb, memoryMb)
			_ = p.cmd.Process.Kill() // fails only if it has ended
			<-p.ended
			time.Sleep(restartDelay)
			w.restart(n)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.record.printf("peak of the memory on %s: %d MB", w.host(n).name, peak)
	return kills
}

// longPrefix returns the value of a Prompt-Prefix that fills a head of legal size.
func longPrefix() string {
	var b strings.Builder
	b.WriteString("5c1e07a2:79")
	for os.Getenv("KIND") == "" && b.Len() < headBytes-350 {
		fmt.Fprintf(&b, ",%x:1", rand.IntN(16))
	}
	return b.String()
}

// sendOdd sends one request and returns the status of its answer.
func sendOdd(p *process, prefix, id, key string) string {
	kind := os.Getenv("KIND")
	c, err := net.DialTimeout("tcp", p.callers.String(), 2*time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	body := "prompt"
	path := emulator.ReportsPrefix
	use := "Token-Usage: 30000,2000\r\nPrompt-Prefix: " + prefix + "\r\n"
	if kind == "body" {
		body, path, use = strings.Repeat("x", 4<<20), emulator.ChargesPrefix, ""
	}
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	fmt.Fprintf(c, "POST %s1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 19000\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, emulator.HostName, id, key, use, len(body), body)
	head := make([]byte, 12)
	if n, _ := c.Read(head); n < len(head) {
		return "no answer"
	}
	return string(head[9:])
}

// anonymousMb returns the memory of the process without the pages of its program file, in MB; 0 if it has ended.
func anonymousMb(p *process) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}
