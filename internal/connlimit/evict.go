package connlimit

import (
	"net"
	"time"

	"rampspread/internal/precondition"
)

const (
	// evictSilentAfter is the time without a received byte after which a connection whose first request is incomplete
	// may be evicted. A well-behaved client connects in order to send a request, so a silent connection belongs to a
	// client that sends nothing or only a part of a request.
	evictSilentAfter = 100 * time.Millisecond
	// evictIdleAfter is the time without a request after which a connection that has had a complete request may be
	// evicted.
	evictIdleAfter = 2 * time.Second
)

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn           net.Conn // nil if no connection may be evicted
	partialRequest bool     // whether its first request is incomplete
}

// ensureCapacity reports whether there is capacity for one more connection. If necessary it evicts one.
func (l *Limiter) ensureCapacity(maxConns int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < maxConns {
		return true
	}
	busy := map[net.Conn]bool{} // connections that evict kept because a request is arriving or has arrived
	for {
		now := time.Now()
		candidate := l.selectEvictionCandidate(now, busy)
		if candidate.conn == nil {
			return false
		}
		if l.evict(candidate, now) {
			return true
		}
		busy[candidate.conn] = true
	}
}

// selectEvictionCandidate returns the connection to evict, or a candidate without a connection if none may be evicted.
// It prefers connections whose first request is incomplete, and of them the one that has sent nothing for longest. If
// there is none, it selects the connection with the earliest lastActivity. It skips the connections in busy. l.mu must
// be held.
func (l *Limiter) selectEvictionCandidate(now time.Time, busy map[net.Conn]bool) evictionCandidate {
	var silent, idle net.Conn
	silentSince, idleSince := now.Add(-evictSilentAfter), now.Add(-evictIdleAfter)
	for netConn, c := range l.conns {
		switch {
		case c.state == connHandling || busy[netConn]:
		case !c.hadRequest && lastByteAt(netConn, c.lastActivity).Before(silentSince):
			// A client that writes its request slowly is not silent: the time counts from its last byte.
			silent, silentSince = netConn, lastByteAt(netConn, c.lastActivity)
		case c.hadRequest && c.lastActivity.Before(idleSince):
			idle, idleSince = netConn, c.lastActivity
		}
	}
	if silent != nil {
		return evictionCandidate{conn: silent, partialRequest: true}
	}
	return evictionCandidate{conn: idle}
}

// evict closes a connection to make capacity, unless a request is arriving or has arrived on it, and reports whether it
// closed the connection. l.mu must be held.
func (l *Limiter) evict(candidate evictionCandidate, now time.Time) bool {
	facts := precondition.CloseConnection{
		Cause:                 precondition.CauseCapacity,
		PartialRequest:        candidate.partialRequest,
		Idle:                  now.Sub(lastByteAt(candidate.conn, l.conns[candidate.conn].lastActivity)),
		PartialRequestTimeout: evictSilentAfter,
	}
	if closeIfAllowed(candidate.conn, facts) != precondition.Allowed {
		l.closeDeferred.Add(1)
		return false
	}
	l.untrack(candidate.conn)
	if candidate.partialRequest { // closed without waiting for the rest of the request
		candidate.conn.Close()
	}
	l.evicted.Add(1)
	return true
}

// untrack removes a connection from the table at once, since net/http reports the close only later. l.mu must be held.
func (l *Limiter) untrack(netConn net.Conn) {
	l.conns[netConn].moveTo(connEvicted)
	delete(l.conns, netConn)
}
