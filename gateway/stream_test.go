package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/route"
)

// pipeListener is a listener that accepts the connections sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A stream whose target sends nothing for longer than the limit on one write, and then ends it, ends at the caller.
func TestStreamThatEndsAfterSilenceIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a := &attempt{call: &call{w: w, hostRequest: &host.Request{}}}
			resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
			c.Check(a.writeEvents(resp, http.NewResponseController(w), []byte("id: 1\ndata: x\n\n")), qt.IsTrue)
			time.Sleep(writeTimeout + time.Second)
			a.endStream(resp)
		})}
		client, server := net.Pipe()
		l := make(pipeListener, 1)
		l <- server
		defer s.Close()
		defer close(l)
		defer client.Close()
		go func() { _ = s.Serve(l) }()
		go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }()
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Check(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "id: 1\ndata: x\n\n")
	})
}

// slowWriter is a response writer whose caller takes each part after a time.
type slowWriter struct {
	header http.Header
	pause  time.Duration
}

func (w *slowWriter) Header() http.Header { return w.header }
func (w *slowWriter) WriteHeader(int)     {}
func (w *slowWriter) Flush()              {}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.pause)
	return len(b), nil
}

// A caller that reads slowly made its target look slow, and the attempt failed as one of a silent target.
func TestSlowCallerIsNoPauseOfTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const pause, step = 5 * time.Second, 30 * time.Millisecond
		r, w := io.Pipe()
		go func() {
			for n := range 4 {
				time.Sleep(step)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
			}
			w.Close()
		}()
		a := &attempt{call: &call{w: &slowWriter{http.Header{}, pause}, hostRequest: &host.Request{}, route: &route.Route{Kind: route.Stream}}}
		watchdog := time.AfterFunc(time.Hour, func() { c.Error("the target counts as silent") })
		end, err := a.forwardEvents(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: r, ContentLength: -1, TransferEncoding: []string{"chunked"}}, watchdog, time.Second)
		watchdog.Stop()
		c.Assert(err, qt.IsNil)
		c.Assert(end, qt.Equals, streamComplete)
		c.Assert(a.events.eventCount, qt.Equals, 4)
		c.Assert(a.longestGap <= step, qt.IsTrue, qt.Commentf("%s", a.longestGap))
		c.Assert(a.callerWait, qt.Equals, 4*pause)
	})
}
