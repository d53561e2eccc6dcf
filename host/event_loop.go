package host

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/pause"
)

// loopWatch measures the delay of the host's own event loop. While the loop does not answer, nothing is dispatched or
// refused. The zero value is ready for use.
type loopWatch struct {
	asked atomic.Pointer[time.Time] // when the question was sent that the loop has not answered; nil if there is none
}

const (
	// loopAskInterval is the time from an answer of the event loop to the next question.
	loopAskInterval = 250 * time.Millisecond

	// loopAnswerTime is the time without an answer of the event loop after which the host is not ready. It is above
	// the delays of a busy machine, so that a host under load is not taken out of rotation.
	loopAnswerTime = 2 * time.Second

	// DefaultSlowEvent is the default of WithSlowEvent.
	DefaultSlowEvent = 100 * time.Millisecond
)

type withSlowEvent time.Duration

func (o withSlowEvent) apply(h *Host) { h.slowEvent = time.Duration(o) }

// WithSlowEvent sets the time from which an event of the reducer, with its effects, is logged as slow. The default is DefaultSlowEvent.
func WithSlowEvent(d time.Duration) Option { return withSlowEvent(d) }

// watchLoop sends the event loop a question at intervals until ctx is done, and logs when the answer is overdue and when it
// arrives then.
func (h *Host) watchLoop(ctx context.Context) {
	for pause.For(ctx, loopAskInterval) {
		asked := time.Now()
		h.loop.asked.Store(&asked)
		overdue := time.AfterFunc(loopAnswerTime, func() {
			h.log.Emit(event.HostStalled, event.Fields{Values: []any{"waiting", len(h.inbox), "since_ms", time.Since(asked).Milliseconds()}})
		})
		answered := h.Inspect(func(*dispatch.Reducer) {})
		h.loop.asked.Store(nil)
		if !overdue.Stop() && answered {
			h.log.Emit(event.HostResponsive, event.Fields{Values: []any{"after_ms", time.Since(asked).Milliseconds()}})
		}
	}
}

// stalled reports whether the event loop has not answered for loopAnswerTime.
func (w *loopWatch) stalled(now time.Time) bool {
	asked := w.asked.Load()
	return asked != nil && now.Sub(*asked) >= loopAnswerTime
}

// recordEvent records how long the event loop has taken for an event and its effects, and logs it if it was slow.
func (h *Host) recordEvent(e dispatch.Event, took time.Duration) {
	h.observer.EventReduced(took)
	if took < h.slowEvent {
		return
	}
	h.log.Emit(event.EventSlow, event.Fields{Values: []any{
		"kind", strings.TrimPrefix(fmt.Sprintf("%T", e), "dispatch."), "ms", took.Milliseconds(), "requests", len(h.requests), "targets", h.reducer.TargetCount(), "waiting", len(h.inbox),
	}})
}
