package app

// The orderly end.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"rampspread/internal/connlimit"
)

const (
	// After SIGTERM new connections still come for up to 0.4 s, and requests on open ones for longer.
	lameDuck = 500 * time.Millisecond // until idle connections are closed
	lastCall = 400 * time.Millisecond // from then until the listener is
	// tooLate is from when on after SIGTERM a request that is unanswered as the process is killed is lost.
	tooLate    = 700 * time.Millisecond
	closeEvery = 50 * time.Millisecond // between looks for connections that have come to rest
	// shutdownFor is for how long, beyond that, connections without an open request are waited for. Open requests are always.
	shutdownFor = 20 * time.Second
	// lastWords is the time for what is given up to be answered, and what is held for it to be let go: a close is told after 10 ms, a
	// release may have to try a second replica after 30 ms, and what a read left shows within 120 ms.
	lastWords = 300 * time.Millisecond
	// releasePoll is the time between looks whether releases are still on their way at the end.
	releasePoll = 5 * time.Millisecond
	// endMost is for how long the process's own goroutines are waited for at its end: one may wait for a disk that hangs.
	endMost = time.Second
)

// waitAtMost waits for goroutines, but no longer than most.
func waitAtMost(tasks *sync.WaitGroup, most time.Duration) {
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		slog.Warn("end_not_awaited", "after", most)
	}
}

// busy tells whether a request is being answered.
func (p *program) busy() bool {
	return slices.ContainsFunc(p.guards, (*connlimit.Limiter).Busy)
}

// drain ends in good order. New connections still come for a while: they are taken, and each answer is the
// last on its connection. Idle connections close next, and the listeners last.
func (p *program) drain(grace time.Duration) error {
	slog.Info("draining")
	last := time.AfterFunc(grace-lastWords, p.giveUp)
	defer last.Stop()
	p.state.Stopping.Store(true)
	if p.fleet != nil {
		go func() {
			p.fleet.Leave()
			p.fleet.Close() // a process that replaces this one has its address
		}()
	}
	time.Sleep(lameDuck)
	p.state.Closing.Store(true)
	lateOnes := time.AfterFunc(tooLate-lameDuck, func() { p.state.RejectNew.Store(true) })
	defer lateOnes.Stop()
	err := p.closeConnections()
	for _, s := range p.servers {
		s.Close()
	}
	if p.beside.HasPeers() {
		time.Sleep(lastWords) // what was let go last is still on its way, and the process that goes on cannot let go of it
	}
	p.awaitReleases(lastWords)
	return err
}

// awaitReleases waits until all attempts have ended and replicas have taken what was let go, but no longer than most: nobody else can let
// go of it.
func (p *program) awaitReleases(most time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	for ctx.Err() == nil {
		if p.core.Counters(ctx).Open == 0 && p.core.PendingReleases()+p.pool.PendingReleases() == 0 {
			return
		}
		time.Sleep(releasePoll)
	}
}

// closeConnections closes the listeners once new connections have stopped coming, and connections as they come to rest, and returns when
// none is left. The guards close what rests, not the servers' Shutdown: that closes connections on which a request is just being read,
// and drops one whose head has been read, without an answer.
func (p *program) closeConnections() error {
	tick := time.NewTicker(closeEvery)
	defer tick.Stop()
	begun := time.Now()
	busy := begun // last
	var errs []error
	for listening := true; ; <-tick.C {
		if listening && time.Since(begun) >= lastCall {
			listening = false
			errs = append(errs, p.closeListeners())
		}
		if p.busy() {
			busy = time.Now()
		}
		open := 0
		for _, g := range p.guards {
			g.CloseIdle(lastCall) // of new connections the last may have come just before the front saw this process go
			open += g.ConnectionCount()
		}
		if !listening && open == 0 {
			return errors.Join(errs...)
		}
		if time.Since(busy) >= lastCall+shutdownFor {
			return errors.Join(append(errs, fmt.Errorf("shutdown: %d connections are still open", open))...)
		}
	}
}

func (p *program) closeListeners() error {
	var errs []error
	for _, l := range p.listens {
		if err := l.Close(); err != nil {
			errs = append(errs, fmt.Errorf("shutdown: %w", err))
		}
	}
	return errors.Join(errs...)
}
