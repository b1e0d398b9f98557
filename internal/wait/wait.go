// Package wait waits for a duration or the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if the context ended first.
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
