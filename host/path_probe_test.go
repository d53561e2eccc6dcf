package host

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/table"
)

// A health check asks whether the path leads to a target. A target in trouble answers with a broken response, which shows that it does, and of
// which nothing else is used. A connection that ends without a byte shows nothing.
func TestBrokenResponseShowsPath(t *testing.T) {
	m := standin.RawMessage{Header: "Instance-Id: i\r\n", Body: "healthy"}
	for _, resp := range append(m.Broken(), m.Sound()...) {
		t.Run(resp.Name, func(t *testing.T) {
			c := qt.New(t)
			s, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return resp })
			c.Assert(err, qt.IsNil)
			defer s.Close()
			h := NewHost(event.NewLog("host"))
			h.listed.record(map[string]table.Target{"raw": {Name: "raw", Address: s.Address()}}, time.Now())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			conn, err := network.System{}.Dial(ctx, s.Address())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			err = pathProber{h}.Probe(ctx, conn, s.Address())
			c.Check(err == nil, qt.Equals, resp.Text != "", qt.Commentf("%v", err))
		})
	}
}
