package meter

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
)

// gaugesOf returns a function that creates gauges, and one that returns its first error.
func gaugesOf(scope metric.Meter) (gauge func(name, text string) metric.Float64ObservableGauge, failed func() error) {
	var first error
	gauge = func(name, text string) metric.Float64ObservableGauge {
		g, err := scope.Float64ObservableGauge(name, metric.WithDescription(text))
		if err != nil && first == nil {
			first = eris.Wrap(err, name)
		}
		return g
	}
	return gauge, func() error { return first }
}

// observeTargets registers the gauges of targets and of the speeds of their pools.
func observeTargets(scope metric.Meter, h *host.Host) error {
	gauge, failed := gaugesOf(scope)
	peak := gauge("wigeonlink.target.peak", "Forecast part of a target's memory")
	open := gauge("wigeonlink.target.open", "1 if a target takes new work")
	cold := gauge("wigeonlink.target.cold", "Requests a second that a cold target gets; 0 if it is not cold")
	idle := gauge("wigeonlink.target.idle_interval", "Seconds between two tokens while an engine reads no prompt; 0 if unknown")
	uneven := gauge("wigeonlink.pool.uneven", "1 if the engines of a pool are unevenly fast, so that the choice counts late streams")
	if err := failed(); err != nil {
		return err
	}
	_, err := scope.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		var targets []dispatch.TargetRow
		var unevenPools map[string]bool
		h.Inspect(func(r *dispatch.Reducer) { targets, unevenPools = r.Targets(), r.UnevenPools() })
		for _, row := range targets {
			by := metric.WithAttributes(attribute.String("target", row.Target))
			o.ObserveFloat64(peak, row.Peak/float64(max(row.Memory, 1)), by)
			o.ObserveFloat64(open, boolValue(row.AcceptsWork), by)
			o.ObserveFloat64(cold, row.ColdRate, by)
			o.ObserveFloat64(idle, row.Idle.Seconds(), by)
		}
		for pool, is := range unevenPools {
			o.ObserveFloat64(uneven, boolValue(is), metric.WithAttributes(attribute.String("pool", pool)))
		}
		return nil
	}, peak, open, cold, idle, uneven)
	return eris.Wrap(err, "gauges of targets")
}
