// Package sleeper waits in a way that ends with a context. Every package that
// has to let time pass uses it.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d. It fails with the context's error when that ends first,
// also when d is not positive.
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
