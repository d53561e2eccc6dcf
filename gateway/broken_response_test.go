package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// rawStream is a stream of an engine that sends its bytes itself.
var rawStream = standin.RawMessage{Header: "Content-Type: text/event-stream\r\n", Body: "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"}

// rawAttempt returns an attempt at a target that sends a response, and the recorder of what its caller gets.
func rawAttempt(c *qt.C, resp standin.RawResponse) (*attempt, table.Target, *httptest.ResponseRecorder) {
	s, err := standin.NewRawServer(func(*http.Request) standin.RawResponse { return resp })
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	w := httptest.NewRecorder()
	b := &body{}
	if resp.Early {
		b.data = bytes.Repeat([]byte("x"), 3<<20)
	}
	g := &Gateway{host: host.NewHost(event.NewLog("host")), dialect: provenReply{}, transport: target.NewShortDialTransport(network.System{})}
	a := &attempt{call: &call{
		gateway: g, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), uri: "/", route: &route.Route{Kind: route.Stream}, body: b,
		hostRequest: &host.Request{}, deadline: time.Now().Add(10 * time.Second),
	}}
	return a, table.Target{Name: "raw", Address: s.Address()}, w
}

// resumeRaw resumes a stream at a target and forwards its response. It reports whether the caller's stream is whole then.
func resumeRaw(a *attempt, to table.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := a.openResumed(ctx, &move{}, to, ResumePoint{}, 10*time.Second)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	a.events.resume()
	watchdog := time.AfterFunc(time.Hour, cancel)
	defer watchdog.Stop()
	end, _ := a.forwardEvents(resp, watchdog, time.Hour)
	return end != streamBroken
}

// A broken response fails the attempt, and the resumption of a stream: the caller gets at most a part of the events, and an error after it.
func TestBrokenResponseFailsAttemptAndResumption(t *testing.T) {
	encoded := rawStream
	encoded.Header += "Content-Encoding: gzip\r\n"
	encodedResponse := encoded.Sound()[0]
	encodedResponse.Name = "encoding that was not requested"
	for _, resp := range append(rawStream.Broken(), encodedResponse) {
		t.Run(resp.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			a, to, w := rawAttempt(c, resp)
			c.Check(a.run(context.Background(), dispatch.Effect{To: to}).Ending, qt.Equals, relay.EndFailed)
			c.Check(strings.HasPrefix(rawStream.Body, w.Body.String()), qt.IsTrue, qt.Commentf("%q", w.Body))
			c.Check(w.Header()[standin.TroubleName], qt.IsNil)

			a, to, w = rawAttempt(c, resp)
			c.Check(resumeRaw(a, to), qt.IsFalse)
			c.Check(strings.HasPrefix(rawStream.Body, w.Body.String()), qt.IsTrue, qt.Commentf("%q", w.Body))
		})
	}
}

// A whole stream is forwarded with any framing, also if it arrives before its request has been sent.
func TestSoundResponseCompletesAttemptAndResumption(t *testing.T) {
	for _, resp := range rawStream.Sound() {
		t.Run(resp.Name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			a, to, w := rawAttempt(c, resp)
			c.Check(a.run(context.Background(), dispatch.Effect{To: to}).Ending, qt.Equals, relay.EndComplete)
			c.Check(w.Body.String(), qt.Equals, rawStream.Body)

			a, to, w = rawAttempt(c, resp)
			c.Check(resumeRaw(a, to), qt.IsTrue)
			c.Check(w.Body.String(), qt.Equals, rawStream.Body)
		})
	}
}
