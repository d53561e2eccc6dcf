package main

import (
	"context"
	"time"
)

const (
	slowClients  = 24
	uploadTime   = 1400 * time.Millisecond // of one body, 64 KiB over a link of about 400 kbit/s
	uploadSteps  = 24
	uploadBegin  = 1200 * time.Millisecond // after the SIGTERM
	uploadSpread = 1250 * time.Millisecond // in which the clients begin, evenly
	uploadBody   = 64 << 10
	workEnd      = graceTime * 5 / 6 // later cuts are excused
)

// playStop stops one host in order while clients with a slow link send requests on connections that they keep.
func playStop(s *site, trouble bool) int {
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
	short := class{"fit", "POST", fitPrefix + "2f", 0, 6 * time.Second, 2550, 12, 2900}
	long := class{"fit", "POST", fitPrefix + "2f", 0, 6 * time.Second, 2550, 12, uploadBody}
	conns := c.warm(stopping, slowClients, &short)
	if conns == nil {
		return exitUnknown
	}
	time.Sleep(contactTime)
	var ended <-chan struct{}
	began := time.Now()
	if trouble {
		ended = stopping.terminate()
	}
	for n, one := range conns {
		c.wg.Go(func() {
			time.Sleep(time.Until(began.Add(uploadBegin + time.Duration(n)*uploadSpread/slowClients)))
			c.sendAs(one, &long, func(head string, body []byte) error { return writeSlowly(one, head, body) })
		})
	}
	c.wg.Wait()
	if ended != nil {
		<-ended
		s.log("%s ended %d ms after SIGTERM", stopping.name, time.Since(began).Milliseconds())
	}
	return judgeStop(s, c, began)
}

// writeSlowly sends the head at once and the body in even steps within uploadTime.
func writeSlowly(n *conn, head string, body []byte) error {
	if _, err := n.Write([]byte(head)); err != nil {
		return err
	}
	step := len(body) / uploadSteps
	for i := range uploadSteps {
		time.Sleep(uploadTime / uploadSteps)
		end := (i + 1) * step
		if i == uploadSteps-1 {
			end = len(body)
		}
		if _, err := n.Write(body[i*step : end]); err != nil {
			return err
		}
	}
	return nil
}

// judgeStop checks LOST for the requests that were sent around the stop.
func judgeStop(s *site, c *clients, stoppedAt time.Time) int {
	served, refused, unread, lost, late := 0, 0, 0, 0, 0
	for _, r := range c.seen()[slowClients:] {
		ran := len(s.runs.get(r.id)) > 0
		switch after := r.endedAt.Sub(stoppedAt); {
		case r.complete && r.status == 200:
			served++
		case r.complete:
			refused++
		case !ran:
			unread++ // the process may not have read the whole request
		case after >= workEnd:
			late++
		default:
			lost++
			s.say("LOST: %s, passed on to a server, its connection ended %d ms after SIGTERM, %d ms after its last byte was sent, with status %d and %d bytes: %s",
				r.id, after.Milliseconds(), r.endedAt.Sub(r.sentAt).Milliseconds(), r.status, r.bytes, r.err)
		}
	}
	s.say("%d served, %d refused, %d not passed on, %d cut in the last sixth of the grace period, %d lost (1 breaks the rule)", served, refused, unread, late, lost)
	switch {
	case lost > 0:
		return exitBroken
	case served == 0:
		return exitUnknown
	}
	return exitHeld
}
