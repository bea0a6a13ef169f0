package connlimit

import (
	"net"
	"time"

	"rampspread/internal/precondition"
)

const (
	// evictSilentAfter is the time without a byte after which a connection may be evicted whose first request is not
	// complete. Good clients connect in order to send a request, so it is one of those that send nothing, or not all.
	evictSilentAfter = 100 * time.Millisecond
	// evictIdleAfter is the time without a request after which a connection may be evicted that has had one.
	evictIdleAfter = 2 * time.Second
)

// victim is a connection to evict.
type victim struct {
	conn           net.Conn // nil: there is none
	partialRequest bool     // its first request is not complete
}

// ensureCapacity reports whether there is capacity for one more connection, if need be once it has evicted one.
func (l *Limiter) ensureCapacity(maxConns int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < maxConns {
		return true
	}
	busy := map[net.Conn]bool{} // a request is arriving on it, or has come
	for {
		now := time.Now()
		candidate := l.selectVictim(now, busy)
		if candidate.conn == nil {
			return false
		}
		if l.evict(candidate, now) {
			return true
		}
		busy[candidate.conn] = true
	}
}

// selectVictim returns the least recently active connection: the one whose first request is not complete and that has
// sent nothing for longest, else the one without an open request for longest. l.mu is held.
func (l *Limiter) selectVictim(now time.Time, busy map[net.Conn]bool) victim {
	var silent, idle net.Conn
	silentSince, idleSince := now.Add(-evictSilentAfter), now.Add(-evictIdleAfter)
	for netConn, c := range l.conns {
		switch {
		case c.state == connHandling || busy[netConn]:
		case !c.hadRequest && lastByteAt(netConn, c.quietSince).Before(silentSince):
			// A client that slowly writes its request is not silent: its time counts from its last byte.
			silent, silentSince = netConn, lastByteAt(netConn, c.quietSince)
		case c.hadRequest && c.quietSince.Before(idleSince):
			idle, idleSince = netConn, c.quietSince
		}
	}
	if silent != nil {
		return victim{conn: silent, partialRequest: true}
	}
	return victim{conn: idle}
}

// evict closes a connection to make capacity, unless a request is arriving on it or has come, and reports whether it
// did. l.mu is held.
func (l *Limiter) evict(v victim, now time.Time) bool {
	facts := precondition.CloseConnection{
		Cause:                 precondition.ForCapacity,
		PartialRequest:        v.partialRequest,
		Idle:                  now.Sub(lastByteAt(v.conn, l.conns[v.conn].quietSince)),
		PartialRequestTimeout: evictSilentAfter,
	}
	if closeIfAllowed(v.conn, facts) != precondition.Allowed {
		l.closeDeferred.Add(1)
		return false
	}
	l.forget(v.conn)
	if v.partialRequest { // it will never be complete
		v.conn.Close()
	}
	l.evicted.Add(1)
	return true
}

// forget takes a connection out of the count: its goroutine reports the close only later. l.mu is held.
func (l *Limiter) forget(netConn net.Conn) {
	l.conns[netConn].moveTo(connEvicted)
	delete(l.conns, netConn)
}
