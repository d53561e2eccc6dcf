package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	oddRequests   = 4500 // of a client, one after the other, in the life of one process
	oddValueBytes = 15_000
	memoryMb      = 134 // of relojesLimits
	maxEnds       = 3   // processes of a machine that end by themselves, by the rule
	oddPlayTime   = 75 * time.Second
	restartDelay  = 500 * time.Millisecond
)

// machine is a host with its platform, which kills a process above the machine's memory and starts another one, and with two clients.
type machine struct {
	*host
	world  *world
	odd    string // value of Deadline-Ms of the requests of the one client
	ends   int    // processes that had too much memory
	served int    // ordinary requests, of the other client
	failed int
	sent   int
}

// oddValues has a client at each host send requests inside the limits whose Deadline-Ms is a long odd value, one after the other on one
// connection. Beside it an ordinary client sends requests. The platform kills a process above MemoryMb.
func oddValues(dir string, trouble bool) (int, error) {
	w, err := newWorld(dir, 2, relojesLimits)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitFailed, err
	}
	for i, zone := range zones {
		if _, err := w.site.addServer(fmt.Sprintf("i-%d", i+1), service, zone, fmt.Sprintf("%s.%d:0", w.net, 101+i), 10*time.Millisecond); err != nil {
			return exitFailed, err
		}
	}
	if err := w.start(); err != nil {
		return exitFailed, err
	}
	value := "1000"
	if trouble {
		value = string(bytes.Repeat([]byte{0xff}, oddValueBytes))
	}
	end := time.Now().Add(oddPlayTime)
	var machines []*machine
	var playing sync.WaitGroup
	for _, h := range w.hosts {
		m := &machine{host: h, world: w, odd: value}
		machines = append(machines, m)
		playing.Go(func() { m.play(end) })
	}
	playing.Wait()
	out, served := 0, 0
	for _, m := range machines {
		w.record.say("host %s: %d requests of the one client, processes that had more than %d MB: %d; ordinary requests: %d served, %d failed",
			m.name, m.sent, memoryMb, m.ends, m.served, m.failed)
		served += m.served
		if m.ends >= maxEnds {
			out++
		}
	}
	switch {
	case out == len(machines):
		return exitBroken, nil
	case served == 0:
		return exitFailed, fmt.Errorf("no ordinary request was served")
	}
	return exitHeld, nil
}

// play has both clients send requests, and starts the process again when it has had too much memory.
func (m *machine) play(end time.Time) {
	for life := 0; life < maxEnds && time.Now().Before(end); life++ {
		if !m.playLife(life, end) {
			return
		}
		time.Sleep(restartDelay)
		if err := m.start(); err != nil || !m.waitReady(15*time.Second) {
			m.record.add("host %s was not ready again: %v", m.name, err)
			return
		}
	}
}

// playLife has both clients send requests, and reports whether the process had too much memory.
func (m *machine) playLife(life int, end time.Time) bool {
	var c *client
	most := int64(0)
	for n := 0; n < oddRequests && time.Now().Before(end); n++ {
		if n%250 == 0 {
			m.ordinary(life, n)
		}
		if n%20 == 0 {
			memory := m.memory()
			if memory > most+(20<<20) {
				most = memory
				m.record.add("host %s has %d MB of memory after %d requests", m.name, memory>>20, n)
			}
			if memory > memoryMb<<20 {
				m.record.add("host %s has %d MB of memory, its machine %d MB: the platform kills it", m.name, memory>>20, memoryMb)
				m.ends++
				m.stop()
				m.ordinary(life, n)
				return true
			}
		}
		if c == nil {
			var err error
			if c, err = dial(m.frontAddress()); err != nil {
				m.record.add("host %s: %v", m.name, err)
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		request := head("GET", lookups+"2f", hostName, apiKey, fmt.Sprintf("odd-%s-%d-%d", m.ip, life, n), m.odd)
		status, header, _, err := c.do(request, "GET", 2*time.Second)
		m.sent++
		if n%250 == 0 {
			m.record.add("host %s: request %d, %d bytes: status %d, error %v", m.name, n, len(request), status, err)
		}
		if err != nil || header.Get("Connection") == "close" {
			_ = c.conn.Close()
			c = nil
		}
	}
	m.record.add("host %s has %d MB of memory at the end", m.name, m.memory()>>20)
	return false
}

// ordinary sends an ordinary request on a connection of its own.
func (m *machine) ordinary(life, n int) {
	id := fmt.Sprintf("ordinary-%s-%d-%d", m.ip, life, n)
	c, err := dial(m.frontAddress())
	if err != nil {
		m.failed++
		m.record.add("request %s: %v", id, err)
		return
	}
	defer c.conn.Close()
	status, _, _, err := c.do(head("GET", lookups+"2f", hostName, apiKey, id, "1000"), "GET", 2*time.Second)
	if err == nil && status == 200 {
		m.served++
	} else {
		m.failed++
	}
	m.record.add("request %s: status %d, error %v", id, status, err)
}
