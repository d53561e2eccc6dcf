package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/route"
)

// A request whose body took long to arrive must have a part of the time that it has left to be dispatched. The part was
// counted from the arrival of its head, so that a body that took a quarter of the time was always refused.
func TestSlowUploadHasTimeToBeDispatched(t *testing.T) {
	const timeout, part = 6 * time.Second, 1.0 / dispatchDeadlineDivisor
	for _, upload := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} {
		for _, plain := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				q := &call{started: time.Now(), route: &route.Route{FirstByteObjective: 1800 * time.Millisecond}, plainService: plain}
				q.deadline = q.started.Add(timeout)
				time.Sleep(upload)
				left := time.Until(q.dispatchDeadline())
				c.Check(left, qt.Equals, time.Duration(part*float64(timeout-upload)))
			})
		}
	}
}

// A connection to an engine without a time counts as one for copies, which a relaying host also opens to evacuated domains. The
// connection of a resumed stream with an output limit had none.
func TestConnectionOfResumedStreamHasTime(t *testing.T) {
	q := &call{deadline: time.Now().Add(time.Minute), info: RequestInfo{MaxOutputTokens: 100}}
	qt.Check(t, q.needed(dispatch.Effect{}) > 0, qt.IsTrue)
}
