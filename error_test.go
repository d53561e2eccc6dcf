package wigeonlink_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink"
	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/demo"
)

// errorCase is a case of testdata/errors.json: a request, and the status and the error code
// of the response that it must get.
type errorCase struct {
	Name   string
	Method string
	Path   string
	Key    string // bearer key; empty means a valid one, "-" means none
	Body   string // "@long" is replaced by a prompt of 100,000 words
	Fill   int    // number of spaces appended to the body
	Header map[string]string
	Status int
	Code   string
}

func TestErrorResponses(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	data, err := os.ReadFile("testdata/errors.json")
	c.Assert(err, qt.IsNil)
	var cases []errorCase
	c.Assert(json.Unmarshal(data, &cases), qt.IsNil)
	for _, ec := range cases {
		c.Run(ec.Name, func(c *qt.C) {
			status, body := sendErrorCase(c, deployment, ec)
			c.Assert(body.Error.Code, qt.Equals, ec.Code)
			c.Assert(status, qt.Equals, ec.Status)
			c.Assert(body.Error.Outcome, qt.Equals, answer.OutcomeNotRun.String())
		})
	}
	starts, _ := deployment.Engines[0].StartCounts()
	c.Assert(starts, qt.Equals, 0)
}

func sendErrorCase(c *qt.C, deployment *demo.Deployment, ec errorCase) (int, answer.Body) {
	text := strings.ReplaceAll(ec.Body, "@long", strings.Repeat("word ", 100_000)) + strings.Repeat(" ", ec.Fill)
	req, err := http.NewRequest(ec.Method, deployment.Entry(0).CallerURL()+ec.Path, strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	key := ec.Key
	if key == "" {
		key = deployment.Organisations[0].Key
	}
	if key != "-" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range ec.Header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	var body answer.Body
	c.Assert(json.Unmarshal(raw, &body), qt.IsNil, qt.Commentf("%s", raw))
	return resp.StatusCode, body
}

func TestCursorOfAnotherOrganisationIsRefused(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	var s stream
	s.read(c, postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, promptFor(20)), 3)
	resp := postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[1].Key, promptFor(20))
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusForbidden)
}

func TestCursorPastTheEndIsAnError(t *testing.T) {
	c := newC(t)
	deployment := startDemo(c, demo.WithDeploymentSize(2, 1))
	var s stream
	s.read(c, postChat(c, &s, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, promptFor(20)), 0)
	s.checkComplete(c, 20)
	past := stream{lastID: s.lastID[:strings.LastIndexByte(s.lastID, '.')] + ".400"}
	past.read(c, postChat(c, &past, deployment.Entry(0).CallerURL(), deployment.Organisations[0].Key, ""), 0)
	c.Assert(past.done, qt.IsFalse)
	c.Assert(past.tokenTexts, qt.HasLen, 0)
	c.Assert(past.err.Code, qt.Equals, answer.KindPastEnd.String())
}

func TestNewEntryRejectsEmptySettings(t *testing.T) {
	c := newC(t)
	_, err := wigeonlink.NewEntry(wigeonlink.Settings{})
	c.Assert(err, qt.IsNotNil)
}
