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
	// shape is the form in which a caller wants its answer.
	shape uint32

	// callerSink is a relay's sink that can also end an answer.
	callerSink interface {
		relay.Sink

		// begun reports whether the caller has got a part of the answer.
		begun() bool

		// end writes the end of an answer.
		end(relay.Result) error

		// abort ends an answer with an error.
		abort(*answer.Error) error

		// fail makes the sink refuse what comes from now on.
		fail()
	}

	// streamSink writes server-sent events.
	streamSink struct {
		w       http.ResponseWriter
		control *http.ResponseController
		g       *generation
		id      string // identifier of the answer
		target  string
		created time.Time
		cursor  string
		head    []byte // of every token's data, up to the text
		tail    []byte
		line    []byte
		open    atomic.Bool
		resumed bool
		gone    atomic.Bool
	}

	// wholeSink gathers an answer and writes it at its end.
	wholeSink struct {
		w       http.ResponseWriter
		g       *generation
		id      string
		created time.Time
		text    []byte // inside of a JSON string
		gone    atomic.Bool
	}
)

// The shapes.
const (
	shapeCompletion shape = iota
	shapeChat
)

var (
	shapeNames  = [...]string{"completion", "chat"}
	objectNames = [...]string{"text_completion", "chat.completion.chunk"}
	wholeNames  = [...]string{"text_completion", "chat.completion"}
	tokenHeads  = [...]string{`{"text":`, `{"delta":{"content":`}
	tokenTails  = [...]string{`,"index":0,"logprobs":null,"finish_reason":null}]}` + "\n\n", `},"index":0,"finish_reason":null}]}` + "\n\n"}
	errGone     = eris.New("the caller is gone")
	doneLine    = []byte("data: [DONE]\n\n")
)

// String returns the shape's name.
func (s shape) String() string { return shapeNames[s&1] }

func (g *generation) sink(w http.ResponseWriter, id, targetName string) callerSink {
	created := time.Now()
	if !g.stream {
		return &wholeSink{w: w, g: g, id: id, created: created}
	}
	return &streamSink{w: w, control: http.NewResponseController(w), g: g, id: id, target: targetName, created: created}
}

func (g *generation) resumedSink(w http.ResponseWriter, last string, c *wire.Cursor) callerSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), g: g, id: c.Generation, target: c.Target}
	s.created, s.resumed = time.Unix(c.Created, 0), true
	s.cursor = ticket.SealedPart(last)
	return s
}

// envelope returns the start of every data object of a stream.
func (s *streamSink) envelope() []byte {
	b := append([]byte(nil), `{"id":`...)
	b = strconv.AppendQuote(b, s.id)
	b = append(b, `,"object":"`+objectNames[s.g.shape&1]+`","created":`...)
	b = strconv.AppendInt(b, s.created.Unix(), 10)
	b = append(b, `,"model":`...)
	return append(b, jsonString(s.g.model)...)
}

func jsonString(text string) []byte {
	b, _ := json.Marshal(text) // a string always has a JSON form
	return b
}

// Open writes the head of the answer and, in a chat, the role.
func (s *streamSink) Open(boot string) error {
	if s.cursor == "" {
		var err error
		if s.cursor, err = s.g.cursorOf(boot, s.id, s.target, s.created); err != nil {
			return err
		}
	}
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	envelope := s.envelope()
	s.head = append(append([]byte("data: "), envelope...), `,"choices":[`+tokenHeads[s.g.shape&1]...)
	s.tail = []byte(tokenTails[s.g.shape&1])
	if s.g.shape == shapeChat && !s.resumed {
		s.begin(-1)
		s.line = append(append(s.line, "data: "...), envelope...)
		s.line = append(s.line, `,"choices":[{"delta":{"role":"assistant","content":""},"index":0,"finish_reason":null}]}`+"\n\n"...)
		if err := s.write(); err != nil {
			return err
		}
	}
	if err := s.Flush(); err != nil {
		return err
	}
	s.open.Store(true)
	return nil
}

// begin starts an event with its identifier.
func (s *streamSink) begin(number int) {
	s.line = ticket.AppendEvent(append(s.line[:0], "id: "...), s.cursor, number)
	s.line = append(s.line, '\n')
}

