package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// A Service is one host of a plain service.
	Service interface {
		// Do sends a call once and reads the whole answer. An error's certainty
		// says whether the call can have run.
		Do(ctx context.Context, c Call) (Reply, error)
	}

	// A Call is one call of a plain service.
	Call struct {
		Method string
		Path   string
		Query  string
		Header http.Header
		Body   []byte
	}

	// A Reply is the whole answer to a call.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
	}

	plainService struct {
		base   url.URL
		client *http.Client
	}
)

// MostReply is the largest answer of a plain service, in bytes.
const MostReply = 8 << 20

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// NewService returns the service at an address. Every call has a connection of its
// own: net/http sends a request a second time by itself only on a reused one.
func NewService(address netip.AddrPort) Service {
	return &plainService{
		base: url.URL{Scheme: "http", Host: address.String()},
		client: &http.Client{
			Transport:     NewTransport(network.System{}, false),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// PassHeader returns the headers that go on to the next connection.
func PassHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// Do sends the call.
func (s *plainService) Do(ctx context.Context, c Call) (Reply, error) {
	u := s.base
	u.Path, u.RawQuery = c.Path, c.Query
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), onceReader{bytes.NewReader(c.Body)})
	if err != nil {
		return Reply{}, &OrderError{Certainty: CertainNotRun, Cause: eris.Wrap(err, "call")}
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		req.Body = nil
	}
	req.Header = PassHeader(c.Header)
	resp, err := s.client.Do(req)
	if err != nil {
		failed := &OrderError{Cause: eris.Wrap(err, "call")}
		if Unsent(err) {
			failed.Certainty = CertainNotRun
		}
		return Reply{}, failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MostReply+1))
	if err != nil {
		return Reply{}, &OrderError{Cause: eris.Wrap(err, "answer")}
	}
	if len(body) > MostReply {
		return Reply{}, &OrderError{Cause: eris.Errorf("answer larger than %d bytes", MostReply)}
	}
	return Reply{Status: resp.StatusCode, Header: PassHeader(resp.Header), Body: body}, nil
}
