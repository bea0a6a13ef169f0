package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// The times of the graceful shutdown. After SIGTERM new connections still come for up to 0.4 s, and requests on open
// ones for longer.
const (
	lameDuckTime       = 500 * time.Millisecond // until idle connections are closed
	listenerCloseDelay = 400 * time.Millisecond // from then until the listeners are
	// rejectNewAfter is the time from SIGTERM on which a new request would be lost if it were unanswered as the process
	// is killed.
	rejectNewAfter = 700 * time.Millisecond
	// maxConnectionWait is how much longer connections without an open request are waited for. Open requests are waited
	// for without a bound.
	maxConnectionWait = 20 * time.Second
	// releaseTime is the time for abandoned requests to be answered and for their reservations to be released: a closed
	// connection is noticed after 10 ms, a release may have to go to a second replica after 30 ms, and what a prefill
	// has reserved shows within 120 ms.
	releaseTime = 300 * time.Millisecond
	// releaseCheckInterval is the time between looks whether releases are still in flight at the end.
	releaseCheckInterval = 5 * time.Millisecond
)

// shutDown ends the process gracefully and prints its last counters to out.
func (a *application) shutDown(out io.Writer) error {
	var writing sync.WaitGroup
	if a.options.transferDir != "" {
		writing.Go(a.writeSnapshot) // concurrently with the drain: a disk that hangs delays nothing of it
	}
	err := a.drainClients(a.settings.shutdownGrace())
	waitAtMost(&writing, maxBackgroundWait)
	fmt.Fprintln(out, a.countersLine())
	return err
}

// drainClients answers what is open and what still comes, and returns once no client is connected. New connections
// still come for a while: they are accepted, and each answer is the last on its connection. Idle connections are closed
// next, and the listeners last. The platform may kill the process once grace has passed.
func (a *application) drainClients(grace time.Duration) error {
	slog.Info("draining")
	abandon := time.AfterFunc(grace-releaseTime, a.abandonPending)
	defer abandon.Stop()
	a.listeners.lifecycle.Stopping.Store(true)
	if node := a.fleet.node.Load(); node != nil {
		go func() {
			node.Leave()
			node.Close() // a process that replaces this one has its address
		}()
	}
	time.Sleep(lameDuckTime)
	a.listeners.lifecycle.Closing.Store(true)
	rejectNew := time.AfterFunc(rejectNewAfter-lameDuckTime, func() { a.listeners.lifecycle.RejectNew.Store(true) })
	defer rejectNew.Stop()
	err := a.listeners.closeGracefully()
	a.listeners.closeServers()
	if a.stores.inFlight.HasPeers() {
		time.Sleep(releaseTime) // the last releases are still in flight, and the process that goes on cannot make them
	}
	a.awaitReleases(releaseTime)
	return err
}

// abandonPending ends what is unanswered before the platform kills this process, if another has replaced it: replicas
// count the two as one dispatcher, so what this one has reserved there would stay reserved. Without a peer process
// replicas free it by themselves.
func (a *application) abandonPending() {
	if a.stores.inFlight.HasPeers() {
		slog.Info("pending_abandoned")
		a.dispatcher.AbandonPending()
	}
}

// awaitReleases waits until all attempts have ended and replicas have taken their releases, up to a timeout: nobody
// else can release what this process has reserved.
func (a *application) awaitReleases(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for ctx.Err() == nil {
		if a.dispatcher.Counters(ctx).Open == 0 && a.dispatcher.PendingReleases()+a.upstream.PendingReleases() == 0 {
			return
		}
		time.Sleep(releaseCheckInterval)
	}
}

// closeGracefully closes the listeners once new connections have stopped coming, and connections as they become idle,
// and returns when none is open. The limiters close them, not http.Server.Shutdown: that closes connections on which a
// request is just being read, and drops one whose head has been read, without an answer.
func (l *listeners) closeGracefully() error {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	begun := time.Now()
	lastBusy := begun
	var errs []error
	for listening := true; ; <-tick.C {
		if listening && time.Since(begun) >= listenerCloseDelay {
			listening = false
			errs = append(errs, l.closeSockets())
		}
		if l.busy() {
			lastBusy = time.Now()
		}
		// The last new connection may have come just before the platform saw this process go: it gets as long.
		open := l.closeIdle(listenerCloseDelay)
		if !listening && open == 0 {
			return errors.Join(errs...)
		}
		if time.Since(lastBusy) >= listenerCloseDelay+maxConnectionWait {
			return errors.Join(append(errs, fmt.Errorf("shutdown: %d connections are still open", open))...)
		}
	}
}
