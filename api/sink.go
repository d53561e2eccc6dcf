package api

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
	// responseFormat is the format of a response: that of the OpenAI completion or chat
	// endpoint.
	responseFormat uint32

	// callerSink is a relay.Sink that also writes the end of the response or an error.
	callerSink interface {
		relay.Sink

		// started reports whether the response to the caller has started. It can be called
		// from any goroutine.
		started() bool

		// finish writes the end of the response after an attempt that did not fail.
		finish(relay.Result) error

		// abort writes e as the end of a response that has started. Otherwise it returns e,
		// for the caller's error response.
		abort(*answer.Error) error

		// markDisconnected records that the caller has disconnected: all later writes fail.
		// It can be called from any goroutine.
		markDisconnected()
	}

	// streamSink writes the response as a stream of server-sent events.
	streamSink struct {
		w            http.ResponseWriter
		control      *http.ResponseController
		generation   *generation
		id           string // identifier of the generation
		target       string // name of the target that runs the generation
		created      time.Time
		cursor       string      // sealed; part of each event's identifier
		tokenPrefix  []byte      // data of a token event, up to the text
		tokenSuffix  []byte      // data of a token event, after the text
		buffer       []byte      // event that is being written
		opened       atomic.Bool // Open has sent the response headers
		resumed      bool        // an earlier response carried the start of the stream
		disconnected atomic.Bool
	}

	// bufferedSink collects the text of a response that is not streamed and sends it when
	// it is complete.
	bufferedSink struct {
		w            http.ResponseWriter
		generation   *generation
		id           string // identifier of the generation
		created      time.Time
		text         []byte // contents of a JSON string, without its quotes
		disconnected atomic.Bool
	}
)

// The values of responseFormat. Cursors contain them, so they must not change.
const (
	formatCompletion responseFormat = iota
	formatChat
)

// The arrays are indexed by responseFormat.
var (
	formatNames           = [...]string{"completion", "chat"}
	streamObjects         = [...]string{"text_completion", "chat.completion.chunk"}
	responseObjects       = [...]string{"text_completion", "chat.completion"}
	tokenPrefixes         = [...]string{`{"text":`, `{"delta":{"content":`}
	tokenSuffixes         = [...]string{`,"index":0,"logprobs":null,"finish_reason":null}]}` + "\n\n", `},"index":0,"finish_reason":null}]}` + "\n\n"}
	errCallerDisconnected = eris.New("the caller has disconnected")
	doneLine              = []byte("data: [DONE]\n\n")
)

// String returns the name of the format.
func (f responseFormat) String() string { return formatNames[f&1] }

// newSink returns the sink for a new generation with identifier id at the named target.
func (g *generation) newSink(w http.ResponseWriter, id, targetName string) callerSink {
	created := time.Now()
	if !g.stream {
		return &bufferedSink{w: w, generation: g, id: id, created: created}
	}
	return &streamSink{w: w, control: http.NewResponseController(w), generation: g, id: id, target: targetName, created: created}
}

// newResumedSink returns the sink for a resumed stream. last is the identifier of the last event
// that the caller has received, c the cursor in it.
func (g *generation) newResumedSink(w http.ResponseWriter, last string, c *wire.Cursor) callerSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), generation: g, id: c.Generation, target: c.Target}
	s.created, s.resumed = time.Unix(c.Created, 0), true
	s.cursor = ticket.SealedCursor(last)
	return s
}

// chunkPrefix returns the start of the JSON object of each chunk of the stream: the fields that
// all chunks have in common.
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

// Open sends the response headers and, for a new chat, the chunk with the assistant's role.
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

// beginEvent starts an event in the buffer with its id field. number is the number of the last
// token in the stream up to and including the event, or -1 if there is none.
func (s *streamSink) beginEvent(number int) {
	s.buffer = ticket.AppendEventID(append(s.buffer[:0], "id: "...), s.cursor, number)
	s.buffer = append(s.buffer, '\n')
}

// write writes the buffered event to the response without flushing it.
func (s *streamSink) write() error {
	if s.disconnected.Load() {
		return errCallerDisconnected
	}
	_, err := s.w.Write(s.buffer)
	return err
}

// Token writes the event of the token with the given number.
func (s *streamSink) Token(number int, text []byte) error {
	s.beginEvent(number)
	s.buffer = append(s.buffer, s.tokenPrefix...)
	s.buffer = append(s.buffer, text...)
	s.buffer = append(s.buffer, s.tokenSuffix...)
	return s.write()
}

// Flush sends the events written so far to the caller. It fails if that takes longer than the
// server's write timeout.
func (s *streamSink) Flush() error {
	if s.disconnected.Load() {
		return errCallerDisconnected
	}
	// Response writers that support no write deadline, such as those of tests, return an error,
	// which is ignored.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.generation.server.writeTimeout))
	return s.control.Flush()
}

func (s *streamSink) markDisconnected() { s.disconnected.Store(true) }
func (s *streamSink) started() bool     { return s.opened.Load() }

// finish ends the stream of an attempt that did not fail. For EndComplete it writes the finish
// reason, the usage if the caller asked for it, and the final event, without which a stream is
// incomplete.
func (s *streamSink) finish(r relay.Result) error {
	switch r.Ending {
	case relay.EndHandedOver:
		// The connection is aborted without a final event, so that the caller resumes the
		// stream at another host.
		panic(http.ErrAbortHandler)
	case relay.EndSuperseded, relay.EndCancelled:
		return s.abort(answer.New(answer.KindCallerGone, "the stream goes on elsewhere or was given up"))
	case relay.EndPastEnd:
		return s.abort(answer.New(answer.KindPastEnd, ""))
	}
	s.beginEvent(r.DeliveredTokens - 1)
	s.buffer = append(append(s.buffer, "data: "...), s.chunkPrefix()...)
	s.buffer = append(s.buffer, `,"choices":[`...)
	s.buffer = append(s.buffer, finalChoice(s.generation.format, r.FinishReason)...)
	s.buffer = append(s.buffer, "]}\n\n"...)
	if s.generation.includeUsage {
		s.buffer = append(append(s.buffer, "data: "...), s.chunkPrefix()...)
		s.buffer = append(s.buffer, `,"choices":[],"usage":`...)
		s.buffer = append(append(s.buffer, usageOf(r.Usage)...), "}\n\n"...)
	}
	s.buffer = append(s.buffer, doneLine...)
	if s.write() == nil {
		// A failed flush is ignored: a caller that disconnects now can resume the stream and
		// receives its end again.
		_ = s.Flush()
	}
	return nil
}

// finalChoice returns the choices element of the chunk with the finish reason.
func finalChoice(format responseFormat, reason string) string {
	if format == formatChat {
		return `{"delta":{},"index":0,"finish_reason":"` + reason + `"}`
	}
	return `{"text":"","index":0,"logprobs":null,"finish_reason":"` + reason + `"}`
}

// usageOf returns the JSON object that reports the token usage.
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

// abort writes e as the last event of a stream that has started. Otherwise it returns e.
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

// Token appends the text of a token to the collected text.
func (s *bufferedSink) Token(_ int, text []byte) error {
	if s.disconnected.Load() {
		return errCallerDisconnected
	}
	s.text = append(s.text, text[1:len(text)-1]...)
	return nil
}

// Flush does nothing: the response is sent when it is complete.
func (s *bufferedSink) Flush() error { return nil }

func (s *bufferedSink) markDisconnected()           { s.disconnected.Store(true) }
func (s *bufferedSink) started() bool               { return false }
func (s *bufferedSink) abort(e *answer.Error) error { return e }

// finish sends the response of a complete generation. If the attempt was cancelled, it returns an
// error of KindCallerGone.
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
