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
	// responses is an engine that speaks the OpenAI Responses API in
	// background mode, with its sequence numbers, starting_after and cancel,
	// and reports its load in the Prometheus text format with vLLM's names.
	responses struct {
		base   string
		client *http.Client // a connection for every call
		kept   *http.Client // for load reports, which may be asked for twice
	}

	// responsesStream is one event stream of the Responses API.
	responsesStream struct {
		body   io.ReadCloser
		reader *bufio.Reader
		parser fastjson.Parser
		text   []byte
		boot   string
		cancel context.CancelFunc
	}

	// orderBody is the request body of an order.
	orderBody struct {
		Model      string `json:"model"`
		Input      string `json:"input"`
		Stream     bool   `json:"stream"`
		Background bool   `json:"background"`
		Limit      int    `json:"max_output_tokens,omitempty"`
		Priority   int    `json:"priority"`
	}
)

// Header names of the engine protocol.
const (
	HeaderBoot    = "X-Boot-Id"
	HeaderRequest = "X-Request-Id"
)

const (
	dialTimeout   = 500 * time.Millisecond
	promptDial    = 250 * time.Millisecond // a hundred round trips, and a host's pause of a tenth of a second
	answerTimeout = 5 * time.Second        // until the head of a short answer
	streamBuffer  = 16 << 10               // bytes
	loadLimit     = 1 << 20                // bytes
)

var (
	errBreak   = errors.New("stream broke before its final event")
	errShape   = errors.New("event not of the expected shape")
	dataPrefix = []byte("data:")
)

// dialError marks failures that happen before a byte is sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Unsent reports whether an error means that no byte of a request has left this host.
func Unsent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

// NewTransport returns a transport for calls to targets. A transport that is
// not kept alive opens a connection for every call and so never sends a request
// twice by itself.
func NewTransport(n network.Network, keep bool) *http.Transport {
	return newTransport(n, keep, dialTimeout)
}

// NewPromptTransport returns a transport that opens a connection for every call and
// gives up soon on a target that does not take it, so that another can be tried.
func NewPromptTransport(n network.Network) *http.Transport {
	return newTransport(n, false, promptDial)
}

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
			return c, nil
		},
		DisableKeepAlives:   !keep,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		ReadBufferSize:      streamBuffer,
	}
}

// NewResponses returns the engine at an address. Orders and resumes are sent on
// connections of their own: a connection that has fallen silent is never reused.
func NewResponses(address netip.AddrPort) Engine {
	return &responses{
		base:   "http://" + address.String(),
		client: &http.Client{Transport: NewTransport(network.System{}, false)},
		kept:   &http.Client{Transport: NewTransport(network.System{}, true)},
	}
}

// Start posts the order.
func (r *responses) Start(ctx context.Context, o Order) (Stream, error) {
	body, err := json.Marshal(orderBody{o.Model, o.Prompt, true, true, o.Limit, o.Priority})
	if err != nil {
		return nil, &OrderError{Certainty: CertainNotRun, Cause: err}
	}
	return r.open(ctx, http.MethodPost, "/v1/responses", o.Generation, body)
}

// Resume asks for the stream from a sequence number on. Token n has the
// sequence number n+1.
func (r *responses) Resume(ctx context.Context, generation string, next int) (Stream, error) {
	path := fmt.Sprintf("/v1/responses/%s?stream=true&starting_after=%d", generation, next)
	return r.open(ctx, http.MethodGet, path, generation, nil)
}

func (r *responses) open(ctx context.Context, method, path, generation string, body []byte) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := r.call(ctx, r.client, method, path, generation, body)
	if err != nil {
		cancel()
		return nil, err
	}
	return &responsesStream{
		body:   resp.Body,
		reader: bufio.NewReaderSize(resp.Body, streamBuffer),
		boot:   resp.Header.Get(HeaderBoot),
		cancel: cancel,
	}, nil
}

