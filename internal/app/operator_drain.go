package app

import (
	"errors"
	"log/slog"
	"time"
)

const (
	// openConnectionsLoggedAfter is how long after the start of a drain the connections that are still open are logged.
	openConnectionsLoggedAfter = 4 * time.Second
	// idleCheckInterval is the time between looks for connections that have become idle.
	idleCheckInterval = 50 * time.Millisecond
)

// errStopping is returned for what a process that stops cannot take back.
var errStopping = errors.New("stopping: SIGTERM came")

// operatorDrain sends clients to other processes on an operator's call, or while the fleet fences this process, until
// that is taken back: GET /healthz answers 503, each answer is the last on its connection, and connections without an
// open request are closed as they become idle or quiet. It has two states, serving and draining; begin and end are the
// transitions, and safe for use by several goroutines.
type operatorDrain struct{ listeners *listeners }

func (d operatorDrain) active() bool { return d.listeners.lifecycle.Drain.Active() }

// begin starts a drain; false if one is active already.
func (d operatorDrain) begin() (begun bool) {
	now := time.Now()
	if !d.listeners.lifecycle.Drain.Begin(now) {
		return false
	}
	slog.Info("drain_on")
	go d.closeConnections(now)
	return true
}

// end takes clients again at once; false if no drain is active. Its error is errStopping: a process that stops takes
// none any more.
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

// closeConnections closes connections as they become idle or quiet, for as long as the drain is active.
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
