// Package pause waits for time to pass, or for a context to end.
package pause

import (
	"context"
	"time"
)

// For waits for d. It reports false if ctx ended first.
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

// Until waits until a time. It reports false if ctx ended first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, time.Until(at)) }
