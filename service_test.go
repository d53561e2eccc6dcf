package wigeonlink_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/standin"
)

func callService(c *qt.C, consortium *demo.Consortium, method, path, reference string) *http.Response {
	c.Helper()
	req, err := http.NewRequest(method, consortium.Entry(0).CallerURL()+"/v1/services/"+demo.Service+path, strings.NewReader(`{"amount":1}`))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+consortium.Organisations[0].Key)
	req.Header.Set(standin.HeaderReference, reference)
	req.Header.Set("Idempotency-Key", reference)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	return resp
}

func TestChargeRunsOnceAndSaysSo(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	resp := callService(c, consortium, http.MethodPost, "/charges", "a")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(consortium.Service.Ran("a"), qt.Equals, 1)
}

func TestChargeWhoseAnswerIsLostIsUnknownAndNotRepeated(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	consortium.Service.SetDrop(true)
	for _, ref := range []string{"a", "b", "c"} {
		resp := callService(c, consortium, http.MethodPost, "/charges", ref)
		c.Assert(resp.Header.Get(answer.HeaderOutcome), qt.Equals, answer.Unknown.String())
		c.Assert(consortium.Service.Ran(ref), qt.Equals, 1)
	}
}

func TestIdempotentCallWhoseAnswerIsLostIsRepeated(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	// The budget of a fresh host allows no retry until calls have earned one.
	for range 20 {
		callService(c, consortium, http.MethodGet, "/status", "earn")
	}
	consortium.Service.SetDelay(50 * time.Millisecond)
	consortium.Service.SetDrop(true)
	callService(c, consortium, http.MethodGet, "/status", "x")
	c.Assert(consortium.Service.Ran("x") >= 1, qt.IsTrue)
}

func TestChargeToNobodyIsNotRun(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	consortium.Service.SetRefuse(true)
	resp := callService(c, consortium, http.MethodPost, "/charges", "a")
	// The service's own answer is passed on: it says that it refused.
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(consortium.Service.Ran("a"), qt.Equals, 0)
}
