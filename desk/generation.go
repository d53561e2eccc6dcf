package desk

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
	// generationRequest holds the supported fields of a completion or chat request.
	generationRequest struct {
		Model     string          `json:"model"`
		Prompt    json.RawMessage `json:"prompt"`
		Messages  []chatMessage   `json:"messages"`
		Limit     int             `json:"max_tokens"`
		ChatLimit int             `json:"max_completion_tokens"`
		Stream    bool            `json:"stream"`
		N         *int            `json:"n"`
		Options   struct {
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

	// generation is the state of one caller's generation across its attempts.
	generation struct {
		desk         *Server
		organisation table.Organisation
		format       responseFormat
		model        string
		prompt       string
		limit        int
		stream       bool
		usage        bool
		resumable    bool // the caller resumes a broken stream, at any host
		booking      *host.Request
	}
)

// Headers of requests from callers.
const (
	HeaderLastEvent = "Last-Event-ID"
	HeaderRoute     = "Wigeonlink-Route"
	HeaderDeadline  = "Wigeonlink-Deadline"
	HeaderResumes   = "Wigeonlink-Resumes" // "yes" if the caller resumes broken streams
)

const (
	handOverPollInterval = 20 * time.Millisecond
	maxRouteBytes        = 64      // longest value of HeaderRoute
	maxTokenLimit        = 1 << 20 // largest max_tokens accepted
)

func (d *Server) serveCompletion(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.serveGeneration(w, r, organisation, formatCompletion)
}

func (d *Server) serveChat(w http.ResponseWriter, r *http.Request, organisation table.Organisation) error {
	return d.serveGeneration(w, r, organisation, formatChat)
}

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
		MaxOutputTokens: g.limit,
	}
	setPrompt(&submit, g.prompt)
	if submit.DispatchDeadline, err = readDeadline(r); err != nil {
		return err
	}
	g.booking = d.host.Submit(submit)
	defer g.booking.Release()
	return g.run(w, r)
}

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

func (d *Server) readGeneration(w http.ResponseWriter, r *http.Request, organisation table.Organisation, format responseFormat) (*generation, error) {
	data, err := d.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var body generationRequest
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, answer.Wrap(answer.KindBadBody, err, "the body is not valid JSON of the expected shape")
	}
	limit := max(body.Limit, body.ChatLimit)
	switch {
	case body.N != nil && *body.N != 1:
		return nil, answer.New(answer.KindBadParameter, "n: only 1 is supported")
	case body.Limit < 0 || body.ChatLimit < 0 || limit > maxTokenLimit:
		return nil, answer.New(answer.KindBadParameter, "max_tokens is out of range")
	case len(r.Header.Get(HeaderRoute)) > maxRouteBytes:
		return nil, answer.New(answer.KindBadParameter, HeaderRoute+" is too long")
	}
	if _, ok := d.host.Table().Models[body.Model]; !ok {
		return nil, answer.New(answer.KindUnknownModel, "")
	}
	g := &generation{
		desk:         d,
		organisation: organisation,
		format:       format,
		model:        body.Model,
		limit:        limit,
		stream:       body.Stream,
		usage:        body.Options.Usage,
		resumable:    body.Stream && r.Header.Get(HeaderResumes) == "yes",
	}
	g.prompt, err = promptOf(&body, format)
	return g, err
}

// promptOf returns the prompt of a request. Chat messages are joined to one text.
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

// run dispatches attempts until one completes the response or an error is final.
func (g *generation) run(w http.ResponseWriter, r *http.Request) error {
	ctx := r.Context()
	for attempt := 1; ; attempt++ {
		decision, err := g.booking.Wait(ctx)
		if err != nil {
			return err
		}
		engine, ok := g.desk.host.Engine(decision.Target)
		if !ok {
			g.booking.ReportResult(relay.Result{Ending: relay.EndFailed, Certainty: target.CertaintyNotRun})
			continue
		}
		order := target.GenerationRequest{
			Generation:      g.booking.GenerationID(attempt),
			Model:           g.model,
			Prompt:          g.prompt,
			MaxOutputTokens: g.limit,
			Priority:        decision.Priority,
		}
		sink := g.newSink(w, order.Generation, decision.Target)
		more, err := g.attempt(ctx, engine, order, sink)
		if !more {
			return err
		}
	}
}

