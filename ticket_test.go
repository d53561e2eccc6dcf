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
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/desk"
	"github.com/wigeonlink/wigeonlink/standin"
)

// ticketState is what the system says of a ticket.
type ticketState struct {
	Ticket string
	State  string
	Status int
	Error  answer.Detail
}

func startPeers(c *qt.C, opts ...demo.Option) *demo.Consortium {
	consortium := startDemo(c, opts...)
	waitUntil(c, "all hosts see each other", func() bool {
		for i := range consortium.Entries() {
			if len(consortium.Entry(i).Mesh().Live()) != consortium.Entries()-1 {
				return false
			}
		}
		return true
	})
	return consortium
}

func doTicket(c *qt.C, consortium *demo.Consortium, at int, method, path string) ticketState {
	c.Helper()
	req, err := http.NewRequest(method, consortium.Entry(at).CallerURL()+"/v1/tickets"+path, nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+consortium.Organisations[0].Key)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.Header.Get("Content-Type"), qt.Equals, "application/json")
	var s ticketState
	c.Assert(json.NewDecoder(resp.Body).Decode(&s), qt.IsNil)
	return s
}

// chargeWith makes a charge with a ticket and returns the outcome told.
func chargeWith(c *qt.C, consortium *demo.Consortium, at int, ticket, reference, body string) (outcome string, err error) {
	c.Helper()
	url := consortium.Entry(at).CallerURL() + "/v1/services/" + demo.Service + "/charges"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+consortium.Organisations[0].Key)
	req.Header.Set(desk.HeaderTicket, ticket)
	req.Header.Set(standin.HeaderReference, reference)
	req.Header.Set(desk.HeaderDeadline, "5s")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return resp.Header.Get(answer.HeaderOutcome), nil
}

func TestTicketRunsOnceFromWhicheverHost(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	consortium.Service.SetDelay(20 * time.Millisecond)
	for n := range 10 {
		ticket := doTicket(c, consortium, n%4, http.MethodPost, "").Ticket
		ref := fmt.Sprint("ref-", n)
		var all sync.WaitGroup
		for at := range 4 {
			all.Go(func() {
				outcome, err := chargeWith(c, consortium, at, ticket, ref, "amount")
				c.Check(err, qt.IsNil)
				c.Check(outcome, qt.Equals, "whole")
			})
		}
		all.Wait()
		c.Assert(consortium.Service.Ran(ref), qt.Equals, 1)
		c.Assert(doTicket(c, consortium, (n+1)%4, http.MethodGet, "/"+ticket).State, qt.Equals, "ran")
	}
}

func TestBurntTicketNeverRuns(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	ticket := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	c.Assert(doTicket(c, consortium, 3, http.MethodDelete, "/"+ticket).State, qt.Equals, "not_run")
	outcome, err := chargeWith(c, consortium, 1, ticket, "x", "amount")
	c.Assert(err, qt.IsNil)
	c.Assert(outcome, qt.Equals, answer.NotRun.String())
	c.Assert(consortium.Service.Ran("x"), qt.Equals, 0)
}

func TestTicketIsForOneCall(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	ticket := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	_, err := chargeWith(c, consortium, 0, ticket, "x", "amount")
	c.Assert(err, qt.IsNil)
	outcome, err := chargeWith(c, consortium, 0, ticket, "y", "another amount")
	c.Assert(err, qt.IsNil)
	c.Assert(outcome, qt.Equals, answer.NotRun.String())
	c.Assert(consortium.Service.Ran("y"), qt.Equals, 0)
}

func TestTicketOfACallThatDidNotRunCanBeUsedAgain(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	consortium.Leave("counter-north", "counter-south")
	waitUntil(c, "a call does not run", func() bool {
		ticket := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
		outcome, err := chargeWith(c, consortium, 1, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
		if outcome != answer.NotRun.String() {
			return false
		}
		consortium.Leave()
		waitUntil(c, "the same ticket runs", func() bool {
			outcome, err := chargeWith(c, consortium, 0, ticket, "x", "amount")
			c.Assert(err, qt.IsNil)
			return outcome == "whole"
		})
		return true
	})
}

// A host that is killed in the middle of a charge: the caller is told that the
// outcome is unknown, and the call never runs a second time.
func TestHostKilledMidChargeIsUnknownAndNeverRepeated(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	consortium.Service.SetDelay(300 * time.Millisecond)
	ticket := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	told := make(chan string, 1)
	go func() {
		outcome, _ := chargeWith(c, consortium, 1, ticket, "x", "amount")
		told <- outcome
	}()
	waitUntil(c, "the charge runs", func() bool { return consortium.Service.Ran("x") == 1 })
	consortium.Entry(0).Kill()
	c.Assert(<-told, qt.Equals, answer.Unknown.String())
	for at := 1; at < 4; at++ {
		outcome, err := chargeWith(c, consortium, at, ticket, "x", "amount")
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, answer.Unknown.String())
	}
	c.Assert(consortium.Service.Ran("x"), qt.Equals, 1)
}

// A host that stops hands its records over: the outcome can still be asked for, and
// an unused ticket is "not run" for certain.
func TestStoppedHostHandsItsTicketsOver(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c)
	used := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	unused := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	_, err := chargeWith(c, consortium, 0, used, "x", "amount")
	c.Assert(err, qt.IsNil)
	c.Assert(consortium.Restart(context.Background(), 0), qt.IsNil)
	waitUntil(c, "the restarted host has peers", func() bool { return len(consortium.Entry(0).Mesh().Live()) == 3 })
	for at := range 4 {
		c.Assert(doTicket(c, consortium, at, http.MethodGet, "/"+used).State, qt.Equals, "ran")
		c.Assert(doTicket(c, consortium, at, http.MethodGet, "/"+unused).State, qt.Equals, "not_run")
		outcome, err := chargeWith(c, consortium, at, unused, "y", "amount")
		c.Assert(err, qt.IsNil)
		c.Assert(outcome, qt.Equals, answer.NotRun.String())
	}
	c.Assert(consortium.Service.Ran("y"), qt.Equals, 0)
}

func TestTicketOfAnotherOrganisationIsRefused(t *testing.T) {
	c := newC(t)
	consortium := startPeers(c, demo.WithSizes(2, 1))
	ticket := doTicket(c, consortium, 0, http.MethodPost, "").Ticket
	consortium.Organisations[0], consortium.Organisations[1] = consortium.Organisations[1], consortium.Organisations[0]
	c.Assert(doTicket(c, consortium, 0, http.MethodGet, "/"+ticket).Error.Code, qt.Equals, answer.KindWrongOrganisation.String())
	c.Assert(doTicket(c, consortium, 0, http.MethodGet, "/forged").Error.Code, qt.Equals, answer.KindBadTicket.String())
}