func (s *streamSink) write() error {
	if s.gone.Load() {
		return errGone
	}
	_, err := s.w.Write(s.line)
	return err
}

// Token writes a token.
func (s *streamSink) Token(number int, text []byte) error {
	s.begin(number)
	s.line = append(s.line, s.head...)
	s.line = append(s.line, text...)
	s.line = append(s.line, s.tail...)
	return s.write()
}

// Flush sends what was written. A caller that does not accept it in time is gone.
func (s *streamSink) Flush() error {
	if s.gone.Load() {
		return errGone
	}
	// Writers that have no deadlines, as in tests, are never slow.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.g.desk.slowest))
	return s.control.Flush()
}

func (s *streamSink) fail()       { s.gone.Store(true) }
func (s *streamSink) begun() bool { return s.open.Load() }

// end writes the finish reason, the usage if wanted, and the final event. Without
// the final event no answer is complete.
func (s *streamSink) end(r relay.Result) error {
	switch r.Ending {
	case relay.EndHandedOver:
		// Without its final event and with its connection cut, nobody takes the
		// stream for complete.
		panic(http.ErrAbortHandler)
	case relay.EndSuperseded, relay.EndStopped:
		return s.abort(answer.New(answer.KindCallerGone, "the stream goes on elsewhere or was given up"))
	case relay.EndPast:
		return s.abort(answer.New(answer.KindPastEnd, ""))
	}
	s.begin(r.Delivered - 1)
	s.line = append(append(s.line, "data: "...), s.envelope()...)
	s.line = append(s.line, `,"choices":[`...)
	s.line = append(s.line, finalChoice(s.g.shape, r.Reason)...)
	s.line = append(s.line, "]}\n\n"...)
	if s.g.usage {
		s.line = append(append(s.line, "data: "...), s.envelope()...)
		s.line = append(s.line, `,"choices":[],"usage":`...)
		s.line = append(append(s.line, usageOf(r.Usage)...), "}\n\n"...)
	}
	s.line = append(s.line, doneLine...)
	if s.write() == nil {
		// The answer is whole; a caller that goes now can resume at its end.
		_ = s.Flush()
	}
	return nil
}

func finalChoice(s shape, reason string) string {
	if s == shapeChat {
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

// abort writes an error as the last event of a stream that has begun.
func (s *streamSink) abort(e *answer.Error) error {
	if !s.open.Load() {
		return e
	}
	data, _ := json.Marshal(answer.BodyOf(e))
	s.line = append(append(append(s.line[:0], "data: "...), data...), "\n\n"...)
	if s.write() == nil {
		_ = s.Flush()
	}
	return nil
}

// Open does nothing: a whole answer begins at its end.
func (s *wholeSink) Open(string) error { return nil }

// Token appends a token's text, without its quotes.
func (s *wholeSink) Token(_ int, text []byte) error {
	if s.gone.Load() {
		return errGone
	}
	s.text = append(s.text, text[1:len(text)-1]...)
	return nil
}

// Flush does nothing.
func (s *wholeSink) Flush() error { return nil }

func (s *wholeSink) fail()                       { s.gone.Store(true) }
func (s *wholeSink) begun() bool                 { return false }
func (s *wholeSink) abort(e *answer.Error) error { return e }

// end writes the whole answer.
func (s *wholeSink) end(r relay.Result) error {
	if r.Ending != relay.EndWhole {
		return answer.New(answer.KindCallerGone, "")
	}
	b := append([]byte(nil), `{"id":`...)
	b = strconv.AppendQuote(b, s.id)
	b = append(b, `,"object":"`+wholeNames[s.g.shape&1]+`","created":`...)
	b = strconv.AppendInt(b, s.created.Unix(), 10)
	b = append(append(b, `,"model":`...), jsonString(s.g.model)...)
	if s.g.shape == shapeChat {
		b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","refusal":null,"content":"`...)
		b = append(append(b, s.text...), `"},"logprobs":null,"finish_reason":"`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"text":"`...)
		b = append(append(b, s.text...), `","logprobs":null,"finish_reason":"`...)
	}
	b = append(append(b, r.Reason...), `"}],"usage":`...)
	b = append(append(b, usageOf(r.Usage)...), "}\n"...)
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(answer.HeaderOutcome, "whole")
	_, _ = s.w.Write(b)
	return nil
}
