package connlimit

import (
	"io"
	"net"
	"time"
)

const (
	// evictionRetryInterval is the time between two searches for a connection to evict.
	evictionRetryInterval = 5 * time.Millisecond
	// capacityTimeout is for how long a new connection waits for a request to end where all connections have open ones;
	// then it is rejected.
	capacityTimeout = 20 * time.Millisecond
	// rejectionWriteTimeout bounds the write of the few bytes of a rejection, which a new connection takes at once.
	rejectionWriteTimeout = 100 * time.Millisecond
	// lingeringFraction is the part of the capacity, as its divisor, that connections may have on top that only wait
	// for their last answer to arrive.
	lingeringFraction = 8
)

// rejection is the answer to a new connection while there is no capacity.
const rejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// limitedListener goes on accepting when its capacity is used up: it evicts a connection or rejects the new one. That
// guards against clients that connect and send nothing, or send one request and keep the connection: they would lock
// all others out.
type limitedListener struct {
	net.Listener
	limiter  *Limiter
	maxConns int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err // http.Server tells errors apart by their type: the listener is closed, or broken
		}
		client := newClientConn(accepted, l.limiter)
		client.backlogWait = l.limiter.acceptListener.AcceptDelay()
		if l.waitForCapacity() {
			return client, nil
		}
		l.limiter.reject(client)
	}
}

// waitForCapacity waits until there is capacity for one more connection. It returns false if all connections have open
// requests and none ends within capacityTimeout.
func (l *limitedListener) waitForCapacity() bool {
	for waited := time.Duration(0); !l.limiter.ensureCapacity(l.maxConns); waited += evictionRetryInterval {
		if waited >= capacityTimeout && l.limiter.allHandling() {
			return false
		}
		time.Sleep(evictionRetryInterval)
	}
	return true
}

// allHandling reports whether each connection has an open request.
func (l *Limiter) allHandling() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.state != connHandling {
			return false
		}
	}
	return true
}

// reject answers and closes a connection for which there is no capacity. What comes on it is not read, so nothing of it
// has run.
func (l *Limiter) reject(c *clientConn) {
	l.rejected.Add(1)
	c.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	io.WriteString(c, rejection)
	c.Close()
}
