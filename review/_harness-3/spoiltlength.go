package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	spoiltPlayTime  = 100 * time.Second
	spoiltFrom      = time.Second
	spoiltEpisode   = 4 * time.Second
	spoiltEpisodes  = 4  // two of each server, in turn
	spoiltAnswers   = 20 // one of so many answers of a server in trouble is spoilt
	streamInterval  = 3 * time.Millisecond
	readInterval    = 2 * time.Millisecond
	modelSlots      = 24
	stepTime        = 7 * time.Millisecond
	eventsOfStream  = 3
	starvedFraction = 4 // a kind of request is starved that is served less than a quarter as often as all
	longestLength   = "9223372036854775807"
	spoiltTail      = 3 * time.Second // for the answers to the last requests
)

// modelServer is a stand-in of a model server for short streams. While it is in trouble, one of spoiltAnswers answers has no Content-Type and a
// length that no body has.
type modelServer struct {
	id       string
	record   *record
	trouble  atomic.Bool
	answered atomic.Int64
	spoilt   atomic.Int64
	running  atomic.Int64
}

func (v *modelServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go v.serve(c)
	}
}

// serve serves one request.
func (v *modelServer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
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
	if v.running.Add(1) > modelSlots {
		v.running.Add(-1)
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	defer v.running.Add(-1)
	time.Sleep(stepTime)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s.%s\r\nWeight-Versions: 1\r\nConnection: close\r\n", id, v.id, id)
	if n := v.answered.Add(1); v.trouble.Load() && n%spoiltAnswers == 0 {
		v.spoilt.Add(1)
		v.record.add("server %s spoils its answer to %s", v.id, id)
		fmt.Fprintf(c, "%sContent-Length: %s\r\n\r\nid: 1\n", head, longestLength)
		return
	}
	fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
	for n := 1; n <= eventsOfStream; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(stepTime)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n") // a host that has left needs none
}

// tally counts the requests of a kind.
type tally struct {
	sent, served, refused, failed atomic.Int64
}

// spoiltLength has the two model servers spoil some of their answers, in turn, and then be sound for the rest of the time.
func spoiltLength(dir string, trouble bool) (int, error) {
	w, err := newWorld(dir, 2, relojesLimits)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return exitFailed, err
	}
	var models []*modelServer
	for i, zone := range zones {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, 111+i))
		if err != nil {
			return exitFailed, err
		}
		v := &modelServer{id: fmt.Sprintf("i-m%d", i+1), record: w.record}
		models = append(models, v)
		go v.accept(l)
		w.site.keepEntrySlots(v.id, model, zone, l.Addr().String(), modelSlots)
		plain, err := w.site.addServer(fmt.Sprintf("i-%d", i+1), service, zone, fmt.Sprintf("%s.%d:0", w.net, 101+i), stepTime)
		if err != nil {
			return exitFailed, err
		}
		plain.quiet = true // its requests are counted
	}
	if err := w.start(); err != nil {
		return exitFailed, err
	}
	begun := time.Now()
	if trouble {
		go func() {
			time.Sleep(spoiltFrom)
			for n := range spoiltEpisodes {
				v := models[n%len(models)]
				v.trouble.Store(true)
				w.record.add("server %s is in trouble", v.id)
				time.Sleep(spoiltEpisode)
				v.trouble.Store(false)
				w.record.add("server %s is sound again, %d answers were spoilt", v.id, v.spoilt.Load())
			}
		}()
	}
	var streams, reads tally
	var seconds sync.Map // tally of the streams by second
	ask := func(h *host, k *tally, request []byte, method string) {
		second, _ := seconds.LoadOrStore(int(time.Since(begun).Seconds()), &tally{})
		s := second.(*tally)
		k.sent.Add(1)
		c, err := dial(h.frontAddress())
		if err != nil {
			k.failed.Add(1)
			w.record.add("no connection to %s: %v", h.name, err)
			return
		}
		defer c.conn.Close()
		status, _, _, err := c.do(request, method, 7*time.Second)
		switch {
		case err != nil:
			k.failed.Add(1)
			w.record.add("a request of %d bytes at %s: status %d, error %v", len(request), h.name, status, err)
		case status == 200:
			k.served.Add(1)
		case status == 503, status == 429:
			k.refused.Add(1)
		default:
			k.failed.Add(1)
			w.record.add("a request of %d bytes at %s: status %d, error %v", len(request), h.name, status, err)
		}
		if k == &streams {
			s.sent.Add(1)
			if err == nil && status == 200 {
				s.served.Add(1)
			}
		}
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		for n := 0; time.Since(begun) < spoiltPlayTime; n++ {
			request := fmt.Appendf(nil, "POST %s2f HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nRequest-Id: s%d\r\nModel-Name: m\r\nToken-Usage: 60,12\r\nPrompt-Prefix: 5c1e07a2:40,%x:20\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n",
				reports, hostName, apiKey, n, 1<<20+n)
			go ask(w.hosts[n%2], &streams, request, "POST")
			time.Sleep(streamInterval)
		}
	})
	sending.Go(func() {
		for n := 0; time.Since(begun) < spoiltPlayTime; n++ {
			go ask(w.hosts[n%2], &reads, head("GET", lookups+"2f", hostName, apiKey, fmt.Sprintf("r%d", n), "1000"), "GET")
			time.Sleep(readInterval)
		}
	})
	sending.Wait()
	time.Sleep(spoiltTail)
	for n := range int(spoiltPlayTime.Seconds()) {
		if s, ok := seconds.Load(n); ok {
			w.record.add("second %d: %d streams sent, %d served", n, s.(*tally).sent.Load(), s.(*tally).served.Load())
		}
	}
	for name, k := range map[string]*tally{"streams": &streams, "reads": &reads} {
		w.record.say("%s: %d sent, %d served, %d refused, %d failed", name, k.sent.Load(), k.served.Load(), k.refused.Load(), k.failed.Load())
	}
	for _, v := range models {
		w.record.say("server %s: %d answers, %d of them spoilt, %d requests running at the end", v.id, v.answered.Load(), v.spoilt.Load(), v.running.Load())
	}
	ofStreams := float64(streams.served.Load()) / float64(max(streams.sent.Load(), 1))
	ofAll := float64(streams.served.Load()+reads.served.Load()) / float64(max(streams.sent.Load()+reads.sent.Load(), 1))
	w.record.say("served: %.3f of the streams, %.3f of all requests", ofStreams, ofAll)
	switch {
	case reads.served.Load() == 0:
		return exitFailed, fmt.Errorf("no request was served")
	case ofStreams < ofAll/starvedFraction:
		return exitBroken, nil
	}
	return exitHeld, nil
}
