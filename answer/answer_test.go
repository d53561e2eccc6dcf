package answer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEveryKindHasCompleteRow(t *testing.T) {
	c := qt.New(t)
	codes := map[string]Kind{}
	for _, k := range Kinds() {
		r := k.Properties()
		c.Assert(r.Status >= 400 && r.Status < 600, qt.IsTrue, qt.Commentf("%d", k))
		c.Assert(r.Code, qt.Not(qt.Equals), "")
		c.Assert(r.Type, qt.Not(qt.Equals), "")
		c.Assert(r.Text, qt.Not(qt.Equals), "")
		other, duplicate := codes[r.Code]
		c.Assert(duplicate, qt.IsFalse, qt.Commentf("%d and %d", k, other))
		codes[r.Code] = k
	}
}

func TestWriteMatchesRow(t *testing.T) {
	c := qt.New(t)
	for _, k := range Kinds() {
		w := httptest.NewRecorder()
		Write(w, Wrap(k, errors.New("a secret cause"), ""))
		var b Body
		c.Assert(json.Unmarshal(w.Body.Bytes(), &b), qt.IsNil)
		r := k.Properties()
		c.Assert(w.Code, qt.Equals, r.Status)
		c.Assert(b.Error.Code, qt.Equals, r.Code)
		c.Assert(b.Error.Message, qt.Equals, r.Text)
		c.Assert(w.Header().Get(HeaderOutcome), qt.Equals, r.Outcome.String())
		c.Assert(w.Header().Get("Retry-After") != "", qt.Equals, r.RetryDelay > 0)
	}
}

func TestEveryKindIsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/API.md")
	c.Assert(err, qt.IsNil)
	for _, k := range Kinds() {
		r := k.Properties()
		c.Assert(string(page), qt.Contains, fmt.Sprintf("| `%s` | %d | `%s` |", r.Code, r.Status, r.Outcome))
	}
}
