package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
	"github.com/valyala/fastjson"

	"github.com/wigeonlink/wigeonlink/network"
)

type (
	// responsesEngine is a client for engines with the OpenAI Responses API. It
	// uses background mode with sequence numbers, starting_after and cancel. The
	// load report is in the Prometheus text format, with the metric names of vLLM.
	responsesEngine struct {
		baseURL    string
		client     *http.Client // opens a connection for every request
		loadClient *http.Client // reuses connections; for load reports, which are safe to request twice
	}

	// responsesStream is an event stream of the Responses API.
	responsesStream struct {
		body   io.ReadCloser
		reader *bufio.Reader
		parser fastjson.Parser
		text   []byte // buffer for Event.Text, reused by every event
		boot   string
		cancel context.CancelFunc // ends the request
	}

	// createRequest is the request body that starts a generation.
	createRequest struct {
		Model           string `json:"model"`
		Input           string `json:"input"`
		Stream          bool   `json:"stream"`
		Background      bool   `json:"background"`
		MaxOutputTokens int    `json:"max_output_tokens,omitempty"`
		Priority        int    `json:"priority"`
	}
)

// The header names of the engine protocol.
const (
	HeaderBoot    = "X-Boot-Id"
	HeaderRequest = "X-Request-Id"
)

const (
	dialTimeout      = 500 * time.Millisecond
	shortDialTimeout = 250 * time.Millisecond // covers 100 round trips, and a 100 ms pause of a host
	headerTimeout    = 5 * time.Second        // until the response header is received
	streamBufferSize = 16 << 10               // bytes
	maxLoadReport    = 1 << 20                // bytes
	maxCancelReply   = 64 << 10               // bytes that are read
)

var (
	errStreamBroken   = errors.New("engine stream ended before a final event")
	errMalformedEvent = errors.New("malformed engine event")
	dataPrefix        = []byte("data:")
)

// dialError is an error in opening the connection, before any byte is sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Unsent reports whether an error of a transport from this package proves that no byte of the
// request was sent.
func Unsent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

// NewTransport returns a transport for requests to targets. If keep is true, connections are
// reused, and requests must have no body. Otherwise the transport opens a connection for every request, so net/http never
// resends a request on its own.
func NewTransport(n network.Network, keep bool) *http.Transport {
	return newTransport(n, keep, dialTimeout)
}

// NewShortDialTransport returns a transport that opens a connection for every request, with
// a short dial timeout: if a target does not accept the connection, the caller can soon
// try another.
func NewShortDialTransport(n network.Network) *http.Transport {
	return newTransport(n, false, shortDialTimeout)
}

// newTransport returns a transport with the given dial timeout. Errors in opening a
// connection are of type dialError.
func newTransport(n network.Network, keep bool, timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, &dialError{err}
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			c, err := n.Dial(ctx, to)
			if err != nil {
				return nil, &dialError{err}
			}
			return network.NewResponseConn(c, keep), nil
		},
		DisableKeepAlives:      !keep,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    32,
		IdleConnTimeout:        30 * time.Second,
		ReadBufferSize:         streamBufferSize,
		MaxResponseHeaderBytes: network.MaxResponseHead,
	}
}

// NewResponsesEngine returns a client for the engine at an address. Requests for generations
// each open a connection, because a reused one may be dead without having been closed.
func NewResponsesEngine(address netip.AddrPort) Engine {
	return NewResponsesEngineOn(network.System{}, address)
}

// NewResponsesEngineOn is NewResponsesEngine on the given network.
func NewResponsesEngineOn(n network.Network, address netip.AddrPort) Engine {
	return &responsesEngine{
		baseURL:    "http://" + address.String(),
		client:     &http.Client{Transport: NewTransport(n, false)},
		loadClient: &http.Client{Transport: NewTransport(n, true)},
	}
}

