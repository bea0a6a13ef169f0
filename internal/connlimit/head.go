package connlimit

import (
	"errors"
	"log/slog"
	"net"
)

// maxHeadLines limits the lines of a request's head. net/http limits a head's bytes, but a parsed field takes many times
// the bytes of a short line.
const maxHeadLines = 64

// headFreeBytes is the size of a head that needs no payload memory: connections have room for it.
const headFreeBytes = 2 << 10

// headFactor is how many times its bytes a head of few lines takes while it is parsed and held.
const headFactor = 2

var (
	errTooManyLines = errors.New("head of too many lines")
	errHeadMemory   = errors.New("no memory for a head")
)

// checkHead counts the bytes of a head that were read. It rejects a head of too many lines, or one for which memory is
// short, and returns an error after which net/http closes the connection without a further answer. A head that follows
// another request is rejected by the next read, once that request has been answered. checkHead returns how many of the
// bytes net/http may parse.
func (c *clientConn) checkHead(p []byte) (accepted int, err error) {
	headStart := c.head.Scan(p)
	c.mu.Lock()
	betweenRequests := c.betweenRequests || c.firstHead
	c.mu.Unlock()
	switch {
	case c.head.TooManyLines() && betweenRequests && headStart == 0:
		return 0, c.rejectHead(errTooManyLines, headTooLargeResponse)
	case c.head.TooManyLines():
		c.headRejected = true
		if headStart > 0 {
			return headStart, nil
		}
		return len(p), nil
	case !betweenRequests:
		return len(p), nil
	}
	return len(p), c.reserveHead()
}

// reserveHead reserves memory for the current head. If it is short, the connection is closed as by checkHead.
func (c *clientConn) reserveHead() error {
	if !c.head.InHead() || c.head.HeadBytes() <= headFreeBytes {
		c.headReserved = 0 // endHandling releases what an earlier head has reserved
		return nil
	}
	if need := headFactor*int64(c.head.HeadBytes()) - c.headReserved; need > 0 {
		if !c.payload.Grow(need) && !(c.limiter.limits.reclaimPayload() && c.payload.Grow(need)) {
			return c.rejectHead(errHeadMemory, rejectionResponse)
		}
		c.headReserved += need
	}
	return nil
}

// rejectHead answers an incomplete request and ends the reading. net/http recognizes the error as one of reading.
func (c *clientConn) rejectHead(cause error, response string) error {
	c.limiter.rejected.Add(1)
	slog.Info("head_rejected", "remote", c.RemoteAddr().String(), "reason", cause, "bytes", c.head.HeadBytes())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeNow(response)
	c.stage = max(c.stage, stageReadClosed)
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}
