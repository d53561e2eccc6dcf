package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
)

// startHost starts a server that counts its calls in calls and serves them by handler. It
// returns the URL of the server.
func startHost(c *qt.C, calls *atomic.Int64, handler http.HandlerFunc) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	c.Cleanup(s.Close)
	return s.URL
}

// A charge is sent to the next host if no connection to the first host can be established. It
// is not sent to another host if the first one accepts it and closes the connection, because
// the charge may have run.
func TestChargeIsSentToOneReachableHost(t *testing.T) {
	c := qt.New(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	var disconnects, runs atomic.Int64
	disconnecting := startHost(c, &disconnects, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	run := startHost(c, &runs, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(answer.HeaderOutcome, "whole") })
	post := func(urls ...string) outcome {
		d := &driver{config: Config{URLs: urls}, client: http.DefaultClient}
		return d.postCharge(context.Background(), call{}, "ref")
	}
	c.Assert(post(closed.URL, run), qt.Equals, outcomeRan)
	c.Assert(runs.Load(), qt.Equals, int64(1))
	c.Assert(post(disconnecting, run), qt.Equals, outcomeUnknown)
	c.Assert(disconnects.Load(), qt.Equals, int64(1))
	c.Assert(runs.Load(), qt.Equals, int64(1))
	c.Assert(post(closed.URL), qt.Equals, outcomeNotRun)
}