// Start sends the request that creates a generation.
func (r *responsesEngine) Start(ctx context.Context, o GenerationRequest) (Stream, error) {
	body, err := json.Marshal(createRequest{o.Model, o.Prompt, true, true, o.MaxOutputTokens, o.Priority})
	if err != nil {
		return nil, &RequestError{Certainty: CertaintyNotRun, Cause: err}
	}
	return r.openStream(ctx, http.MethodPost, "/v1/responses", o.Generation, body)
}

// Resume requests the stream after the event with sequence number next. Token n has
// the sequence number n+1, so the first event of the new stream is token next.
func (r *responsesEngine) Resume(ctx context.Context, generation string, next int) (Stream, error) {
	path := fmt.Sprintf("/v1/responses/%s?stream=true&starting_after=%d", generation, next)
	return r.openStream(ctx, http.MethodGet, path, generation, nil)
}

// openStream sends a request and returns the response body as an event stream.
func (r *responsesEngine) openStream(ctx context.Context, method, path, generation string, body []byte) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := r.do(ctx, r.client, method, path, generation, body)
	if err != nil {
		cancel()
		return nil, err
	}
	return &responsesStream{
		body:   resp.Body,
		reader: bufio.NewReaderSize(resp.Body, streamBufferSize),
		boot:   resp.Header.Get(HeaderBoot),
		cancel: cancel,
	}, nil
}

// do sends a request and waits up to headerTimeout for the response header. The generation
// is empty for a load report. A response with a status other than 200 is returned as a
// RequestError.
func (r *responsesEngine) do(ctx context.Context, client *http.Client, method, path, generation string, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = opaqueReader{bytes.NewReader(body)}
	}
	requestCtx, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(headerTimeout, stop)
	req, err := http.NewRequestWithContext(requestCtx, method, r.baseURL+path, reader)
	if err != nil {
		stop()
		return nil, &RequestError{Certainty: CertaintyNotRun, Cause: err}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, generation)
	resp, err := client.Do(req)
	timer.Stop()
	if err != nil {
		stop()
		var dial *dialError
		if errors.As(err, &dial) {
			return nil, &RequestError{Certainty: CertaintyNotRun, Cause: eris.Wrap(err, "dial")}
		}
		return nil, &RequestError{Certainty: CertaintyUnknown, Cause: eris.Wrap(err, "call")}
	}
	if resp.StatusCode == http.StatusOK {
		context.AfterFunc(ctx, stop)
		return resp, nil
	}
	defer stop()
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	failed := &RequestError{
		Boot:     resp.Header.Get(HeaderBoot),
		Answered: true,
		Cause:    eris.Errorf("engine responded with status %d: %s", resp.StatusCode, bytes.TrimSpace(text)),
	}
	switch {
	case !network.IsFinalStatus(resp.StatusCode):
		// The response is not an answer, so the certainty stays unknown.
	case resp.StatusCode == http.StatusNotFound && method == http.MethodGet:
		failed.Certainty = CertaintyLost
	case method == http.MethodPost && refusesStart(resp.StatusCode):
		failed.Certainty = CertaintyNotRun
	}
	return nil, failed
}

// refusesStart reports whether a status of the response to a start shows that the engine has not started the generation. Other
// errors may come after the start, or from something between the host and the engine.
func refusesStart(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout || status == http.StatusServiceUnavailable
}

// Cancel sends the cancel request. The engine stores the identifier of the generation, and
// rejects a request to start this generation that it receives later.
func (r *responsesEngine) Cancel(ctx context.Context, generation string) error {
	resp, err := r.do(ctx, r.client, http.MethodPost, "/v1/responses/"+generation+"/cancel", generation, []byte("{}"))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// A response that is cut off confirms nothing.
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxCancelReply))
	return eris.Wrap(err, "cancel")
}

