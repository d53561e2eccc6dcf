// Package pause provides sleeps that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It reports false if ctx was done first.
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

// Until sleeps until the time at. It reports false if ctx was done first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
