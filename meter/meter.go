// Package meter records the metrics of a host with OpenTelemetry and serves them in the
// Prometheus format.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/wigeonlink/wigeonlink/dispatch"
	"github.com/wigeonlink/wigeonlink/host"
	"github.com/wigeonlink/wigeonlink/relay"
)

type (
	// A Meter records the metrics of one host.
	Meter struct {
		provider         *sdk.MeterProvider
		registry         *prometheus.Registry
		effects          metric.Int64Counter
		refused          metric.Int64Counter
		attempts         metric.Int64Counter
		tokens           metric.Int64Counter
		stallTime        metric.Float64Counter
		stallPerResponse metric.Float64Histogram
		eventTime        metric.Float64Histogram
		firstByte        metric.Float64Histogram
		duration         metric.Float64Histogram
		longestGap       metric.Float64Histogram
		moves            metric.Int64Counter
		ended            metric.Int64Counter
		cut              metric.Int64Counter
		extra            extraInstruments
		limited          metric.Int64Counter
	}

	// snapshot holds the state of the reducer that the gauges show, read in one call so that
	// the values are consistent.
	snapshot struct {
		counts  dispatch.Counts
		shares  []dispatch.ShareRow
		version uint64 // of the table; 0 if there is none
	}
)

// endings holds the value of the metric attribute "ending" for each ending of an attempt.
var endings = map[relay.Ending]string{
	relay.EndComplete:   "whole",
	relay.EndFailed:     "failed",
	relay.EndSuperseded: "superseded",
	relay.EndPastEnd:    "past_end",
	relay.EndCancelled:  "stopped",
	relay.EndHandedOver: "handed_over",
}

// NewMeter returns a Meter with its own Prometheus registry. ObserveHost adds the gauges.
func NewMeter() (*Meter, error) {
	m := &Meter{registry: prometheus.NewRegistry()}
	exp, err := exporter.New(exporter.WithRegisterer(m.registry))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	m.provider = sdk.NewMeterProvider(sdk.WithReader(exp))
	scope := m.provider.Meter("wigeonlink")
	counters := []struct {
		to         *metric.Int64Counter
		name, text string
	}{
		{&m.effects, "wigeonlink.effects", "Decisions of the reducer, by kind"},
		{&m.refused, "wigeonlink.refused", "Final answers other than a result, by code"},
		{&m.attempts, "wigeonlink.attempts", "Attempts that ended, by ending"},
		{&m.tokens, "wigeonlink.tokens", "Tokens relayed to callers, by organisation"},
	}
	for _, c := range counters {
		if *c.to, err = scope.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return nil, eris.Wrap(err, c.name)
		}
	}
	m.stallTime, err = scope.Float64Counter("wigeonlink.stall.time", metric.WithUnit("s"), metric.WithDescription("Stall time that callers saw, by organisation"))
	if err != nil {
		return nil, eris.Wrap(err, "create the counter of the stall time")
	}
	if err = m.addRequestInstruments(scope); err != nil {
		return nil, err
	}
	if err = m.extra.add(scope); err != nil {
		return nil, err
	}
	m.eventTime, err = scope.Float64Histogram("wigeonlink.event.time", metric.WithUnit("s"), metric.WithDescription("Time of the event loop for an event of the reducer and its effects"),
		metric.WithExplicitBucketBoundaries(0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3))
	if err != nil {
		return nil, eris.Wrap(err, "create the histogram of the event time")
	}
	m.stallPerResponse, err = scope.Float64Histogram("wigeonlink.stall.per_answer", metric.WithUnit("s"), metric.WithDescription("Stall time of an answer"))
	return m, eris.Wrap(err, "create the histogram of the stall time")
}

// Effect counts a decision of the reducer by its kind and, if it refuses a request, the refusal by
// error code and outcome.
func (m *Meter) Effect(f dispatch.Effect) {
	ctx := context.Background()
	m.effects.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", f.Kind.String())))
	m.extra.effect(ctx, f)
	if f.Kind == dispatch.EffectRefuse {
		m.refused.Add(ctx, 1, metric.WithAttributes(attribute.String("code", f.Answer.String()), attribute.String("outcome", f.Answer.Properties().Outcome.String())))
	}
}

