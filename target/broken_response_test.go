package target_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/network"
	"github.com/wigeonlink/wigeonlink/standin"
	"github.com/wigeonlink/wigeonlink/target"
)

const testGeneration = "g"

var (
	plainMessage  = standin.RawMessage{Header: "Request-Id: " + standin.RequestIDMark + "\r\n", Body: "the answer of the server"}
	streamMessage = standin.RawMessage{
		Header: "X-Boot-Id: b\r\nContent-Type: text/event-stream\r\n",
		Body: `data: {"type":"response.output_text.delta","sequence_number":1,"delta":"one"}` + "\n\n" +
			`data: {"type":"response.output_text.delta","sequence_number":2,"delta":"two"}` + "\n\n" +
			`data: {"type":"response.completed","sequence_number":3}` + "\n\n",
	}
	loadMessage = standin.RawMessage{Header: "Content-Type: text/plain\r\n", Body: "vllm:num_requests_running 7\nvllm:num_requests_waiting 5\n"}
)

// readers are the places, by name.
var readers = map[string]standin.RawReader{
	"plain service": {Message: plainMessage, Read: func(ctx context.Context, at netip.AddrPort, upload []byte) (string, error) {
		reply, err := target.NewService(at).Do(ctx, target.Call{Method: http.MethodPost, Path: "/", Body: upload})
		return string(reply.Body), err
	}},
	"forwarded request": {Message: plainMessage, Read: func(ctx context.Context, at netip.AddrPort, upload []byte) (string, error) {
		return exchange(ctx, target.NewShortDialTransport(network.System{}), at, upload)
	}},
	"kept connection": {Message: plainMessage, Kept: true, Read: func(ctx context.Context, at netip.AddrPort, _ []byte) (string, error) {
		transport := target.NewTransport(network.System{}, true)
		defer transport.CloseIdleConnections()
		if _, err := exchange(ctx, transport, at, nil); err != nil {
			return "", eris.Wrap(err, "first response")
		}
		return exchange(ctx, transport, at, nil)
	}},
	"start of a generation": {Message: streamMessage, OwnEnd: true, Read: func(ctx context.Context, at netip.AddrPort, upload []byte) (string, error) {
		return readTokens(target.NewResponsesEngine(at).Start(ctx, target.GenerationRequest{Generation: testGeneration, Prompt: string(upload)}))
	}},
	"resumed generation": {Message: streamMessage, OwnEnd: true, Read: func(ctx context.Context, at netip.AddrPort, _ []byte) (string, error) {
		return readTokens(target.NewResponsesEngine(at).Resume(ctx, testGeneration, 0))
	}},
	"cancelled generation": {Message: plainMessage, Read: func(ctx context.Context, at netip.AddrPort, _ []byte) (string, error) {
		return plainMessage.Body, target.NewResponsesEngine(at).Cancel(ctx, testGeneration)
	}},
	"load report": {Message: loadMessage, Framed: true, Read: func(ctx context.Context, at netip.AddrPort, _ []byte) (string, error) {
		l, err := target.NewResponsesEngine(at).Load(ctx)
		return fmt.Sprintf("vllm:num_requests_running %d\nvllm:num_requests_waiting %d\n", l.Running, l.Waiting), err
	}},
}

// exchange sends a request and reads its response.
func exchange(ctx context.Context, transport http.RoundTripper, at netip.AddrPort, upload []byte) (string, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if len(upload) > 0 {
		method, body = http.MethodPost, struct{ io.Reader }{bytes.NewReader(upload)}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+"/", body)
	if err != nil {
		return "", err
	}
	req.ContentLength = int64(len(upload))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if !network.IsFinalStatus(resp.StatusCode) {
		return "", eris.Errorf("status %03d", resp.StatusCode)
	}
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// readTokens reads the tokens of a stream until its final event, and returns the stream's text with them.
func readTokens(s target.Stream, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer s.Close()
	var e target.Event
	for tokens := ""; ; tokens += string(e.Text) {
		if err := s.Next(&e); err != nil {
			return "", err
		}
		switch {
		case e.Kind == target.EventDone && tokens == `"one""two"`:
			return streamMessage.Body, nil
		case e.Kind != target.EventToken:
			return tokens, nil
		}
	}
}

// Each broken response of a server in trouble is an error where it is read: no part of a body is taken for the whole, and nothing is passed
// on that is not the server's. Sound responses are read whole with any framing, also if they arrive before the request has been sent.
func TestBrokenResponseIsAnError(t *testing.T) {
	for name, r := range readers {
		t.Run(name, func(t *testing.T) { qt.Check(t, r.Check(t.Context()), qt.IsNil) })
	}
}

// A server responds to a long upload at once with a part of a body, and resets the connection while the upload is written. Its client got the part
// as a whole body if its write was the one that got the error of the connection.
func TestResetDuringUploadIsNotTheEndOfTheResponse(t *testing.T) {
	resp := plainMessage.Broken()
	early := resp[slices.IndexFunc(resp, func(q standin.RawResponse) bool { return q.Early })]
	for _, name := range []string{"plain service", "forwarded request"} {
		t.Run(name, func(t *testing.T) {
			for n := range 300 {
				early.Pause = time.Duration(n%60) * 100 * time.Microsecond
				body, err := readers[name].Exchange(t.Context(), early)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("exchange %d: %q", n, body))
			}
		})
	}
}

// A load report that is longer than what is read of it, up to the end of a line, is not taken for a whole one.
func TestLoadReportBeyondLimitIsAnError(t *testing.T) {
	long := loadMessage
	long.Body = strings.Repeat("# x\n", 300<<10) + long.Body
	_, err := readers["load report"].Exchange(t.Context(), long.Sound()[0])
	qt.Check(t, err, qt.IsNotNil)
}
