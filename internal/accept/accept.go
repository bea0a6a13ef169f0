// Package accept keeps servers accepting. accept(2) fails for the sake of one connection, or of a moment without descriptors, memory
// or buffers, and net/http and gRPC end their serving on many of these errors.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"rampspread/internal/system"
)

const (
	firstPause = time.Millisecond      // after a failure, until the next accept: doubled each time,
	mostPause  = 50 * time.Millisecond // up to this
)

// broken are the errors that say that the listening socket itself is of no use: no later accept can succeed.
var broken = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Listener is a net.Listener whose Accept returns an error only once it is closed or broken.
type Listener struct {
	net.Listener
	machine system.System
	failed  atomic.Int64
}

// New returns a Listener that accepts what l does.
func New(l net.Listener, machine system.System) *Listener {
	return &Listener{Listener: l, machine: machine}
}

// Failed is how many accepts failed.
func (l *Listener) Failed() int64 { return l.failed.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, mostPause) {
		c, err := l.once()
		if err == nil || over(err) {
			return c, err // net/http and gRPC tell errors apart by their type
		}
		if l.failed.Add(1) == 1 || pause == mostPause {
			slog.Warn("accept_failed", "addr", l.Addr().String(), "failures", l.failed.Load(), "pause", pause, "err", err)
		}
		time.Sleep(pause)
	}
}

func (l *Listener) once() (net.Conn, error) {
	if err := l.machine.Before(system.Accept); err != nil {
		return nil, &net.OpError{Op: "accept", Net: l.Addr().Network(), Addr: l.Addr(), Err: err}
	}
	return l.Listener.Accept()
}

// over tells whether no later accept can succeed.
func over(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, net.ErrClosed) || errors.As(err, &errno) && slices.Contains(broken, errno)
}
