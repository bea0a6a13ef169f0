package connlimit

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/precondition"
)

// lingerTimeout is for how long the last answer on a connection may travel to the client, as in net/http's server. A
// close while unread bytes wait resets the connection, which loses what is still on its way.
const lingerTimeout = 500 * time.Millisecond

// expired is a deadline that ends a read or write at once.
var expired = time.Unix(1, 0)

// closeStage is how far this side has closed a connection. It only advances.
type closeStage int

const (
	stageOpen     closeStage = iota
	stageReadShut            // nothing is read any more; net/http's goroutine is about to close it
	stageClosed              // Close has been called; the connection may linger
)

// closeIfAllowed closes a connection if precondition.CloseConnection allows it now, and returns the reason if not.
func closeIfAllowed(netConn net.Conn, facts precondition.CloseConnection) precondition.Reason {
	if c, ok := netConn.(*clientConn); ok {
		return c.closeIfAllowed(facts)
	}
	facts.AwaitingBytes = true // nothing is known of its bytes
	reason := facts.Check()
	if reason == precondition.Allowed {
		netConn.Close()
	}
	return reason
}

// closeIfAllowed ends the reading of a connection, if that is allowed now, and returns the reason if not. The caller
// sets the facts that the connection doesn't know. What comes later is not read, and the client sends it again.
func (c *clientConn) closeIfAllowed(facts precondition.CloseConnection) precondition.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	readable, hungUp := c.pollSocket()
	facts.AwaitingBytes = c.awaitingBytes
	facts.PartialRequest = facts.PartialRequest || c.partialRequest
	facts.UnreadBytes = readable && !hungUp
	if reason := facts.Check(); reason != precondition.Allowed {
		return reason
	}
	if c.partialRequest && facts.Cause == precondition.ForDrain {
		c.rejectPartialRequest()
	}
	c.stage = max(c.stage, stageReadShut)
	c.Conn.SetReadDeadline(expired) // net/http's Read ends, and its goroutine closes the connection
	return precondition.Allowed
}

// rejectPartialRequest answers a partial request as far as that needs no wait. The request's last byte may have been
// sent in this moment. c.mu is held.
func (c *clientConn) rejectPartialRequest() {
	if c.rawConn == nil {
		return
	}
	c.rawConn.Control(func(fd uintptr) { // an error means a closed connection
		unix.Write(int(fd), []byte(rejection)) // what the socket's buffer doesn't take at once is not sent
	})
	c.lastWrite = time.Now()
}

// abortBodyRead ends the wait for the rest of a body, if a read waits for one: the request's handler then answers.
func (c *clientConn) abortBodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingBytes && c.partialRequest {
		c.Conn.SetReadDeadline(expired)
	}
}

// Close implements net.Conn. While an answer may still be on its way only the sending side is closed, and the rest
// after lingerTimeout (a lingering close, RFC 9112, section 9.6); nothing is read any more.
func (c *clientConn) Close() error {
	c.mu.Lock()
	remaining := time.Until(c.lastWrite.Add(lingerTimeout))
	active := !c.peerGone && c.stage != stageClosed
	lingers := remaining > 0 && active
	unanswered := c.answerPending && active
	c.stage, c.onClientGone = stageClosed, nil
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

// beginLingering counts one more connection that waits for its last answer to arrive, until endLingering. It returns
// false, and counts none, if there may be no more.
func (l *Limiter) beginLingering() bool {
	if l.lingering.Add(1) <= l.maxLingering.Load() {
		return true
	}
	l.lingering.Add(-1)
	return false
}

// endLingering takes a connection that has been closed from the count.
func (l *Limiter) endLingering() { l.lingering.Add(-1) }
