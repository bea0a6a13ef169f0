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

	"rampspread/internal/system"
)

const (
	localFirst = time.Millisecond      // after a local failure, until the next try: doubled each time,
	localMost  = 20 * time.Millisecond // up to this
)

// errLocal says that this machine kept a connection from being made: it tells nothing of the replica.
var errLocal = errors.New("no connection can be made from this machine")

var (
	// localErrors are those of connect(2) and socket(2) that have their cause on this machine: no descriptors, memory or ports.
	localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.EAGAIN, syscall.EINTR}
	// routeErrors pass too, but where they last they may be of the way to this one replica: others are better then.
	routeErrors = []syscall.Errno{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES}
)

// isOneOf tells whether an error is a system call's, of these.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// dialer makes connections to replicas. Local failures, which pass, are tried again for as long as a connection may take.
type dialer struct {
	timeout time.Duration // for one connection, with all tries
	machine system.System
	failed  *atomic.Int64 // local failures
}

func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	for pause := localFirst; ; pause = min(2*pause, localMost) {
		c, err := d.once(ctx, network, addr)
		if err == nil {
			return c, nil
		}
		local := isOneOf(err, localErrors)
		if !local && !isOneOf(err, routeErrors) {
			return nil, err
		}
		d.failed.Add(1)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if local {
				err = fmt.Errorf("%w: %w", errLocal, err)
			}
			return nil, err
		}
	}
}

func (d *dialer) once(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := d.machine.Before(system.Connect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}
