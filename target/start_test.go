package target

import (
	"context"
	"errors"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The start of a generation that an engine answered with 500 or 504, or 502 of something on the way, was reported as not run, and
// the generation started again at another engine (the class of review/7).
func TestErrorStatusOfStartShowsWhetherGenerationRan(t *testing.T) {
	want := map[int]Certainty{
		400: CertaintyNotRun, 404: CertaintyNotRun, 408: CertaintyUnknown, 409: CertaintyNotRun, 429: CertaintyNotRun,
		500: CertaintyUnknown, 502: CertaintyUnknown, 503: CertaintyNotRun, 504: CertaintyUnknown, 202: CertaintyUnknown,
	}
	for status, certainty := range want {
		c := qt.New(t)
		_, err := NewResponsesEngine(statusServer(c, strconv.Itoa(status))).Start(context.Background(), GenerationRequest{Generation: "a"})
		var failed *RequestError
		c.Assert(errors.As(err, &failed), qt.IsTrue)
		c.Check(failed.Certainty, qt.Equals, certainty, qt.Commentf("status %d", status))
		c.Check(failed.Answered, qt.IsTrue)
	}
}