// attempt relays one generation. It reports true if another attempt is allowed.
func (g *generation) attempt(ctx context.Context, e target.Engine, o target.GenerationRequest, s callerSink, opts ...relay.Option) (bool, error) {
	// The generation continues after its caller disconnects, so that the caller can resume it.
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.booking.SetCancel(cancel)
	gone := context.AfterFunc(ctx, s.markGone)
	defer gone()
	if g.resumable {
		go g.handOver(own, cancel, s)
	}
	opts = append(opts, relay.WithCallerGone(func() { g.booking.CallerDisconnected(g.stream) }), relay.WithReconnect(g.booking.ConnectionReplaced))
	res := relay.NewRelay(e, o, &g.booking.Track, s, opts...).Run(own)
	if !g.stream {
		res.Delivered = 0
	}
	if res.Ending == relay.EndCancelled {
		if g.handedOver(ctx, s) {
			res.Ending = relay.EndHandedOver
		} else {
			g.booking.CancelGeneration(e, o.Generation)
		}
	}
	if g.booking.ReportResult(res) {
		return g.afterFailure(ctx, s)
	}
	return false, s.finish(res)
}

// handOver ends the relay when the host is stopping, after the caller has received the cursor
// that it needs to resume at another host.
func (g *generation) handOver(ctx context.Context, cancel context.CancelFunc, s callerSink) {
	select {
	case <-ctx.Done():
		return
	case <-g.desk.host.Stopping():
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

// handedOver reports whether handOver has ended the relay.
func (g *generation) handedOver(ctx context.Context, s callerSink) bool {
	select {
	case <-g.desk.host.Stopping():
		return g.resumable && s.started() && ctx.Err() == nil
	default:
		return false
	}
}

// afterFailure reports true if a failed attempt may be retried, because the response has not
// started. Otherwise it waits for the reducer's decision and writes the error as the last event
// of the stream.
func (g *generation) afterFailure(ctx context.Context, s callerSink) (bool, error) {
	if !s.started() {
		return true, nil
	}
	_, err := g.booking.Wait(ctx)
	if err == nil {
		// The reducer never retries a generation whose response has started.
		err = answer.New(answer.KindInternal, "")
	}
	return false, s.abort(answer.From(err))
}

// resume continues a stream that was started at this or another host, after the event of the
// cursor last.
func (d *Server) resume(w http.ResponseWriter, r *http.Request, organisation table.Organisation, last string) error {
	at, err := d.keys.OpenCursor(last, organisation.Name, time.Now())
	if err != nil {
		return err
	}
	c := at.Cursor
	engine, ok := d.host.Engine(c.Target)
	if !ok {
		return answer.New(answer.KindTargetLost, "the generation's target is no longer in the table")
	}
	g := &generation{desk: d, organisation: organisation, format: responseFormat(c.Shape), model: c.Model, stream: true, usage: c.Usage, resumable: true}
	g.booking = d.host.Attach(dispatch.Attach{
		Organisation: organisation.Name,
		Pool:         c.Model,
		Target:       c.Target,
		PromptTokens: int(c.Prompt),
		Tokens:       at.Next,
	})
	defer g.booking.Release()
	s := g.newResumedSink(w, last, c)
	order := target.GenerationRequest{Generation: c.Generation, Model: c.Model}
	_, err = g.attempt(r.Context(), engine, order, s, relay.WithResume(c.Boot, at.Next))
	return err
}

// sealCursor returns the sealed cursor with which the caller can resume the stream.
func (g *generation) sealCursor(boot, generationID, targetName string, created time.Time) (string, error) {
	return g.desk.keys.SealCursor(&wire.Cursor{
		Organisation: table.HashName(g.organisation.Name),
		Target:       targetName,
		Boot:         boot,
		Generation:   generationID,
		Table:        g.desk.host.Table().Version,
		Expiry:       created.Add(ticket.CursorLifetime).Unix(),
		Model:        g.model,
		Shape:        uint32(g.format),
		Created:      created.Unix(),
		Prompt:       uint32(target.CountTokens(g.prompt)),
		Usage:        g.usage,
	})
}
