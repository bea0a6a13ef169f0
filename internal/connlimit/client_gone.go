package connlimit

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// clientGonePollInterval is the time between two polls of a connection whose client has pipelined requests. No attempt
// may begin later than 0.1 s after the client has gone.
const clientGonePollInterval = 25 * time.Millisecond

// notifyClientGone sets the function to call if the client goes away from now on. It replaces the previous function;
// nil sets none.
func (c *clientConn) notifyClientGone(onClientGone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClientGone = onClientGone
	c.startPolling()
}

// startPolling starts to poll for the client's close if net/http would not notice it. c.mu must be held.
func (c *clientConn) startPolling() {
	if c.pipelinedByteRead && c.onClientGone != nil && c.pollTimer == nil {
		c.pollTimer = time.AfterFunc(clientGonePollInterval, c.pollClientGone)
	}
}

// pollClientGone polls the socket once for the client's close, and schedules the next poll if it is still needed.
func (c *clientConn) pollClientGone() {
	c.mu.Lock()
	c.readAhead()
	c.mu.Unlock()
	_, hungUp := c.pollSocket()
	c.mu.Lock()
	onClientGone := c.onClientGone
	c.clientDisconnected = c.clientDisconnected || hungUp
	if onClientGone == nil || !c.pipelinedByteRead || hungUp {
		c.pollTimer = nil
	} else {
		c.pollTimer.Reset(clientGonePollInterval)
	}
	c.mu.Unlock()
	if hungUp && onClientGone != nil {
		onClientGone()
	}
}

// clientGone polls the socket and reports whether the client has closed the connection or it broke.
func (c *clientConn) clientGone() bool {
	c.mu.Lock()
	c.readAhead()
	c.mu.Unlock()
	_, hungUp := c.pollSocket()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientDisconnected = c.clientDisconnected || hungUp
	return c.clientDisconnected
}

// pollSocket polls the socket without waiting. It reports whether there are bytes to read, and whether the client has
// closed the connection or it broke, even if unread bytes precede the close.
func (c *clientConn) pollSocket() (readable, hungUp bool) {
	if c.rawConn == nil {
		return false, false
	}
	err := c.rawConn.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		for {
			_, err := unix.Poll(fds, 0)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			events := fds[0].Revents
			hungUp = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			readable = err == nil && events&unix.POLLIN != 0
			return
		}
	})
	return readable, hungUp || err != nil
}
