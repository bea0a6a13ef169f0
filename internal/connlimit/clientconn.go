package connlimit

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rampspread/internal/precondition"
)

const (
	// A client that has sent ahead is looked after this often: 0.1 s after it has gone no attempt may begin for it.
	pollEvery = 25 * time.Millisecond
	// The last answer on a connection has this long to reach the client, as in net/http's server: a close over bytes that
	// nobody read resets the connection, and what is still on its way goes with it.
	lingerFor = 500 * time.Millisecond
)

// clientConn is a client's connection that knows when its last byte came, so that one that is slowly writing a
// request is told apart from one that says nothing, and how many lines began with Content-Length. A request that comes in the
// moment in which its connection is closed is either read, and then answered, or not read at all.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn // nil where the connection is no socket
	guard   *Limiter
	came    time.Time     // when it was accepted,
	waited  time.Duration // and how long it may have waited for that
	last    atomic.Int64  // ns from came to the last read that brought bytes; 0: none yet
	lengths atomic.Int64
	at      int // of lengthName, how much of the line that is coming matches; -1: this line does not

	mu      sync.Mutex  // held while bytes are taken from the socket, so that no close crosses that
	resting bool        // between requests
	waits   bool        // net/http waits for bytes of a request: it has none left from before
	fresh   bool        // bytes have been read of a request that has not come whole
	owes    bool        // a request has come whole, and nothing of its answer has been written
	shut    bool        // nothing is read any more
	ended   bool        // the client has closed, or the connection broke: what it sent ahead is not taken any more
	closed  bool        // by this side
	wrote   time.Time   // last; zero: never
	looked  bool        // its bytes have been asked for,
	found   bool        // and all that came so far were there
	ahead   bool        // a byte behind the open request has been read: net/http reads no further, and sees no close
	gone    func()      // told that the client has gone while its request is open; nil: none is
	look    *time.Timer // looks for that while the client has sent ahead
}

func newClientConn(c net.Conn, g *Limiter) *clientConn {
	h := &clientConn{Conn: c, guard: g, came: time.Now()}
	if s, ok := c.(syscall.Conn); ok {
		h.raw, _ = s.SyscallConn() // an error comes of a closed connection, which shows as it is read
	}
	return h
}

// Read implements net.Conn. One goroutine reads a connection at a time.
func (h *clientConn) Read(p []byte) (int, error) {
	n, err := h.read(p)
	if n > 0 {
		h.last.Store(max(int64(time.Since(h.came)), 1))
		h.scan(p[:n])
	}
	return n, err
}

// read is the socket's Read, but that each of its system calls happens either before or after a close, and that nothing more is
// taken from a connection that rests once the process is about to end.
func (h *clientConn) read(p []byte) (n int, err error) {
	if h.raw == nil || len(p) == 0 {
		return h.Conn.Read(p)
	}
	h.mu.Lock()
	h.waits = len(p) > 1 // net/http looks with a single byte whether the client of an open request closes
	h.shut = h.shut || h.resting && h.waits && h.guard.state.Closing.Load()
	h.shut = h.shut || h.resting && h.waits && !h.fresh && h.guard.state.Drain.Active()
	h.mu.Unlock()
	waited := h.raw.Read(func(fd uintptr) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.shut {
			return true
		}
		for {
			if n, err = unix.Read(int(fd), p); !errors.Is(err, unix.EINTR) {
				break
			}
		}
		if errors.Is(err, unix.EAGAIN) {
			h.looked, h.found = true, false // what comes later comes after this
			n, err = 0, nil
			return false
		}
		h.found = h.found || !h.looked && n > 0
		h.looked = true
		h.noteRead(n, len(p))
		return true
	})
	h.mu.Lock()
	h.waits = false
	shut := h.shut
	h.mu.Unlock()
	switch {
	case n > 0:
		return n, nil
	case shut:
		return 0, io.EOF
	case waited != nil:
		var op *net.OpError
		if errors.As(waited, &op) {
			op.Op = "read" // by which net/http knows it
		}
		return 0, waited
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: h.LocalAddr(), Addr: h.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	}
	return 0, io.EOF
}

// noteRead notes what a read of at most size bytes brought; h.mu is held. While a request is open net/http reads a single byte to see
// the client's close; if that comes, it stops looking, and the socket has to be asked.
func (h *clientConn) noteRead(n, size int) {
	if n <= 0 {
		h.ended = true
		return
	}
	h.fresh, h.waits = true, false
	h.ahead = size == 1
	h.startPolling()
}

// onGone calls gone if the client goes away from now on, until it is told of another or of none.
func (h *clientConn) onGone(gone func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = gone
	h.startPolling()
}

// startPolling begins to look whether the client goes, where nothing else would see it; h.mu is held.
func (h *clientConn) startPolling() {
	if h.ahead && h.gone != nil && h.look == nil {
		h.look = time.AfterFunc(pollEvery, h.pollGone)
	}
}

// pollGone asks the socket whether the client has closed.
func (h *clientConn) pollGone() {
	_, over := h.peek()
	h.mu.Lock()
	gone := h.gone
	h.ended = h.ended || over
	if gone == nil || !h.ahead || over {
		h.look = nil
	} else {
		h.look.Reset(pollEvery)
	}
	h.mu.Unlock()
	if over && gone != nil {
		gone()
	}
}

// requestComplete notes that what has been read belongs to a request that has come whole, or to none. It returns false if its client is
// known to have gone: the socket is asked, since a process that was held up reads a close only after the request.
func (h *clientConn) requestComplete() bool {
	gone := h.clientGone()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh = false
	return !gone
}

// taken notes that the request is to be answered.
func (h *clientConn) taken() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owes = true
}

// clientGone asks the socket whether the client has closed.
func (h *clientConn) clientGone() bool {
	_, over := h.peek()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = h.ended || over
	return h.ended
}

// foundBytes tells whether all that has been read was there when the connection was first looked at.
func (h *clientConn) foundBytes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.found
}

// setResting notes whether the connection is between requests.
func (h *clientConn) setResting(resting bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resting = resting
}

// peek asks the socket whether bytes wait to be read, and whether the client has closed or the connection has broken, whatever
// waits before that.
func (h *clientConn) peek() (bytes, over bool) {
	if h.raw == nil {
		return false, false
	}
	err := h.raw.Control(func(fd uintptr) {
		asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		for {
			_, err := unix.Poll(asked, 0)
			if errors.Is(err, unix.EINTR) {
				continue
			}
			got := asked[0].Revents
			over = err == nil && got&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
			bytes = err == nil && got&unix.POLLIN != 0
			return
		}
	})
	return bytes, over || err != nil
}

// closeIf ends a connection, if that may be done now, and says why not else. What comes later is not read, and the client sends it anew.
func (h *clientConn) closeIf(facts precondition.CloseConnection) precondition.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	bytes, left := h.peek()
	facts.AwaitingBytes = h.waits
	facts.PartialRequest = facts.PartialRequest || h.fresh
	facts.UnreadBytes = bytes && !left
	if why := facts.Check(); why != precondition.Allowed {
		return why
	}
	if h.fresh && facts.Cause == precondition.ForDrain {
		h.refuse()
	}
	h.shut = true
	h.Conn.SetReadDeadline(time.Unix(1, 0)) // net/http's Read ends, and its goroutine closes the connection
	return precondition.Allowed
}

// refuse answers half a request, as far as that needs no wait; h.mu is held. Its last byte may have been sent in this moment.
func (h *clientConn) refuse() {
	if h.raw == nil {
		return
	}
	h.raw.Control(func(fd uintptr) { // an error comes of a closed connection
		unix.Write(int(fd), []byte(refusal)) // what does not go into the socket at once is not sent
	})
	h.wrote = time.Now()
}

// cutBody ends the wait for the rest of a body, if that is what is waited for: its handler answers then.
func (h *clientConn) cutBody() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waits && h.fresh {
		h.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Write implements net.Conn.
func (h *clientConn) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrote, h.owes, h.ended = time.Now(), false, h.ended || err != nil
	return n, err
}

// Close implements net.Conn. Where an answer may still be on its way only the sending side ends at once; nothing is read any more.
func (h *clientConn) Close() error {
	h.mu.Lock()
	left := time.Until(h.wrote.Add(lingerFor))
	lingers := left > 0 && !h.ended && !h.closed
	owes := h.owes && !h.ended && !h.closed
	h.shut, h.closed, h.gone = true, true, nil
	h.mu.Unlock()
	half, ok := h.Conn.(interface{ CloseWrite() error })
	_, over := h.peek()
	if owes && !over {
		h.guard.audit.Record(precondition.OperationClose, precondition.RequestUnanswered, h.RemoteAddr().String())
	}
	if !lingers || over || !ok || !h.guard.linger() {
		return h.Conn.Close()
	}
	if half.CloseWrite() != nil {
		h.guard.lingering.Add(-1)
		return h.Conn.Close()
	}
	time.AfterFunc(left, func() {
		h.Conn.Close()
		h.guard.lingering.Add(-1)
	})
	return nil
}

// lengthName is what a line begins with that says a body's length, in lower case.
const lengthName = "content-length:"

// scan counts the lines that begin with Content-Length, however the bytes are cut.
func (h *clientConn) scan(p []byte) {
	for len(p) > 0 {
		if h.at < 0 {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				return
			}
			p, h.at = p[end+1:], 0
			continue
		}
		c := p[0]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		switch {
		case c == '\n': // an empty or short line: the next one begins behind it
			h.at = 0
		case c != lengthName[h.at]:
			h.at = -1
		case h.at == len(lengthName)-1:
			h.lengths.Add(1)
			h.at = -1
		default:
			h.at++
		}
		p = p[1:]
	}
}

// lastByte is when a connection last sent something, or when it came if it has not yet.
func lastByte(c net.Conn, since time.Time) time.Time {
	if h, ok := c.(*clientConn); ok {
		if at := h.last.Load(); at != 0 && h.came.Add(time.Duration(at)).After(since) {
			return h.came.Add(time.Duration(at))
		}
	}
	return since
}
