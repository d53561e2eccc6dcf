package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/registry"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// evacuatedSource publishes that the domain north is to be evacuated.
	evacuatedSource struct{ registry.Source }

	// refusingDialect is a dialect in which each response is a refusal of a request that was not executed.
	refusingDialect struct{ Dialect }

	// recordingTransport records the hosts to which requests are sent.
	recordingTransport struct{ sent []string }
)

func (evacuatedSource) Read(context.Context) (registry.Update, error) {
	return registry.Update{Full: true, Revision: 1, Evacuated: []string{"north"}}, nil
}

func (evacuatedSource) Watch(context.Context, uint64, time.Duration) (registry.Update, error) {
	return registry.Update{Base: 1, Revision: 1}, nil
}

func (refusingDialect) SetHeaders(http.Header, ForwardInfo) {}
func (refusingDialect) ParseResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{NotExecuted: true}
}

func (t *recordingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.sent = append(t.sent, r.URL.Host)
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody}, nil
}

// What was decided before the evacuation of a domain, and is to be sent after it, must not reach the domain's targets: a first
// attempt, a stream that is resumed at its destination, and one that its destination refuses and that continues at its source
// otherwise.
func TestNothingIsSentToEvacuatedDomain(t *testing.T) {
	north := table.Target{Name: "north-1", Domain: "north", Address: netip.MustParseAddrPort("10.2.0.1:1")}
	south := table.Target{Name: "south-1", Domain: "south", Address: netip.MustParseAddrPort("10.2.0.2:1")}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		h := host.NewHost(event.NewLog("host"))
		s := h.SyncFrom(evacuatedSource{})
		go h.Run(ctx)
		go s.Run(ctx)
		time.Sleep(time.Second)
		sent := &recordingTransport{}
		newAttempt := func() *attempt {
			return &attempt{call: &call{
				gateway: NewGateway(h, refusingDialect{}, WithTransport(sent)), r: &http.Request{Method: http.MethodGet, Header: http.Header{}}, uri: "/a",
				route: &route.Route{}, body: &body{}, hostRequest: h.SubmitAs("a", dispatch.Submit{}),
			}}
		}
		r := newAttempt().run(ctx, dispatch.Effect{Target: north.Name, To: north})
		c.Check(r.Unsent && r.Certainty == target.CertaintyNotRun, qt.IsTrue)
		c.Check(sent.sent, qt.HasLen, 0)

		a := newAttempt()
		_, err := a.openResumed(ctx, &move{to: north}, north, ResumePoint{}, time.Second)
		c.Check(eris.Is(err, errResumeRejected), qt.IsTrue)
		c.Check(sent.sent, qt.HasLen, 0)

		c.Check(a.resumeFromCopy(ctx, &move{from: north, to: south}, "handle", false), qt.IsNil)
		c.Check(sent.sent, qt.HasLen, 1+evacuatedResumeTries)
		for _, to := range sent.sent {
			c.Check(to, qt.Equals, south.Address.String())
		}
		c.Check(a.resumeFromCopy(ctx, &move{from: north, to: south}, "handle", true), qt.IsNil)
		c.Check(sent.sent, qt.HasLen, 1+evacuatedResumeTries)
		cancel()
		synctest.Wait()
	})
}
