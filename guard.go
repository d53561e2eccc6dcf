package wigeonlink

import (
	"sync"
	"time"

	"github.com/wigeonlink/wigeonlink/budget"
	"github.com/wigeonlink/wigeonlink/event"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/meter"
	"github.com/wigeonlink/wigeonlink/network"
)

// limitLog logs that limits on clients were reached, each limit at most once in limitLogInterval.
type limitLog struct {
	log   *event.Log
	meter *meter.Meter

	mu     sync.Mutex
	states map[network.Limit]*limitState
}

// limitState counts what was refused or closed for one limit.
type limitState struct {
	count    int // since the last line
	loggedAt time.Time
}

const (
	// limitLogInterval is the least time between two lines about the same limit: a crowd reaches it thousands of times a second.
	limitLogInterval = time.Second

	// clientWriteTimeout limits how long a client takes nothing of its response. One that reads 2 kB a second empties a third of the send buffer,
	// which the operating system waits for, in less than half of that.
	clientWriteTimeout = time.Minute
)

// newGuard returns the limits on the clients of a forwarding host, without those on heads.
func newGuard(a *assembly, h *host.Host, m *meter.Meter) network.Guard {
	l := &limitLog{log: h.Log(), meter: m, states: map[network.Limit]*limitState{}}
	g := network.Guard{WriteTimeout: clientWriteTimeout, Limited: l.note}
	if a.settings.Memory > 0 || a.settings.Descriptors > 0 {
		g.Budget = budget.NewBudget(budget.HostLimits(a.settings.Memory, a.settings.Descriptors))
		if err := m.ObserveBudget(g.Budget); err != nil {
			h.Log().Emit(event.HostFault, event.Fields{Detail: err.Error()})
		}
	}
	return g
}

// note counts that a request was refused or a connection closed for the limit.
func (l *limitLog) note(limit network.Limit) {
	l.meter.ClientLimited(limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[limit]
	if s == nil {
		s = &limitState{}
		l.states[limit] = s
	}
	s.count++
	now := time.Now()
	if now.Sub(s.loggedAt) < limitLogInterval {
		return
	}
	number := event.ClientsExceeding
	switch limit {
	case network.LimitConnections:
		number = event.ClientsRefused
	case network.LimitMemory:
		number = event.ClientsEnded
	}
	l.log.Emit(number, event.Fields{Values: []any{"limit", limit.String(), "count", s.count}})
	s.count, s.loggedAt = 0, now
}
