package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	spellTime   = 5 * time.Second // of the servers' trouble
	spellGap    = 5 * time.Second
	spellCount  = 6
	cutServers  = 2  // plain servers in trouble, of 4
	cutInterval = 20 // one of so many answers is broken off
)

// playJoined has plain servers break off some of their answers. Lookups, which may be repeated, are answered with
// events.
func playJoined(s *site, trouble bool) int {
	s.configure(7, routes())
	if err := s.addServers(2, 4); err != nil {
		s.say("servers: %v", err)
		return exitUnknown
	}
	var inTrouble atomic.Bool
	var answers atomic.Int64
	plain := s.servers[2:]
	for n, one := range plain {
		one.events = true
		if n < cutServers {
			one.cut = func(*http.Request) bool { return inTrouble.Load() && answers.Add(1)%cutInterval == 0 }
		}
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
		if k.prompt == 0 {
			c.run(k, 32)
		}
	}
	time.Sleep(contactTime)
	for range spellCount {
		if trouble {
			inTrouble.Store(true)
		}
		time.Sleep(spellTime)
		inTrouble.Store(false)
		time.Sleep(spellGap)
	}
	c.end()
	return judgeJoined(s, c)
}

// judgeJoined checks MIXED: a success has the seal and the whole body of a run of its request.
func judgeJoined(s *site, c *clients) int {
	served, repeated, mixed := 0, 0, 0
	for _, r := range c.seen() {
		if !r.complete || r.status != http.StatusOK {
			continue
		}
		served++
		list := s.runs.get(r.id)
		if len(list) > 1 {
			repeated++
		}
		whole := false
		for _, one := range list {
			whole = whole || one.seal == r.seal && one.body == r.body
		}
		if !whole {
			mixed++
			s.say("MIXED: %s (%s) got 200, seal %s, %d bytes, the end of the answer; run %d times; the body begins with %.160q", r.id, r.class, r.seal, r.bytes, len(list), r.body)
		}
	}
	s.say("%d requests, %d served, %d of them at the second server, %d with a body that no server sent (1 breaks the rule)", len(c.seen()), served, repeated, mixed)
	switch {
	case mixed > 0:
		return exitBroken
	case served == 0:
		return exitUnknown
	}
	return exitHeld
}
