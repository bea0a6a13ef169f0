package app

// The operators' calls that ask whether this process takes clients, and send clients away.

import (
	"log/slog"
	"time"

	"rampspread/internal/admin"
)

// drainLogged is how long after the begin of a drain the connections that are still there are logged.
const drainLogged = 4 * time.Second

// check is the operators' call that asks whether this process takes clients.
func (p *program) check() admin.Answer {
	switch {
	case p.state.Stopping.Load():
		return admin.Fail("stopping")
	case !p.ready.Load():
		return admin.Fail("starting")
	case p.state.Drain.Active():
		return admin.OK("serving, drained")
	}
	return admin.OK("serving")
}

// drainOn sends clients away: GET /healthz says no, each answer is the last on its connection, and
// connections without an open request are closed as they come to be idle or quiet.
func (p *program) drainOn() admin.Answer {
	now := time.Now()
	if !p.state.Drain.Begin(now) {
		return admin.OK("draining already")
	}
	slog.Info("drain_on")
	go p.sendAway(now)
	return admin.OK("draining")
}

// sendAway closes connections as they come to be idle or quiet, for as long as the drain lasts.
func (p *program) sendAway(begun time.Time) {
	tick := time.NewTicker(closeEvery)
	defer tick.Stop()
	for logged := false; p.state.Drain.Active(); <-tick.C {
		for _, g := range p.guards {
			g.DrainConnections()
		}
		if !logged && time.Since(begun) >= drainLogged {
			logged = true
			p.logHeld()
		}
	}
}

// logHeld logs the client connections that a drain has not ended yet.
func (p *program) logHeld() {
	for _, g := range p.guards {
		for _, h := range g.OpenConnections() {
			slog.Info("drain_holds", "connection", h)
		}
	}
}

// drainOff takes clients again at once.
func (p *program) drainOff() admin.Answer {
	if p.state.Stopping.Load() {
		return admin.Fail("stopping: SIGTERM came")
	}
	if !p.state.Drain.End() {
		return admin.OK("serving already")
	}
	slog.Info("drain_off")
	return admin.OK("serving")
}
