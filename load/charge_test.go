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

// startHost starts a server that counts its calls and answers each with answers. It
// returns the server's URL.
func startHost(c *qt.C, calls *atomic.Int64, answers http.HandlerFunc) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answers(w, r)
	}))
	c.Cleanup(s.Close)
	return s.URL
}

// A charge is sent to the next host only if the connection to the first fails, not if the
// first host may have received it.
func TestChargeIsSentToOneReachableHost(t *testing.T) {
	c := qt.New(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	var cuts, runs atomic.Int64
	cut := startHost(c, &cuts, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	run := startHost(c, &runs, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(answer.HeaderOutcome, "whole") })
	post := func(urls ...string) outcome {
		d := &driver{config: Config{URLs: urls}, client: http.DefaultClient}
		return d.postCharge(context.Background(), call{}, "ref")
	}
	c.Assert(post(closed.URL, run), qt.Equals, outcomeRan)
	c.Assert(runs.Load(), qt.Equals, int64(1))
	c.Assert(post(cut, run), qt.Equals, outcomeUnknown)
	c.Assert(cuts.Load(), qt.Equals, int64(1))
	c.Assert(runs.Load(), qt.Equals, int64(1))
	c.Assert(post(closed.URL), qt.Equals, outcomeNotRun)
}
