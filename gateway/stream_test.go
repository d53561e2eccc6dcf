package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/host"
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
