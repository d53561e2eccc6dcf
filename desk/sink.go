package desk

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/target"
	"github.com/wigeonlink/wigeonlink/ticket"
	"github.com/wigeonlink/wigeonlink/wire"
)

type (
	// responseFormat is the OpenAI format of a response: completion or chat.
	responseFormat uint32

	// callerSink is a relay.Sink that also completes the response.
	callerSink interface {
		relay.Sink

		// started reports whether part of the response has been sent.
		started() bool

		// finish writes the end of the response.
		finish(relay.Result) error

		// abort ends the response with an error.
		abort(*answer.Error) error

		// markGone makes all later writes fail, because the caller has disconnected.
		markGone()
	}

	// streamSink writes server-sent events.
	streamSink struct {
		w           http.ResponseWriter
		control     *http.ResponseController
		generation  *generation
		id          string // identifier of the generation
		target      string
		created     time.Time
		cursor      string
		tokenPrefix []byte // data of a token event, up to the text
		tokenSuffix []byte // data of a token event, after the text
		buffer      []byte
		opened      atomic.Bool
		resumed     bool
		gone        atomic.Bool
	}

	// bufferedSink collects a response and writes it when it is complete.
	bufferedSink struct {
		w          http.ResponseWriter
		generation *generation
		id         string
		created    time.Time
		text       []byte // JSON string without its quotes
		gone       atomic.Bool
	}
)

// The values of responseFormat; they are stored in cursors.
const (
	formatCompletion responseFormat = iota
	formatChat
)

var (
	formatNames     = [...]string{"completion", "chat"}
	streamObjects   = [...]string{"text_completion", "chat.completion.chunk"}
	responseObjects = [...]string{"text_completion", "chat.completion"}
	tokenPrefixes   = [...]string{`{"text":`, `{"delta":{"content":`}
	tokenSuffixes   = [...]string{`,"index":0,"logprobs":null,"finish_reason":null}]}` + "\n\n", `},"index":0,"finish_reason":null}]}` + "\n\n"}
	errCallerGone   = eris.New("the caller has disconnected")
	doneLine        = []byte("data: [DONE]\n\n")
)

// String returns the name of the format.
func (f responseFormat) String() string { return formatNames[f&1] }

func (g *generation) newSink(w http.ResponseWriter, id, targetName string) callerSink {
	created := time.Now()
	if !g.stream {
		return &bufferedSink{w: w, generation: g, id: id, created: created}
	}
	return &streamSink{w: w, control: http.NewResponseController(w), generation: g, id: id, target: targetName, created: created}
}

func (g *generation) newResumedSink(w http.ResponseWriter, last string, c *wire.Cursor) callerSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), generation: g, id: c.Generation, target: c.Target}
	s.created, s.resumed = time.Unix(c.Created, 0), true
	s.cursor = ticket.SealedCursor(last)
	return s
}

// chunkPrefix returns the fields at the start of each chunk of a stream.
func (s *streamSink) chunkPrefix() []byte {
	b := append([]byte(nil), `{"id":`...)
	b = strconv.AppendQuote(b, s.id)
	b = append(b, `,"object":"`+streamObjects[s.generation.format&1]+`","created":`...)
	b = strconv.AppendInt(b, s.created.Unix(), 10)
	b = append(b, `,"model":`...)
	return append(b, jsonString(s.generation.model)...)
}

func jsonString(text string) []byte {
	b, _ := json.Marshal(text) // encoding a string cannot fail
	return b
}

