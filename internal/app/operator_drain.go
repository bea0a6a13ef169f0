package app

import (
	"errors"
	"log/slog"
	"time"
)

const (
	// openConnectionsLoggedAfter is the time from the start of a drain until the connections that are still open are
	// logged.
	openConnectionsLoggedAfter = 4 * time.Second
	// idleCheckInterval is the time between checks for connections that have become idle.
	idleCheckInterval = 50 * time.Millisecond
)

// errStopping is returned if the process is stopping and therefore cannot accept clients again.
var errStopping = errors.New("stopping: SIGTERM came")

// operatorDrain sends clients to other processes, on an operator's call or while the fleet fences this process. During
// a drain GET /healthz answers 503, each answer is the last on its connection, and connections without an open request
// are closed as they become idle or quiet (see connlimit.Limiter.CloseIdle). There are two states, serving and
// draining. begin and end are the transitions between them and may be called concurrently.
type operatorDrain struct{ listeners *listeners }

func (d operatorDrain) active() bool { return d.listeners.lifecycle.Drain.Active() }

// begin starts a drain. It returns false if a drain is already active.
func (d operatorDrain) begin() (begun bool) {
	now := time.Now()
	if !d.listeners.lifecycle.Drain.Begin(now) {
		return false
	}
	slog.Info("drain_on")
	go d.closeConnections(now)
	return true
}

// end ends the drain, so that clients are accepted again at once. It returns false if no drain is active, and
// errStopping if the process is stopping.
func (d operatorDrain) end() (ended bool, err error) {
	if d.listeners.lifecycle.Stopping.Load() {
		return false, errStopping
	}
	if !d.listeners.lifecycle.Drain.End() {
		return false, nil
	}
	slog.Info("drain_off")
	return true, nil
}

// closeConnections closes connections as they become idle or quiet, until the drain ends.
func (d operatorDrain) closeConnections(begun time.Time) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for logged := false; d.active(); <-tick.C {
		d.listeners.drainConnections()
		if !logged && time.Since(begun) >= openConnectionsLoggedAfter {
			logged = true
			d.listeners.logOpenConnections()
		}
	}
}
