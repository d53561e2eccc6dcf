package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	queueTime       = 2500 * time.Millisecond // of a short stream at its server, behind those of others
	eventTime       = 28 * time.Millisecond
	shortEvents     = 6
	longEvents      = 230
	callers         = 16
	warmTime        = 5 * time.Second // from the callers' first requests to the long stream
	longLead        = time.Second     // from the long stream to the SIGTERM
	firstLate       = 3750 * time.Millisecond
	lateInterval    = 50 * time.Millisecond // between the callers' second requests
	silentFrom      = 6950 * time.Millisecond
	silentFor       = time.Second
	graceTime       = 8 * time.Second
	lateWithoutRule = 3 * time.Second // requests that are sent later have no excuse by the rule
)

// queueingServer is a stand-in of a sound model server whose slots others use, too: a short stream waits queueTime for its first event.
type queueingServer struct {
	id     string
	record *record

	mu          sync.Mutex
	silentSince time.Time // zero if the server does not fall silent
}

func (v *queueingServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go v.serve(c)
	}
}

// fallSilent makes the server send nothing from the given time on for silentFor.
func (v *queueingServer) fallSilent(from time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentSince = from
}

// waitForSpeech waits until the end of the server's silence.
func (v *queueingServer) waitForSpeech() {
	v.mu.Lock()
	since := v.silentSince
	v.mu.Unlock()
	if !since.IsZero() && time.Now().After(since) {
		time.Sleep(time.Until(since.Add(silentFor)))
	}
}

// serve serves one request. It stops work when the connection closes.
func (v *queueingServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	switch expected := r.Header.Get("Expect-Instance"); {
	case r.URL.Path == "/healthz":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", v.id)
		return
	case expected != v.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", v.id)
		return
	}
	var closed atomic.Bool
	go func() {
		_, _ = reader.ReadByte() // nothing follows a request
		closed.Store(true)
	}()
	events := shortEvents
	if strings.HasPrefix(id, "long") {
		events = longEvents
	} else {
		v.record.add("server %s puts %s into its queue", v.id, id)
		time.Sleep(queueTime)
	}
	for n := 1; n <= events; n++ {
		v.waitForSpeech()
		if closed.Load() {
			v.record.add("server %s stops %s before piece %d: the connection is closed", v.id, id, n)
			return
		}
		if n == 1 {
			v.record.add("server %s runs %s", v.id, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s.%s\r\nWeight-Versions: 1\r\nConnection: close\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, v.id, id)
		}
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventTime)
	}
	v.waitForSpeech()
	_, _ = io.WriteString(c, "0\r\n\r\n") // a host that has left needs none
	v.record.add("server %s has ended %s", v.id, id)
}

func streamRequest(id string, output int) []byte {
	return fmt.Appendf(nil, "POST %s2f HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: %s\r\nModel-Name: m\r\nToken-Usage: 60,%d\r\nPrompt-Prefix: 5c1e07a2:40,%x:20\r\nDeadline-Ms: 12000\r\nContent-Length: 0\r\n\r\n",
		longReports, hostName, apiKey, id, output, time.Now().UnixNano())
}

// queueSilence stops one of two hosts. Callers with idle connections there send short streams between 3.75 and 4.5 s after the SIGTERM; each waits 2.5 s
// in the queue of its server, as did those before. One server falls silent for a second.
func queueSilence(dir string, trouble bool) (int, error) {
	w, err := newWorld(dir, 2, relojesLimits)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitFailed, err
	}
	var models []*queueingServer
	for i, zone := range zones {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, 111+i))
		if err != nil {
			return exitFailed, err
		}
		v := &queueingServer{id: fmt.Sprintf("i-m%d", i+1), record: w.record}
		models = append(models, v)
		go v.accept(l)
		w.site.keepEntrySlots(v.id, model, zone, l.Addr().String(), modelSlots)
	}
	if err := w.start(); err != nil {
		return exitFailed, err
	}
	time.Sleep(4 * time.Second) // hosts that have just started are not in touch
	h := w.hosts[0]
	var kept []*client
	var warm sync.WaitGroup
	var warmed atomic.Int64
	for n := range callers {
		c, err := dial(h.frontAddress())
		if err != nil {
			return exitFailed, err
		}
		kept = append(kept, c)
		warm.Go(func() {
			status, _, _, err := c.do(streamRequest(fmt.Sprintf("first-%d", n), shortEvents*4), "POST", 8*time.Second)
			w.record.add("first-%d: status %d, error %v", n, status, err)
			if err == nil && status == 200 {
				warmed.Add(1)
			}
		})
	}
	time.Sleep(warmTime)
	warm.Wait()
	if warmed.Load() < callers {
		return exitFailed, fmt.Errorf("%d of %d first requests were served", warmed.Load(), callers)
	}
	var playing sync.WaitGroup
	playing.Go(func() {
		c, err := dial(h.frontAddress())
		if err != nil {
			w.record.add("long: %v", err)
			return
		}
		defer c.conn.Close()
		status, _, body, err := c.do(streamRequest("long", longEvents*4), "POST", 12*time.Second)
		w.record.add("long: status %d, %d bytes, error %v", status, len(body), err)
	})
	time.Sleep(longLead)
	stopped := time.Now()
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return exitFailed, err
	}
	w.record.add("host %s gets SIGTERM", h.name)
	killed := time.AfterFunc(graceTime, func() {
		w.record.add("host %s gets SIGKILL", h.name)
		_ = h.cmd.Process.Kill()
	})
	if trouble {
		models[0].fallSilent(stopped.Add(silentFrom))
		w.record.add("server %s falls silent %v after the SIGTERM, for %v", models[0].id, silentFrom, silentFor)
	}
	var served, refused, other, lost atomic.Int64
	for n, c := range kept {
		playing.Go(func() {
			defer c.conn.Close()
			at := firstLate + time.Duration(n)*lateInterval
			time.Sleep(time.Until(stopped.Add(at)))
			id := fmt.Sprintf("late-%d", n)
			status, _, body, err := c.do(streamRequest(id, shortEvents*4), "POST", 10*time.Second)
			ended := time.Since(stopped)
			w.record.add("%s, sent %v after the SIGTERM: status %d, %d bytes, error %v, ended %v after it", id, at, status, len(body), err, ended.Round(time.Millisecond))
			switch {
			case err == nil && status == 200:
				served.Add(1)
			case err == nil && status == 503:
				refused.Add(1)
			case err != nil && status == 200 && at > lateWithoutRule:
				lost.Add(1)
				w.record.add("LOST: %s was read and passed on to a server, and its connection ended without a complete answer", id)
			default:
				other.Add(1)
			}
		})
	}
	playing.Wait()
	killed.Stop()
	w.record.say("streams sent %v to %v after the SIGTERM: %d served, %d refused, %d cut off, %d others", firstLate, firstLate+(callers-1)*lateInterval,
		served.Load(), refused.Load(), lost.Load(), other.Load())
	switch {
	case lost.Load() > 0:
		return exitBroken, nil
	case served.Load() == 0:
		return exitFailed, fmt.Errorf("no stream was served")
	}
	return exitHeld, nil
}
