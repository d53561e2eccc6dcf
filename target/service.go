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
	// A Service is the client of one host of a plain service, which is an HTTP service other than
	// a model engine.
	Service interface {
		// Do sends a call once and reads the whole response. A non-nil error is a
		// RequestError; its Certainty states whether the call may have been executed.
		Do(ctx context.Context, c Call) (Reply, error)
	}

	// A Call is a request to a plain service.
	Call struct {
		Method string
		Path   string
		Query  string
		Header http.Header
		Body   []byte
	}

	// A Reply is the complete response to a call.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// plainService is a Service that opens an HTTP connection for every call.
	plainService struct {
		base   url.URL
		client *http.Client
	}
)

// MaxReplyBytes is the size limit of a response of a plain service, in bytes.
const MaxReplyBytes = 8 << 20

// hopByHopHeaders are the header fields that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// NewService returns a client for the service at an address. It opens a connection for
// every call, because net/http may resend a request on its own if a reused connection
// breaks.
func NewService(address netip.AddrPort) Service { return NewServiceOn(network.System{}, address) }

// NewServiceOn is NewService on the given network.
func NewServiceOn(n network.Network, address netip.AddrPort) Service {
	return &plainService{
		base: url.URL{Scheme: "http", Host: address.String()},
		client: &http.Client{
			Transport:     NewTransport(n, false),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// EndToEndHeader returns a copy of the header without the hop-by-hop fields.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// Do implements Service. It forwards only the end-to-end header fields.
func (s *plainService) Do(ctx context.Context, c Call) (Reply, error) {
	u := s.base
	u.Path, u.RawQuery = c.Path, c.Query
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), opaqueReader{bytes.NewReader(c.Body)})
	if err != nil {
		return Reply{}, &RequestError{Certainty: CertaintyNotRun, Cause: eris.Wrap(err, "call")}
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		req.Body = nil
	}
	req.Header = EndToEndHeader(c.Header)
	resp, err := s.client.Do(req)
	if err != nil {
		failed := &RequestError{Cause: eris.Wrap(err, "call")}
		if Unsent(err) {
			failed.Certainty = CertaintyNotRun
		}
		return Reply{}, failed
	}
	defer resp.Body.Close()
	if !network.IsFinalStatus(resp.StatusCode) {
		return Reply{}, &RequestError{Cause: eris.Errorf("the service responded with status %03d, which is not that of a final response", resp.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return Reply{}, &RequestError{Cause: eris.Wrap(err, "answer")}
	}
	if len(body) > MaxReplyBytes {
		return Reply{}, &RequestError{Cause: eris.Errorf("response of the service is larger than %d bytes", MaxReplyBytes)}
	}
	return Reply{Status: resp.StatusCode, Header: EndToEndHeader(resp.Header), Body: body}, nil
}
