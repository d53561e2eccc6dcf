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

// The process of a server ends as soon as its listener has no connection any more. The end of a response that was sent less than the
// network's delay before was lost.
func TestLastResponseIsReadBeforeProcessEnds(t *testing.T) {
	for name, header := range map[string]string{"kept connection": "", "Connection: close": "close"} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(c *qt.C, v *network.Virtual) {
				accepted, err := v.At(serverAddr).Listen(serverPort)
				c.Assert(err, qt.IsNil)
				l := network.NewRetiringListener(accepted)
				finish := make(chan struct{})
				s := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Connection", header)
					c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
					<-finish
					_, err := io.WriteString(w, "the last event")
					c.Check(err, qt.IsNil)
				})}
				go func() { _ = s.Serve(l) }()
				client := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
					return v.At(clientAddr).Dial(ctx, serverPort)
				}}
				defer client.CloseIdleConnections()
				req, err := http.NewRequest(http.MethodGet, "http://server/", nil)
				c.Assert(err, qt.IsNil)
				resp, err := client.RoundTrip(req)
				c.Assert(err, qt.IsNil)
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