// AttemptEnded records the ending, the tokens and the stall time of an attempt to serve b.
func (m *Meter) AttemptEnded(b *host.Request, r relay.Result) {
	ctx := context.Background()
	organisation := metric.WithAttributes(attribute.String("organisation", b.Submit.Organisation))
	m.attempts.Add(ctx, 1, metric.WithAttributes(attribute.String("ending", endings[r.Ending])))
	m.tokens.Add(ctx, int64(r.DeliveredTokens), organisation)
	stalled := b.Progress.StallTime().Seconds()
	m.stallTime.Add(ctx, stalled, organisation)
	if !b.Submit.Plain {
		m.stallPerResponse.Record(ctx, stalled)
	}
}

// EventReduced records the time of an event of the reducer.
func (m *Meter) EventReduced(took time.Duration) {
	m.eventTime.Record(context.Background(), took.Seconds())
}

// ObserveHost registers the gauges whose values are read from h each time the metrics are
// collected.
func (m *Meter) ObserveHost(h *host.Host) error {
	scope := m.provider.Meter("wigeonlink")
	gauge, failed := gaugesOf(scope)
	promised := gauge("wigeonlink.share.promised", "Promised part of all service, by organisation")
	got := gauge("wigeonlink.share.got", "Part of all service used lately, by organisation")
	held := gauge("wigeonlink.held", "Requests held on this host, by organisation")
	inflight := gauge("wigeonlink.inflight", "Requests at targets through this host, by organisation")
	version := gauge("wigeonlink.table.version", "Version of the table in force")
	retried := gauge("wigeonlink.retried", "Attempts beyond the first")
	resumed := gauge("wigeonlink.resumed", "Fresh connections asked for because of a stall")
	readmission := gauge("wigeonlink.readmission", "Refusals of pools of mixed objectives and returns of their callers, by kind")
	reads := gauge("wigeonlink.registry.reads", "Readings of the service that publishes, by kind")
	age := gauge("wigeonlink.registry.age", "Seconds since the published state was last confirmed")
	stopInFlight := gauge("wigeonlink.stop.inflight", "Requests in flight when the host began to stop")
	stopDispatched := gauge("wigeonlink.stop.dispatched", "Requests dispatched since the host began to stop")
	if err := failed(); err != nil {
		return err
	}
	_, err := scope.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := readSnapshot(h)
		o.ObserveFloat64(version, float64(s.version))
		o.ObserveFloat64(retried, float64(s.counts.Retried))
		o.ObserveFloat64(resumed, float64(s.counts.Resumed))
		for kind, n := range map[string]int{"promised": s.counts.Promised, "returned": s.counts.Returned, "hopeless": s.counts.Hopeless} {
			o.ObserveFloat64(readmission, float64(n), metric.WithAttributes(attribute.String("kind", kind)))
		}
		stop := h.StopCounts()
		o.ObserveFloat64(stopInFlight, float64(stop.InFlight))
		o.ObserveFloat64(stopDispatched, float64(stop.Dispatched))
		if k := h.Syncer(); k != nil {
			r := k.ReadCounts()
			o.ObserveFloat64(reads, float64(r.Changes), metric.WithAttributes(attribute.String("kind", "changes")))
			o.ObserveFloat64(reads, float64(r.Full), metric.WithAttributes(attribute.String("kind", "whole")))
			o.ObserveFloat64(reads, float64(r.Failed), metric.WithAttributes(attribute.String("kind", "failed")))
			o.ObserveFloat64(age, k.Age().Seconds())
		}
		for _, row := range s.shares {
			by := metric.WithAttributes(attribute.String("organisation", row.Organisation))
			o.ObserveFloat64(promised, row.Promised, by)
			o.ObserveFloat64(got, row.Received, by)
			o.ObserveFloat64(held, float64(row.Held), by)
			o.ObserveFloat64(inflight, float64(row.Inflight), by)
		}
		return nil
	}, promised, got, held, inflight, version, retried, resumed, readmission, reads, age, stopInFlight, stopDispatched)
	if err != nil {
		return eris.Wrap(err, "gauges")
	}
	if err := observeTargets(scope, h); err != nil {
		return err
	}
	return observeDomains(scope, h)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// readSnapshot returns the current state of the reducer, or zero values if the host has stopped.
func readSnapshot(h *host.Host) snapshot {
	var s snapshot
	h.Inspect(func(r *dispatch.Reducer) {
		s.counts, s.shares = r.Counts(), r.Shares()
		if t := r.Table(); t != nil {
			s.version = t.Version
		}
	})
	return s
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Timeout: time.Second})
}

// Shutdown stops the collection of metrics. ctx limits how long it may take.
func (m *Meter) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }
