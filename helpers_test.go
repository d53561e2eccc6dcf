package wigeonlink_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/tmaxmax/go-sse"

	"github.com/wigeonlink/wigeonlink/answer"
	"github.com/wigeonlink/wigeonlink/api"
	"github.com/wigeonlink/wigeonlink/demo"
	"github.com/wigeonlink/wigeonlink/standin"
)

type (
	// stream is the state of a caller that reads one generation, possibly over several
	// connections.
	stream struct {
		id          string              // identifier of the generation
		tokenTexts  []string            // texts of the tokens received
		lastID      string              // identifier of the last event, by which the stream resumes
		done        bool                // the final [DONE] was received
		err         *answer.ErrorObject // final error; nil if there is none
		usageTokens int                 // output tokens, as the usage event of the stream reports them
	}

	streamChunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct{ Content string }
		}
		Usage *struct {
			Output int `json:"completion_tokens"`
		}
		Error *answer.ErrorObject
	}
)

// fastSpec is the specification of an engine with a step time of about a millisecond.
var fastSpec = standin.Spec{BaseStepTime: time.Millisecond, StepTimePerSequence: time.Microsecond, StepTimePerPromptToken: time.Nanosecond}

func startDemo(c *qt.C, opts ...demo.Option) *demo.Deployment {
	deployment, err := demo.Start(context.Background(), append([]demo.Option{demo.WithSpec(fastSpec)}, opts...)...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(deployment.Close)
	waitUntil(c, "every host is ready", func() bool {
		for i := range deployment.EntryCount() {
			if !deployment.Entry(i).Host().Ready() {
				return false
			}
		}
		return true
	})
	return deployment
}

// waitUntil polls cond until it returns true. It fails the test after 3000 polls at
// intervals of 10 ms. The limit of at least 30 seconds is far above the expected time, for
// slow machines.
func waitUntil(c *qt.C, what string, cond func() bool) {
	c.Helper()
	for range 3000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("timeout while waiting until %s", what)
}

// postChat sends a chat request with streaming. If s has received events, the request
// resumes the stream after the last of them.
func postChat(c *qt.C, s *stream, url, key, prompt string) *http.Response {
	c.Helper()
	body := fmt.Sprintf(`{"model":"assistant","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+key)
	if s.lastID != "" {
		req.Header.Set(api.HeaderLastEvent, s.lastID)
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	return resp
}

// readEvents reads events until the stream ends, an error event arrives, or stop returns
// true. It calls stop after each event.
func (s *stream) readEvents(c *qt.C, resp *http.Response, stop func() bool) {
	c.Helper()
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return
		}
		if ev.LastEventID != "" {
			s.lastID = ev.LastEventID
		}
		if ev.Data == "[DONE]" {
			s.done = true
			return
		}
		if s.addChunk(c, ev.Data); s.err != nil || stop() {
			return
		}
	}
}

// read reads events until the stream ends or s has at least maxTokens tokens, earlier
// connections included. A maxTokens of 0 means no limit.
func (s *stream) read(c *qt.C, resp *http.Response, maxTokens int) {
	c.Helper()
	s.readEvents(c, resp, func() bool { return maxTokens > 0 && len(s.tokenTexts) >= maxTokens })
}

func (s *stream) addChunk(c *qt.C, data string) {
	c.Helper()
	var chunk streamChunk
	c.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil, qt.Commentf("%s", data))
	if chunk.Error != nil {
		s.err = chunk.Error
		return
	}
	if s.id == "" {
		s.id = chunk.ID
	}
	c.Assert(chunk.ID, qt.Equals, s.id)
	if chunk.Usage != nil {
		s.usageTokens = chunk.Usage.Output
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			s.tokenTexts = append(s.tokenTexts, choice.Delta.Content)
		}
	}
}

// checkTokens asserts that the tokens received are the first tokens of the generation, in
// order and without duplicates.
func (s *stream) checkTokens(c *qt.C) {
	c.Helper()
	for n, text := range s.tokenTexts {
		c.Assert(text, qt.Equals, standin.TokenText(s.id, n), qt.Commentf("token %d", n))
	}
}

// checkComplete asserts that the stream ended without an error after the given number of
// correct tokens.
func (s *stream) checkComplete(c *qt.C, tokens int) {
	c.Helper()
	s.checkTokens(c)
	c.Assert(s.err, qt.IsNil)
	c.Assert(s.done, qt.IsTrue)
	c.Assert(s.tokenTexts, qt.HasLen, tokens)
	c.Assert(s.usageTokens, qt.Equals, tokens)
}

// checkStartedAtMostOnce asserts that no engine has started a request identifier twice.
func checkStartedAtMostOnce(c *qt.C, deployment *demo.Deployment) {
	c.Helper()
	for _, e := range deployment.Engines {
		_, mostPerID := e.StartCounts()
		c.Assert(mostPerID <= 1, qt.IsTrue)
	}
}

func newC(t *testing.T) *qt.C { return qt.New(t) }

// readAllWithCallback reads events until the stream ends. It calls callback once, when s has
// received the given number of tokens.
func (s *stream) readAllWithCallback(c *qt.C, resp *http.Response, tokens int, callback func()) {
	c.Helper()
	s.readEvents(c, resp, func() bool {
		if len(s.tokenTexts) == tokens && callback != nil {
			callback()
			callback = nil
		}
		return false
	})
}
