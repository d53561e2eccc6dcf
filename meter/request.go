package meter

import (
	"context"
	"strconv"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wigeonlink/wigeonlink/budget"
	"github.com/wigeonlink/wigeonlink/gateway"
	"github.com/wigeonlink/wigeonlink/network"
)

// addRequestInstruments creates the instruments for the requests that the gateway forwards.
func (m *Meter) addRequestInstruments(scope metric.Meter) error {
	histograms := []struct {
		to         *metric.Float64Histogram
		name, text string
	}{
		{&m.firstByte, "wigeonlink.request.first", "Time until a forwarded request's first byte for its caller, by kind"},
		{&m.duration, "wigeonlink.request.whole", "Time until a forwarded request's end, by kind and status"},
		{&m.longestGap, "wigeonlink.stream.pause", "Longest pause between two events of a stream"},
	}
	var err error
	for _, h := range histograms {
		*h.to, err = scope.Float64Histogram(h.name, metric.WithUnit("s"), metric.WithDescription(h.text),
			metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.025, 0.05, 0.1, 0.18, 0.25, 0.5, 1, 2, 4, 8, 16, 32))
		if err != nil {
			return eris.Wrap(err, h.name)
		}
	}
	counters := []struct {
		to         *metric.Int64Counter
		name, text string
	}{
		{&m.moves, "wigeonlink.stream.moves", "Changes of engine of running streams"},
		{&m.ended, "wigeonlink.request.ended", "Forwarded requests that ended, by what ended them"},
		{&m.limited, "wigeonlink.client.limited", "Requests refused and connections closed for a limit on clients, by limit"},
		{&m.cut, "wigeonlink.stop.cut", "Requests that the end of a stop cut off, by phase"},
	}
	for _, c := range counters {
		if *c.to, err = scope.Int64Counter(c.name, metric.WithDescription(c.text)); err != nil {
			return eris.Wrap(err, c.name)
		}
	}
	return nil
}

// RequestsCut counts requests that the end of the host's stop has cut off. It implements gateway.Observer.
func (m *Meter) RequestsCut(phase string, count int) {
	m.cut.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("phase", phase)))
}

// ClientLimited counts a request that was refused, or a connection that was closed, for a limit on clients.
func (m *Meter) ClientLimited(l network.Limit) {
	m.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("limit", l.String())))
}

// ObserveBudget registers the gauges of what clients make the host hold.
func (m *Meter) ObserveBudget(b *budget.Budget) error {
	scope := m.provider.Meter("wigeonlink")
	memory, err := scope.Int64ObservableGauge("wigeonlink.client.memory", metric.WithUnit("By"), metric.WithDescription("Memory that clients make the host hold, by its estimate"))
	if err != nil {
		return eris.Wrap(err, "create the gauge of clients' memory")
	}
	connections, err := scope.Int64ObservableGauge("wigeonlink.client.connections", metric.WithDescription("Open connections of clients"))
	if err != nil {
		return eris.Wrap(err, "create the gauge of clients' connections")
	}
	_, err = scope.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		u := b.Usage()
		o.ObserveInt64(memory, u.Memory)
		o.ObserveInt64(connections, int64(u.Connections))
		return nil
	}, memory, connections)
	return eris.Wrap(err, "gauges of clients")
}

// RequestFinished records the durations, the number of moves and the end of a request that the gateway has
// forwarded. It implements gateway.Observer.
func (m *Meter) RequestFinished(r gateway.RequestStats) {
	ctx := context.Background()
	kind := attribute.String("kind", r.Kind)
	if r.FirstByte > 0 {
		m.firstByte.Record(ctx, r.FirstByte.Seconds(), metric.WithAttributes(kind))
	}
	m.duration.Record(ctx, r.Duration.Seconds(), metric.WithAttributes(kind,
		attribute.String("status", strconv.Itoa(r.Status)), attribute.String("code", r.Code)))
	m.ended.Add(ctx, 1, metric.WithAttributes(attribute.String("by", r.EndedBy)))
	if r.EventCount > 1 {
		m.longestGap.Record(ctx, r.LongestGap.Seconds())
	}
	if r.MoveCount > 0 {
		m.moves.Add(ctx, int64(r.MoveCount))
	}
}
