package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// generationRequest is the JSON body of a completion or chat request. Other fields of
	// the OpenAI API are ignored.
	generationRequest struct {
		Model               string          `json:"model"`
		Prompt              json.RawMessage `json:"prompt"`
		Messages            []chatMessage   `json:"messages"`
		MaxTokens           int             `json:"max_tokens"`
		MaxCompletionTokens int             `json:"max_completion_tokens"`
		Stream              bool            `json:"stream"`
		N                   *int            `json:"n"`
		Options             struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
	}

	chatMessage struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	chatPart struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	// generation is the state of one caller's request for a completion or chat response,
	// over all its attempts.
	generation struct {
		server          *Server
		organisation    table.Organisation
		format          responseFormat
		model           string
		prompt          string
		maxOutputTokens int // 0 means no limit
		stream          bool
		includeUsage    bool // the stream reports the token usage before its end
		resumable       bool // the caller resumes a broken stream at this or another host
		hostRequest     *host.Request
	}
)

// Headers of requests from callers.
const (
	HeaderLastEvent = "Last-Event-ID"       // identifier of the event after which a stream is resumed
	HeaderRoute     = "Wigeonlink-Route"    // caller's name for requests with similar output lengths
	HeaderDeadline  = "Wigeonlink-Deadline" // time within which the request must be dispatched, such as 5s
	HeaderResumes   = "Wigeonlink-Resumes"  // "yes" if the caller resumes broken streams
)

const (
	handOverPollInterval = 20 * time.Millisecond // between checks whether the response has started
	maxRouteBytes        = 64                    // longest value of HeaderRoute, in bytes
	maxTokenLimit        = 1 << 20               // largest max_tokens accepted
)

func (d *Server) serveCompletion(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.serveGeneration(w, r, organisation, formatCompletion)
}

func (d *Server) serveChat(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.serveGeneration(w, r, organisation, formatChat)
}

// serveGeneration serves a POST that starts a generation, or any request with HeaderLastEvent,
// which resumes a stream.
func (d *Server) serveGeneration(w http.ResponseWriter, r *http.Request, organisation table.Organisation, format responseFormat) error {
	if last := r.Header.Get(HeaderLastEvent); last != "" {
		return d.resume(w, r, organisation, last)
	}
	if r.Method != http.MethodPost {
		return answer.New(answer.KindBadParameter, "a GET needs the header "+HeaderLastEvent)
	}
	g, err := d.readGeneration(w, r, organisation, format)
	if err != nil {
		return err
	}
	submit := dispatch.Submit{
		Organisation:    organisation.Name,
		Pool:            g.model,
		Route:           format.String() + " " + r.Header.Get(HeaderRoute),
		MaxOutputTokens: g.maxOutputTokens,
	}
	setPrompt(&submit, g.prompt)
	if submit.DispatchDeadline, err = readDeadline(r); err != nil {
		return err
	}
	g.hostRequest = d.host.Submit(submit)
	defer g.hostRequest.Release()
	return g.run(w, r)
}

// readDeadline returns the time by which the request must be dispatched, from HeaderDeadline, or
// the zero time if the request has no such header.
func readDeadline(r *http.Request) (time.Time, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	within, err := time.ParseDuration(text)
	if err != nil || within <= 0 {
		return time.Time{}, answer.New(answer.KindBadParameter, HeaderDeadline+" is not a duration such as 5s")
	}
	return time.Now().Add(within), nil
}

