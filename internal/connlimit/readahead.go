package connlimit

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// A client's close reaches this side only behind all that it has sent. While the receive buffer is full, nothing tells
// whether the client is still there, and requests that it sent ahead would be sent on long after it has left. So bytes
// behind an open request are read ahead, which empties the buffer and shows the close. A client that sends more ahead
// than may be held cannot be observed, and gets no further request accepted.

const (
	// maxReadAhead limits the bytes that are held of requests which a client has sent ahead.
	maxReadAhead = 128 << 10
	// readAheadChunk is the size of one read.
	readAheadChunk = 4 << 10
	// closeProbeWait is how long an accepted request waits for net/http's read of the next byte.
	closeProbeWait = 20 * time.Millisecond
	// closeProbeInterval is the time between two checks for that read.
	closeProbeInterval = time.Millisecond
)

// readAhead reads what the client has sent ahead. It does nothing while net/http itself reads. c.mu must be held.
func (c *clientConn) readAhead() {
	if !c.pipelinedByteRead || c.onClientGone == nil || c.rawConn == nil || c.stage >= stageReadClosed {
		return
	}
	c.rawConn.Control(func(fd uintptr) { // an error means that the connection is closed
		for len(c.ahead) < maxReadAhead && c.readAheadOnce(int(fd)) {
		}
	})
}

// readAheadOnce makes one read, and reports whether there may be more bytes.
func (c *clientConn) readAheadOnce(fd int) bool {
	if free := cap(c.ahead) - len(c.ahead); free < readAheadChunk {
		size := 2*cap(c.ahead) + readAheadChunk
		if !c.aheadPayload.Grow(int64(size) - c.aheadPayload.Bytes()) {
			return false
		}
		grown := make([]byte, len(c.ahead), size)
		copy(grown, c.ahead)
		c.ahead = grown
	}
	n, err := unix.Read(fd, c.ahead[len(c.ahead):len(c.ahead)+readAheadChunk])
	if errors.Is(err, unix.EINTR) {
		return true
	}
	c.ahead = c.ahead[:len(c.ahead)+max(n, 0)]
	return n > 0
}

// takeAhead moves bytes that were read ahead to p. c.mu must be held.
func (c *clientConn) takeAhead(p []byte) int {
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.dropAhead()
	}
	return n
}

// dropAhead forgets the bytes that were read ahead, and returns their memory. c.mu must be held.
func (c *clientConn) dropAhead() {
	c.ahead = nil
	c.aheadPayload.Release()
}

// observable reports whether the client's close would be noticed now. It waits until net/http has read the first byte
// that was sent ahead, and then reads ahead what the client has sent.
func (c *clientConn) observable() bool {
	for waited := time.Duration(0); ; waited += closeProbeInterval {
		readable, hungUp := c.pollSocket()
		if !readable || hungUp {
			return true
		}
		c.mu.Lock()
		probed := c.pipelinedByteRead
		c.readAhead()
		full := len(c.ahead) >= maxReadAhead
		c.mu.Unlock()
		if full || waited >= closeProbeWait {
			return false
		}
		if !probed {
			time.Sleep(closeProbeInterval)
		}
	}
}
