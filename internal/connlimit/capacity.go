package connlimit

import (
	"io"
	"log/slog"
	"net"
	"time"
)

const (
	// evictionRetryInterval is the time between two searches for a connection to evict.
	evictionRetryInterval = 5 * time.Millisecond
	// capacityTimeout is how long a new connection waits for capacity before it may be rejected. It is then rejected as
	// soon as no connection has an incomplete request.
	capacityTimeout = 20 * time.Millisecond
	// maxCapacityWait bounds the wait in any case. Further connections wait behind the one that waits, and their
	// requests may have little time.
	maxCapacityWait = 250 * time.Millisecond
	// rejectionWriteTimeout limits the time for writing a rejection, whose few bytes fit into the send buffer of a new
	// connection.
	rejectionWriteTimeout = 100 * time.Millisecond
	// lingeringDivisor limits the lingering connections, which do not count towards the capacity: their maximum number
	// is the capacity divided by lingeringDivisor.
	lingeringDivisor = 8
)

// rejectionResponse is the answer to a new connection for which there is no capacity, and to a partial request that a
// drain ends.
const rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// headTooLargeResponse is the answer to a request whose head has too many lines.
const headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// limitedListener continues to accept when its capacity is used up: it evicts a connection or rejects the new one.
// Otherwise clients that connect and send nothing, or send one request and keep the connection, would lock out all
// others.
type limitedListener struct {
	net.Listener
	limiter  *Limiter
	maxConns int

	// Only the goroutine that accepts uses these.
	fullSince   time.Time // since when there has been no capacity, or zero
	scarceSince time.Time // since when there was neither capacity nor a silent or idle connection, or zero
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err // not wrapped, since http.Server checks its type: the listener is closed or unusable
		}
		client := newClientConn(accepted, l.limiter)
		client.backlogWait = l.limiter.acceptListener.AcceptDelay()
		if l.waitForCapacity() {
			return client, nil
		}
		l.limiter.reject(client)
	}
}

// waitForCapacity waits until there is capacity for one more connection, and then returns true. It returns false soon if
// no connection will give way, and at once while the capacity has been used up for maxCapacityWait: all connections
// behind this one wait with it.
func (l *limitedListener) waitForCapacity() bool {
	for begun := time.Now(); ; time.Sleep(evictionRetryInterval) {
		now := time.Now()
		if l.ensureCapacity(now) {
			l.fullSince = time.Time{}
			return true
		}
		l.limiter.acceptListener.RecordDelay(now) // later connections wait in the backlog meanwhile
		if l.fullSince.IsZero() {
			l.fullSince = now
		}
		if now.Sub(begun) >= capacityTimeout && l.limiter.noneIncomplete() && !l.limiter.endStalled(now) {
			return false
		}
		if now.Sub(l.fullSince) >= maxCapacityWait {
			return false
		}
	}
}

// ensureCapacity makes capacity for one more connection. A client that sends its request slowly gives way only if no
// silent one has been found for evictSilentAfter.
func (l *limitedListener) ensureCapacity(now time.Time) bool {
	if l.limiter.ensureCapacity(l.maxConns, neverEvict) {
		l.scarceSince = time.Time{}
		return true
	}
	if l.scarceSince.IsZero() {
		l.scarceSince = now
	}
	return now.Sub(l.scarceSince) >= evictSilentAfter && l.limiter.ensureCapacity(l.maxConns, evictSlowAfter)
}

// noneIncomplete reports whether no connection has an incomplete request or none at all: then none of them will be
// evicted soon.
func (l *Limiter) noneIncomplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.state == connNew || c.state == connReceiving {
			return false
		}
	}
	return true
}

// reject answers and closes a connection for which there is no capacity. Nothing is read from it, so no request of it
// can have run.
func (l *Limiter) reject(c *clientConn) {
	l.rejected.Add(1)
	slog.Info("connection_rejected", "remote", c.RemoteAddr().String())
	c.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	io.WriteString(c, rejectionResponse)
	c.Close()
}
