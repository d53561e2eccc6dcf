package wigeonlink_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/api"
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/standin"
)

// ticketState is a response body of the ticket API: the state of a ticket, or an error.
type ticketState struct {
	Ticket string
	State  string
	Status int
	Error  answer.ErrorObject
}

// startConnected starts a deployment and waits until every host is connected with all others.
func startConnected(c *qt.C, opts ...demo.Option) *demo.Deployment {
	deployment := startDemo(c, opts...)
	waitUntil(c, "all hosts are connected with each other", func() bool {
		for i := range deployment.EntryCount() {
			if len(deployment.Entry(i).Mesh().Live()) != deployment.EntryCount()-1 {
				return false
			}
		}
		return true
	})
	return deployment
}

// callTicketAPI sends a request of the first organisation to the ticket API of a host and
// returns the response.
func callTicketAPI(c *qt.C, deployment *demo.Deployment, index int, method, path string) ticketState {
	c.Helper()
	req, err := http.NewRequest(method, deployment.Entry(index).CallerURL()+"/v1/tickets"+path, nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+deployment.Organisations[0].Key)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.Header.Get("Content-Type"), qt.Equals, "application/json")
	var s ticketState
	c.Assert(json.NewDecoder(resp.Body).Decode(&s), qt.IsNil)
	return s
}

// chargeWithTicket sends a charge with a ticket to a host and returns the outcome that the
// response reports.
func chargeWithTicket(c *qt.C, deployment *demo.Deployment, index int, ticket, reference, body string) (outcome string, err error) {
	c.Helper()
	url := deployment.Entry(index).CallerURL() + "/v1/services/" + demo.Service + "/charges"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+deployment.Organisations[0].Key)
	req.Header.Set(api.HeaderTicket, ticket)
	req.Header.Set(standin.HeaderReference, reference)
	req.Header.Set(api.HeaderDeadline, "5s")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return resp.Header.Get(answer.HeaderOutcome), nil
}

func TestTicketRunsOnceFromAnyHost(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	deployment.Service.SetDelay(20 * time.Millisecond)
	for n := range 10 {
		ticket := callTicketAPI(c, deployment, n%4, http.MethodPost, "").Ticket
		ref := fmt.Sprint("ref-", n)
		var calls sync.WaitGroup
		for index := range 4 {
			calls.Go(func() {
				outcome, err := chargeWithTicket(c, deployment, index, ticket, ref, "amount")
				c.Check(err, qt.IsNil)
				c.Check(outcome, qt.Equals, "whole")
			})
		}
		calls.Wait()
		c.Assert(deployment.Service.RunCount(ref), qt.Equals, 1)
		c.Assert(callTicketAPI(c, deployment, (n+1)%4, http.MethodGet, "/"+ticket).State, qt.Equals, "ran")
	}
}

func TestDeletedTicketNeverRuns(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	c.Assert(callTicketAPI(c, deployment, 3, http.MethodDelete, "/"+ticket).State, qt.Equals, "not_run")
	outcome, err := chargeWithTicket(c, deployment, 1, ticket, "x", "amount")
	c.Assert(err, qt.IsNil)
	c.Assert(outcome, qt.Equals, answer.OutcomeNotRun.String())
	c.Assert(deployment.Service.RunCount("x"), qt.Equals, 0)
}

func TestTicketIsBoundToOneCall(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	_, err := chargeWithTicket(c, deployment, 0, ticket, "x", "amount")
	c.Assert(err, qt.IsNil)
	outcome, err := chargeWithTicket(c, deployment, 0, ticket, "y", "another amount")
	c.Assert(err, qt.IsNil)
	c.Assert(outcome, qt.Equals, answer.OutcomeNotRun.String())
	c.Assert(deployment.Service.RunCount("y"), qt.Equals, 0)
}

func TestTicketIsReusableAfterNotRun(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	deployment.SetLeaving("counter-north", "counter-south")
	waitUntil(c, "a call is reported as not run", func() bool {
		ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
		outcome, err := chargeWithTicket(c, deployment, 1, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
		if outcome != answer.OutcomeNotRun.String() {
			return false
		}
		deployment.SetLeaving()
		waitUntil(c, "a call with the same ticket is reported as run", func() bool {
			outcome, err := chargeWithTicket(c, deployment, 0, ticket, "x", "amount")
			c.Assert(err, qt.IsNil)
			return outcome == "whole"
		})
		return true
	})
}

// The host that issued a ticket is killed while a charge that uses the ticket runs through
// another host. Every host reports an unknown outcome, and the charge never runs a second
// time.
func TestHostKilledMidChargeIsUnknownAndNotRetried(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	deployment.Service.SetDelay(300 * time.Millisecond)
	ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	reported := make(chan string, 1)
	go func() {
		outcome, _ := chargeWithTicket(c, deployment, 1, ticket, "x", "amount")
		reported <- outcome
	}()
	waitUntil(c, "the charge has started to run", func() bool { return deployment.Service.RunCount("x") == 1 })
	deployment.Entry(0).Kill()
	c.Assert(<-reported, qt.Equals, answer.OutcomeUnknown.String())
	for index := 1; index < 4; index++ {
		outcome, err := chargeWithTicket(c, deployment, index, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, answer.OutcomeUnknown.String())
	}
	c.Assert(deployment.Service.RunCount("x"), qt.Equals, 1)
}

// A stopping host hands its ticket records over to its peers. After that, every host reports
// the charge of a used ticket as run, and refuses a charge with an unused ticket as not run.
func TestStoppingHostHandsOverTickets(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c)
	used := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	unused := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	_, err := chargeWithTicket(c, deployment, 0, used, "x", "amount")
	c.Assert(err, qt.IsNil)
	c.Assert(deployment.Restart(context.Background(), 0), qt.IsNil)
	waitUntil(c, "the restarted host is connected with its peers", func() bool { return len(deployment.Entry(0).Mesh().Live()) == 3 })
	for index := range 4 {
		c.Assert(callTicketAPI(c, deployment, index, http.MethodGet, "/"+used).State, qt.Equals, "ran")
		c.Assert(callTicketAPI(c, deployment, index, http.MethodGet, "/"+unused).State, qt.Equals, "not_run")
		outcome, err := chargeWithTicket(c, deployment, index, unused, "y", "amount")
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, answer.OutcomeNotRun.String())
	}
	c.Assert(deployment.Service.RunCount("y"), qt.Equals, 0)
}

func TestTicketOfAnotherOrganisationIsRefused(t *testing.T) {
	c := newC(t)
	deployment := startConnected(c, demo.WithDeploymentSize(2, 1))
	ticket := callTicketAPI(c, deployment, 0, http.MethodPost, "").Ticket
	deployment.Organisations[0], deployment.Organisations[1] = deployment.Organisations[1], deployment.Organisations[0]
	c.Assert(callTicketAPI(c, deployment, 0, http.MethodGet, "/"+ticket).Error.Code, qt.Equals, answer.KindWrongOrganisation.String())
	c.Assert(callTicketAPI(c, deployment, 0, http.MethodGet, "/forged").Error.Code, qt.Equals, answer.KindBadTicket.String())
}
