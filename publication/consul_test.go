package publication

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/standin"
)

// A table that is cut off between two rows is still valid, so a value is refused unless its response
// shows that it is whole.
func TestValueThatMayBeCutOffIsRefused(t *testing.T) {
	const rows = "table,7\norganisation,one\n"
	cases := map[string]struct {
		frame string // header that frames the response
		sent  string
		valid bool
	}{
		"with a length":        {fmt.Sprintf("Content-Length: %d\r\n", len(rows)), rows, true},
		"shorter than that":    {fmt.Sprintf("Content-Length: %d\r\n", len(rows)+9), rows, false},
		"chunked":              {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rows), rows), true},
		"cut off between them": {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(rows), rows), false},
		"neither":              {"", rows, false},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, http.DefaultMaxHeaderBytes))
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 4\r\n%s\r\n%s", indexHeader, q.frame, q.sent)
			}()
			v, err := NewSource(netip.MustParseAddrPort(l.Addr().String())).Watch(t.Context(), KeyTable, 0)
			c.Check(err == nil, qt.Equals, q.valid, qt.Commentf("%v", err))
			if q.valid {
				c.Check(string(v.Data), qt.Equals, rows)
			}
		})
	}
}

// A broken response holds no value, also with a valid index, and a sound one is read if its framing shows that it is whole.
func TestBrokenResponseHoldsNoValue(t *testing.T) {
	r := standin.RawReader{Message: standin.RawMessage{Header: indexHeader + ": 4\r\n", Body: "table,7\n"}, Framed: true}
	r.Read = func(ctx context.Context, at netip.AddrPort, _ []byte) (string, error) {
		v, err := NewSource(at).Watch(ctx, KeyTable, 0)
		return string(v.Data), err
	}
	qt.Check(t, r.Check(t.Context()), qt.IsNil)
}

// A response head without end must not be read further than its size limit.
func TestEndlessResponseHead(t *testing.T) {
	const unreadBytes = 1 << 20 // upper bound of what the client's socket takes without being read
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	written := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that the count is close to what the client reads
		_, _ = conn.Read(make([]byte, 4<<10))
		total, _ := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for n := 0; err == nil; total += n {
			n, err = fmt.Fprintf(conn, "a%d: 1\r\n", total)
		}
		written <- total
	}()
	_, err = NewSource(netip.MustParseAddrPort(l.Addr().String())).Watch(t.Context(), KeyTable, 0)
	c.Check(err, qt.IsNotNil)
	c.Check(<-written < network.MaxResponseHead+unreadBytes, qt.IsTrue)
}
