package connlimit

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen opens a client address so that a second process of the same program can listen on it beside this
// one (SO_REUSEPORT), as the platform does when it replaces a process: the kernel spreads new connections
// over both until one closes. Where the options are refused, as on platforms that filter system calls, the
// address is opened alone and shared says so.
func Listen(ctx context.Context, addr string) (l net.Listener, shared bool, err error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var opt error
		if err := c.Control(func(fd uintptr) {
			if opt = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); opt == nil {
				opt = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			}
		}); err != nil {
			opt = err
		}
		if opt != nil {
			slog.Warn("listen_alone", "addr", addr, "err", opt)
		}
		shared = opt == nil
		return nil
	}}
	l, err = lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, false, fmt.Errorf("listen: %w", err)
	}
	return l, shared, nil
}
