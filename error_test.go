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

// errorCase is a row of testdata/errors.json.
type errorCase struct {
	Name   string
	Method string
	Path   string
	Key    string // empty means a good key, "-" none
	Body   string
	Fill   int // bytes of padding added to the body
	Header map[string]string
	Status int
	Code   string
}

func TestEveryRefusalHasItsRow(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	data, err := os.ReadFile("testdata/errors.json")
	c.Assert(err, qt.IsNil)
	var cases []errorCase
	c.Assert(json.Unmarshal(data, &cases), qt.IsNil)
	for _, ec := range cases {
		c.Run(ec.Name, func(c *qt.C) {
			status, body := refuse(c, consortium, ec)
			c.Assert(body.Error.Code, qt.Equals, ec.Code)
			c.Assert(status, qt.Equals, ec.Status)
			c.Assert(body.Error.Outcome, qt.Equals, answer.NotRun.String())
		})
	}
	orders, _ := consortium.Engines[0].Started()
	c.Assert(orders, qt.Equals, 0)
}

func refuse(c *qt.C, consortium *demo.Consortium, ec errorCase) (int, answer.Body) {
	text := strings.ReplaceAll(ec.Body, "@long", strings.Repeat("word ", 100_000)) + strings.Repeat(" ", ec.Fill)
	req, err := http.NewRequest(ec.Method, consortium.Entry(0).CallerURL()+ec.Path, strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	key := ec.Key
	if key == "" {
		key = consortium.Organisations[0].Key
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
	consortium := startDemo(c, demo.WithSizes(2, 1))
	var s stream
	s.read(c, ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, prompt(20)), 3)
	resp := ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[1].Key, prompt(20))
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusForbidden)
}

func TestCursorPastTheEndIsAnError(t *testing.T) {
	c := newC(t)
	consortium := startDemo(c, demo.WithSizes(2, 1))
	var s stream
	s.read(c, ask(c, &s, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, prompt(20)), 0)
	s.checkWhole(c, 20)
	past := stream{lastID: s.lastID[:strings.LastIndexByte(s.lastID, '.')] + ".400"}
	past.read(c, ask(c, &past, consortium.Entry(0).CallerURL(), consortium.Organisations[0].Key, ""), 0)
	c.Assert(past.done, qt.IsFalse)
	c.Assert(past.texts, qt.HasLen, 0)
	c.Assert(past.err.Code, qt.Equals, answer.KindPastEnd.String())
}

func TestEntryNeedsUsableSettings(t *testing.T) {
	c := newC(t)
	_, err := wigeonlink.NewEntry(wigeonlink.Settings{})
	c.Assert(err, qt.IsNotNil)
}
