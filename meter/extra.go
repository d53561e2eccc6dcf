package meter

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wigeonlink/wigeonlink/dispatch"
)

// extraInstruments are the instruments for extra attempts.
type extraInstruments struct {
	attempts metric.Int64Counter
	refused  metric.Int64Counter
	wasted   metric.Float64Counter
}

func (m *extraInstruments) add(scope metric.Meter) error {
	var err error
	if m.attempts, err = scope.Int64Counter("wigeonlink.extra.attempts", metric.WithDescription("Extra attempts, by state: sent, won, lost")); err != nil {
		return eris.Wrap(err, "create the counter of extra attempts")
	}
	if m.refused, err = scope.Int64Counter("wigeonlink.extra.refused", metric.WithDescription("Slow attempts without an extra one, by cause")); err != nil {
		return eris.Wrap(err, "create the counter of refused extra attempts")
	}
	m.wasted, err = scope.Float64Counter("wigeonlink.extra.wasted", metric.WithUnit("s"), metric.WithDescription("Time for which attempts ran that were of no use because of another one"))
	return eris.Wrap(err, "create the counter of wasted time")
}

// effect counts a decision about an extra attempt, or its end.
func (m *extraInstruments) effect(ctx context.Context, f dispatch.Effect) {
	state := func(name string) metric.AddOption { return metric.WithAttributes(attribute.String("state", name)) }
	switch f.Kind {
	case dispatch.EffectExtra:
		m.attempts.Add(ctx, 1, state("sent"))
	case dispatch.EffectExtraRefused:
		m.refused.Add(ctx, 1, metric.WithAttributes(attribute.String("cause", f.Extra.Verdict.String())))
	case dispatch.EffectExtraEnded:
		if f.Extra.Won {
			m.attempts.Add(ctx, 1, state("won"))
		} else {
			m.attempts.Add(ctx, 1, state("lost"))
		}
		m.wasted.Add(ctx, f.Extra.Wasted.Seconds())
	}
}
