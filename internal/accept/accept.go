// Package accept keeps servers accepting. accept(2) also fails because of a single connection, or while descriptors,
// memory or buffers are short, and net/http and gRPC stop serving on many of these errors. A Listener retries with
// exponential backoff, as net/http does for temporary errors, until the listening socket itself is closed or unusable.
//
// A Listener owns no goroutine: one goroutine calls Accept and Waited; Failed may be called from any.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"rampspread/internal/hostos"
)

const (
	// After a failure the next accept waits for the backoff, which doubles with each failure up to its maximum.
	initialBackoff = time.Millisecond
	maxBackoff     = 50 * time.Millisecond
	// maxBacklogAccept is the longest duration of an accept that found its connection waiting in the backlog.
	maxBacklogAccept = time.Millisecond
)

// unusableSocket are the errors that say that the listening socket itself is unusable: no later accept can succeed.
var unusableSocket = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Listener is a net.Listener whose Accept returns an error only once it is closed or unusable.
type Listener struct {
	net.Listener
	machine  hostos.System
	failures atomic.Int64

	// failingSince is when accepts began to fail before the connections that are accepted now; zero: they did not.
	failingSince time.Time
}

// New returns a Listener that accepts the connections of inner.
func New(inner net.Listener, machine hostos.System) *Listener {
	return &Listener{Listener: inner, machine: machine}
}

// Failures is the number of accepts that failed.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Accept implements net.Listener. Only one goroutine may accept at a time.
func (l *Listener) Accept() (net.Conn, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		started := time.Now()
		conn, err := l.acceptOnce()
		if err == nil && time.Since(started) > maxBacklogAccept {
			l.failingSince = time.Time{} // no connection was waiting
		}
		if err == nil || isPermanent(err) {
			return conn, err // not wrapped: net/http and gRPC tell errors apart by their type
		}
		if l.failingSince.IsZero() {
			l.failingSince = started
		}
		if l.failures.Add(1) == 1 || backoff == maxBackoff {
			slog.Warn("accept_failed", "addr", l.Addr().String(), "failures", l.failures.Load(), "backoff", backoff, "err", err)
		}
		time.Sleep(backoff)
	}
}

// AcceptDelay is how long the connection that was accepted last may have waited while accepts failed. Only the goroutine
// that accepts may call it.
func (l *Listener) AcceptDelay() time.Duration {
	if l.failingSince.IsZero() {
		return 0
	}
	return time.Since(l.failingSince)
}

func (l *Listener) acceptOnce() (net.Conn, error) {
	if err := l.machine.Before(hostos.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
	}
	return l.Listener.Accept()
}

// isPermanent reports whether no later accept can succeed.
func isPermanent(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, net.ErrClosed) || errors.As(err, &errno) && slices.Contains(unusableSocket, errno)
}
