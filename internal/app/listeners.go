package app

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"rampspread/internal/connlimit"
	"rampspread/internal/hostos"
	"rampspread/internal/precondition"
)

// listeners owns the client-facing listeners, the limiter and the HTTP server of each, and the lifecycle state that
// they share. The slices grow only during the start, before any goroutine but those of the servers reads them.
type listeners struct {
	machine     hostos.System
	limits      *connlimit.Limits // what the requests of all listeners share
	bufferBytes int               // size of each socket buffer of a client's connection
	violations  *precondition.ViolationCounter
	lifecycle   connlimit.Lifecycle
	ready       atomic.Bool // whether all client listeners accept connections
	limiters    []*connlimit.Limiter
	servers     []*http.Server
	sockets     []net.Listener
}

// open starts serving handler on an address, with a bound on its connections. If the server fails later, its error is
// sent to failures.
func (l *listeners) open(addr string, handler http.Handler, maxConnections int, failures chan<- error) error {
	socket, _, err := connlimit.Listen(context.Background(), addr, l.bufferBytes)
	if err != nil {
		return err
	}
	server := &http.Server{}
	limiter := connlimit.NewLimiter(handler, l.limits, &l.lifecycle, l.violations)
	limiter.Attach(server)
	l.limiters, l.servers, l.sockets = append(l.limiters, limiter), append(l.servers, server), append(l.sockets, socket)
	limited := limiter.Listen(socket, maxConnections, l.machine)
	go func() {
		if err := server.Serve(limited); !errors.Is(err, net.ErrClosed) {
			failures <- err
		}
	}()
	return nil
}

// busy reports whether a request is being answered.
func (l *listeners) busy() bool { return slices.ContainsFunc(l.limiters, (*connlimit.Limiter).Busy) }

// closeIdle closes connections that are idle between requests, and connections without an open request that have sent
// no complete request for quietTimeout. It returns how many connections remain open.
func (l *listeners) closeIdle(quietTimeout time.Duration) (open int) {
	for _, limiter := range l.limiters {
		limiter.CloseIdle(quietTimeout)
		open += limiter.ConnectionCount()
	}
	return open
}

// closeSockets stops accepting connections.
func (l *listeners) closeSockets() error {
	var errs []error
	for _, socket := range l.sockets {
		if err := socket.Close(); err != nil {
			errs = append(errs, fmt.Errorf("shutdown: %w", err))
		}
	}
	return errors.Join(errs...)
}

// closeServers closes the servers and all connections that are still open.
func (l *listeners) closeServers() {
	for _, server := range l.servers {
		server.Close()
	}
}

// drainConnections closes the connections that an operator's drain allows to be closed by now.
func (l *listeners) drainConnections() {
	for _, limiter := range l.limiters {
		limiter.DrainConnections()
	}
}

// logOpenConnections logs the client connections that a drain has not closed yet.
func (l *listeners) logOpenConnections() {
	for _, limiter := range l.limiters {
		for _, connection := range limiter.OpenConnections() {
			slog.Info("drain_open_connection", "connection", connection)
		}
	}
}

// limiterCounts holds the sums of the limiters' counters.
type limiterCounts struct {
	malformed, rejected, evicted, stalled, drained, closeDeferred, acceptFailures int64
}

// counts returns the sums of the limiters' counters.
func (l *listeners) counts() (sum limiterCounts) {
	for _, limiter := range l.limiters {
		sum.malformed += limiter.Malformed()
		sum.rejected += limiter.Rejected()
		sum.evicted += limiter.Evicted()
		sum.stalled += limiter.Stalled()
		sum.drained += limiter.Drained()
		sum.closeDeferred += limiter.CloseDeferred()
		sum.acceptFailures += limiter.AcceptFailures()
	}
	return sum
}
