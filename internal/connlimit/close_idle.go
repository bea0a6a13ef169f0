package connlimit

import (
	"net"
	"time"

	"rampspread/internal/precondition"
)

// DrainConnections closes the connections that should be closed by now in the operator's drain, and returns how many it
// closed.
func (l *Limiter) DrainConnections() int {
	return l.CloseIdle(l.lifecycle.Drain.quietTimeout(time.Now()))
}

// CloseIdle closes the connections that are idle between requests, and the quiet ones: those without an open request
// that have sent no complete request for quietTimeout. It is how a draining server closes its connections without
// losing a request: an open request is finished, and its answer is the last on its connection. A partial request is
// answered with a rejection in an operator's drain; at shutdown its connection stays open. CloseIdle returns how many
// connections it closed.
func (l *Limiter) CloseIdle(quietTimeout time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	cause := precondition.CauseDrain
	if l.lifecycle.Closing.Load() {
		cause = precondition.CauseShutdown
	}
	closed := 0
	for netConn, c := range l.conns {
		if c.state == connEvicted || c.state != connIdle && now.Sub(c.lastActivity) < quietTimeout {
			continue
		}
		facts := precondition.CloseConnection{
			Cause:                 cause,
			Idle:                  now.Sub(lastByteAt(netConn, c.lastActivity)),
			PartialRequestTimeout: quietTimeout,
		}
		if l.closeQuiet(netConn, c, facts) {
			closed++
		}
	}
	return closed
}

// closeQuiet closes a connection that is idle or quiet, unless that would lose a request, and reports whether it closed
// the connection. The caller sets the cause and the times in facts. l.mu must be held.
func (l *Limiter) closeQuiet(netConn net.Conn, c *trackedConn, facts precondition.CloseConnection) bool {
	inHandler := c.inHandler()
	if inHandler && c.state != connHandling && facts.Cause == precondition.CauseDrain && c.client != nil {
		c.client.abortBodyRead()
		return false
	}
	facts.RequestInProgress = c.state == connHandling || inHandler
	facts.PartialRequest = c.state != connIdle && !inHandler && facts.Cause == precondition.CauseDrain
	c.closeDeferred = closeIfAllowed(netConn, facts)
	if c.closeDeferred != precondition.Allowed {
		if c.closeDeferred != precondition.RequestUnanswered {
			l.closeDeferred.Add(1)
		}
		return false
	}
	l.drained.Add(1)
	if facts.PartialRequest { // closed without waiting for the rest of the request
		l.untrack(netConn)
		netConn.Close()
		return true
	}
	c.moveTo(connEvicted) // the connection is counted until its goroutine has closed it
	return true
}

// Busy reports whether a request is being answered.
func (l *Limiter) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.state == connHandling {
			return true
		}
	}
	return false
}