// readGeneration reads and validates the body and headers of a request for a generation.
func (d *Server) readGeneration(w http.ResponseWriter, r *http.Request, organisation table.Organisation, format responseFormat) (*generation, error) {
	data, err := d.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var body generationRequest
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, answer.Wrap(answer.KindBadBody, err, "the body is not valid JSON of the expected shape")
	}
	limit := max(body.MaxTokens, body.MaxCompletionTokens)
	switch {
	case body.N != nil && *body.N != 1:
		return nil, answer.New(answer.KindBadParameter, "n: only 1 is supported")
	case body.MaxTokens < 0 || body.MaxCompletionTokens < 0 || limit > maxTokenLimit:
		return nil, answer.New(answer.KindBadParameter, "max_tokens is out of range")
	case len(r.Header.Get(HeaderRoute)) > maxRouteBytes:
		return nil, answer.New(answer.KindBadParameter, HeaderRoute+" is too long")
	}
	if _, ok := d.host.Table().Models[body.Model]; !ok {
		return nil, answer.New(answer.KindUnknownModel, "")
	}
	g := &generation{
		server:          d,
		organisation:    organisation,
		format:          format,
		model:           body.Model,
		maxOutputTokens: limit,
		stream:          body.Stream,
		includeUsage:    body.Options.Usage,
		resumable:       body.Stream && r.Header.Get(HeaderResumes) == "yes",
	}
	g.prompt, err = promptOf(&body, format)
	return g, err
}

// promptOf returns the prompt of a request. The messages of a chat are joined to one text, a
// line for each, that starts with the role.
func promptOf(body *generationRequest, format responseFormat) (string, error) {
	if format == formatCompletion {
		var text string
		if json.Unmarshal(body.Prompt, &text) != nil {
			return "", answer.New(answer.KindBadParameter, "prompt: one string is wanted")
		}
		return text, nil
	}
	if len(body.Messages) == 0 {
		return "", answer.New(answer.KindBadParameter, "messages: at least one is wanted")
	}
	var out strings.Builder
	for _, m := range body.Messages {
		text, ok := contentOf(m.Content)
		if !ok {
			return "", answer.New(answer.KindBadParameter, "messages: content is neither text nor parts of text")
		}
		out.WriteString(m.Role)
		out.WriteString(": ")
		out.WriteString(text)
		out.WriteString("\n")
	}
	return out.String(), nil
}

// contentOf returns the text of a chat message, whose content is a string or a list of text
// parts. It reports false for other content.
func contentOf(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []chatPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		text += p.Text
	}
	return text, true
}

// run makes attempts, each at the engine that the reducer chooses, until the response has ended or
// the reducer refuses another attempt. An error is returned if no response was started.
func (g *generation) run(w http.ResponseWriter, r *http.Request) error {
	ctx := r.Context()
	for attempt := 1; ; attempt++ {
		decision, err := g.hostRequest.WaitDecision(ctx)
		if err != nil {
			return err
		}
		engine, ok := g.server.host.Engine(decision.Target)
		if !ok {
			g.hostRequest.ReportResult(relay.Result{Ending: relay.EndFailed, Certainty: target.CertaintyNotRun})
			continue
		}
		request := target.GenerationRequest{
			Generation:      g.hostRequest.GenerationID(attempt),
			Model:           g.model,
			Prompt:          g.prompt,
			MaxOutputTokens: g.maxOutputTokens,
			Priority:        decision.Priority,
		}
		sink := g.newSink(w, request.Generation, decision.Target)
		more, err := g.attempt(ctx, engine, request, sink)
		if !more {
			return err
		}
	}
}

// attempt relays the generation o from the engine e to the caller through s. It reports true if
// the attempt failed before the response started, so that the reducer may decide on another one.
func (g *generation) attempt(ctx context.Context, e target.Engine, o target.GenerationRequest, s callerSink, opts ...relay.Option) (bool, error) {
	// The caller's context does not end the relay: the generation continues after the caller
	// disconnects, so that the caller can resume it.
	generationCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.hostRequest.SetCancel(cancel)
	stopWatching := context.AfterFunc(ctx, s.markDisconnected)
	defer stopWatching()
	if g.resumable {
		go g.handOver(generationCtx, cancel, s)
	}
	opts = append(opts, relay.WithCallerDisconnected(func() { g.hostRequest.CallerDisconnected(g.stream) }), relay.WithReconnect(g.hostRequest.ConnectionReplaced))
	res := relay.NewRelay(e, o, &g.hostRequest.Progress, s, opts...).Run(generationCtx)
	if !g.stream {
		res.DeliveredTokens = 0
	}
	if res.Ending == relay.EndCancelled {
		if g.handedOver(ctx, s) {
			res.Ending = relay.EndHandedOver
		} else {
			g.hostRequest.CancelGeneration(e, o.Generation)
		}
	}
	if g.hostRequest.ReportResult(res) {
		return g.afterFailure(ctx, s)
	}
	return false, s.finish(res)
}

