// Package timing has the bench's wait that a context ends.
package timing

import (
	"context"
	"time"
)

// Sleep waits for a duration, or returns the context's error once that ends. A duration that is not positive may still
// return nil when the context has ended.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
