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

// callService calls the plain service through host 0 and returns the response with its body
// closed.
func callService(c *qt.C, deployment *demo.Deployment, method, path, reference string) *http.Response {
	c.Helper()
	req, err := http.NewRequest(method, deployment.Entry(0).CallerURL()+"/v1/services/"+demo.Service+path, strings.NewReader(`{"amount":1}`))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+deployment.Organisations[0].Key)
	req.Header.Set(standin.HeaderReference, reference)
	req.Header.Set("Idempotency-Key", reference)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	return resp
}

func TestChargeRunsOnce(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	resp := callService(c, deployment, http.MethodPost, "/charges", "a")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(deployment.Service.RunCount("a"), qt.Equals, 1)
}

func TestChargeWithLostResponseIsUnknownAndNotRetried(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	deployment.Service.SetDropResponses(true)
	for _, ref := range []string{"a", "b", "c"} {
		resp := callService(c, deployment, http.MethodPost, "/charges", ref)
		c.Assert(resp.Header.Get(answer.HeaderOutcome), qt.Equals, answer.OutcomeUnknown.String())
		c.Assert(deployment.Service.RunCount(ref), qt.Equals, 1)
	}
}

func TestIdempotentCallWithLostResponseRunsAtLeastOnce(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	// Each call adds a fraction of a retry to the host's retry budget.
	for range 20 {
		callService(c, deployment, http.MethodGet, "/status", "earn")
	}
	deployment.Service.SetDelay(50 * time.Millisecond)
	deployment.Service.SetDropResponses(true)
	callService(c, deployment, http.MethodGet, "/status", "x")
	c.Assert(deployment.Service.RunCount("x") >= 1, qt.IsTrue)
}

func TestRefusedChargeDoesNotRun(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	deployment.Service.SetRefuse(true)
	resp := callService(c, deployment, http.MethodPost, "/charges", "a")
	// The host forwards the 503 response of the service to the caller.
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(deployment.Service.RunCount("a"), qt.Equals, 0)
}
