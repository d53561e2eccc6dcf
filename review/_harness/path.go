package main

import (
	"context"
	"net/http"
	"time"
)

const (
	pathRequests   = 20
	defaultPrefix  = "/"
	troublePath    = "//fit/2f" // begins with two slashes: only the route with the shortest prefix matches
	untroubledPath = "/other/2f"
)

// playPath sends requests whose path begins with two slashes to a route that serves the whole host name.
func playPath(s *site, trouble bool) int {
	s.configure(7, append(routes(), route{
		Name: "all", Host: hostName, Prefix: defaultPrefix, Kind: "non_idempotent", Service: plainPool,
		TimeoutMs: 1000, TargetLatencyMs: 150, MaxAttempts: 1, Priority: 2,
	}))
	if err := s.addServers(2, 4); err != nil {
		s.say("servers: %v", err)
		return exitUnknown
	}
	if err := s.addHosts(4, 134); err != nil {
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
	time.Sleep(2 * contactTime)
	k := class{"all", http.MethodPost, untroubledPath, 0, time.Second, 0, 0, 600}
	if trouble {
		k.path = troublePath
	}
	for n := range pathRequests {
		one, err := c.dial(n)
		if err != nil {
			s.say("client: %v", err)
			return exitUnknown
		}
		c.send(one, &k)
		one.Close()
		time.Sleep(100 * time.Millisecond)
	}
	ran, changed := 0, 0
	for _, r := range c.seen() {
		for _, one := range s.runs.get(r.id) {
			if ran++; one.target != k.path || one.host != hostName {
				changed++
				s.say("UNASKED: %s was sent as %s %s, host %s; %s ran it as %s %s, host %s", r.id, k.method, k.path, hostName, one.server, one.method, one.target, one.host)
			}
		}
	}
	s.say("%d requests, %d run, %d of them with another path or host (1 breaks the rule)", len(c.seen()), ran, changed)
	switch {
	case changed > 0:
		return exitBroken
	case ran == 0:
		return exitUnknown
	}
	return exitHeld
}
