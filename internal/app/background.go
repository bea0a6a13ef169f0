package app

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxBackgroundWait bounds how long the process waits for its own goroutines at its end, because one of them may be
// blocked by a hung disk.
const maxBackgroundWait = time.Second

// background runs the long-running goroutines of the process. They share a context that is canceled at the end of the
// process and not by SIGTERM, because requests that are still open during the graceful shutdown need these goroutines.
type background struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// init creates the shared context. It must be called before the other methods.
func (b *background) init() { b.ctx, b.cancel = context.WithCancel(context.Background()) }

// start runs f in a new goroutine. f must return when the context ends.
func (b *background) start(f func(ctx context.Context)) {
	b.running.Go(func() { f(b.ctx) })
}

// wait waits for the goroutines to return, for at most maxBackgroundWait.
func (b *background) wait() { waitAtMost(&b.running, maxBackgroundWait) }

// waitAtMost waits for goroutines to return, for at most timeout.
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
