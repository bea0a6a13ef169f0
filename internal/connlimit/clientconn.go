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

	"rampspread/internal/framing"
	"rampspread/internal/memory"
)

// clientConn is a client's raw connection. It records when the last byte was received, which distinguishes a client
// that writes a request slowly from a silent one, and how many received lines began with Content-Length. It guarantees
// that a request that arrives while its connection is being closed is either read and answered, or not read at all. All
// methods except Read may be called from any goroutine.
//
// The boolean fields describe reading and writing independently of each other rather than one state: net/http reads the
// header of the next request while the connection is between requests, and may read one byte of it while the answer to
// the previous request is pending.
type clientConn struct {
	net.Conn
	rawConn        syscall.RawConn // nil if the connection is not a socket
	limiter        *Limiter
	acceptedAt     time.Time
	backlogWait    time.Duration // how long the connection may have waited to be accepted
	lastRead       atomic.Int64  // ns from acceptedAt to the last read that returned bytes, or 0 if none has
	contentLengths contentLengthCounter
	head           framing.Scanner
	payload        *memory.Reservation // heads and bodies of its requests
	headReserved   int64               // part of payload for the current head; only Read uses it
	headRejected   bool                // the next request has too long a head; only Read uses it
	writingSince   atomic.Int64        // ns from acceptedAt to the begin of the write in progress, or 0

	// mu is held during each read system call, so that no close happens in the middle of one.
	mu                 sync.Mutex
	stage              closeStage
	betweenRequests    bool      // the last request was answered, and the next one's header has not been read
	firstHead          bool      // the first request's header has not been read
	awaitingBytes      bool      // net/http is waiting for bytes of a request, and has parsed all earlier bytes
	partialRequest     bool      // bytes of an incomplete request have been read
	answerPending      bool      // a request was accepted or rejected, and no byte of its answer has been written
	clientDisconnected bool      // the client closed the connection or it broke: no pipelined request is accepted any more
	lastWrite          time.Time // zero if nothing was written
	firstRead          firstRead

	// pipelinedByteRead is set when a byte after the open request has been read. net/http then reads no further and
	// does not notice when the client closes the connection.
	pipelinedByteRead bool
	ahead             []byte              // bytes that were read ahead and not passed on yet
	aheadPayload      *memory.Reservation // memory of ahead
	onClientGone      func()              // called if the client goes away during its request, or nil while no request is open
	pollTimer         *time.Timer         // polls for the client's close while pipelinedByteRead, or nil while not running
}

// firstRead is the result of the first read of a connection's socket.
type firstRead int

const (
	firstReadPending     firstRead = iota
	firstReadGotAll                // all bytes read so far were in the socket at the first read
	firstReadMissedBytes           // a read found no bytes, so the following bytes arrived later
)

func newClientConn(netConn net.Conn, l *Limiter) *clientConn {
	c := &clientConn{Conn: netConn, limiter: l, acceptedAt: time.Now(), firstHead: true,
		head: framing.Scanner{MaxLines: maxHeadLines}, payload: l.limits.payload.Reservation(),
		aheadPayload: l.limits.sentAhead.Reservation()}
	if socket, ok := netConn.(syscall.Conn); ok {
		c.rawConn, _ = socket.SyscallConn() // an error means that the connection is closed, which the first read reports
	}
	return c
}

// Read implements net.Conn. Only one goroutine at a time may call it.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.headRejected && !isCloseProbe(len(p)) {
		return 0, c.rejectHead(errTooManyLines, headTooLargeResponse)
	}
	n, err := c.read(p)
	if n > 0 {
		c.lastRead.Store(max(int64(time.Since(c.acceptedAt)), 1))
		c.contentLengths.scan(p[:n])
		accepted, headErr := c.checkHead(p[:n])
		if headErr != nil {
			return 0, headErr
		}
		n = accepted
	}
	return n, err
}

