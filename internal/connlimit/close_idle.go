package connlimit

import (
	"net"
	"time"

	"rampspread/internal/precondition"
)

// DrainConnections closes the connections that the operator's drain wants closed by now, and returns how many those
// are.
func (l *Limiter) DrainConnections() int {
	return l.CloseIdle(l.lifecycle.Drain.quietTimeout(time.Now()))
}

// CloseIdle closes the connections that are idle between requests, and those without an open request that have sent no
// complete request for the quiet timeout. It sends the clients of a draining server away without losing a request: an
// open request is finished, and its answer is the last on its connection; a partial request is answered with a
// rejection. It returns how many connections it closed.
func (l *Limiter) CloseIdle(quietTimeout time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	cause := precondition.ForDrain
	if l.lifecycle.Closing.Load() {
		cause = precondition.AtShutdown
	}
	closed := 0
	for netConn, c := range l.conns {
		if c.state == connEvicted || c.state != connIdle && now.Sub(c.quietSince) < quietTimeout {
			continue
		}
		facts := precondition.CloseConnection{
			Cause:                 cause,
			Idle:                  now.Sub(lastByteAt(netConn, c.quietSince)),
			PartialRequestTimeout: quietTimeout,
		}
		if l.closeQuiet(netConn, c, facts) {
			closed++
		}
	}
	return closed
}

// closeQuiet closes a connection that is idle or quiet, unless that would lose a request, and reports whether it did.
// The caller has set the facts' cause and times. l.mu is held.
func (l *Limiter) closeQuiet(netConn net.Conn, c *trackedConn, facts precondition.CloseConnection) bool {
	inHandler := c.inHandler()
	if inHandler && c.state != connHandling && facts.Cause == precondition.ForDrain && c.client != nil {
		c.client.abortBodyRead()
		return false
	}
	facts.RequestInProgress = c.state == connHandling || inHandler
	facts.PartialRequest = c.state != connIdle && !inHandler && facts.Cause == precondition.ForDrain
	c.closeDeferred = closeIfAllowed(netConn, facts)
	if c.closeDeferred != precondition.Allowed {
		if c.closeDeferred != precondition.RequestUnanswered {
			l.closeDeferred.Add(1)
		}
		return false
	}
	l.drained.Add(1)
	if facts.PartialRequest { // it will never be complete
		l.forget(netConn)
		netConn.Close()
		return true
	}
	c.moveTo(connEvicted) // it is counted until its goroutine has closed it
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
