package app

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxBackgroundWait is how long the process waits for its own goroutines at its end: one may wait for a disk that
// hangs.
const maxBackgroundWait = time.Second

// background is the process's long-running goroutines. They share a context that only the end of the process cancels,
// not SIGTERM: what is still open while the process drains needs them too.
type background struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// init must be called before all else.
func (b *background) init() { b.ctx, b.cancel = context.WithCancel(context.Background()) }

// start runs f in a goroutine of its own until the context ends.
func (b *background) start(f func(ctx context.Context)) {
	b.running.Go(func() { f(b.ctx) })
}

// wait waits for the goroutines to return, up to maxBackgroundWait.
func (b *background) wait() { waitAtMost(&b.running, maxBackgroundWait) }

// waitAtMost waits for goroutines, up to a timeout.
func waitAtMost(running *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		slog.Warn("shutdown_timeout", "timeout", timeout)
	}
}
