package gateway

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/route"
	"github.com/wigeonlink/wigeonlink/table"
)

// noHeaders is a Dialect that sets no headers.
type noHeaders struct{ Dialect }

func (noHeaders) SetHeaders(http.Header, ForwardInfo) {}

// forwardedLine returns the request line that a target gets for a caller's request line, and the host that it
// gets. It reports false if the caller's is not valid, or is refused.
func forwardedLine(c *qt.C, line string) (forwarded, host string, ok bool) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + "\r\nHost: kiosk.example\r\n\r\n")))
	if err != nil {
		return "", "", false
	}
	forward := &call{gateway: &Gateway{dialect: noHeaders{}}, r: r, route: &route.Route{}, body: &body{}}
	if forward.uri, ok = requestURI(r); !ok {
		return "", "", false
	}
	to := table.Target{Address: netip.MustParseAddrPort("127.0.0.1:80")}
	var sent bytes.Buffer
	c.Assert(forward.newRequest(context.Background(), dispatch.Effect{To: to}, nil).Write(&sent), qt.IsNil)
	forwarded, _, _ = strings.Cut(sent.String(), "\r\n")
	received, err := http.ReadRequest(bufio.NewReader(&sent))
	c.Assert(err, qt.IsNil, qt.Commentf("%q", forwarded))
	return forwarded, received.Host, true
}

// The target of a request must be forwarded byte for byte. A path that begins with two slashes reached the target as
// an absolute URI, whose host and path are others (review/5).
func TestRequestTargetIsForwarded(t *testing.T) {
	cases := map[string]struct {
		sent, forwarded string // targets; forwarded is empty for one that is refused
		host            string // if it is not that of the header
	}{
		"two slashes":               {sent: "//fit/2f", forwarded: "//fit/2f"},
		"two slashes and a query":   {sent: "//fit/2f?a=//b", forwarded: "//fit/2f?a=//b"},
		"two slashes, empty query":  {sent: "//fit?", forwarded: "//fit?"},
		"only slashes":              {sent: "///", forwarded: "///"},
		"encoded after two slashes": {sent: "//a%2Fb%c3%A4;v=1", forwarded: "//a%2Fb%c3%A4;v=1"},
		"not encoded after two":     {sent: "//a|b"},
		"slashes inside":            {sent: "/a//b", forwarded: "/a//b"},
		"dot segments":              {sent: "/a/./../b", forwarded: "/a/./../b"},
		"empty query":               {sent: "/a?", forwarded: "/a?"},
		"repeated query":            {sent: "/a?b=1&b=2?c", forwarded: "/a?b=1&b=2?c"},
		"percent encoding":          {sent: "/a%2fb%2F%7e", forwarded: "/a%2fb%2F%7e"},
		"semicolon":                 {sent: "/a;b=c;d", forwarded: "/a;b=c;d"},
		"not ASCII":                 {sent: "/\xc3\xa4\xff", forwarded: "/\xc3\xa4\xff"},
		"not encoded":               {sent: `/a|b"<>^{}`, forwarded: `/a|b"<>^{}`},
		"absolute":                  {sent: "http://other.example/a%2f?b", forwarded: "/a%2f?b", host: "other.example"},
		"absolute, two slashes":     {sent: "http://other.example//a", forwarded: "//a", host: "other.example"},
		"absolute without a path":   {sent: "http://other.example", forwarded: "/", host: "other.example"},
		"absolute, only a query":    {sent: "http://other.example?q", forwarded: "/?q", host: "other.example"},
		"asterisk":                  {sent: "*"},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			line, host, ok := forwardedLine(c, "POST "+q.sent+" HTTP/1.1")
			if q.forwarded == "" {
				c.Check(ok, qt.IsFalse, qt.Commentf("%q", line))
				return
			}
			c.Check(line, qt.Equals, "POST "+q.forwarded+" HTTP/1.1")
			if q.host == "" {
				q.host = "kiosk.example"
			}
			c.Check(host, qt.Equals, q.host)
		})
	}
}

// FuzzRequestTarget checks that each target that is a path is forwarded byte for byte, or refused.
func FuzzRequestTarget(f *testing.F) {
	for _, s := range []string{"//fit/2f", "/a?b", "//a%2Fb?", "/./..//", "///?%", "/\xff;,|"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, target string) {
		c := qt.New(t)
		if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " \r\n") {
			return
		}
		if line, host, ok := forwardedLine(c, "GET "+target+" HTTP/1.1"); ok {
			c.Assert(line, qt.Equals, "GET "+target+" HTTP/1.1")
			c.Assert(host, qt.Equals, "kiosk.example")
		}
	})
}
