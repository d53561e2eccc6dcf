package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/detour"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// refusingNetwork refuses all connections, and records the times for which they were needed.
type refusingNetwork struct {
	network.System
	needed []time.Duration
}

func (n *refusingNetwork) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	n.needed = append(n.needed, detour.Needed(ctx))
	return nil, net.ErrClosed
}

// A stream that was resumed through a stopping host was cut off with that host, although other hosts had a connection: it asked for one
// without the time for which it is needed. It asks for any connection only after it has got none for that time.
func TestResumedStreamEndsWithStoppingRelay(t *testing.T) {
	for via, want := range map[string][]time.Duration{"": {3 * time.Second}, "other": {3 * time.Second, time.Millisecond}} {
		c := qt.New(t)
		n := &refusingNetwork{}
		a := newStatusAttempt(c, http.StatusOK, false)
		a.gateway.transport, a.via, a.info.MaxOutputTokens = target.NewShortDialTransport(n), via, 100
		to := table.Target{Name: "e", Address: netip.MustParseAddrPort("127.0.0.1:80")}
		_, err := a.openResumed(context.Background(), &move{effect: dispatch.Effect{Run: 3 * time.Second}}, to, ResumePoint{}, time.Minute)
		c.Check(target.Unsent(err), qt.IsTrue)
		c.Check(n.needed, qt.DeepEquals, want)
	}
}
