package detour

import (
	"context"
	"time"
)

type (
	// neededKey is the key of the time in contexts of WithNeeded.
	neededKey struct{}

	// otherDomainKey is the key of contexts of WithOtherDomain.
	otherDomainKey struct{}
)

// WithOtherDomain returns a context for a connection that is to be opened through a host of another failure domain if there
// is one, since the hosts of a domain may lose their connections together.
func WithOtherDomain(ctx context.Context) context.Context {
	return context.WithValue(ctx, otherDomainKey{}, true)
}

// OtherDomain reports whether ctx is one of WithOtherDomain.
func OtherDomain(ctx context.Context) bool { return ctx.Value(otherDomainKey{}) != nil }

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
