package connlimit

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// clientGonePollInterval is the time between two polls of a connection whose client has sent ahead: 0.1 s after the
// client has gone no attempt may begin for it.
const clientGonePollInterval = 25 * time.Millisecond

// notifyClientGone has the function called if the client goes away from now on, until this is called again; nil: no
// call.
func (c *clientConn) notifyClientGone(onClientGone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClientGone = onClientGone
	c.startPolling()
}

// startPolling begins to poll for the client's close where net/http would not see it. c.mu is held.
func (c *clientConn) startPolling() {
	if c.readAhead && c.onClientGone != nil && c.pollTimer == nil {
		c.pollTimer = time.AfterFunc(clientGonePollInterval, c.pollClientGone)
	}
}

// pollClientGone polls the socket once for the client's close, and again later while that is needed.
func (c *clientConn) pollClientGone() {
	_, hungUp := c.pollSocket()
	c.mu.Lock()
	onClientGone := c.onClientGone
	c.peerGone = c.peerGone || hungUp
	if onClientGone == nil || !c.readAhead || hungUp {
		c.pollTimer = nil
	} else {
		c.pollTimer.Reset(clientGonePollInterval)
	}
	c.mu.Unlock()
	if hungUp && onClientGone != nil {
		onClientGone()
	}
}

// clientGone polls the socket and reports whether the client has closed, or the connection has broken.
func (c *clientConn) clientGone() bool {
	_, hungUp := c.pollSocket()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerGone = c.peerGone || hungUp
	return c.peerGone
}

// pollSocket polls the socket for bytes to read, and for the client's close or a broken connection, whatever bytes wait
// before that.
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