// handOver cancels the relay when the host is stopping, but not before the response has started:
// the caller then has the cursor with which it can resume the stream at another host.
func (g *generation) handOver(ctx context.Context, cancel context.CancelFunc, s callerSink) {
	select {
	case <-ctx.Done():
		return
	case <-g.server.host.Stopping():
	}
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for !s.started() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	cancel()
}

// handedOver reports whether a cancelled relay was cancelled by handOver. ctx is the context of
// the caller's request.
func (g *generation) handedOver(ctx context.Context, s callerSink) bool {
	select {
	case <-g.server.host.Stopping():
		return g.resumable && s.started() && ctx.Err() == nil
	default:
		return false
	}
}

// afterFailure handles a failed attempt. It reports true if the response has not started, so that
// the reducer may decide on another attempt. Otherwise it waits for the reducer's error and
// writes it as the last event of the stream.
func (g *generation) afterFailure(ctx context.Context, s callerSink) (bool, error) {
	if !s.started() {
		return true, nil
	}
	_, err := g.hostRequest.WaitDecision(ctx)
	if err == nil {
		// Not reached: the reducer never retries a generation whose response has started.
		err = answer.New(answer.KindInternal, "")
	}
	return false, s.abort(answer.From(err))
}

// resume continues a stream that was started at this or another host. last is the identifier of
// the last event that the caller has received; it contains the cursor of the stream.
func (d *Server) resume(w http.ResponseWriter, r *http.Request, organisation table.Organisation, last string) error {
	position, err := d.keys.OpenCursor(last, organisation.Name, time.Now())
	if err != nil {
		return err
	}
	c := position.Cursor
	engine, ok := d.host.Engine(c.Target)
	if !ok {
		return answer.New(answer.KindTargetLost, "the generation's target is no longer in the table")
	}
	g := &generation{server: d, organisation: organisation, format: responseFormat(c.Shape), model: c.Model, stream: true, includeUsage: c.Usage, resumable: true}
	g.hostRequest = d.host.Attach(dispatch.Attach{
		Organisation: organisation.Name,
		Pool:         c.Model,
		Target:       c.Target,
		PromptTokens: int(c.Prompt),
		Tokens:       position.Next,
	})
	defer g.hostRequest.Release()
	s := g.newResumedSink(w, last, c)
	request := target.GenerationRequest{Generation: c.Generation, Model: c.Model}
	_, err = g.attempt(r.Context(), engine, request, s, relay.WithResume(c.Boot, position.Next))
	return err
}

// sealCursor returns the sealed cursor that identifies the generation and its engine. It is part
// of the identifier of each event, so that the caller can resume the stream at any host.
func (g *generation) sealCursor(boot, generationID, targetName string, created time.Time) (string, error) {
	return g.server.keys.SealCursor(&wire.Cursor{
		Organisation: table.HashName(g.organisation.Name),
		Target:       targetName,
		Boot:         boot,
		Generation:   generationID,
		Table:        g.server.host.Table().Version,
		Expiry:       created.Add(ticket.CursorLifetime).Unix(),
		Model:        g.model,
		Shape:        uint32(g.format),
		Created:      created.Unix(),
		Prompt:       uint32(target.CountTokens(g.prompt)),
		Usage:        g.includeUsage,
	})
}
