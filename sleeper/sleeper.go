// Package sleeper provides a sleep that ends early when a context is done. The
// other packages use it for pauses between polls and retries.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the context's error if ctx is done before d has
// passed, or was done before the call, even if d is not positive.
func Sleep(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
