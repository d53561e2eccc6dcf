package main

import (
	"context"
	"net/http"
	"time"
)

const (
	lateClients  = 40
	lateBegin    = 6300 * time.Millisecond // after the SIGTERM
	lateSpread   = 450 * time.Millisecond  // in which the clients send their requests, evenly
	silenceBegin = 6400 * time.Millisecond // after the SIGTERM
	silence      = 1200 * time.Millisecond // of a sound server: "a second or so"
)

// playLateStop stops one host in order. A stream that began before keeps its process running. Clients send short
// requests on connections that they kept, and one sound server falls silent for a second or so.
func playLateStop(s *site, trouble bool) int {
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
	time.Sleep(2 * contactTime)
	stopping := s.hosts[0]
	short := class{"fit", http.MethodPost, fitPrefix + "2f", 0, 6 * time.Second, 2550, 12, 2900}
	report := class{"diag", http.MethodPost, diagPrefix + "2f", 0, 39 * time.Second, 3079, 928, 3000}
	conns := c.warm(stopping, lateClients, &short)
	if conns == nil {
		return exitUnknown
	}
	long, err := dialHost(stopping)
	if err != nil {
		s.say("client: %v", err)
		return exitUnknown
	}
	defer long.Close()
	c.wg.Go(func() { c.send(long, &report) })
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	var ended <-chan struct{}
	if trouble {
		ended = stopping.terminate()
	}
	// The silence is there without the SIGTERM, too: it is no disruption.
	silent := s.nearServer(stopping)
	time.AfterFunc(silenceBegin, func() { silent.fallSilent(silence) })
	for n, one := range conns {
		c.wg.Go(func() {
			time.Sleep(time.Until(began.Add(lateBegin + time.Duration(n)*lateSpread/lateClients)))
			c.send(one, &short)
		})
	}
	c.wg.Wait()
	if ended != nil {
		<-ended
		s.log("%s ended %d ms after SIGTERM", stopping.name, time.Since(began).Milliseconds())
	}
	return judgeLateStop(s, c, began)
}

// nearServer returns a model server in the zone of a host.
func (s *site) nearServer(h *host) *server {
	for _, one := range s.servers {
		if one.model && one.zone == h.zone {
			return one
		}
	}
	return s.servers[0]
}

// judgeLateStop checks LOST for the requests that were sent later than 3 s after the SIGTERM.
func judgeLateStop(s *site, c *clients, stoppedAt time.Time) int {
	const unexcused = 3 * time.Second
	served, refused, unread, lost := 0, 0, 0, 0
	for _, r := range c.results {
		if r.sentAt.Sub(stoppedAt) < unexcused {
			continue
		}
		switch ran := len(s.runs.get(r.id)) > 0; {
		case r.complete && r.status == http.StatusOK:
			served++
		case r.complete:
			refused++
		case !ran:
			unread++ // the process may not have read the whole request
		default:
			lost++
			s.say("LOST: %s, sent %d ms after SIGTERM and passed on to a server, its connection ended %d ms after SIGTERM with status %d and %d bytes: %s",
				r.id, r.sentAt.Sub(stoppedAt).Milliseconds(), r.endedAt.Sub(stoppedAt).Milliseconds(), r.status, r.bytes, r.err)
		}
	}
	s.say("%d served, %d refused, %d not passed on, %d lost (1 breaks the rule)", served, refused, unread, lost)
	switch {
	case lost > 0:
		return exitBroken
	case served == 0:
		return exitUnknown
	}
	return exitHeld
}
