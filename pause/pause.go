// Package pause provides sleeps that end early when a context is done.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Until sleeps until the time at or until ctx is done. It reports whether that time was reached.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