// read reads from the socket. Unlike the socket's own Read, it makes each system call either before or after a close,
// and begins to read no further request once Lifecycle.Closing is set or a drain is active.
func (c *clientConn) read(p []byte) (int, error) {
	if c.rawConn == nil || len(p) == 0 {
		return c.Conn.Read(p)
	}
	c.beginRead(len(p))
	c.mu.Lock()
	n := 0
	if c.stage < stageReadClosed && len(c.ahead) > 0 {
		n = c.takeAhead(p)
		c.recordRead(n, len(p))
	}
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	var err error
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, done, err = c.readSocket(int(fd), p)
		return done
	})
	c.mu.Lock()
	c.awaitingBytes = false
	readClosed := c.stage >= stageReadClosed
	c.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case readClosed:
		return 0, io.EOF
	case waitErr != nil:
		var op *net.OpError
		if errors.As(waitErr, &op) {
			op.Op = "read" // net/http recognizes read errors by this Op
		}
		return 0, waitErr
	case err != nil:
		syscallErr := os.NewSyscallError("read", err)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscallErr}
	}
	return 0, io.EOF
}

// isCloseProbe reports whether a read of the given size is the one with which net/http detects that the client closes
// the connection during its request. That read is for a single byte; reads for bytes of a request are larger.
func isCloseProbe(size int) bool { return size == 1 }

// beginRead records that net/http is about to read up to size bytes. It ends the reading if no further request may be
// accepted on the connection.
func (c *clientConn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingBytes = !isCloseProbe(size)
	if !c.betweenRequests || !c.awaitingBytes {
		return
	}
	if c.limiter.lifecycle.Closing.Load() || !c.partialRequest && c.limiter.lifecycle.Drain.Active() {
		c.stage = max(c.stage, stageReadClosed)
	}
}

// readSocket makes one read system call unless the reading has been ended. It returns done as false if there were no
// bytes, and must then be called again when the socket is readable.
func (c *clientConn) readSocket(fd int, p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage >= stageReadClosed {
		return 0, true, nil
	}
	for {
		if n, err = unix.Read(fd, p); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	if errors.Is(err, unix.EAGAIN) {
		c.firstRead = firstReadMissedBytes
		return 0, false, nil
	}
	if c.firstRead == firstReadPending {
		c.firstRead = firstReadMissedBytes
		if n > 0 {
			c.firstRead = firstReadGotAll
			c.recordDataAge(fd)
		}
	}
	c.recordRead(n, len(p))
	return n, true, err
}

// dataAgeSlack is how much longer the bytes of a socket may have waited than the kernel's clock, which ticks every few
// milliseconds, shows.
const dataAgeSlack = 10 * time.Millisecond

// recordDataAge corrects how long the connection may have waited in the backlog: its last byte came no earlier than the
// kernel says, if it says so. c.mu must be held.
func (c *clientConn) recordDataAge(fd int) {
	if c.backlogWait == 0 {
		return
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return
	}
	age := time.Duration(info.Last_data_recv)*time.Millisecond + dataAgeSlack
	c.backlogWait = min(c.backlogWait, max(age-time.Since(c.acceptedAt), 0))
}

// recordRead records the result of a read of at most size bytes, of which n were read. While a request is open,
// net/http reads a single byte to detect that the client closes the connection. If it gets a byte, it reads no further,
// and the socket has to be polled instead. c.mu must be held.
func (c *clientConn) recordRead(n, size int) {
	if n <= 0 {
		c.clientDisconnected = true
		return
	}
	c.partialRequest, c.awaitingBytes = true, false
	c.pipelinedByteRead = isCloseProbe(size)
	c.startPolling()
}

// beginRequest records that a request's header has been read.
func (c *clientConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests, c.firstHead = false, false
}

// endRequest records that the connection is between requests.
func (c *clientConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests = true
}

// recordRequestComplete records that no further bytes of the current request are expected. It polls the socket and
// returns false if the client has closed the connection: a process that was suspended would otherwise read the client's
// close only after it has accepted the request.
func (c *clientConn) recordRequestComplete() bool {
	gone := c.clientGone()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partialRequest = false
	return !gone
}

// markAnswerPending records that the request has to be answered.
func (c *clientConn) markAnswerPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerPending = true
}

// firstReadGotAllBytes reports whether all bytes read so far were in the socket at the first read.
func (c *clientConn) firstReadGotAllBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstRead == firstReadGotAll
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writingSince.Store(max(int64(time.Since(c.acceptedAt)), 1))
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite, c.answerPending, c.clientDisconnected = time.Now(), false, c.clientDisconnected || err != nil
	return n, err
}

// lastByteAt returns the time at which a connection last received a byte, or since if it has received none after since.
// The time is monotonic, so that a step of the wall clock does not make a client that is writing appear silent.
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
