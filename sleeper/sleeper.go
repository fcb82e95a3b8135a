// Package sleeper waits for a time that a context can cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits and reports whether the time passed before ctx was done.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