// Open sends the headers and, for a chat, the chunk with the role.
func (s *streamSink) Open(boot string) error {
	if s.cursor == "" {
		var err error
		if s.cursor, err = s.generation.sealCursor(boot, s.id, s.target, s.created); err != nil {
			return err
		}
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	envelope := s.chunkPrefix()
	s.tokenPrefix = append(append([]byte("data: "), envelope...), `,"choices":[`+tokenPrefixes[s.generation.format&1]...)
	s.tokenSuffix = []byte(tokenSuffixes[s.generation.format&1])
	if s.generation.format == formatChat && !s.resumed {
		s.beginEvent(-1)
		s.buffer = append(append(s.buffer, "data: "...), envelope...)
		s.buffer = append(s.buffer, `,"choices":[{"delta":{"role":"assistant","content":""},"index":0,"finish_reason":null}]}`+"\n\n"...)
		if err := s.write(); err != nil {
			return err
		}
	}
	if err := s.Flush(); err != nil {
		return err
	}
	s.opened.Store(true)
	return nil
}

// beginEvent starts an event with its id field.
func (s *streamSink) beginEvent(number int) {
	s.buffer = ticket.AppendEvent(append(s.buffer[:0], "id: "...), s.cursor, number)
	s.buffer = append(s.buffer, '\n')
}

func (s *streamSink) write() error {
	if s.gone.Load() {
		return errCallerGone
	}
	_, err := s.w.Write(s.buffer)
	return err
}

// Token writes the event of a token.
func (s *streamSink) Token(number int, text []byte) error {
	s.beginEvent(number)
	s.buffer = append(s.buffer, s.tokenPrefix...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, s.tokenSuffix...)
	return s.write()
}

// Flush sends the buffered events. It fails if the caller does not accept them within the write
// timeout.
func (s *streamSink) Flush() error {
	if s.gone.Load() {
		return errCallerGone
	}
	// Writers without write deadlines, such as those of tests, return an error, which is ignored.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.generation.desk.writeTimeout))
	return s.control.Flush()
}

func (s *streamSink) markGone()     { s.gone.Store(true) }
func (s *streamSink) started() bool { return s.opened.Load() }

// finish writes the finish reason, the usage if the caller asked for it, and the final event. A
// stream without the final event is incomplete.
func (s *streamSink) finish(r relay.Result) error {
	switch r.Ending {
	case relay.EndHandedOver:
		// Aborting the connection without a final event shows the caller that the stream
		// is incomplete.
		panic(http.ErrAbortHandler)
	case relay.EndSuperseded, relay.EndCancelled:
		return s.abort(answer.New(answer.KindCallerGone, "the stream goes on elsewhere or was given up"))
	case relay.EndPastEnd:
		return s.abort(answer.New(answer.KindPastEnd, ""))
	}
	s.beginEvent(r.Delivered - 1)
	s.buffer = append(append(s.buffer, "data: "...), s.chunkPrefix()...)
	s.buffer = append(s.buffer, `,"choices":[`...)
	s.buffer = append(s.buffer, finalChoice(s.generation.format, r.FinishReason)...)
	s.buffer = append(s.buffer, "]}\n\n"...)
	if s.generation.usage {
		s.buffer = append(append(s.buffer, "data: "...), s.chunkPrefix()...)
		s.buffer = append(s.buffer, `,"choices":[],"usage":`...)
		s.buffer = append(append(s.buffer, usageOf(r.Usage)...), "}\n\n"...)
	}
	s.buffer = append(s.buffer, doneLine...)
	if s.write() == nil {
		// The response is complete. A caller that disconnects now can resume at its end.
		_ = s.Flush()
	}
	return nil
}

func finalChoice(format responseFormat, reason string) string {
	if format == formatChat {
		return `{"delta":{},"index":0,"finish_reason":"` + reason + `"}`
	}
	return `{"text":"","index":0,"logprobs":null,"finish_reason":"` + reason + `"}`
}

func usageOf(u target.Usage) []byte {
	b, _ := json.Marshal(usageBody{u.Prompt, u.Output, u.Prompt + u.Output, usageDetails{u.Cached}})
	return b
}

type (
	usageBody struct {
		Prompt  int          `json:"prompt_tokens"`
		Output  int          `json:"completion_tokens"`
		Total   int          `json:"total_tokens"`
		Details usageDetails `json:"prompt_tokens_details"`
	}

	usageDetails struct {
		Cached int `json:"cached_tokens"`
	}
)

// abort writes an error as the last event of a stream that has started. Otherwise it returns e.
func (s *streamSink) abort(e *answer.Error) error {
	if !s.opened.Load() {
		return e
	}
	data, _ := json.Marshal(answer.BodyOf(e))
	s.buffer = append(append(append(s.buffer[:0], "data: "...), data...), "\n\n"...)
	if s.write() == nil {
		_ = s.Flush()
	}
	return nil
}

// Open does nothing: the response is sent when it is complete.
func (s *bufferedSink) Open(string) error { return nil }

// Token appends the text of a token without its JSON quotes.
func (s *bufferedSink) Token(_ int, text []byte) error {
	if s.gone.Load() {
		return errCallerGone
	}
	s.text = append(s.text, text[1:len(text)-1]...)
	return nil
}

// Flush does nothing: the response is sent when it is complete.
func (s *bufferedSink) Flush() error { return nil }

func (s *bufferedSink) markGone()                   { s.gone.Store(true) }
func (s *bufferedSink) started() bool               { return false }
func (s *bufferedSink) abort(e *answer.Error) error { return e }

// finish writes the response.
func (s *bufferedSink) finish(r relay.Result) error {
	if r.Ending != relay.EndComplete {
		return answer.New(answer.KindCallerGone, "")
	}
	b := append([]byte(nil), `{"id":`...)
	b = strconv.AppendQuote(b, s.id)
	b = append(b, `,"object":"`+responseObjects[s.generation.format&1]+`","created":`...)
	b = strconv.AppendInt(b, s.created.Unix(), 10)
	b = append(append(b, `,"model":`...), jsonString(s.generation.model)...)
	if s.generation.format == formatChat {
		b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","refusal":null,"content":"`...)
		b = append(append(b, s.text...), `"},"logprobs":null,"finish_reason":"`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"text":"`...)
		b = append(append(b, s.text...), `","logprobs":null,"finish_reason":"`...)
	}
	b = append(append(b, r.FinishReason...), `"}],"usage":`...)
	b = append(append(b, usageOf(r.Usage)...), "}\n"...)
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(answer.HeaderOutcome, "whole")
	_, _ = s.w.Write(b)
	return nil
}
