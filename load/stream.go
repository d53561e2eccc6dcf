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
	"github.com/wigeonlink/wigeonlink/api"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/relay"
	"github.com/wigeonlink/wigeonlink/standin"
)

type (
	// stream is the state of one streamed generation, over all connections that read it.
	stream struct {
		driver      *driver
		call        call
		prompt      string    // also sets the output length; see standin.OutputLength
		id          string    // generation identifier, from the first chunk
		lastID      string    // identifier of the last event, by which the stream resumes
		nextToken   int       // index, from 0, of the next expected token
		started     time.Time // before the first connection
		lastTokenAt time.Time // when the last token was received
		done        bool      // the final [DONE] was received
		errorCode   string    // code of a final error; empty if there is none
		usageTokens int       // output tokens, as the usage event of the stream reports them
	}

	// chunk is the data of an event of the chat completions API.
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
		Error *answer.ErrorObject `json:"error"`
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
	maxConnections = 100 // maximum number of connections per generation
	reconnectDelay = 50 * time.Millisecond
	doneData       = "[DONE]"
)

// randomLength returns a random output length in tokens for a kind of generation.
func randomLength(k callKind, random *rand.Rand) int {
	if k == kindShort {
		return 1 + random.IntN(maxShortTokens)
	}
	return standin.LogNormalLength(random, medianLongTokens)
}

// run reads the generation until its final event. When a connection fails, it resumes the
// stream at the next entry host. It gives up after maxConnections connections or when ctx is
// done.
func (s *stream) run(ctx context.Context) {
	s.started = time.Now()
	s.driver.updateReport(func(r *Report) { r.Generations++ })
	for n := 0; n < maxConnections && !s.done && s.errorCode == "" && ctx.Err() == nil; n++ {
		if n > 0 {
			s.driver.updateReport(func(r *Report) { r.Reconnects++ })
			pause.For(ctx, reconnectDelay)
		}
		s.connect(ctx, s.call.firstHost+n)
	}
	s.driver.updateReport(s.recordEnd)
}

// recordEnd counts the generation in the report as complete, or under the code of its final
// error, or under "gave_up" if it has neither. It also checks the usage of a complete one.
func (s *stream) recordEnd(r *Report) {
	switch {
	case s.done:
		r.Complete++
		if s.usageTokens != s.nextToken {
			r.Lost += max(s.usageTokens-s.nextToken, 0)
			r.Mismatches = append(r.Mismatches, s.id+": token count in the usage differs from the number of tokens received")
		}
	case s.errorCode != "":
		r.countError(s.errorCode)
		if s.nextToken > 0 {
			r.Partial++
		}
	default:
		r.countError("gave_up")
	}
}

// connect sends the request of the generation to an entry host and reads the response. If s has
// received events, the request resumes the stream after the last of them.
func (s *stream) connect(ctx context.Context, index int) {
	body, _ := json.Marshal(chatRequest{
		Model:    s.driver.config.Model,
		Messages: []chatMessage{{"user", s.prompt}},
		Stream:   true,
		Options:  streamOptions{true},
	})
	url := s.driver.url(index) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		s.errorCode = err.Error()
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.call.key)
	req.Header.Set(api.HeaderResumes, "yes")
	if s.lastID != "" {
		req.Header.Set(api.HeaderLastEvent, s.lastID)
	}
	resp, err := s.driver.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.handleErrorResponse(resp)
		return
	}
	s.read(resp.Body)
}

// handleErrorResponse records the code of an error response, which ends the generation. It
// records nothing if the host is stopping or not ready, or if the host can't resume the stream
// now and asks for a retry. In these cases run tries the next host, as a load balancer would.
func (s *stream) handleErrorResponse(resp *http.Response) {
	var b answer.Body
	if json.NewDecoder(resp.Body).Decode(&b) != nil || b.Error.Code == "" {
		s.errorCode = "unreadable_error"
		return
	}
	if code := b.Error.Code; code == answer.KindStopping.String() || code == answer.KindNotReady.String() {
		return
	}
	if s.lastID != "" && b.Error.RetryAfterMillis > 0 && b.Error.Outcome == answer.OutcomeNotRun.String() {
		return
	}
	s.errorCode = b.Error.Code
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
			s.addMismatch("event data is not valid JSON")
			return
		}
		s.handleChunk(&c)
		if s.errorCode != "" {
			return
		}
	}
}

// addMismatch adds a violation of the generation to Report.Mismatches.
func (s *stream) addMismatch(text string) {
	s.driver.updateReport(func(r *Report) { r.Mismatches = append(r.Mismatches, s.id+": "+text) })
}

func (s *stream) handleChunk(c *chunk) {
	switch {
	case c.Error != nil:
		s.errorCode = c.Error.Code
		return
	case c.Usage != nil:
		s.usageTokens = c.Usage.Output
	}
	if s.id == "" {
		s.id = c.ID
	}
	if c.ID != s.id {
		s.addMismatch("event of another generation: " + c.ID)
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			s.checkToken(choice.Delta.Content)
		}
	}
}

// checkToken compares the text of a received token with that of the expected token, and records
// the latency of the received token.
func (s *stream) checkToken(text string) {
	now := time.Now()
	gap, first := now.Sub(s.lastTokenAt), s.nextToken == 0
	s.lastTokenAt = now
	want := standin.TokenText(s.id, s.nextToken)
	s.driver.updateReport(func(r *Report) {
		r.Tokens++
		if first {
			r.FirstToken.Record(now.Sub(s.started))
		} else {
			r.BetweenTokens.Record(gap)
			r.StallTime += max(gap-relay.StallThreshold, 0)
		}
		if text != want {
			s.classifyMismatch(r, text)
		}
	})
	s.nextToken++
}

// classifyMismatch counts a received token that differs from the expected one. It looks for
// the text of the received token among the tokens within window positions of the expected
// one. If an earlier token has that text, the received token is a duplicate. If a later token
// has it, the tokens from the expected one up to that token are lost. Otherwise the received
// token counts as reordered.
func (s *stream) classifyMismatch(r *Report, text string) {
	const window = 64
	for n := max(s.nextToken-window, 0); n < s.nextToken; n++ {
		if standin.TokenText(s.id, n) == text {
			r.Duplicated++
			s.nextToken--
			return
		}
	}
	for n := s.nextToken + 1; n < s.nextToken+window; n++ {
		if standin.TokenText(s.id, n) == text {
			r.Lost += n - s.nextToken
			s.nextToken = n
			return
		}
	}
	r.Reordered++
}
