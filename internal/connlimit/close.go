package connlimit

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/precondition"
)

// lingerTimeout is how long the last answer on a connection may take to reach the client, as in net/http's server.
// Closing a connection with unread bytes resets it, which discards data that is still in transit.
const lingerTimeout = 500 * time.Millisecond

// expiredDeadline is a deadline in the past, which ends a read or write at once.
var expiredDeadline = time.Unix(1, 0)

// closeStage is how far the limiter has closed a connection. It only advances.
type closeStage int

const (
	stageOpen       closeStage = iota
	stageReadClosed            // nothing more is read; net/http's goroutine is about to close the connection
	stageClosed                // Close has been called; the connection may linger
)

// closeIfAllowed closes a connection if precondition.CloseConnection allows it now. It returns Allowed, or the reason
// why the connection was not closed.
func closeIfAllowed(netConn net.Conn, facts precondition.CloseConnection) precondition.Reason {
	if c, ok := netConn.(*clientConn); ok {
		return c.closeIfAllowed(facts)
	}
	facts.AwaitingBytes = true // assumed, since only a clientConn records it
	reason := facts.Check()
	if reason == precondition.Allowed {
		netConn.Close()
	}
	return reason
}

// closeIfAllowed ends the reading of a connection if precondition.CloseConnection allows it now. It returns Allowed, or
// the reason why the reading was not ended. The caller sets the facts that clientConn cannot determine itself. Bytes
// that arrive later are not read, and the client sends them again.
func (c *clientConn) closeIfAllowed(facts precondition.CloseConnection) precondition.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	readable, hungUp := c.pollSocket()
	facts.AwaitingBytes = c.awaitingBytes
	facts.PartialRequest = facts.PartialRequest || c.partialRequest
	facts.UnreadBytes = (readable || len(c.ahead) > 0) && !hungUp
	if reason := facts.Check(); reason != precondition.Allowed {
		return reason
	}
	if c.partialRequest && facts.Cause == precondition.CauseDrain {
		c.rejectPartialRequest()
	}
	c.stage = max(c.stage, stageReadClosed)
	c.Conn.SetReadDeadline(expiredDeadline) // ends net/http's Read; its goroutine then closes the connection
	return precondition.Allowed
}

// rejectPartialRequest answers a partial request with a rejection, without waiting. The answer is needed since the
// client may be sending the request's last byte at this moment. c.mu must be held.
func (c *clientConn) rejectPartialRequest() {
	c.writeNow(rejectionResponse)
}

// writeNow writes a short answer without waiting. c.mu must be held.
func (c *clientConn) writeNow(response string) {
	if c.rawConn == nil {
		return
	}
	c.rawConn.Control(func(fd uintptr) { // an error means that the connection is closed
		unix.Write(int(fd), []byte(response)) // bytes that do not fit into the socket's buffer are not sent
	})
	c.lastWrite = time.Now()
}

// abort closes the connection at once. A write in progress fails.
func (c *clientConn) abort() {
	c.mu.Lock()
	c.clientDisconnected = true // nothing has to reach the client any more
	c.mu.Unlock()
	c.Conn.Close()
}

// abortBodyRead ends a read that is waiting for the rest of a body, if there is one. The request's handler then
// answers.
func (c *clientConn) abortBodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingBytes && c.partialRequest {
		c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// Close implements net.Conn. While an answer may still be in transit, Close closes only the sending side at once, and
// the connection itself when lingerTimeout has passed since the last write (a lingering close, RFC 9112, section 9.6).
// Nothing is read any more.
func (c *clientConn) Close() error {
	c.mu.Lock()
	remaining := time.Until(c.lastWrite.Add(lingerTimeout))
	active := !c.clientDisconnected && c.stage != stageClosed
	lingers := remaining > 0 && active
	unanswered := c.answerPending && active
	c.stage, c.onClientGone = stageClosed, nil
	c.dropAhead()
	c.mu.Unlock()
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	_, hungUp := c.pollSocket()
	if unanswered && !hungUp {
		c.limiter.violations.Record(precondition.OperationClose, precondition.RequestUnanswered, c.RemoteAddr().String())
	}
	if !lingers || hungUp || !ok || !c.limiter.beginLingering() {
		return c.Conn.Close()
	}
	if halfCloser.CloseWrite() != nil {
		c.limiter.endLingering()
		return c.Conn.Close()
	}
	time.AfterFunc(remaining, func() {
		c.Conn.Close()
		c.limiter.endLingering()
	})
	return nil
}

// beginLingering counts one more lingering connection, until endLingering is called. It returns false, without counting
// the connection, if the limit is reached.
func (l *Limiter) beginLingering() bool {
	if l.lingering.Add(1) <= l.maxLingering.Load() {
		return true
	}
	l.lingering.Add(-1)
	return false
}

// endLingering removes a closed connection from the count of lingering ones.
func (l *Limiter) endLingering() { l.lingering.Add(-1) }
