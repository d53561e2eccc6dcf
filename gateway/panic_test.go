package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

// lengthTransport responds with a body of one byte and the given Content-Length.
type lengthTransport int64

func (l lengthTransport) RoundTrip(*http.Request) (*http.Response, error) {
	body := io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF))
	return &http.Response{StatusCode: http.StatusOK, Status: "200", Header: http.Header{}, ContentLength: int64(l), Body: io.NopCloser(body)}, nil
}

// provingDialect is a Dialect by which all responses carry a proof of their target.
type provingDialect struct{ noHeaders }

func (provingDialect) ParseResponse(int, http.Header) ResponseInfo {
	return ResponseInfo{HasProof: true}
}

// A response with the largest Content-Length made the handler panic (review/11).
func TestLargestContentLengthMakesHandlerPanic(t *testing.T) {
	to := table.Target{Name: "e", Address: netip.MustParseAddrPort("127.0.0.1:80")}
	for _, length := range []int64{maxBufferedResponse, maxBufferedResponse + 1, math.MaxInt64 - 1, math.MaxInt64} {
		c := qt.New(t)
		a := newStatusAttempt(c, http.StatusOK, false)
		a.gateway.transport, a.gateway.dialect = lengthTransport(length), provingDialect{}
		r := a.run(context.Background(), dispatch.Effect{To: to})
		c.Check(r.Ending, qt.Equals, relay.EndFailed, qt.Commentf("length %d", length))
		c.Check(r.Certainty, qt.Equals, target.CertaintyUnknown, qt.Commentf("length %d", length))
	}
}
