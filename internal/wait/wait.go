// Package wait waits for a time or for the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits for d, and reports false when the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
