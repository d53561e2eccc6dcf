package detour

import (
	"context"
	"time"
)

// neededKey is the key of the time in contexts of WithNeeded.
type neededKey struct{}

// WithNeeded returns a context for a request whose connection may be in use for the given time. A host that
// stops before that does not open it.
func WithNeeded(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, neededKey{}, d)
}

// Needed returns the time for which the connection that is being opened may be in use, or 0 if it is unknown.
// A connection to an engine for a request always has a time; one without is for copies of running streams.
func Needed(ctx context.Context) time.Duration {
	d, _ := ctx.Value(neededKey{}).(time.Duration)
	return max(d, 0)
}
