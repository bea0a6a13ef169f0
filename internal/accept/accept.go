// Package accept provides a listener that keeps accepting after errors. accept(2) also fails because of a single
// connection, or while file descriptors, memory or buffers are short, and net/http and gRPC stop serving on many of
// these errors. A Listener retries with exponential backoff, as net/http does for temporary errors, until the listening
// socket itself is closed or unusable.
//
// A Listener starts no goroutine. Only one goroutine may call Accept, RecordDelay and AcceptDelay; any may call Failures.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/hostos"
)

const (
	// After a failed accept, the next one waits for the backoff, which doubles with each failure up to maxBackoff.
	initialBackoff = time.Millisecond
	maxBackoff     = 50 * time.Millisecond
)

// unusableSocketErrors are the errors after which no later accept can succeed, since the listening socket itself is
// unusable.
var unusableSocketErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Listener is a net.Listener whose Accept returns an error only once it is closed or unusable.
type Listener struct {
	net.Listener
	machine  hostos.System
	socket   syscall.RawConn // the listening socket; nil if the inner listener has none
	failures atomic.Int64

	// delayedSince is when accepts began to fail or to be delayed; connections that are accepted now may have waited in
	// the backlog since then. It is zero if there was no delay, or once the backlog was empty.
	delayedSince time.Time
}

// New returns a Listener that accepts the connections of inner.
func New(inner net.Listener, machine hostos.System) *Listener {
	l := &Listener{Listener: inner, machine: machine}
	if conn, ok := inner.(syscall.Conn); ok {
		l.socket, _ = conn.SyscallConn() // fails if the listener is closed, which Accept reports
	}
	return l
}

// Failures returns the number of accepts that failed.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Accept implements net.Listener. Only one goroutine may accept at a time.
func (l *Listener) Accept() (net.Conn, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if !l.delayedSince.IsZero() && !l.hasBacklog() {
			l.delayedSince = time.Time{}
		}
		conn, err := l.acceptOnce()
		if err == nil || isPermanent(err) {
			return conn, err // not wrapped, since net/http and gRPC check the error's type
		}
		l.RecordDelay(time.Now()) // not when the accept began, which also waits while no client connects
		if l.failures.Add(1) == 1 || backoff == maxBackoff {
			slog.Warn("accept_failed", "addr", l.Addr().String(), "failures", l.failures.Load(), "backoff", backoff, "err", err)
		}
		time.Sleep(backoff)
	}
}

// RecordDelay records that the caller does something else than accept from now on. Only the goroutine that calls Accept
// may call it.
func (l *Listener) RecordDelay(now time.Time) {
	if l.delayedSince.IsZero() {
		l.delayedSince = now
	}
}

// AcceptDelay returns how long the connection that was accepted last may have waited in the backlog while accepts
// failed or were delayed. Only the goroutine that calls Accept may call it.
func (l *Listener) AcceptDelay() time.Duration {
	if l.delayedSince.IsZero() {
		return 0
	}
	return time.Since(l.delayedSince)
}

// hasBacklog reports whether a connection is waiting to be accepted. It returns false if the listener has no socket.
func (l *Listener) hasBacklog() (waiting bool) {
	if l.socket == nil {
		return false
	}
	err := l.socket.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		waiting = err != nil || n > 0 // after an error a connection may be waiting
	})
	return err == nil && waiting
}

func (l *Listener) acceptOnce() (net.Conn, error) {
	if err := l.machine.BeforeCall(hostos.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
	}
	return l.Listener.Accept()
}

// isPermanent reports whether no later accept can succeed.
func isPermanent(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, net.ErrClosed) || errors.As(err, &errno) && slices.Contains(unusableSocketErrors, errno)
}
