package dispatch

import (
	"time"

	"github.com/wigeonlink/wigeonlink/answer"
)

type (
	// An Effect is something that the host is to do.
	Effect struct {
		Kind     EffectKind
		ID       ID
		Target   string        // Dispatch, Cancel
		Priority int           // Dispatch
		Answer   answer.Kind   // Refuse
		Retry    time.Duration // Refuse: when to come back
		At       time.Time     // Timer
	}

	// An EffectKind tells effects apart.
	EffectKind uint8
)

// The kinds of effect.
const (
	EffectDispatch EffectKind = iota // send the request to the target
	EffectResume                     // open a fresh connection to the generation
	EffectCancel                     // cancel the generation at the target
	EffectRefuse                     // give the caller its final answer
	EffectTimer                      // send a Tick at the time
)

var effectNames = [...]string{"dispatch", "resume", "cancel", "refuse", "timer"}

// String returns the kind's name.
func (k EffectKind) String() string { return effectNames[k] }
