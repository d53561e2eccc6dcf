package main

import (
	"context"
	"net/http"
	"slices"
	"time"
)

const (
	outage      = 4500 * time.Millisecond // of the store
	lapseAfter  = 3 * heartbeat           // of silence, a server's entry is removed
	longerShut  = 3500 * time.Millisecond // the store turns one machine away for so much longer
	calm        = 10 * time.Second        // without any disruption
	drainTime   = 2 * time.Second         // DrainMs
	servesOn    = 6 * time.Second         // a server that has left serves on
	measureTime = 5 * time.Second
	leavers     = 2 // plain servers, of 4, one after the other
)

// playLapse takes the store away for some seconds, in which the servers' entries lapse; for one host a little longer.
// Much later a server leaves the store without reporting that it drains.
func playLapse(s *site, trouble bool) int {
	s.configure(7, routes())
	if err := s.addServers(12, 4); err != nil {
		s.say("servers: %v", err)
		return exitUnknown
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
		c.run(k, 64)
	}
	time.Sleep(2 * contactTime)
	reader := s.busiestReader()
	if trouble {
		s.takeStoreAway(reader)
	}
	time.Sleep(calm)
	began := time.Now()
	time.Sleep(measureTime)
	measured := time.Now()
	left := map[*server]time.Time{}
	plain := s.servers[12:]
	for range leavers {
		staying := slices.DeleteFunc(slices.Clone(plain), func(one *server) bool { return one.gone.Load() })
		one := s.runs.mostUsed(staying, time.Now().Add(-measureTime))
		one.leave()
		left[one] = time.Now()
		time.Sleep(servesOn)
	}
	c.end()
	return judgeLapse(s, c, began, measured, left)
}

// busiestReader returns the host that makes the most calls to the store.
func (s *site) busiestReader() *host {
	before := map[*host]int64{}
	for _, h := range s.hosts {
		before[h] = h.door.served.Load()
	}
	time.Sleep(2 * time.Second)
	best := s.hosts[0]
	for _, h := range s.hosts {
		if h.door.served.Load()-before[h] > best.door.served.Load()-before[best] {
			best = h
		}
	}
	s.log("%s reads the store most often", best.name)
	return best
}

// takeStoreAway makes the store turn all calls away for the outage, and those of one host for longer. The servers'
// entries lapse meanwhile.
func (s *site) takeStoreAway(last *host) {
	s.log("the store turns all machines away")
	last.door.shut.Store(true)
	s.store.down.Store(true)
	time.Sleep(lapseAfter)
	for _, one := range s.servers {
		s.store.remove("servers/" + one.id)
	}
	s.log("the entries of the servers have lapsed")
	time.Sleep(outage - lapseAfter)
	s.store.down.Store(false)
	s.log("the store is back, but for %s", last.name)
	time.Sleep(longerShut)
	last.door.shut.Store(false)
	s.log("the store is back for all")
}

// judgeLapse checks DRAIN, and counts what was served in the calm time after the outage.
func judgeLapse(s *site, c *clients, began, measured time.Time, left map[*server]time.Time) int {
	sent, served, late := 0, 0, 0
	for _, r := range c.seen() {
		if r.sentAt.After(began) && r.sentAt.Before(measured) {
			sent++
			if r.complete && r.status == http.StatusOK {
				served++
			}
		}
		for _, one := range s.runs.get(r.id) {
			for leaver, at := range left {
				if after := one.at.Sub(at); one.server == leaver.id && after > drainTime {
					late++
					s.say("DRAIN: %s reached %s from %s %d ms after the store had acknowledged that it is gone", r.id, leaver.id, r.host.name, after.Milliseconds())
				}
			}
		}
	}
	s.say("from %.0f s on, %d of %d requests were served within %s", began.Sub(s.started).Seconds(), served, sent, measureTime)
	s.say("%d requests reached a server later than %s after it had gone (1 breaks the rule)", late, drainTime)
	switch {
	case late > 0:
		return exitBroken
	case served == 0:
		return exitUnknown
	}
	return exitHeld
}