// call sends one request and waits for the head of its answer for a bounded
// time.
func (r *responses) call(ctx context.Context, client *http.Client, method, path, generation string, body []byte) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		reader = onceReader{bytes.NewReader(body)}
	}
	head, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(answerTimeout, stop)
	req, err := http.NewRequestWithContext(head, method, r.base+path, reader)
	if err != nil {
		stop()
		return nil, &OrderError{Certainty: CertainNotRun, Cause: err}
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
			return nil, &OrderError{Certainty: CertainNotRun, Cause: eris.Wrap(err, "dial")}
		}
		return nil, &OrderError{Certainty: CertainNothing, Cause: eris.Wrap(err, "call")}
	}
	if resp.StatusCode == http.StatusOK {
		context.AfterFunc(ctx, stop)
		return resp, nil
	}
	defer stop()
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	failed := &OrderError{
		Boot:  resp.Header.Get(HeaderBoot),
		Cause: eris.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text)),
	}
	switch {
	case resp.StatusCode == http.StatusNotFound && method == http.MethodGet:
		failed.Certainty = CertainLost
	case method == http.MethodPost:
		failed.Certainty = CertainNotRun
	}
	return nil, failed
}

// Cancel posts to the cancel path. The engine remembers the identifier, so an
// order that arrives later is refused.
func (r *responses) Cancel(ctx context.Context, generation string) error {
	resp, err := r.call(ctx, r.client, http.MethodPost, "/v1/responses/"+generation+"/cancel", generation, []byte("{}"))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Load reads the engine's metrics.
func (r *responses) Load(ctx context.Context) (Load, error) {
	resp, err := r.call(ctx, r.kept, http.MethodGet, "/metrics", "", nil)
	if err != nil {
		// Whatever connection it was may have fallen silent.
		r.kept.CloseIdleConnections()
		return Load{}, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, loadLimit))
	if err != nil {
		return Load{}, eris.Wrap(err, "load report")
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
		Boot:        resp.Header.Get(HeaderBoot),
		Total:       int(total),
		Used:        int(value("vllm:kv_cache_usage_perc") * total),
		Running:     int(value("vllm:num_requests_running")),
		Waiting:     int(value("vllm:num_requests_waiting")),
		Preemptions: int(value("vllm:num_preemptions_total")),
		Leaving:     value("engine:leaving") > 0,
	}, nil
}

// onceReader hides the type of its reader, so that net/http cannot make a
// second copy of the body and send it again.
type onceReader struct{ io.Reader }

func (s *responsesStream) Boot() string   { return s.boot }
func (s *responsesStream) Buffered() bool { return s.reader.Buffered() > 0 }

func (s *responsesStream) Close() {
	s.cancel()
	s.body.Close()
}

// Next reads lines until one holds an event that the relay needs.
func (s *responsesStream) Next(e *Event) error {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return eris.Wrap(errBreak, err.Error())
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		known, err := s.decode(bytes.TrimSpace(data), e)
		if err != nil {
			return err
		}
		s.skipBlank()
		if known {
			return nil
		}
	}
}

// skipBlank drops the blank line that ends an event if it is here already, so that
// Buffered tells of a further event.
func (s *responsesStream) skipBlank() {
	if s.reader.Buffered() == 0 {
		return
	}
	// What is buffered can be read without an error.
	if next, _ := s.reader.Peek(1); next[0] == '\n' {
		_, _ = s.reader.Discard(1)
	}
}

func (s *responsesStream) decode(data []byte, e *Event) (bool, error) {
	v, err := s.parser.ParseBytes(data)
	if err != nil {
		return false, eris.Wrap(errShape, err.Error())
	}
	number := v.GetInt("sequence_number")
	kind := v.GetStringBytes("type")
	switch string(kind) {
	case "response.output_text.delta":
		delta := v.Get("delta")
		if delta == nil || delta.Type() != fastjson.TypeString || number < 1 {
			return false, errShape
		}
		s.text = delta.MarshalTo(s.text[:0])
		e.Kind, e.Number, e.Text = EventToken, number-1, s.text
	case "response.created", "response.queued":
		e.Kind = EventQueued
	case "response.in_progress":
		e.Kind = EventRunning
	case "response.completed", "response.incomplete":
		if number < 1 {
			return false, errShape
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
