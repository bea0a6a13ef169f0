// Package connlimit limits the client connections of an HTTP server.
package connlimit

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"rampspread/internal/accept"
	"rampspread/internal/precondition"
	"rampspread/internal/system"
)

const (
	headWait   = 2 * time.Second         // for a client to send a request's head,
	bodyWait   = 2500 * time.Millisecond // and all of it: a broken one is owed an answer or a close within 3 s
	clientIdle = 20 * time.Second        // between requests on a connection, while there is room
	maxHead    = 16 << 10

	// When room is needed, a connection whose first request has not come whole gives way after this long. Good
	// clients connect in order to ask, so it is one of those that say nothing, or not all.
	silentFor = 100 * time.Millisecond
	// One that has asked before gives way after this long.
	idleFor  = 2 * time.Second
	roomWait = 5 * time.Millisecond // between looks for one to give way
	// Where all have open requests, one that comes waits so long for one to end, and is refused then.
	roomPatience = 20 * time.Millisecond
	refuseWait   = 100 * time.Millisecond // for the few bytes of a refusal, which a new connection takes at once
)

// refusal is the answer to whoever comes while there is no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Lifecycle is what the fronts of a program share of its course.
type Lifecycle struct {
	// Stopping is set on SIGTERM: each answer is the last on its connection. GET /healthz still says yes,
	// since a process that replaces this one may share its address and the front cannot tell them apart.
	Stopping atomic.Bool
	// Closing is set some time later: connections end as they come to rest, over what is not read yet, since the process may be
	// killed before it has answered that.
	Closing atomic.Bool
	// RejectNew is set when a request may no longer be answered before the process is killed: one that comes whole is refused.
	RejectNew atomic.Bool
	// Drain is the operator's: GET /healthz says no, and connections end as soon as they are idle.
	Drain Drain
}

// Limiter stands before a front's handler on its http.Server. It makes room for new connections, counts what is
// turned away before the handler, bounds the bodies that are in memory at a time, answers GET /healthz, and
// ends connections while the program drains.
type Limiter struct {
	next    http.Handler
	bodies  *semaphore.Weighted
	state   *Lifecycle
	audit   *precondition.ViolationCounter
	bad     atomic.Int64
	shed    atomic.Int64
	closed  atomic.Int64     // for room
	sent    atomic.Int64     // away, as the operator drains or the process ends
	accepts *accept.Listener // set before it serves
	kept    atomic.Int64     // for a moment, though they were to be closed: a request was coming, or had come

	lingering atomic.Int64 // connections whose last answer is on its way,
	lingers   atomic.Int64 // and how many may be at a time

	mu    sync.Mutex
	conns map[net.Conn]*conn
}

// conn is what the guard knows of a connection.
type conn struct {
	guard          *Limiter
	client         *clientConn // its raw bytes; nil where another listener accepted it
	lengths        int64       // Content-Length lines that its requests' heads are known to have had
	begun, handled int         // requests begun, and those that reached the handler
	asked          bool        // a whole request has come
	open           bool        // one is out
	idle           bool        // between requests: one has been answered, the next has not begun
	closed         bool        // it gave way
	since          time.Time   // when it came to have none, or began to send its next
	came           time.Time
	request        string              // the id of the last one that was taken,
	taken          time.Time           // and when
	kept           precondition.Reason // why the last attempt to close it did not
}

type connKey struct{}

// take settles whether a request that has come whole may be taken; from then on its connection does not give way. net/http hands over
// what a client sent ahead also when it has gone.
func take(r *http.Request) precondition.Reason {
	k, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return precondition.Allowed // no guard before this front
	}
	gone := k.client != nil && !k.client.requestComplete()
	k.guard.mu.Lock()
	defer k.guard.mu.Unlock()
	why := precondition.Accept{ClientGone: gone, Evicted: k.closed, ShuttingDown: k.guard.state.RejectNew.Load(),
		Draining: !k.guard.state.Drain.takes(time.Now())}.Check()
	refused := why == precondition.ShuttingDown || why == precondition.Draining
	k.asked, k.open = true, why == precondition.Allowed || refused
	if k.open {
		k.request, k.taken = r.Header.Get("X-Trace-Id"), time.Now()
	}
	if k.open && k.guard.state.Drain.Active() {
		slog.Info("came_while_drained", "id", k.request, "refused", refused, "remote", r.RemoteAddr, "requests", k.begun, "age", time.Since(k.came))
	}
	if k.open && k.client != nil {
		k.client.taken()
	}
	if refused {
		k.guard.shed.Add(1)
	}
	return why
}

