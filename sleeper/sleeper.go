// Package sleeper provides a sleep that a context can interrupt.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the given time or until ctx is done. It reports whether the
// full time has passed.
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
