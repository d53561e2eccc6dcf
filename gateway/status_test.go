package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

type (
	// fixedStatus is a transport whose responses are event streams with a status.
	fixedStatus int

	// provenReply is a Dialect that finds a proof in each response.
	provenReply struct {
		noHeaders
		notExecuted bool
	}
)

func (s fixedStatus) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: int(s), Header: http.Header{"Content-Type": {"text/event-stream"}}, ContentLength: -1,
		Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n")),
	}, nil
}

func (d provenReply) ParseResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{HasProof: true, NotExecuted: d.notExecuted}
}

// newStatusAttempt returns an attempt whose targets answer with a status, with marks by which they would be believed.
func newStatusAttempt(c *qt.C, status int, notExecuted bool) *attempt {
	r, err := http.NewRequest(http.MethodPost, "/", http.NoBody)
	c.Assert(err, qt.IsNil)
	g := &Gateway{host: host.NewHost(event.NewLog("host")), dialect: provenReply{notExecuted: notExecuted}, transport: fixedStatus(status)}
	return &attempt{call: &call{gateway: g, r: r, uri: "/", route: &route.Route{Kind: route.Stream}, body: &body{}, deadline: time.Now().Add(time.Minute)}}
}

// A status outside 200 to 599 is no answer, neither of an attempt nor of a target that resumes a stream: it shows neither a success nor that the
// request was not executed. A stream that was resumed with status 000 made net/http panic.
func TestInvalidStatusFailsAttemptAndResumption(t *testing.T) {
	to := table.Target{Name: "e", Address: netip.MustParseAddrPort("127.0.0.1:80")}
	for _, status := range []int{0, 99, 101, 600, 999} {
		for _, notExecuted := range []bool{false, true} {
			c := qt.New(t)
			comment := qt.Commentf("status %d, marked as not executed: %t", status, notExecuted)
			res := newStatusAttempt(c, status, notExecuted).run(context.Background(), dispatch.Effect{To: to})
			c.Check(res.Ending, qt.Equals, relay.EndFailed, comment)
			c.Check(res.Certainty, qt.Equals, target.CertaintyUnknown, comment)
			c.Check(errors.Is(res.Cause, errStatus), qt.IsTrue, comment)
			resp, err := newStatusAttempt(c, status, notExecuted).openResumed(context.Background(), &move{}, to, ResumePoint{}, time.Minute)
			c.Check(resp, qt.IsNil, comment)
			c.Check(errors.Is(err, errResumeFailed), qt.IsTrue, comment)
		}
	}
}
