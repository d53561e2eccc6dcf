package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// invalidStatuses are no statuses of a final response.
var invalidStatuses = []string{"000", "099", "101", "600", "999"}

// statusServer starts a server that answers each request with a status, and returns its address.
func statusServer(c *qt.C, status string) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nContent-Length: 0\r\n\r\n", status)
			}
			conn.Close()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A target in trouble answers with a status that is none. It is no reply of a plain service and no refusal of an engine: whether the request was
// executed is unknown. net/http panics when such a status is passed on to a caller.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			address := statusServer(c, status)
			var failed *RequestError
			_, err := NewService(address).Do(context.Background(), Call{Method: http.MethodPost, Path: "/"})
			c.Check(errors.As(err, &failed) && failed.Certainty == CertaintyUnknown, qt.IsTrue, qt.Commentf("service: %v", err))
			e := NewResponsesEngine(address)
			_, err = e.Start(context.Background(), GenerationRequest{Generation: "g"})
			c.Check(errors.As(err, &failed) && failed.Certainty == CertaintyUnknown, qt.IsTrue, qt.Commentf("start: %v", err))
			_, err = e.Resume(context.Background(), "g", 1)
			c.Check(errors.As(err, &failed) && failed.Certainty == CertaintyUnknown, qt.IsTrue, qt.Commentf("resume: %v", err))
			_, err = e.Load(context.Background())
			c.Check(err, qt.IsNotNil)
			c.Check(e.Cancel(context.Background(), "g"), qt.IsNotNil)
		})
	}
}
