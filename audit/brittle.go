package audit

import "time"

type (
	// TargetsBrittle is the beginning or the end of a time in which the targets of a pool say that they are
	// brittle.
	TargetsBrittle struct {
		Pool  string
		Count int // of the pool's targets
		Ended bool
	}

	// TargetFell is the end of a brittle target that had to refuse too many requests in a second.
	TargetFell struct{ Pool string }

	// brittleTime is a time in which the targets of a pool are brittle.
	brittleTime struct{ targets, falls int }
)

const (
	fallsAllowed     = 2   // targets that may fall in one brittle time
	fallsAllowedPart = 0.1 // of the pool's targets that may fall in addition
)

func (o TargetsBrittle) apply(a *Audit, _ time.Time) {
	if o.Ended {
		delete(a.brittle, o.Pool)
		return
	}
	a.brittle[o.Pool] = &brittleTime{targets: o.Count}
}

// apply requires that targets fall no more often than fallsAllowed and fallsAllowedPart of them. At most one violation
// is reported for each brittle time.
func (o TargetFell) apply(a *Audit, at time.Time) {
	b := a.brittle[o.Pool]
	if b == nil {
		return
	}
	before := float64(b.falls)
	b.falls++
	if allowed := fallsAllowed + fallsAllowedPart*float64(b.targets); float64(b.falls) > allowed && before <= allowed {
		a.addViolation(GuaranteeBounded, "", at, "%d targets of pool %s have fallen because they had to refuse requests; allowed %.1f", b.falls, o.Pool, allowed)
	}
}
