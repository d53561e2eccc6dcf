package wigeonlink_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/standin"
)

const streamTokens = 30 // output length of a short generation, in tokens

// promptFor returns a prompt for which a stand-in engine generates the given number of
// tokens.
func promptFor(tokens int) string { return fmt.Sprintf("report [length=%d]", tokens) }

// injectFault injects a fault into every engine of the deployment.
func injectFault(c *qt.C, deployment *demo.Deployment, f standin.Fault) {
	c.Helper()
	for _, e := range deployment.Engines {
		c.Assert(e.InjectFault(f), qt.IsTrue)
	}
}

func TestStreamIsCompleteAfterDisconnectAtAnyToken(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c)
	for n := 1; n <= streamTokens; n++ {
		injectFault(c, deployment, standin.Fault{Kind: standin.FaultDisconnectOnce, Token: n})
		var s stream
		s.read(c, postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, promptFor(streamTokens)), 0)
		s.checkComplete(c, streamTokens)
	}
	checkStartedAtMostOnce(c, deployment)
}

func TestStreamIsCompleteAfterConnectionFallsSilent(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c)
	for n := 1; n < streamTokens; n += 7 {
		var s stream
		resp := postChat(c, &s, deployment.Entry(1).CallerURL(), deployment.Organisations[1].Key, promptFor(400))
		injectFault(c, deployment, standin.Fault{Kind: standin.FaultSilent})
		s.read(c, resp, 0)
		s.checkComplete(c, 400)
	}
	checkStartedAtMostOnce(c, deployment)
}

func TestStreamResumesAtAnotherHostFromAnyToken(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c)
	for n := 1; n <= streamTokens; n++ {
		var s stream
		key := deployment.Organisations[n%3].Key
		s.read(c, postChat(c, &s, deployment.Entry(0).CallerURL(), key, promptFor(streamTokens)), n)
		// Entry 1 is in the same failure domain, entries 2 and 3 are in the other one.
		for i := 1; !s.done; i++ {
			s.read(c, postChat(c, &s, deployment.Entry(i%4).CallerURL(), key, promptFor(streamTokens)), 0)
		}
		s.checkComplete(c, streamTokens)
	}
	checkStartedAtMostOnce(c, deployment)
}

func TestStreamResumesAfterHostIsKilled(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c)
	var s stream
	key := deployment.Organisations[0].Key
	resp := postChat(c, &s, deployment.Entry(0).CallerURL(), key, promptFor(300))
	s.read(c, resp, 20)
	deployment.Entry(0).Kill()
	s.read(c, postChat(c, &s, deployment.Entry(1).CallerURL(), key, promptFor(300)), 0)
	s.checkComplete(c, 300)
}

func TestEngineRebootIsReportedAsTargetLost(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	for _, tokens := range []int{1, 5, 50} {
		var s stream
		resp := postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, promptFor(5000))
		s.readAllWithCallback(c, resp, tokens, func() { injectFault(c, deployment, standin.Fault{Kind: standin.FaultReboot}) })
		c.Assert(s.done, qt.IsFalse)
		c.Assert(s.err, qt.IsNotNil)
		c.Assert(s.err.Code, qt.Equals, answer.KindTargetLost.String())
		c.Assert(s.err.Outcome, qt.Equals, answer.OutcomePartial.String())
		s.checkTokens(c)
	}
}

func TestRefusedRequestIsRetriedOnAnotherEngine(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(4, 1))
	// Of the four engines, those with index 0 and 2 are in the failure domain of host 0.
	c.Assert(deployment.Engines[0].InjectFault(standin.Fault{Kind: standin.FaultRefuse}), qt.IsTrue)
	completed := 0
	for range 10 {
		var s stream
		resp := postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, promptFor(5))
		if resp.StatusCode != 200 {
			// The retry budget of the host is small. If it allows no retry, the response
			// reports that the request was not run.
			c.Assert(resp.Header.Get(answer.HeaderOutcome), qt.Equals, answer.OutcomeNotRun.String())
			resp.Body.Close()
			continue
		}
		s.read(c, resp, 0)
		s.checkComplete(c, 5)
		completed++
	}
	c.Assert(completed >= 5, qt.IsTrue)
	checkStartedAtMostOnce(c, deployment)
}

func TestCallerDisconnectReleasesEngineAndHost(t *testing.T) {
	c := newC(t)
	shortGrace := wigeonlink.WithHost(host.WithDispatch(dispatch.WithDisconnectGrace(time.Second)))
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1), demo.WithEntryOptions(shortGrace))
	var s stream
	s.read(c, postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, promptFor(8000)), 3)
	waitUntil(c, "the generation is cancelled", func() bool { return deployment.Engines[0].ActiveCount() == 0 })
	waitUntil(c, "the host has no request in flight", func() bool { return deployment.Entry(0).Host().InFlightCount() == 0 })
}
