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

// These are the times of the graceful shutdown. After SIGTERM new connections still arrive for up to 0.4 s, and
// requests on open connections for longer.
const (
	lameDuckTime       = 500 * time.Millisecond // from SIGTERM until idle connections are closed
	listenerCloseDelay = 400 * time.Millisecond // from then until the listeners are closed
	// rejectNewAfter is the time from SIGTERM until new requests are rejected. A request that arrives later could still
	// be unanswered, and so be lost, when the process is killed.
	rejectNewAfter = 700 * time.Millisecond
	// maxConnectionWait bounds the further wait for connections without an open request. The wait for open requests has
	// no bound.
	maxConnectionWait = 20 * time.Second
	// releaseTime is the time in which abandoned requests are answered and their reservations are released: a closed
	// connection is noticed after 10 ms, a release may have to go to a second replica after 30 ms, and the reservation
	// of a prefill becomes visible within 120 ms.
	releaseTime = 300 * time.Millisecond
	// releaseCheckInterval is the time between checks whether releases are still in flight at the end.
	releaseCheckInterval = 5 * time.Millisecond
)

// shutDown ends the process gracefully and prints the final counters to out.
func (a *application) shutDown(out io.Writer) error {
	var writing sync.WaitGroup
	if a.options.transferDir != "" {
		writing.Go(a.writeSnapshot) // concurrent with drainClients, which a hung disk must not delay
	}
	err := a.drainClients(a.settings.shutdownGrace())
	waitAtMost(&writing, maxBackgroundWait)
	fmt.Fprintln(out, a.countersLine())
	return err
}

// drainClients answers open requests and requests that still arrive, and returns once no client is connected. It
// returns an error if connections without an open request stay open for too long; see closeGracefully. New connections
// still arrive for a while: they are accepted, and each answer is the last on its connection. Then idle connections are
// closed, and at last the listeners. The platform may kill the process once grace has passed.
func (a *application) drainClients(grace time.Duration) error {
	slog.Info("draining")
	abandon := time.AfterFunc(grace-releaseTime, a.abandonPending)
	defer abandon.Stop()
	a.listeners.lifecycle.Stopping.Store(true)
	if node := a.fleet.node.Load(); node != nil {
		go func() {
			node.Leave()
			node.Close() // a process that replaces this one needs its address
		}()
	}
	time.Sleep(lameDuckTime)
	a.listeners.lifecycle.Closing.Store(true)
	rejectNew := time.AfterFunc(rejectNewAfter-lameDuckTime, func() { a.listeners.lifecycle.RejectNew.Store(true) })
	defer rejectNew.Stop()
	err := a.listeners.closeGracefully()
	a.listeners.closeServers()
	if a.stores.inFlight.HasPeers() {
		time.Sleep(releaseTime) // the last releases are still in flight, and the peer process cannot send them
	}
	a.awaitReleases(releaseTime)
	return err
}

// abandonPending ends unanswered requests before the platform kills this process, if another process has replaced it.
// Replicas count the two processes as one dispatcher, so what this process has reserved at them would stay reserved.
// Without a peer process, replicas free the reservations by themselves.
func (a *application) abandonPending() {
	if a.stores.inFlight.HasPeers() {
		slog.Info("pending_abandoned")
		a.dispatcher.AbandonPending()
	}
}

// awaitReleases waits, for at most timeout, until all attempts have ended and replicas have received their releases. No
// other process can release what this process has reserved.
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

// closeGracefully closes the listeners once new connections have stopped arriving, and closes connections as they
// become idle. It returns when none is open, or with an error if some are still open listenerCloseDelay and
// maxConnectionWait after the last request was answered. The limiters close the connections because
// http.Server.Shutdown could lose requests: it closes connections on which a request is just being read, and drops
// without an answer a request whose head has been read.
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
		// The last new connection may have arrived just before the platform noticed the shutdown, so it is kept open as
		// long as the listeners were.
		open := l.closeIdle(listenerCloseDelay)
		if !listening && open == 0 {
			return errors.Join(errs...)
		}
		if time.Since(lastBusy) >= listenerCloseDelay+maxConnectionWait {
			return errors.Join(append(errs, fmt.Errorf("shutdown: %d connections are still open", open))...)
		}
	}
}
