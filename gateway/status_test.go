package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

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

// refusalCase is a response that may carry a mark that its request was not executed.
type refusalCase struct {
	kind        route.Kind
	status      int
	notExecuted bool   // has the mark of requests that were not executed
	id          string // identifier of the request in the response
	length      int    // of the body
	sent        int    // bytes of it that arrive
}

// RoundTrip returns the response.
func (r refusalCase) RoundTrip(*http.Request) (*http.Response, error) {
	body := io.Reader(strings.NewReader(strings.Repeat("x", r.sent)))
	if r.sent < r.length {
		body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	return &http.Response{StatusCode: r.status, Status: strconv.Itoa(r.status), Header: http.Header{}, ContentLength: int64(r.length), Body: io.NopCloser(body)}, nil
}

// refusalDialect is a Dialect by which callers take 503 and 429 as promises, and that marks the responses as in a case.
type refusalDialect struct {
	noHeaders
	refusalCase
}

func (d refusalDialect) ParseResponse(status int, _ http.Header) ResponseInfo {
	return ResponseInfo{
		HasProof: true, ID: d.id, NotExecuted: d.notExecuted,
		MeansNotRun: status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests,
	}
}

// A request that may have run was reported to its caller as not run, by a status without a mark (review/7), or by the mark of another
// request's response. Random responses: what the host writes or reports as not run has the mark of this request.
func TestOnlyMarkOfThisRequestShowsThatItDidNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := refusalCase{
			kind:        rapid.SampledFrom([]route.Kind{route.AtMostOnce, route.Idempotent, route.Stream}).Draw(t, "kind"),
			status:      rapid.SampledFrom([]int{200, 400, 404, 408, 429, 500, 502, 503, 504}).Draw(t, "status"),
			notExecuted: rapid.Bool().Draw(t, "not executed"),
			id:          rapid.SampledFrom([]string{"", "this", "another"}).Draw(t, "id"),
			length:      rapid.SampledFrom([]int{0, 10, maxBufferedResponse + 10}).Draw(t, "length"),
		}
		q.sent = rapid.IntRange(0, q.length).Draw(t, "sent")
		r, err := http.NewRequest(http.MethodPost, "/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		g := &Gateway{host: host.NewHost(event.NewLog("host")), dialect: refusalDialect{refusalCase: q}, transport: q}
		a := &attempt{call: &call{
			gateway: g, w: w, r: r, uri: "/", route: &route.Route{Kind: q.kind}, body: &body{}, plainService: true,
			info: RequestInfo{ID: "this"}, deadline: time.Now().Add(time.Minute),
		}}
		res := a.run(context.Background(), dispatch.Effect{To: table.Target{Name: "e", Address: netip.MustParseAddrPort("127.0.0.1:80")}})
		marked := q.notExecuted && q.id != "another"
		if res.Ending == relay.EndFailed && res.Certainty == target.CertaintyNotRun && !marked {
			t.Fatalf("%+v is reported as not run: %v", q, res.Cause)
		}
		if a.written.Load() && (w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests) {
			t.Fatalf("%+v is passed on with status %d", q, w.Code)
		}
	})
}
