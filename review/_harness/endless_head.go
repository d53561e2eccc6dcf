package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	troubleTime  = 50 * time.Second
	troubleCount = 2 // model servers in trouble, of 12
	troublePart  = 9 // of 20 answers of a server in trouble
)

// playEndlessHead has two model servers answer with heads that do not end.
func playEndlessHead(s *site, trouble bool) int {
	s.configure(7, routes())
	if err := s.addServers(12, 4); err != nil {
		s.say("servers: %v", err)
		return exitUnknown
	}
	var inTrouble atomic.Bool
	var count atomic.Int64
	for _, one := range s.servers[:troubleCount] {
		one.garble = func(*http.Request) bool { return inTrouble.Load() && count.Add(1)%20 < troublePart }
	}
	if err := s.addHosts(8, 134); err != nil {
		s.say("hosts: %v", err)
		return exitUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !s.waitReady(ctx) {
		s.say("the hosts are not ready")
		return exitUnknown
	}
	c := newClients(s)
	for _, k := range sheet() {
		c.run(k, 32)
	}
	time.Sleep(2 * contactTime)
	if trouble {
		s.log("trouble begins at %s and %s", s.servers[0].id, s.servers[1].id)
		inTrouble.Store(true)
	}
	time.Sleep(troubleTime)
	inTrouble.Store(false)
	s.log("trouble ends")
	time.Sleep(2 * time.Second)
	ended := time.Now()
	c.end()
	return judgeCrashes(s, c, ended)
}

// judgeCrashes checks the rules Fault and LOST.
func judgeCrashes(s *site, c *clients, until time.Time) int {
	machines, peak := 0, 0
	for _, h := range s.hosts {
		h.mu.Lock()
		s.say("%s: ended by itself %d times, at most %d MB", h.name, len(h.ends), h.peak/1024)
		peak = max(peak, h.peak)
		if len(h.ends) >= 3 {
			machines++
		}
		h.mu.Unlock()
	}
	bad := map[string]bool{}
	for _, one := range s.servers[:troubleCount] {
		bad[one.id] = true
	}
	served, lost, broken := 0, 0, 0
	for _, r := range c.seen() {
		if r.complete && r.status == http.StatusOK {
			served++
		}
		if r.complete || !r.kept || r.endedAt.After(until) {
			continue
		}
		for _, one := range s.runs.get(r.id) {
			if bad[one.server] {
				continue
			}
			if r.status == 0 {
				lost++
			} else {
				broken++
			}
			break
		}
	}
	s.say("%d requests, %d served; on kept connections, passed on to a sound server: %d without an answer, %d broken off", len(c.seen()), served, lost, broken)
	s.say("Fault: on %d machines the process ended by itself three times or more (2 break the rule)", machines)
	s.say("LOST: %d requests (more than 3 break the rule)", lost)
	switch {
	case served == 0:
		return exitUnknown
	case machines >= 2 || lost > 3:
		return exitBroken
	}
	return exitHeld
}
