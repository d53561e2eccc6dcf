package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/desk"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/standin"
)

type (
	// stream is one streamed generation, over all its connections.
	stream struct {
		driver  *driver
		call    call
		prompt  string
		id      string // identifier of the answer
		lastID  string // of the last event
		next    int    // token expected next
		started time.Time
		last    time.Time
		done    bool
		failed  string // code of a final error
		usage   int
	}

	chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Reason string `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			Output int `json:"completion_tokens"`
		} `json:"usage"`
		Error *answer.Detail `json:"error"`
	}

	chatRequest struct {
		Model    string        `json:"model"`
		Messages []chatMessage `json:"messages"`
		Stream   bool          `json:"stream"`
		Options  streamOptions `json:"stream_options"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	streamOptions struct {
		Usage bool `json:"include_usage"`
	}
)

const (
	mostConnections = 100 // of one generation
	reconnectPause  = 50 * time.Millisecond
	doneData        = "[DONE]"
)

func lengthOf(k kind, random *rand.Rand) int {
	if k == kindShort {
		return 1 + random.IntN(shortTokens)
	}
	return standin.HeavyTail(random, longMedian)
}

// run follows the generation until its final event, reconnecting to another entry
// host whenever the connection breaks.
func (s *stream) run(ctx context.Context) {
	s.started = time.Now()
	s.driver.count(func(r *Report) { r.Generations++ })
	for n := 0; n < mostConnections && !s.done && s.failed == "" && ctx.Err() == nil; n++ {
		if n > 0 {
			s.driver.count(func(r *Report) { r.Reconnects++ })
			pause.For(ctx, reconnectPause)
		}
		s.connect(ctx, s.call.first+n)
	}
	s.driver.count(s.settle)
}

// settle counts how the generation ended.
func (s *stream) settle(r *Report) {
	switch {
	case s.done:
		r.Whole++
		if s.usage != s.next {
			r.Lost += max(s.usage-s.next, 0)
			r.Wrong = append(r.Wrong, s.id+": the final count differs from the tokens")
		}
	case s.failed != "":
		r.Errors[s.failed]++
		if s.next > 0 {
			r.Partial++
		}
	default:
		r.Errors["gave_up"]++
	}
}

func (s *stream) connect(ctx context.Context, place int) {
	body, _ := json.Marshal(chatRequest{
		Model:    s.driver.config.Model,
		Messages: []chatMessage{{"user", s.prompt}},
		Stream:   true,
		Options:  streamOptions{true},
	})
	url := s.driver.url(place) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		s.failed = err.Error()
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.call.key)
	req.Header.Set(desk.HeaderResumes, "yes")
	if s.lastID != "" {
		req.Header.Set(desk.HeaderLastEvent, s.lastID)
	}
	resp, err := s.driver.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.refused(resp)
		return
	}
	s.read(resp.Body)
}

// refused notes a whole error answer. A host that is stopping, or that cannot take a
// stream under way just now, is passed over for another, as a balancer would.
func (s *stream) refused(resp *http.Response) {
	var b answer.Body
	if json.NewDecoder(resp.Body).Decode(&b) != nil || b.Error.Code == "" {
		s.failed = "unreadable_error"
		return
	}
	if code := b.Error.Code; code == answer.KindStopping.String() || code == answer.KindNotReady.String() {
		return
	}
	if s.lastID != "" && b.Error.Retry > 0 && b.Error.Outcome == answer.NotRun.String() {
		return
	}
	s.failed = b.Error.Code
}

func (s *stream) read(body io.Reader) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return
		}
		if ev.LastEventID != "" {
			s.lastID = ev.LastEventID
		}
		if ev.Data == doneData {
			s.done = true
			return
		}
		var c chunk
		if json.Unmarshal([]byte(ev.Data), &c) != nil {
			s.wrong("an event is not JSON")
			return
		}
		s.take(&c)
		if s.failed != "" {
			return
		}
	}
}

func (s *stream) wrong(text string) {
	s.driver.count(func(r *Report) { r.Wrong = append(r.Wrong, s.id+": "+text) })
}

func (s *stream) take(c *chunk) {
	switch {
	case c.Error != nil:
		s.failed = c.Error.Code
		return
	case c.Usage != nil:
		s.usage = c.Usage.Output
	}
	if s.id == "" {
		s.id = c.ID
	}
	if c.ID != s.id {
		s.wrong("a second generation: " + c.ID)
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			s.token(choice.Delta.Content)
		}
	}
}

// token checks one token against the generation that it should come from.
func (s *stream) token(text string) {
	now := time.Now()
	gap, first := now.Sub(s.last), s.next == 0
	s.last = now
	want := standin.Token(s.id, s.next)
	s.driver.count(func(r *Report) {
		r.Tokens++
		if first {
			r.First.Record(now.Sub(s.started))
		} else {
			r.Between.Record(gap)
			r.Stall += max(gap-relay.StallFrom, 0)
		}
		if text != want {
			s.misplaced(r, text)
		}
	})
	s.next++
}

// misplaced tells what is wrong with a token that is not the expected one.
func (s *stream) misplaced(r *Report, text string) {
	const window = 64
	for n := max(s.next-window, 0); n < s.next; n++ {
		if standin.Token(s.id, n) == text {
			r.Duplicated++
			s.next--
			return
		}
	}
	for n := s.next + 1; n < s.next+window; n++ {
		if standin.Token(s.id, n) == text {
			r.Lost += n - s.next
			s.next = n
			return
		}
	}
	r.Reordered++
}
