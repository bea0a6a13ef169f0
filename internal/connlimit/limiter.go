// Package connlimit limits the client connections of an http.Server and closes them without losing a request.
//
// A Limiter wraps the server's handler and listener and sets the server's connection hooks. When the capacity is used
// up, it evicts a connection without an open request, or rejects a new connection while all others have open requests.
// It limits the memory of heads, bodies and bytes sent ahead, the number of open requests, the rate of each connection
// and the answers that nobody reads; rejects requests whose framing is ambiguous (RFC 9112, section 6.1); answers
// GET /healthz; and closes connections during an operator's drain and at shutdown. Package precondition decides whether
// a request may be accepted and whether a connection may be closed. The Limiter counts the requests and connections
// that never reach the handler.
//
// Files: capacity.go accepts or rejects connections, evict.go selects the connection to evict, drain.go and
// close_idle.go implement the drain, close.go closes a single connection, conn_state.go has the states of a connection,
// request.go accepts requests, head.go and body.go count what they hold, pace.go limits a connection's rate, stalled.go
// ends answers that nobody reads, clientconn.go and client_gone.go monitor the raw connection.
//
// Concurrency: net/http runs one goroutine per connection, the listener's Accept runs on the server's goroutine, and
// drains run on the caller's. Limiter.mu guards the table of connections, and clientConn.mu one raw connection; where
// both are needed, Limiter.mu is locked first. The package starts no goroutines except through timers.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rampspread/internal/accept"
	"rampspread/internal/hostos"
	"rampspread/internal/precondition"
)

const (
	// headerTimeout limits the time that a client takes to send a request's header.
	headerTimeout = 2 * time.Second
	// requestTimeout limits the time that a client takes to send a complete request. A broken request must be answered,
	// or its connection closed, within 3 s.
	requestTimeout = 2500 * time.Millisecond
	// idleTimeout limits the time between requests on a connection that is not evicted.
	idleTimeout = 20 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
)

// Limiter limits the connections of one http.Server. See the package comment.
type Limiter struct {
	next           http.Handler
	limits         *Limits
	lifecycle      *Lifecycle
	violations     *precondition.ViolationCounter
	acceptListener *accept.Listener // set by Listen, before the server serves

	malformed     atomic.Int64
	rejected      atomic.Int64
	evicted       atomic.Int64
	stalled       atomic.Int64
	drained       atomic.Int64
	closeDeferred atomic.Int64

	watchingWrites atomic.Bool // whether checkStalled is scheduled

	lingering    atomic.Int64 // number of closed connections whose last answer may still be in transit
	maxLingering atomic.Int64 // limit of lingering

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
}

// NewLimiter returns a Limiter that passes requests to next. The limiters of a process share the limits, the lifecycle
// and the counter of violations; violations may be nil.
func NewLimiter(
	next http.Handler, limits *Limits, lifecycle *Lifecycle, violations *precondition.ViolationCounter,
) *Limiter {
	l := &Limiter{
		next:       next,
		limits:     limits,
		lifecycle:  lifecycle,
		violations: violations,
		conns:      map[net.Conn]*trackedConn{},
	}
	limits.limiters = append(limits.limiters, l)
	return l
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

// Listen returns a listener that accepts the connections of the given one and limits their number to maxConns. A failed
// accept does not stop it.
func (l *Limiter) Listen(listener net.Listener, maxConns int, machine hostos.System) net.Listener {
	l.maxLingering.Store(int64(max(maxConns/lingeringDivisor, 1)))
	l.acceptListener = accept.New(listener, machine)
	return &limitedListener{Listener: l.acceptListener, limiter: l, maxConns: maxConns}
}

// track adds a connection to the table. It is the server's ConnContext hook.
func (l *Limiter) track(ctx context.Context, netConn net.Conn) context.Context {
	now := time.Now()
	c := &trackedConn{limiter: l, lastActivity: now, acceptedAt: now}
	if c.client, _ = netConn.(*clientConn); c.client != nil {
		c.payload = c.client.payload
	} else {
		c.payload = l.limits.payload.Reservation()
	}
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
		c.recordHeaderRead()
	case http.StateIdle:
		c.recordAnswered()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, netConn)
		c.payload.Release()
		if c.requestsBegun > c.requestsHandled {
			l.malformed.Add(1)
		}
	}
}

// isHealthCheck reports whether a request is the load balancer's health check.
func isHealthCheck(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/healthz"
}

// ServeHTTP implements http.Handler.
func (l *Limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := trackedConnOf(r); c != nil {
		c.beginHandling()
		defer c.endHandling()
		if c.client != nil {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			c.client.notifyClientGone(cancel)
			defer c.client.notifyClientGone(nil)
			r = r.WithContext(ctx)
		}
		if !isHealthCheck(r) {
			l.awaitTurn(r.Context(), c)
		}
	}
	draining := l.lifecycle.Drain.Active()
	if draining || l.lifecycle.Stopping.Load() {
		w.Header().Set("Connection", "close") // net/http closes the connection after this answer
	}
	if isHealthCheck(r) {
		if draining {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	if status := framingError(r); status != 0 {
		l.malformed.Add(1)
		w.Header().Set("Connection", "close") // the bytes after the header are not read
		http.Error(w, http.StatusText(status), status)
		return
	}
	l.next.ServeHTTP(w, r)
}
