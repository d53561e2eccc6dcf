package host

import (
	"context"
	"net/netip"
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
	r := standin.RawReader{Message: m, Read: func(ctx context.Context, at netip.AddrPort, _ []byte) (string, error) {
		h := NewHost(event.NewLog("host"))
		h.listed.record(map[string]table.Target{"raw": {Name: "raw", Address: at}}, time.Now())
		conn, err := network.System{}.Dial(ctx, at)
		if err != nil {
			t.Error(err) // no error of the check
			return "", err
		}
		defer conn.Close()
		return "", pathProber{h}.Probe(ctx, conn, at)
	}}
	for _, resp := range append(m.Broken(), m.Sound()...) {
		t.Run(resp.Name, func(t *testing.T) {
			_, err := r.Exchange(t.Context(), resp)
			qt.Check(t, err == nil, qt.Equals, resp.Text != "", qt.Commentf("%v", err))
		})
	}
}
