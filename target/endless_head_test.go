package target

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/network"
)

// endlessHeadServer starts a server that responds to each request with header lines without end,
// until its client closes the connection. It sends the number of bytes that it wrote to the
// returned channel.
func endlessHeadServer(c *qt.C) (netip.AddrPort, <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	written := make(chan int, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { written <- writeEndlessHead(conn) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), written
}

// writeEndlessHead reads the start of a request and writes header lines until the connection ends.
func writeEndlessHead(conn net.Conn) int {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that the count is close to what the client reads
	_, _ = conn.Read(make([]byte, 4<<10))
	total, _ := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for name := []byte("aaaaaa: 1\r\n"); ; {
		n, err := conn.Write(name)
		total += n
		if err != nil {
			return total
		}
		for i := range 6 { // the next name, so that each line is a field of its own
			if name[i]++; name[i] <= 'z' {
				break
			}
			name[i] = 'a'
		}
	}
}

// A response head without end must fail the request after a bounded number of bytes. One such
// response took more memory than a host has, and ended the process with all its requests
// (review/3).
func TestEndlessResponseHead(t *testing.T) {
	const unreadBytes = 1 << 20 // upper bound of what the client's socket takes without being read
	cases := map[string]func(ctx context.Context, at netip.AddrPort) error{
		"start of a generation": func(ctx context.Context, at netip.AddrPort) error {
			_, err := NewResponsesEngine(at).Start(ctx, GenerationRequest{Generation: "g"})
			return err
		},
		"resumed stream": func(ctx context.Context, at netip.AddrPort) error {
			_, err := NewResponsesEngine(at).Resume(ctx, "g", 3)
			return err
		},
		"load report": func(ctx context.Context, at netip.AddrPort) error {
			_, err := NewResponsesEngine(at).Load(ctx)
			return err
		},
		"call of a plain service": func(ctx context.Context, at netip.AddrPort) error {
			_, err := NewService(at).Do(ctx, Call{Method: http.MethodGet, Path: "/"})
			return err
		},
		"forwarded request": func(ctx context.Context, at netip.AddrPort) error {
			return roundTrip(ctx, NewShortDialTransport(network.System{}), at)
		},
		"kept connection": func(ctx context.Context, at netip.AddrPort) error {
			return roundTrip(ctx, NewTransport(network.System{}, true), at)
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, written := endlessHeadServer(c)
			c.Check(send(t.Context(), address), qt.IsNotNil)
			c.Check(<-written < network.MaxResponseHead+unreadBytes, qt.IsTrue)
		})
	}
}

// roundTrip sends a request and closes its response.
func roundTrip(ctx context.Context, transport *http.Transport, at netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/", nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
