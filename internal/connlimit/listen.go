package connlimit

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"rampspread/internal/sockbuf"
)

// Listen listens on a TCP address in such a way that a second process of the same program can listen on it as well
// (SO_REUSEPORT), which the platform uses to replace a process: the kernel distributes new connections over both
// processes until one closes its listener. If the socket options are refused, as on platforms that filter system calls,
// Listen opens the address for this process alone and returns shared as false.
//
// bufferBytes is the size of the send and the receive buffer of each accepted connection, or 0 for buffers that the
// kernel lets grow.
func Listen(ctx context.Context, addr string, bufferBytes int) (listener net.Listener, shared bool, err error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		if err := sockbuf.Set(socket, bufferBytes); err != nil {
			slog.Warn("socket_buffers_not_set", "addr", addr, "err", err)
		}
		err := setAddressReuse(socket)
		if err != nil {
			slog.Warn("listen_alone", "addr", addr, "err", err)
		}
		shared = err == nil
		return nil
	}}
	listener, err = config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, false, fmt.Errorf("listen: %w", err)
	}
	return listener, shared, nil
}

// setAddressReuse sets the socket options that allow several processes to listen on one address.
func setAddressReuse(socket syscall.RawConn) error {
	var optionErr error
	controlErr := socket.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
		if optionErr == nil {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}
