package meter

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wigeonlink/wigeonlink/host"
)

// observeDomains registers the gauges of the evacuation of each failure domain.
func observeDomains(scope metric.Meter, h *host.Host) error {
	gauge, failed := gaugesOf(scope)
	evacuated := gauge("wigeonlink.domain.evacuated", "1 if the evacuation of a failure domain is requested")
	inForce := gauge("wigeonlink.domain.in_force", "Hosts at which the evacuation of a failure domain is in force, as far as this host receives heartbeats")
	running := gauge("wigeonlink.domain.running", "Requests known to run at the targets of a failure domain")
	if err := failed(); err != nil {
		return err
	}
	_, err := scope.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, row := range h.Domains() {
			by := metric.WithAttributes(attribute.String("domain", row.Domain))
			o.ObserveFloat64(evacuated, boolValue(row.Evacuated), by)
			o.ObserveFloat64(inForce, float64(row.InForce), by)
			o.ObserveFloat64(running, row.Streams, by)
		}
		return nil
	}, evacuated, inForce, running)
	return eris.Wrap(err, "gauges of failure domains")
}