// Load fetches and parses the metrics of the engine.
func (r *responsesEngine) Load(ctx context.Context) (Load, error) {
	resp, err := r.do(ctx, r.loadClient, http.MethodGet, "/metrics", "", nil)
	if err != nil {
		// The connection may be dead without having been closed; do not reuse it.
		r.loadClient.CloseIdleConnections()
		return Load{}, err
	}
	defer resp.Body.Close()
	if network.EndsWithConnection(resp) {
		return Load{}, eris.New("the load report of the engine has neither a length nor chunks, so it may be cut off")
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(http.MaxBytesReader(nil, resp.Body, maxLoadReport))
	if err != nil {
		return Load{}, eris.Wrap(err, "parse the load report of the engine")
	}
	value := func(name string) float64 {
		f := families[name]
		if f == nil || len(f.GetMetric()) == 0 {
			return 0
		}
		m := f.GetMetric()[0]
		return m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	}
	total := value("engine:cache_tokens_total")
	return Load{
		Boot:           resp.Header.Get(HeaderBoot),
		CapacityTokens: int(total),
		UsedTokens:     int(value("vllm:kv_cache_usage_perc") * total),
		Running:        int(value("vllm:num_requests_running")),
		Waiting:        int(value("vllm:num_requests_waiting")),
		Preemptions:    int(value("vllm:num_preemptions_total")),
		Leaving:        value("engine:leaving") > 0,
	}, nil
}

// opaqueReader hides the type of its reader. Otherwise net/http would set GetBody for a
// bytes.Reader and could resend the request.
type opaqueReader struct{ io.Reader }

func (s *responsesStream) Boot() string   { return s.boot }
func (s *responsesStream) Buffered() bool { return s.reader.Buffered() > 0 }

func (s *responsesStream) Close() {
	s.cancel()
	s.body.Close()
}

// Next reads lines until one holds an event of a known type. It skips events of unknown types.
func (s *responsesStream) Next(e *Event) error {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return eris.Wrap(errStreamBroken, err.Error())
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		known, err := s.decodeEvent(bytes.TrimSpace(data), e)
		if err != nil {
			return err
		}
		s.skipBlankLine()
		if known {
			return nil
		}
	}
}

// skipBlankLine discards the blank line that ends an event if it is already buffered.
// Otherwise Buffered would report it as a further event.
func (s *responsesStream) skipBlankLine() {
	if s.reader.Buffered() == 0 {
		return
	}
	// Peek cannot fail: at least one byte is buffered.
	if next, _ := s.reader.Peek(1); next[0] == '\n' {
		_, _ = s.reader.Discard(1)
	}
}

// decodeEvent decodes the data of an event into e. It returns false if the event type is
// unknown. The sequence number of a final event is the number of tokens plus 1.
func (s *responsesStream) decodeEvent(data []byte, e *Event) (bool, error) {
	v, err := s.parser.ParseBytes(data)
	if err != nil {
		return false, eris.Wrap(errMalformedEvent, err.Error())
	}
	number := v.GetInt("sequence_number")
	kind := v.GetStringBytes("type")
	switch string(kind) {
	case "response.output_text.delta":
		delta := v.Get("delta")
		if delta == nil || delta.Type() != fastjson.TypeString || number < 1 {
			return false, errMalformedEvent
		}
		s.text = delta.MarshalTo(s.text[:0])
		e.Kind, e.Number, e.Text = EventToken, number-1, s.text
	case "response.created", "response.queued":
		e.Kind = EventQueued
	case "response.in_progress":
		e.Kind = EventRunning
	case "response.completed", "response.incomplete":
		if number < 1 {
			return false, errMalformedEvent
		}
		e.Kind, e.Number, e.Reason = EventDone, number-1, "stop"
		if string(kind) == "response.incomplete" {
			e.Reason = "length"
		}
		u := v.Get("response", "usage")
		e.Usage = Usage{
			Prompt: u.GetInt("input_tokens"),
			Output: u.GetInt("output_tokens"),
			Cached: u.GetInt("input_tokens_details", "cached_tokens"),
		}
	case "response.failed", "response.cancelled":
		e.Kind, e.Number, e.Reason = EventFailed, number-1, string(v.GetStringBytes("response", "error", "message"))
	case "response.superseded":
		e.Kind = EventSuperseded
	default:
		return false, nil
	}
	return true, nil
}
