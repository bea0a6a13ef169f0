// Package timing provides the bench's sleep that a context can end.
package timing

import (
	"context"
	"time"
)

// Sleep waits for a duration and returns nil, or returns the context's error as soon as the context ends. If the
// context has ended already and the duration is not positive, either result is possible.
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
