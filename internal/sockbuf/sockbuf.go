// Package sockbuf sets the sizes of a socket's buffers, so that what the kernel holds for a connection is bounded.
package sockbuf

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Set sets the sizes of a socket's send and receive buffer in bytes; 0 leaves them to the kernel, which lets them grow
// with the connection's traffic. It has to be called before the socket connects or listens; accepted connections have the
// sizes of their listener.
func Set(socket syscall.RawConn, bytes int) error {
	if bytes <= 0 {
		return nil
	}
	var optionErr error
	controlErr := socket.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bytes); err != nil {
				optionErr = err
			}
		}
	})
	if controlErr != nil {
		return fmt.Errorf("socket buffers: %w", controlErr)
	}
	if optionErr != nil {
		return fmt.Errorf("socket buffers: %w", optionErr)
	}
	return nil
}
