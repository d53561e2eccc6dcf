package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// droppingServer starts a server that answers the first request on a connection and
// closes the connection after it has read a second one, or a first one with the header
// Drop. It returns the address and a counter of the requests read.
func droppingServer(c *qt.C) (netip.AddrPort, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveFirstRequest(conn, &requests)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), &requests
}

// serveFirstRequest serves one connection of droppingServer.
func serveFirstRequest(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		requests.Add(1)
		if req.Header.Get("Drop") != "" || !first {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// TestCallIsSentOnce checks that the client never resends a request whose connection was
// closed without a response, with or without an Idempotency-Key and with or without a
// body. The default client of net/http resends some of these requests.
func TestCallIsSentOnce(t *testing.T) {
	c := qt.New(t)
	for _, key := range []string{"", "k"} {
		for _, body := range []string{"", "amount"} {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
				address, requests := droppingServer(c)
				s := NewService(address)
				call := Call{Method: method, Path: "/charges", Header: http.Header{}, Body: []byte(body)}
				if key != "" {
					call.Header.Set("Idempotency-Key", key)
				}
				_, err := s.Do(context.Background(), call)
				c.Assert(err, qt.IsNil)
				call.Header.Set("Drop", "1")
				_, err = s.Do(context.Background(), call)
				c.Assert(err, qt.IsNotNil)
				c.Assert(requests.Load(), qt.Equals, int64(2))
			}
		}
	}
}

// TestDefaultClientResendsDroppedRequest shows that TestCallIsSentOnce can fail: a client
// that reuses connections sends a third request.
func TestDefaultClientResendsDroppedRequest(t *testing.T) {
	c := qt.New(t)
	address, requests := droppingServer(c)
	client := &http.Client{Transport: &http.Transport{}}
	c.Cleanup(client.CloseIdleConnections)
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address.String(), nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set("Idempotency-Key", "k")
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
		}
	}
	c.Assert(requests.Load(), qt.Equals, int64(3))
}

func TestRefusedConnectionIsCertainNotRun(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	_, err = NewService(address).Do(context.Background(), Call{Method: http.MethodPost, Path: "/"})
	var failed *RequestError
	c.Assert(err, qt.ErrorAs, &failed)
	c.Assert(failed.Certainty, qt.Equals, CertaintyNotRun)
}
