package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// A RawServer sends responses byte for byte, also such as no HTTP server sends. It listens on the loopback interface.
	RawServer struct {
		listener net.Listener
		respond  func(*http.Request) RawResponse

		mu       sync.Mutex
		requests map[string]int // number of requests, by path
	}

	// A RawResponse is what a RawServer sends for a request, and how it ends the connection then.
	RawResponse struct {
		Name      string        // of the case in tests
		Text      string        // bytes that are sent, with RequestIDMark in place of the identifier of the request
		Unframed  bool          // only the end of the connection can mark the end of the body
		SoundHead bool          // only the body is broken
		Early     bool          // is sent once the head of the request has been read, otherwise once its body has been, too
		Pause     time.Duration // from Text to the end of the connection
		End       ConnEnd
	}

	// A ConnEnd is the way in which a server ends a connection.
	ConnEnd uint8
)

// The ends of connections.
const (
	EndClose ConnEnd = iota // closes the connection, which resets it if a part of the request has not been read
	EndReset                // resets the connection
	EndHalf                 // ends its own direction before the pause, and closes the connection after it
	EndDrain                // ends its own direction, reads the rest of the request and closes the connection
	EndKeep                 // serves the next request
)

const (
	// RequestIDMark stands for the identifier of the request in the text of a response.
	RequestIDMark = "{id}"

	// rawReceiveBuffer limits the bytes of a request that the operating system takes before the server reads them.
	rawReceiveBuffer = 16 << 10

	headerRequestID = "Request-Id"
)

// NewRawServer starts a server that sends what respond returns for each request.
func NewRawServer(respond func(*http.Request) RawResponse) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l, respond: respond, requests: map[string]int{}}
	go s.accept()
	return s, nil
}

// Address returns the address of the server.
func (s *RawServer) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the server. Connections that are open live on.
func (s *RawServer) Close() { _ = s.listener.Close() }

// RequestCount returns the number of requests with a path.
func (s *RawServer) RequestCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[path]
}

func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(rawReceiveBuffer) // fails only if the connection is closed
		go s.serve(c)
	}
}

// serve serves requests until a response ends the connection.
func (s *RawServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests[r.URL.Path]++
		s.mu.Unlock()
		resp := s.respond(r)
		if !resp.Early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(resp.Text, RequestIDMark, r.Header.Get(headerRequestID))) // fails only if the client has left
		switch resp.End {
		case EndKeep:
			continue
		case EndHalf, EndDrain:
			_ = c.(*net.TCPConn).CloseWrite() // as above
		}
		if resp.End == EndDrain {
			_, _ = io.Copy(io.Discard, r.Body) // as above
		}
		time.Sleep(resp.Pause)
		if resp.End == EndReset {
			network.CloseWithReset(c)
		}
		return
	}
}