// sentAway tells whether an operator's drain takes nothing more.
func sentAway(r *http.Request) bool {
	k, ok := r.Context().Value(connKey{}).(*conn)
	return ok && !k.guard.state.Drain.takes(time.Now())
}

// ArrivedAt is the earliest moment in which a request's last byte may have come, as far as that is known, where now is when its head was read:
// bytes that were there when a new connection was first looked at may have come when the connection did, or while accepts failed.
func ArrivedAt(r *http.Request, now time.Time) time.Time {
	k, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || k.client == nil || k.handled > 1 || !k.client.foundBytes() {
		return now
	}
	return k.client.came.Add(-k.client.waited)
}

// ClientGoneFunc returns what asks a request's connection whether its client has closed it; nil: there is no such connection to ask.
func ClientGoneFunc(r *http.Request) func() bool {
	k, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || k.client == nil {
		return nil
	}
	return k.client.clientGone
}

// NewLimiter guards next. The fronts of a program share bodies, in bytes, and state.
func NewLimiter(next http.Handler, bodies *semaphore.Weighted, state *Lifecycle, audit *precondition.ViolationCounter) *Limiter {
	return &Limiter{next: next, bodies: bodies, state: state, audit: audit, conns: map[net.Conn]*conn{}}
}

// Attach sets the server's handler, time limits and hooks.
func (g *Limiter) Attach(s *http.Server) {
	s.Handler = g
	s.ReadHeaderTimeout, s.ReadTimeout, s.IdleTimeout, s.MaxHeaderBytes = headWait, bodyWait, clientIdle, maxHead
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		now := time.Now()
		k := &conn{guard: g, since: now, came: now}
		k.client, _ = c.(*clientConn)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns[c] = k
		return context.WithValue(ctx, connKey{}, k)
	}
	s.ConnState = g.track
}

func (g *Limiter) track(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.conns[c]
	if k == nil {
		return
	}
	switch state {
	case http.StateActive:
		k.begun++
		k.idle = false
		if k.client != nil {
			k.client.setResting(false)
		}
		if k.asked {
			k.since = time.Now()
		}
	case http.StateIdle:
		if k.client != nil {
			if !k.open {
				k.client.requestComplete() // it was answered without being read whole
			}
			k.client.setResting(true)
		}
		k.open, k.idle, k.since = false, true, time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(g.conns, c)
		if k.begun > k.handled {
			g.bad.Add(1)
		}
	}
}

// Listen bounds the connections that l hands out; an accept that fails ends nothing.
func (g *Limiter) Listen(l net.Listener, most int, machine system.System) net.Listener {
	g.lingers.Store(int64(max(most/8, 1)))
	g.accepts = accept.New(l, machine)
	return &listener{g.accepts, g, most}
}

// linger counts one more connection that waits for its last answer to arrive, until its close takes it from the count; it returns
// false, and counts none, if there may be no more.
func (g *Limiter) linger() bool {
	if g.lingering.Add(1) <= g.lingers.Load() {
		return true
	}
	g.lingering.Add(-1)
	return false
}

// ConnectionCount is how many connections there are, those with it that only wait for their last answer to arrive.
func (g *Limiter) ConnectionCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) + int(g.lingering.Load())
}

// listener goes on accepting when its room is full. It guards against clients that connect and say nothing,
// or ask once and stay: they would lock all others out.
type listener struct {
	net.Listener
	guard *Limiter
	most  int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err // http.Server tells errors apart by their type: the listener is closed, or broken
		}
		client := newClientConn(c, l.guard)
		client.waited = l.guard.accepts.Waited()
		if l.hasRoom() {
			return client, nil
		}
		l.guard.refuse(client)
	}
}

