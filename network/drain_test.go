package network_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
)

// serveInParts starts an HTTP server in v that sends the head of its response, with a Connection header, and the body once finish is
// closed. It returns the server's listener and a response to the client.
func serveInParts(c *qt.C, v *network.Virtual, connection string, finish chan struct{}) (*network.RetiringListener, *http.Server, *http.Response) {
	accepted, err := v.At(serverAddr).Listen(serverPort)
	c.Assert(err, qt.IsNil)
	l := network.NewRetiringListener(accepted)
	s := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", connection)
		c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
		<-finish
		_, err := io.WriteString(w, "the last event")
		c.Check(err, qt.IsNil)
	})}
	go func() { _ = s.Serve(l) }()
	client := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return v.At(clientAddr).Dial(ctx, serverPort)
	}}
	c.Cleanup(client.CloseIdleConnections)
	req, err := http.NewRequest(http.MethodGet, "http://server/", nil)
	c.Assert(err, qt.IsNil)
	resp, err := client.RoundTrip(req)
	c.Assert(err, qt.IsNil)
	return l, s, resp
}

// The process of a server ends as soon as its listener has no connection any more. The end of a response that was sent less than the
// network's delay before was lost.
func TestLastResponseIsReadBeforeProcessEnds(t *testing.T) {
	for name, connection := range map[string]string{"kept connection": "", "Connection: close": "close"} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(c *qt.C, v *network.Virtual) {
				finish := make(chan struct{})
				l, s, resp := serveInParts(c, v, connection, finish)
				defer resp.Body.Close()
				c.Assert(l.Close(), qt.IsNil)
				l.CloseIdle(time.Second)
				go func() {
					close(finish)
					for l.OpenCount() > 0 {
						time.Sleep(time.Millisecond)
					}
					_ = s.Close()
					l.Wait()
					v.Reset(serverAddr)
				}()
				body, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNil)
				c.Assert(string(body), qt.Equals, "the last event")
			})
		})
	}
}
