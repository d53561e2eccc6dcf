package relay

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/target"
)

// failingEngine is an engine whose starts fail with an error status, and whose resumes fail with resumeErr.
type failingEngine struct {
	target.Engine
	resumeErr error
	cancelled int
}

func (e *failingEngine) Start(context.Context, target.GenerationRequest) (target.Stream, error) {
	return nil, &target.RequestError{Answered: true, Cause: errors.New("status 500")}
}

func (e *failingEngine) Resume(context.Context, string, int) (target.Stream, error) {
	return nil, e.resumeErr
}

func (e *failingEngine) Cancel(context.Context, string) error {
	e.cancelled++
	return nil
}

// A start that failed with a status which may come after the generation ran is reported as not run only once the engine has
// cancelled it. An engine that goes on failing is not waited for as long as one that cannot be reached.
func TestStartWithErrorStatusIsConfirmed(t *testing.T) {
	cases := map[string]struct {
		resumeErr error
		certainty target.Certainty
		within    time.Duration
	}{
		"the engine has no such generation": {&target.RequestError{Certainty: target.CertaintyLost, Answered: true, Cause: errors.New("status 404")}, target.CertaintyNotRun, 0},
		"the engine fails at all requests":  {&target.RequestError{Answered: true, Cause: errors.New("status 500")}, target.CertaintyUnknown, confirmTimeout + maxBackoff},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := &failingEngine{resumeErr: q.resumeErr}
				began := time.Now()
				res := NewRelay(e, target.GenerationRequest{Generation: "a"}, &Progress{}, nil, WithReconnect(func(error) {})).Run(context.Background())
				c.Check(res.Ending, qt.Equals, EndFailed)
				c.Check(res.Certainty, qt.Equals, q.certainty)
				c.Check(time.Since(began) <= q.within, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
				c.Check(e.cancelled, qt.Equals, map[target.Certainty]int{target.CertaintyNotRun: 1}[q.certainty])
			})
		})
	}
}
