// Package connlimit limits the client connections of an http.Server and ends them without losing a request.
//
// A Limiter is placed before the server's handler, listener and connection hooks. When the capacity is used up it
// evicts the least recently active connection without an open request, and rejects new connections if there is none. It
// bounds the memory of request bodies, rejects requests whose framing is ambiguous (RFC 9112, section 6.1), answers GET
// /healthz, and closes connections during an operator's drain and at the process's end. The decisions to accept a
// request and to close a connection are those of package precondition. It counts what never reaches the handler.
//
// Files: capacity.go accepts or rejects connections, evict.go selects the connection to evict, drain.go and
// close_idle.go drain, close.go closes a single connection, conn_state.go has the states of a connection, request.go
// accepts requests, clientconn.go and client_gone.go watch the raw connection.
//
// Concurrency: net/http runs one goroutine a connection, the listener's Accept runs in the server's, and drains in the
// caller's. Limiter.mu guards the table of connections, clientConn.mu one raw connection. Limiter.mu is taken first
// where both are needed. The package starts only timers.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/accept"
	"rampspread/internal/hostos"
	"rampspread/internal/precondition"
)

const (
	// headerTimeout bounds the time in which a client sends a request's header.
	headerTimeout = 2 * time.Second
	// requestTimeout bounds the time in which it sends the whole request: a broken one is owed an answer or a close
	// within 3 s.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout bounds the time between requests on a connection that is not evicted.
	idleTimeout = 20 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// Limiter limits the connections of one http.Server. See the package comment.
type Limiter struct {
	next           http.Handler
	bodyMemory     *semaphore.Weighted // in bytes
	lifecycle      *Lifecycle
	violations     *precondition.ViolationCounter
	acceptListener *accept.Listener // set before the server serves

	malformed     atomic.Int64
	rejected      atomic.Int64
	evicted       atomic.Int64
	drained       atomic.Int64
	closeDeferred atomic.Int64

	lingering    atomic.Int64 // connections that wait for their last answer to arrive,
	maxLingering atomic.Int64 // and how many may at a time

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
}

// NewLimiter returns a Limiter for next. The limiters of a process share the memory for bodies, in bytes, the lifecycle
// and the counter of violations, which may be nil.
func NewLimiter(
	next http.Handler, bodyMemory *semaphore.Weighted, lifecycle *Lifecycle, violations *precondition.ViolationCounter,
) *Limiter {
	return &Limiter{
		next:       next,
		bodyMemory: bodyMemory,
		lifecycle:  lifecycle,
		violations: violations,
		conns:      map[net.Conn]*trackedConn{},
	}
}

// Attach sets the server's handler, time limits and hooks.
func (l *Limiter) Attach(s *http.Server) {
	s.Handler = l
	s.ReadHeaderTimeout = headerTimeout
	s.ReadTimeout = requestTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	s.ConnContext = l.track
	s.ConnState = l.connStateChanged
}

// Listen bounds the connections that a listener accepts to maxConns. An accept that fails does not end the listening.
func (l *Limiter) Listen(listener net.Listener, maxConns int, machine hostos.System) net.Listener {
	l.maxLingering.Store(int64(max(maxConns/lingeringFraction, 1)))
	l.acceptListener = accept.New(listener, machine)
	return &limitedListener{Listener: l.acceptListener, limiter: l, maxConns: maxConns}
}

// track begins to count a connection. It is the server's ConnContext.
func (l *Limiter) track(ctx context.Context, netConn net.Conn) context.Context {
	now := time.Now()
	c := &trackedConn{limiter: l, quietSince: now, acceptedAt: now}
	c.client, _ = netConn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[netConn] = c
	return withTrackedConn(ctx, c)
}

// connStateChanged is the server's ConnState hook.
func (l *Limiter) connStateChanged(netConn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[netConn]
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.headerRead()
	case http.StateIdle:
		c.answered()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, netConn)
		if c.requestsBegun > c.requestsHandled {
			l.malformed.Add(1)
		}
	}
}

// ServeHTTP implements http.Handler.
func (l *Limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := trackedConnOf(r); c != nil {
		l.mu.Lock()
		c.requestsHandled++
		l.mu.Unlock()
		if c.client != nil {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			c.client.notifyClientGone(cancel)
			defer c.client.notifyClientGone(nil)
			r = r.WithContext(ctx)
		}
	}
	draining := l.lifecycle.Drain.Active()
	if draining || l.lifecycle.Stopping.Load() {
		w.Header().Set("Connection", "close") // the last answer on its connection
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		if draining {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	if status := framingError(r); status != 0 {
		l.malformed.Add(1)
		w.Header().Set("Connection", "close") // what follows is not read
		http.Error(w, http.StatusText(status), status)
		return
	}
	body := &meteredBody{ReadCloser: r.Body, memory: l.bodyMemory, rejected: &l.rejected}
	defer body.release()
	r.Body = body
	l.next.ServeHTTP(w, r)
}
