package trial

import (
	"time"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

const (
	streamReportInterval = 500 * time.Millisecond // between two reports of a host's streams to the coordinator
	streamReportDelay    = 5 * time.Millisecond   // from a change to the report of it
	placementInterval    = 200 * time.Millisecond // between two repetitions of a question to the coordinator
)

// coordinated reports whether the first host places the requests of all hosts.
func (t *Trial) coordinated() bool { return !t.config.Scattered && t.config.Hosts > 1 }

// scheduleStreamReports schedules the periodic reports of the hosts' streams to the coordinator.
func (t *Trial) scheduleStreamReports() {
	if !t.coordinated() {
		return
	}
	for _, h := range t.hosts[1:] {
		t.every(t.uniformDuration(0, streamReportInterval), streamReportInterval, func() { t.reportStreams(h) })
	}
}

// askPlacement asks the coordinator for a target, and repeats the question until the host has an
// answer.
func (t *Trial) askPlacement(h *host, r dispatch.PlacementRequest) {
	r.Origin = h.name
	asked := t.now
	h.asked[r.ID] = true
	var ask func()
	ask = func() {
		c := t.findRequest(h, r.ID)
		if c == nil || c.finished || !h.asked[r.ID] {
			return
		}
		again := r
		again.Waited += t.now - asked
		again.Remaining -= t.now - asked
		t.after(t.config.LinkDelay, func() { t.reduce(t.hosts[0], dispatch.PlacementAsked{PlacementRequest: again}) })
		t.after(placementInterval, ask)
	}
	ask()
}

// answerPlacement passes an answer of the coordinator to the host that asked.
func (t *Trial) answerPlacement(f dispatch.Effect) {
	t.after(t.config.LinkDelay, func() {
		for _, h := range t.hosts {
			if h.name == f.Remote {
				delete(h.asked, f.ID)
				t.reduce(h, dispatch.Placed{ID: f.ID, Target: f.Target, Refusal: f.Answer, RetryAfter: f.RetryAfter})
			}
		}
	})
}

// reportStreamsSoon makes a host report its streams after a change, unless a report is due.
func (t *Trial) reportStreamsSoon(h *host) {
	if !t.coordinated() || h.index == 0 || h.reportDue {
		return
	}
	h.reportDue = true
	t.after(streamReportDelay, func() {
		h.reportDue = false
		t.reportStreams(h)
	})
}

// reportStreams reports a host's streams to the coordinator, unless FaultDropReports is active.
func (t *Trial) reportStreams(h *host) {
	if t.hosts[0].dropReportsUntil > t.now {
		return
	}
	h.reportSequence++
	e := h.reducer.HostStreams()
	e.Origin, e.Sequence = h.name, h.reportSequence
	t.after(t.config.LinkDelay, func() { t.reduce(t.hosts[0], e) })
}
