package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"rampspread/internal/hostos"
	"rampspread/internal/sockbuf"
)

// After a failure on this machine or its routes the dialer waits for minDialBackoff, then for twice as long each time,
// up to maxDialBackoff.
const (
	minDialBackoff = time.Millisecond
	maxDialBackoff = 20 * time.Millisecond
)

// errLocalFailure is the error of a connection that this machine could not make. It says nothing about the replica.
var errLocalFailure = errors.New("no connection can be made from this machine")

var (
	// localErrnos are errors of connect(2) and socket(2) whose cause is on this machine, such as a lack of descriptors,
	// memory or ports.
	localErrnos = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR,
	}
	// routeErrnos are temporary too, but if they persist the cause may be the route to this one replica, and another
	// replica should be tried. They are therefore not reported as errLocalFailure.
	routeErrnos = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES}
)

// wrapsErrno reports whether an error wraps one of the given system call errors.
func wrapsErrno(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// dialer makes connections to replicas. After failures on this machine or its routes, which are temporary, it retries
// until its timeout.
type dialer struct {
	timeout       time.Duration // limit for one connection, including all retries
	machine       hostos.System
	localFailures *atomic.Int64
	bufferBytes   int // size of each socket buffer, or 0
}

// dial makes a connection. The error wraps errLocalFailure if the last failure before the timeout was one of
// localErrnos.
func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	for backoff := minDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		conn, err := d.dialOnce(ctx, network, addr)
		if err == nil {
			return conn, nil
		}
		local := wrapsErrno(err, localErrnos)
		if !local && !wrapsErrno(err, routeErrnos) {
			return nil, err
		}
		d.localFailures.Add(1)
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if local {
				err = fmt.Errorf("%w: %w", errLocalFailure, err)
			}
			return nil, err
		}
	}
}

func (d *dialer) dialOnce(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := d.machine.BeforeCall(hostos.Connect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	socketDialer := net.Dialer{Control: func(_, _ string, socket syscall.RawConn) error {
		return sockbuf.Set(socket, d.bufferBytes)
	}}
	return socketDialer.DialContext(ctx, network, addr)
}
