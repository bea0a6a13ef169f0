package connlimit

import (
	"log/slog"
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
	// evictSlowAfter is the time from a request's first byte after which its connection may be evicted although the client
	// still sends: whoever needs that long holds a connection that others wait for.
	evictSlowAfter = 250 * time.Millisecond
	// neverEvict is a time after which no connection that still sends is evicted.
	neverEvict = time.Hour
)

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn           net.Conn      // nil if no connection may be evicted
	partialRequest bool          // whether a request on it is incomplete
	quietTimeout   time.Duration // time without a byte for which a partial request is kept
	reason         evictionReason
}

// evictionReason is why a connection was selected for eviction. Its value is part of log lines.
type evictionReason string

const (
	evictSilent  evictionReason = "silent_request"  // its client has stopped in the middle of a request, or sent none
	evictIdle    evictionReason = "idle"            // it has had its answer
	evictSlow    evictionReason = "slow_request"    // its client has been sending a request for long
	evictPayload evictionReason = "largest_request" // its incomplete request holds the most memory
)

// ensureCapacity reports whether there is capacity for one more connection. If necessary it evicts one; a client that
// still sends its request only if it has been sending for longer than slowAfter.
func (l *Limiter) ensureCapacity(maxConns int, slowAfter time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < maxConns {
		return true
	}
	busy := map[net.Conn]bool{} // connections that evict kept because a request is arriving or has arrived
	for {
		now := time.Now()
		candidate := l.selectEvictionCandidate(now, slowAfter, busy)
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
// there is none, it selects the idle connection with the earliest lastActivity, and if there is none either, the one
// whose client has been sending an incomplete request for longest. It skips the connections in busy. l.mu must be held.
func (l *Limiter) selectEvictionCandidate(now time.Time, slowAfter time.Duration, busy map[net.Conn]bool) evictionCandidate {
	var silent, idle, slow net.Conn
	silentSince, idleSince, slowSince := now.Add(-evictSilentAfter), now.Add(-evictIdleAfter), now.Add(-slowAfter)
	for netConn, c := range l.conns {
		switch {
		case c.state == connHandling || busy[netConn]:
		case !c.hadRequest && lastByteAt(netConn, c.lastActivity).Before(silentSince):
			// A client that writes its request slowly is not silent: the time counts from its last byte.
			silent, silentSince = netConn, lastByteAt(netConn, c.lastActivity)
		case c.hadRequest && c.state == connIdle && c.lastActivity.Before(idleSince):
			idle, idleSince = netConn, c.lastActivity
		case c.state != connIdle && c.lastActivity.Before(slowSince):
			slow, slowSince = netConn, c.lastActivity
		}
	}
	switch {
	case silent != nil:
		return evictionCandidate{conn: silent, partialRequest: true, quietTimeout: evictSilentAfter, reason: evictSilent}
	case idle != nil:
		return evictionCandidate{conn: idle, reason: evictIdle}
	}
	return evictionCandidate{conn: slow, partialRequest: true, reason: evictSlow}
}

// largestSilentPayload returns the most payload that an incomplete request holds whose client has been silent.
func (l *Limiter) largestSilentPayload() (bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if netConn := l.selectLargestPayload(time.Now()); netConn != nil {
		bytes = l.conns[netConn].payload.Bytes()
	}
	return bytes
}

// evictLargestPayload ends the incomplete request that holds the most payload and whose client has been silent.
func (l *Limiter) evictLargestPayload() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	netConn := l.selectLargestPayload(now)
	if netConn == nil {
		return false
	}
	return l.evict(evictionCandidate{conn: netConn, partialRequest: true, quietTimeout: evictSilentAfter, reason: evictPayload}, now)
}

// selectLargestPayload returns the connection to evict for its payload, or nil if there is none. l.mu must be held.
func (l *Limiter) selectLargestPayload(now time.Time) (largest net.Conn) {
	most, silentSince := int64(0), now.Add(-evictSilentAfter)
	for netConn, c := range l.conns {
		if c.state != connNew && c.state != connReceiving || !lastByteAt(netConn, c.acceptedAt).Before(silentSince) {
			continue
		}
		if held := c.payload.Bytes(); held > most {
			largest, most = netConn, held
		}
	}
	return largest
}

// evict closes a connection to make capacity, unless a request is arriving or has arrived on it, and reports whether it
// closed the connection. l.mu must be held.
func (l *Limiter) evict(candidate evictionCandidate, now time.Time) bool {
	facts := precondition.CloseConnection{
		Cause:                 precondition.CauseCapacity,
		PartialRequest:        candidate.partialRequest,
		Idle:                  now.Sub(lastByteAt(candidate.conn, l.conns[candidate.conn].lastActivity)),
		PartialRequestTimeout: candidate.quietTimeout,
	}
	if closeIfAllowed(candidate.conn, facts) != precondition.Allowed {
		l.closeDeferred.Add(1)
		return false
	}
	c := l.conns[candidate.conn]
	slog.Info("connection_evicted", "remote", candidate.conn.RemoteAddr().String(), "reason", candidate.reason,
		"quiet", facts.Idle, "age", now.Sub(c.acceptedAt), "requests", c.requestsBegun, "payload", c.payload.Bytes())
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