// hasRoom waits until one more connection has room; false: all have open requests, and none will end at once.
func (l *listener) hasRoom() bool {
	for waited := time.Duration(0); !l.guard.makeRoom(l.most); waited += roomWait {
		if waited >= roomPatience && l.guard.allOpen() {
			return false
		}
		time.Sleep(roomWait)
	}
	return true
}

// allOpen tells whether each connection has an open request.
func (g *Limiter) allOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.conns {
		if !k.open {
			return false
		}
	}
	return true
}

// refuse answers a connection that has no room: what comes on it is not read, and nothing of it has run.
func (g *Limiter) refuse(c *clientConn) {
	g.shed.Add(1)
	c.SetWriteDeadline(time.Now().Add(refuseWait))
	io.WriteString(c, refusal)
	c.Close()
}

// makeRoom tells whether one more connection has room, once the one that is best missed is closed: the one
// whose first request has not come whole and that has sent nothing for longest, else the one without an open
// request for longest.
func (g *Limiter) makeRoom(most int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) < most {
		return true
	}
	busy := map[net.Conn]bool{} // a request is coming on it, or has come
	for {
		var silent, idle net.Conn
		now := time.Now()
		silentAt, idleAt := now.Add(-silentFor), now.Add(-idleFor)
		for c, k := range g.conns {
			switch {
			case k.open || busy[c]:
			case !k.asked && lastByte(c, k.since).Before(silentAt):
				// One that goes on writing a request slowly is not silent: what it sends counts from its last byte.
				silent, silentAt = c, lastByte(c, k.since)
			case k.asked && k.since.Before(idleAt):
				idle, idleAt = c, k.since
			}
		}
		victim, half := silent, true
		if victim == nil {
			victim, half = idle, false
		}
		if victim == nil {
			return false
		}
		facts := precondition.CloseConnection{Cause: precondition.ForCapacity, PartialRequest: half, Idle: now.Sub(lastByte(victim, g.conns[victim].since)), PartialRequestTimeout: silentFor}
		if why := closeIf(victim, facts); why != precondition.Allowed {
			g.kept.Add(1)
			busy[victim] = true
			continue
		}
		g.drop(victim)
		if half { // it is none, and never will be
			victim.Close()
		}
		g.closed.Add(1)
		return true
	}
}

// closeIf closes a connection if that may be done now, and says why not else.
func closeIf(c net.Conn, facts precondition.CloseConnection) precondition.Reason {
	if h, ok := c.(*clientConn); ok {
		return h.closeIf(facts)
	}
	facts.AwaitingBytes = true // nothing is known of its bytes
	why := facts.Check()
	if why == precondition.Allowed {
		c.Close()
	}
	return why
}

// drop takes a connection from the count: its goroutine tells of the close only later. g.mu is held.
func (g *Limiter) drop(c net.Conn) {
	g.conns[c].closed = true
	delete(g.conns, c)
}

// DrainConnections closes connections as the operator's drain wants it.
func (g *Limiter) DrainConnections() int { return g.CloseIdle(g.state.Drain.patience(time.Now())) }

// CloseIdle closes the connections that are idle between requests, and those without an open request that
// have sent nothing whole for quiet. It is how a drained front sends its clients away without cutting a request:
// what is open is finished, and its answer is the last on its connection; half a request is answered with a refusal.
// It returns how many it closed.
func (g *Limiter) CloseIdle(quiet time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	cause := precondition.ForDrain
	if g.state.Closing.Load() {
		cause = precondition.AtShutdown
	}
	n := 0
	for c, k := range g.conns {
		inHandler := !k.idle && k.begun > 0 && k.handled == k.begun
		if k.closed || !k.idle && now.Sub(k.since) < quiet {
			continue
		}
		if inHandler && !k.open && cause == precondition.ForDrain && k.client != nil {
			k.client.cutBody()
			continue
		}
		half := !k.idle && !inHandler && cause == precondition.ForDrain
		facts := precondition.CloseConnection{Cause: cause, RequestOpen: k.open || inHandler, PartialRequest: half, Idle: now.Sub(lastByte(c, k.since)), PartialRequestTimeout: quiet}
		k.kept = closeIf(c, facts)
		if k.kept != precondition.Allowed {
			if k.kept != precondition.RequestUnanswered {
				g.kept.Add(1)
			}
			continue
		}
		n++
		g.sent.Add(1)
		if half { // it is none, and never will be
			g.drop(c)
			c.Close()
			continue
		}
		k.closed = true // it is counted until its goroutine has closed it
	}
	return n
}

