package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
	"github.com/wigeonlink/wigeonlink/table"
	"github.com/wigeonlink/wigeonlink/target"
)

const (
	// evacuatedResumeTries is the number of further requests to the destination of a stream that cannot go on at
	// its source engine, and evacuatedResumeInterval the time before each.
	evacuatedResumeTries    = 5
	evacuatedResumeInterval = 50 * time.Millisecond
)

var errEvacuated = eris.New("the failure domain of the target is to be evacuated; nothing was sent")

// withhold returns an error if nothing may be sent to a target that was chosen earlier, because its failure domain is
// to be evacuated by now.
func (a *attempt) withhold(t table.Target) error {
	if a.gateway.host.MaySend(t) {
		return nil
	}
	a.gateway.host.Log().Emit(event.SendWithheld, event.Fields{Request: a.info.ID, Target: t.Name, Values: []any{"domain", t.Domain}})
	return errEvacuated
}

// resumeAgain asks the destination of a move again to resume a stream that it has refused, with the error before. The
// source engine is in an evacuated domain, where the stream can not go on.
func (a *attempt) resumeAgain(ctx context.Context, m *move, point ResumePoint, before error) (resp *http.Response, err error) {
	err = before
	for range evacuatedResumeTries {
		if !target.Unsent(err) && !errors.Is(err, errResumeRejected) || !a.gateway.host.MaySend(m.to) {
			break // the destination may have resumed the generation, or must not get it any more
		}
		pause.For(ctx, evacuatedResumeInterval)
		if resp, err = a.openResumed(ctx, m, m.to, point, a.streamTimeout()); err == nil {
			return resp, nil
		}
	}
	return nil, err
}
