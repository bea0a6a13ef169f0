package connlimit

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientConn is a client's connection. It knows when its last byte came, so that a client that slowly writes a request
// is distinguished from a silent one, and how many lines began with Content-Length. It guarantees that a request that
// comes in the moment in which its connection is closed is either read, and then answered, or not read at all. Methods
// may be called from any goroutine, but for Read.
//
// The boolean fields are independent facts of the two directions and not a state: net/http reads the header of the next
// request while the connection is between requests, and a byte of it while the answer to the previous one is pending.
type clientConn struct {
	net.Conn
	rawConn        syscall.RawConn // nil where the connection is no socket
	limiter        *Limiter
	acceptedAt     time.Time
	backlogWait    time.Duration // how long it may have waited to be accepted
	lastRead       atomic.Int64  // ns from acceptedAt to the last read that brought bytes; 0: none has
	contentLengths contentLengthCounter

	mu              sync.Mutex // held while bytes are read from the socket, so that no close crosses that
	stage           closeStage
	betweenRequests bool
	awaitingBytes   bool      // net/http waits for bytes of a request: it has no unparsed ones
	partialRequest  bool      // bytes have been read of a request that is not complete
	answerPending   bool      // a request was accepted or rejected, and nothing of its answer has been written
	peerGone        bool      // the client has closed, or the connection broke: what it sent ahead is not accepted any more
	lastWrite       time.Time // zero: never
	firstRead       firstRead

	// readAhead means that a byte after the open request has been read: net/http reads no further, and misses a close.
	readAhead    bool
	onClientGone func()      // called when the client has gone while its request is open; nil: none is open
	pollTimer    *time.Timer // polls for that while readAhead; nil: it doesn't run
}

// firstRead is what the first read of a connection's socket found.
type firstRead int

const (
	notRead        firstRead = iota
	onlyEarlyBytes           // all bytes that came so far were in the socket at the first read
	lateBytes                // a read found none, so what follows came later
)

func newClientConn(netConn net.Conn, l *Limiter) *clientConn {
	c := &clientConn{Conn: netConn, limiter: l, acceptedAt: time.Now()}
	if socket, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = socket.SyscallConn() // an error means a closed connection, which shows at the first read
	}
	return c
}

// Read implements net.Conn. One goroutine reads a connection at a time.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 {
		c.lastRead.Store(max(int64(time.Since(c.acceptedAt)), 1))
		c.contentLengths.scan(p[:n])
	}
	return n, err
}

// read is the socket's Read, except that each of its system calls happens either before or after a close, and that
// nothing more is read from a connection between requests once the process is about to end.
func (c *clientConn) read(p []byte) (int, error) {
	if c.rawConn == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.beginRead(len(p))
	var n int
	var err error
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, done, err = c.readSocket(int(fd), p)
		return done
	})
	c.mu.Lock()
	c.awaitingBytes = false
	shut := c.stage >= stageReadShut
	c.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case shut:
		return 0, io.EOF
	case waitErr != nil:
		var op *net.OpError
		if errors.As(waitErr, &op) {
			op.Op = "read" // by which net/http knows it
		}
		return 0, waitErr
	case err != nil:
		syscallErr := os.NewSyscallError("read", err)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscallErr}
	}
	return 0, io.EOF
}

// isProbe reports whether a read is net/http's for the close of an open request's client, and not for bytes of a
// request: that is of a single byte.
func isProbe(size int) bool { return size == 1 }

// beginRead notes that net/http wants up to size bytes, and ends the reading if no further request is to be accepted.
func (c *clientConn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingBytes = !isProbe(size)
	if !c.betweenRequests || !c.awaitingBytes {
		return
	}
	if c.limiter.lifecycle.Closing.Load() || !c.partialRequest && c.limiter.lifecycle.Drain.Active() {
		c.stage = max(c.stage, stageReadShut)
	}
}

// readSocket reads once if nothing has ended the reading. It returns done false if it found no bytes and has to be
// called again when the socket is readable.
func (c *clientConn) readSocket(fd int, p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage >= stageReadShut {
		return 0, true, nil
	}
	for {
		if n, err = unix.Read(fd, p); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if errors.Is(err, unix.EAGAIN) {
		c.firstRead = lateBytes
		return 0, false, nil
	}
	if c.firstRead == notRead {
		c.firstRead = lateBytes
		if n > 0 {
			c.firstRead = onlyEarlyBytes
		}
	}
	c.recordRead(n, len(p))
	return n, true, err
}

// recordRead notes what a read of at most size bytes brought. While a request is open net/http reads a single byte to
// see the client's close; if one comes, it reads no further, and the socket has to be polled. c.mu is held.
func (c *clientConn) recordRead(n, size int) {
	if n <= 0 {
		c.peerGone = true
		return
	}
	c.partialRequest, c.awaitingBytes = true, false
	c.readAhead = isProbe(size)
	c.startPolling()
}

// beginRequest notes that a request's header has been read.
func (c *clientConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests = false
}

// endRequest notes that the connection is between requests.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests = true
}

// requestComplete notes that what has been read belongs to a complete request, or to none. It returns false if its
// client is known to have gone: the socket is polled, since a process that was suspended reads a close only after the
// request.
func (c *clientConn) requestComplete() bool {
	gone := c.clientGone()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partialRequest = false
	return !gone
}

// expectAnswer notes that the request is to be answered.
func (c *clientConn) expectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerPending = true
}

// hadBytesAtFirstRead reports whether all that has been read was there at the first read.
func (c *clientConn) hadBytesAtFirstRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstRead == onlyEarlyBytes
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite, c.answerPending, c.peerGone = time.Now(), false, c.peerGone || err != nil
	return n, err
}

// lastByteAt returns when a connection last received a byte after since, and since if it has not. The time is
// monotonic: a step of the wall clock makes no client that is writing a silent one.
func lastByteAt(netConn net.Conn, since time.Time) time.Time {
	c, ok := netConn.(*clientConn)
	if !ok {
		return since
	}
	elapsed := c.lastRead.Load()
	if at := c.acceptedAt.Add(time.Duration(elapsed)); elapsed != 0 && at.After(since) {
		return at
	}
	return since
}