// Busy tells whether a request is being answered.
func (g *Limiter) Busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.conns {
		if k.open {
			return true
		}
	}
	return false
}

// Malformed is how many requests had heads that were cut short or malformed, or bodies of no use.
func (g *Limiter) Malformed() int64 { return g.bad.Load() }

// Rejected is how many requests were refused since too many bodies were in memory, there was no room for their connection, or they came too
// late before the process's end.
func (g *Limiter) Rejected() int64 { return g.shed.Load() }

// Evicted is how many connections were closed to make room.
func (g *Limiter) Evicted() int64 { return g.closed.Load() }

// AcceptFailures is how many accepts failed.
func (g *Limiter) AcceptFailures() int64 {
	if g.accepts == nil {
		return 0
	}
	return g.accepts.Failed()
}

// Drained is how many were closed as the operator drained the front or the process ended.
func (g *Limiter) Drained() int64 { return g.sent.Load() }

// CloseDeferred is how often a connection was to be closed and was not, since a request was coming on it or had come.
func (g *Limiter) CloseDeferred() int64 { return g.kept.Load() }

// ServeHTTP implements http.Handler.
func (g *Limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if k, ok := r.Context().Value(connKey{}).(*conn); ok {
		g.mu.Lock()
		k.handled++
		g.mu.Unlock()
		if k.client != nil {
			ctx, gone := context.WithCancel(r.Context())
			defer gone()
			k.client.onGone(gone)
			defer k.client.onGone(nil)
			r = r.WithContext(ctx)
		}
	}
	held := g.state.Drain.Active()
	if held || g.state.Stopping.Load() {
		w.Header().Set("Connection", "close") // the last answer on its connection
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		if held {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
		return
	}
	if status := misframed(r); status != 0 {
		g.bad.Add(1)
		w.Header().Set("Connection", "close") // what follows is not read
		http.Error(w, http.StatusText(status), status)
		return
	}
	body := &metered{ReadCloser: r.Body, bodies: g.bodies, shed: &g.shed}
	defer func() { g.bodies.Release(body.held) }()
	r.Body = body
	g.next.ServeHTTP(w, r)
}

var errTooMuch = errors.New("too much in hand")

// metered bounds what has come of all bodies together. What a head only promises takes no one's room.
type metered struct {
	io.ReadCloser
	bodies *semaphore.Weighted
	held   int64
	shed   *atomic.Int64
}

// Read implements io.Reader.
func (m *metered) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	if !m.bodies.TryAcquire(int64(n)) {
		m.shed.Add(1)
		return 0, errTooMuch
	}
	m.held += int64(n)
	return n, err
}

// misframed is the status for a request whose body is turned away unread, 0 for others. A request that says
// both how long its body is and that it comes in chunks may hide another in it (RFC 9112, 6.1). net/http drops
// the Content-Length of such a one, so it is told by the raw lines: a chunked request is taken only where each
// line on its connection that began so belongs to a request that said its length and nothing else. A request
// that a client sends ahead behind a chunked one, and a body with such a line, are turned away with it.
func misframed(r *http.Request) int {
	k, ok := r.Context().Value(connKey{}).(*conn)
	if r.ContentLength < 0 {
		if !ok || k.client == nil {
			return http.StatusLengthRequired // nobody can tell
		}
		if k.client.lengths.Load() > k.lengths {
			return http.StatusBadRequest
		}
		return 0
	}
	if ok {
		k.lengths += int64(len(r.Header["Content-Length"]))
	}
	if r.ContentLength > maxBody {
		return http.StatusRequestEntityTooLarge
	}
	return 0
}
