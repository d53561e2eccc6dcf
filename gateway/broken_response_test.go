package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// rawAttempt returns an attempt at a target, and the recorder of what its caller gets.
func rawAttempt(at netip.AddrPort, upload []byte) (*attempt, table.Target, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	g := &Gateway{host: host.NewHost(event.NewLog("host")), dialect: provenReply{}, transport: target.NewShortDialTransport(network.System{})}
	a := &attempt{call: &call{
		gateway: g, w: w, r: httptest.NewRequest(http.MethodPost, "/", nil), uri: "/", route: &route.Route{Kind: route.Stream}, body: &body{data: upload},
		hostRequest: &host.Request{}, deadline: time.Now().Add(10 * time.Second),
	}}
	return a, table.Target{Name: "raw", Address: at}, w
}

// received returns what a caller has got. It drops the error of an attempt if the caller has got anything but events before that.
func received(w *httptest.ResponseRecorder, err error) (string, error) {
	if !strings.HasPrefix(rawStream.Body, w.Body.String()) || w.Header()[standin.TroubleName] != nil {
		err = nil
	}
	return w.Body.String(), err
}

// attemptReader makes attempts.
var attemptReader = standin.RawReader{Message: rawStream, Read: func(ctx context.Context, at netip.AddrPort, upload []byte) (string, error) {
	a, to, w := rawAttempt(at, upload)
	if r := a.run(ctx, dispatch.Effect{To: to}); r.Ending != relay.EndComplete {
		return received(w, r.Cause)
	}
	return received(w, nil)
}}

// resumptionReader resumes streams.
var resumptionReader = standin.RawReader{Message: rawStream, Read: func(ctx context.Context, at netip.AddrPort, upload []byte) (string, error) {
	a, to, w := rawAttempt(at, upload)
	resp, err := a.openResumed(ctx, &move{}, to, ResumePoint{}, 10*time.Second)
	if err != nil {
		return received(w, err)
	}
	defer resp.Body.Close()
	a.events.resume()
	watchdog := time.AfterFunc(time.Hour, func() {})
	defer watchdog.Stop()
	_, err = a.forwardEvents(resp, watchdog, time.Hour)
	return received(w, err)
}}

// A broken response fails the attempt, and the resumption of a stream: the caller gets at most a part of the events, and an error after it. A whole
// stream is forwarded with any framing, also if it arrives before its request has been sent.
func TestBrokenResponseFailsAttemptAndResumption(t *testing.T) {
	encoded := rawStream
	encoded.Header += "Content-Encoding: gzip\r\n" // which was not requested
	for name, r := range map[string]standin.RawReader{"attempt": attemptReader, "resumption": resumptionReader} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, r.Check(t.Context()), qt.IsNil)
			_, err := r.Exchange(t.Context(), encoded.Sound()[0])
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}
